"""Writes the reference pages of settings and tables from the data classes.

With ``--check`` it writes nothing and exits with code 1 if a page is out of date.
"""

import dataclasses
import re
import sys
from pathlib import Path

from almondfield_core.settings import FleetSettings, list_items
from almondfield_core.tables import Pool, Route

__all__ = ["render_pages"]

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "docs" / "reference"
MARKUP = re.compile(r"``(.+?)``")


def render_pages():
    """Return the text of each page by file name."""
    return {
        "settings.md": "\n".join(render_settings()),
        "fleet-settings.md": "\n".join(render_fleet_settings()),
        "tables.md": "\n".join(render_tables()),
    }


def render_settings():
    """Return the lines of the settings page."""
    yield "# Settings"
    yield ""
    yield "A daemon reads one TOML file. File names in it are relative to the working"
    yield "directory of the daemon. `almondfield settings` prints this list."
    for section, items in group_items(list_items()).items():
        title = f"`[{section}]`" if section else "Top level"
        if section.endswith("[]"):
            title = f"`[[{section.removesuffix('[]')}]]`, one table per entry"
        yield from render_section(title, items)


def render_fleet_settings():
    """Return the lines of the fleet settings page."""
    yield "# Fleet settings"
    yield ""
    yield "A daemon of a fleet whose hosts discover each other through seeds reads one"
    yield "TOML file. Messages between its hosts are not authenticated with a secret,"
    yield "so the network between them must be private."
    for section, items in group_items(list_items(FleetSettings)).items():
        title = f"`[{section}]`" if section else "Top level"
        yield from render_section(title, items)


def render_tables():
    """Return the lines of the tables page."""
    yield "# Tables"
    yield ""
    yield "Both tables are in one TOML file, as arrays `[[pools]]` and `[[routes]]`."
    yield "`almondfield export` also writes `revision`, the revision of the exported"
    yield "tables; `almondfield apply` then refuses the file if another change has been"
    yield "accepted since."
    yield ""
    yield "A row of `pools` defines the capacity of a pool: `selects` chooses its"
    yield "backend servers, and `timeouts` limits how long a router waits for one of"
    yield "them. A row of `routes` sends a team's requests under a path to a pool."
    for table, row_type in (("pools", Pool), ("routes", Route)):
        for section, items in group_items(list_items(row_type)).items():
            title = f"`[{table}.{section}]`" if section else f"`[[{table}]]`"
            yield from render_section(title, items)


def group_items(items):
    """Return the items of each section by the path of the section."""
    items_by_section = {}
    for item in items:
        section, _, name = item.path.rpartition(".")
        item_in_section = dataclasses.replace(item, path=name)
        items_by_section.setdefault(section, []).append(item_in_section)
    return items_by_section


def render_section(title, items):
    """Return the lines of one section."""
    yield ""
    yield f"## {title}"
    yield ""
    yield "| item | type | unit | default | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for item in items:
        default = "required" if item.default is None else f"`{item.default}`"
        meaning = MARKUP.sub(r"`\1`", item.description)
        cells = (f"`{item.path}`", item.type_name, item.unit, default, meaning)
        yield f"| {' | '.join(cells)} |"


def main():
    """Return 0 if the pages are up to date or have been written, else 1."""
    check_only = "--check" in sys.argv[1:]
    outdated = []
    for name, text in render_pages().items():
        path = FOLDER / name
        if path.exists() and path.read_text() == text + "\n":
            continue
        outdated.append(path.relative_to(ROOT))
        if not check_only:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text + "\n")
    for path in outdated:
        print(f"{path}: {'out of date' if check_only else 'written'}")
    return 1 if check_only and outdated else 0


if __name__ == "__main__":
    sys.exit(main())
