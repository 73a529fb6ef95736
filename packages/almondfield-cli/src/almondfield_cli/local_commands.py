"""Commands that need no host."""

from pathlib import Path

from result import Err, Ok

from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import TEXT_FORM, Form
from almondfield_core.settings import list_items, read_secret
from almondfield_core.tables import hash_key

__all__ = ["key", "settings"]


def settings(*, form: Form = TEXT_FORM) -> ExitCode:
    """Print every item of a daemon's settings."""
    items = list_items()
    lines = []
    for item in items:
        unit = f" in {item.unit}" if item.unit else ""
        default = f", default {item.default}" if item.default is not None else ""
        lines.append(f"{item.path}  {item.type_name}{unit}{default}")
        lines.append(f"    {item.description}")
    return form.printer.show(items, "\n".join(lines))


def key(key_file: Path, /, *, form: Form = TEXT_FORM) -> ExitCode:
    """Print the hash of a team's key, as the routes table holds it.

    :param key_file: file with the key.
    """
    match read_secret(key_file):
        case Ok(secret):
            key_hash = hash_key(secret)
            return form.printer.show({"key_hash": key_hash}, key_hash)
        case Err(finding):
            return form.printer.fail((finding,))
