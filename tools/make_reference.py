"""Writes the reference pages of settings and tables from the data classes.

With ``--check`` it writes nothing and exits with 1 where a page is out of date.
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
    """Return the text of each page by its file name."""
    return {
        "settings.md": "\n".join(render_settings()),
        "fleet-settings.md": "\n".join(render_fleet_settings()),
        "tables.md": "\n".join(render_tables()),
    }


def render_settings():
    """Return the lines of the settings page."""
    yield "# Settings"
    yield ""
    yield "A daemon reads one TOML file. Names of files are relative to the folder that"
    yield "the daemon is started in. `almondfield settings` prints this list."
    for section, items in group_items(list_items()).items():
        title = f"`[{section}]`" if section else "The top of the file"
        if section.endswith("[]"):
            title = f"`[[{section.removesuffix('[]')}]]`, one for each"
        yield from render_section(title, items)


def render_fleet_settings():
    """Return the lines of the page of daemons that find each other from seeds."""
    yield "# Fleet settings"
    yield ""
    yield "A daemon of a fleet whose hosts find each other from seeds reads one TOML"
    yield "file. The seal of messages between its hosts has no secret: the network"
    yield "between them must be private."
    for section, items in group_items(list_items(FleetSettings)).items():
        yield from render_section(section or "The top of the file", items)


def render_tables():
    """Return the lines of the tables page."""
    yield "# Tables"
    yield ""
    yield "Both tables stand in one TOML file: a list `[[pools]]` and a list"
    yield "`[[routes]]`. `almondfield export` also writes `revision`, the revision that"
    yield "the file was exported at; `almondfield apply` then refuses the file once"
    yield "another change has been accepted."
    yield ""
    yield "A row of `pools` says what capacity stands behind a name: `selects` picks"
    yield "the backend servers, `timeouts` says how long a router waits for one. A row"
    yield "of `routes` sends a team's requests under a path to a pool."
    for table, row_type in (("pools", Pool), ("routes", Route)):
        for section, items in group_items(list_items(row_type)).items():
            title = f"`[{table}.{section}]`" if section else f"`[[{table}]]`"
            yield from render_section(title, items)


def group_items(items):
    """Return the items of each section by its path."""
    items_by_section = {}
    for item in items:
        section, _, name = item.path.rpartition(".")
        named = dataclasses.replace(item, path=name)
        items_by_section.setdefault(section, []).append(named)
    return items_by_section


def render_section(title, items):
    """Return the lines of one section."""
    yield ""
    yield f"## {title}"
    yield ""
    yield "| item | type | unit | default | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for item in items:
        default = "must be given" if item.default is None else f"`{item.default}`"
        meaning = MARKUP.sub(r"`\1`", item.description)
        cells = (f"`{item.path}`", item.type_name, item.unit, default, meaning)
        yield f"| {' | '.join(cells)} |"


def main():
    """Return 0 where the pages are up to date, or have been written."""
    checking = "--check" in sys.argv[1:]
    stale = []
    for name, text in render_pages().items():
        path = FOLDER / name
        if path.exists() and path.read_text() == text + "\n":
            continue
        stale.append(path.relative_to(ROOT))
        if not checking:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text + "\n")
    for path in stale:
        print(f"{path}: {'out of date' if checking else 'written'}")
    return 1 if checking and stale else 0


if __name__ == "__main__":
    sys.exit(main())
