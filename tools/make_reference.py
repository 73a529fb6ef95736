"""Writes the reference pages of settings and tables from the data classes.

With ``--check`` it writes nothing and exits with 1 where a page is out of date.
"""

import dataclasses
import re
import sys
import typing
from enum import Enum
from pathlib import Path

from almondfield_core.settings import list_items
from almondfield_core.tables import Pool, Route, Selector, Timeouts

__all__ = ["render_pages"]

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "docs" / "reference"
FIELD = re.compile(r":ivar (\w+): (.*?)(?=:ivar|\Z)", re.DOTALL)
MARKUP = re.compile(r"``(.+?)``")
NAME_BY_TYPE = {str: "text", int: "whole number", float: "number"}


@dataclasses.dataclass(frozen=True)
class Row:
    """One item of a table of the pages.

    :ivar name: name of the item.
    :ivar type_name: type of its value.
    :ivar unit: unit of its value, if any.
    :ivar default: its default, if it has one.
    :ivar description: one sentence.
    """

    name: str
    type_name: str
    unit: str
    default: str | None
    description: str


def render_pages():
    """Return the text of each page by its file name."""
    return {
        "settings.md": "\n".join(render_settings()),
        "tables.md": "\n".join(render_tables()),
    }


def render_settings():
    """Return the lines of the settings page."""
    yield "# Settings"
    yield ""
    yield "A daemon reads one TOML file. Names of files are relative to the folder that"
    yield "the daemon is started in. `almondfield settings` prints this list."
    rows_by_section = {}
    for item in list_items():
        section, _, name = item.path.rpartition(".")
        row = Row(name, item.type_name, item.unit, item.default, item.description)
        rows_by_section.setdefault(section, []).append(row)
    for section, rows in rows_by_section.items():
        yield from render_section(section, rows)


def render_section(section, rows):
    """Return the lines of one section of the settings page."""
    title = f"`[{section}]`" if section else "The top of the file"
    if section.endswith("[]"):
        title = f"`[[{section.removesuffix('[]')}]]`, one for each"
    yield ""
    yield f"## {title}"
    yield from render_rows(rows)


def render_tables():
    """Return the lines of the tables page."""
    yield "# Tables"
    yield ""
    yield "Both tables stand in one TOML file: a list `[[pools]]` and a list"
    yield "`[[routes]]`. `almondfield export` also writes `revision`, the revision that"
    yield "the file was exported at; `almondfield apply` then refuses the file once"
    yield "another change has been accepted."
    for title, rows in (
        ("`[[pools]]`: the capacity behind a name", Pool),
        ("`[pools.selects]`: the backend servers of the pool", Selector),
        ("`[pools.timeouts]`: how long a router waits for a backend server", Timeouts),
        ("`[[routes]]`: a team's requests under a path to a pool", Route),
    ):
        yield ""
        yield f"## {title}"
        yield from render_rows(read_rows(rows))


def render_rows(rows):
    """Return the lines of one table of items."""
    yield ""
    yield "| item | type | unit | default | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for row in rows:
        default = "must be given" if row.default is None else f"`{row.default}`"
        meaning = MARKUP.sub(r"`\1`", row.description)
        yield f"| `{row.name}` | {row.type_name} | {row.unit} | {default} | {meaning} |"


def read_rows(row_type):
    """Return the items of a data class, described by its docstring."""
    pairs = FIELD.findall(row_type.__doc__)
    description_by_name = {name: " ".join(text.split()) for name, text in pairs}
    type_by_name = typing.get_type_hints(row_type)
    for item in dataclasses.fields(row_type):
        description = description_by_name[item.name]
        yield Row(
            item.name,
            name_type(type_by_name[item.name]),
            "s" if item.name.endswith("_s") or item.name == "typical_cost" else "",
            show_default(item),
            description[0].upper() + description[1:],
        )


def name_type(item_type):
    """Return the name of an item's type."""
    if dataclasses.is_dataclass(item_type):
        return "table"
    if typing.get_origin(item_type) is tuple:
        return f"list of {name_type(typing.get_args(item_type)[0])}"
    if typing.get_origin(item_type) is dict:
        return "table of text"
    if issubclass(item_type, Enum):
        return "one of " + ", ".join(f'`"{member.value}"`' for member in item_type)
    return NAME_BY_TYPE[item_type]


def show_default(item):
    """Return the default of an item as TOML, or None where there is none."""
    if item.default_factory is not dataclasses.MISSING:
        return "{}"
    match item.default:
        case dataclasses.MISSING:
            return None
        case tuple() as values:
            return "[" + ", ".join(f'"{value}"' for value in values) + "]"
        case Enum() | str() as text:
            return f'"{text}"'
        case value if dataclasses.is_dataclass(value):
            return "{}"
        case value:
            return str(value)


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
