"""Commands that run without contacting a host."""

from pathlib import Path

from result import Err, Ok

from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import DEFAULT_OUTPUT, OutputOptions
from almondfield_core.settings import list_items, read_secret
from almondfield_core.tables import hash_key

__all__ = ["key", "settings"]


def settings(*, output_options: OutputOptions = DEFAULT_OUTPUT) -> ExitCode:
    """Print every item of a daemon's settings."""
    items = list_items()
    lines = []
    for item in items:
        unit = f" in {item.unit}" if item.unit else ""
        default = f", default {item.default}" if item.default is not None else ""
        lines.append(f"{item.path}  {item.type_name}{unit}{default}")
        lines.append(f"    {item.description}")
    return output_options.printer.show(items, "\n".join(lines))


def key(
    key_file: Path, /, *, output_options: OutputOptions = DEFAULT_OUTPUT
) -> ExitCode:
    """Print the hash of a team's key in the form that the routes table takes.

    :param key_file: file with the key.
    """
    match read_secret(key_file):
        case Ok(secret):
            key_hash = hash_key(secret)
            return output_options.printer.show({"key_hash": key_hash}, key_hash)
        case Err(finding):
            return output_options.printer.fail((finding,))
