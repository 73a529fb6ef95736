"""Reads one settings file into its data class."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

from almondfield_core.findings import Finding, read_toml, structure

__all__ = ["read_settings"]

MAX_SETTINGS_BYTES = 4 * 1024 * 1024

T = TypeVar("T")


def read_settings(
    path: str | Path,
    wanted: type[T],
    check: Callable[[T, str], tuple[Finding, ...]],
) -> Result[T, tuple[Finding, ...]]:
    """Return the settings in a TOML file, or everything that is wrong with them.

    :param path: the file.
    :param wanted: the data class.
    :param check: returns the findings of values whose types are right; gets the
        name of the file for their places.
    """
    match read_toml(Path(path), MAX_SETTINGS_BYTES):
        case Ok(values):
            pass
        case Err(finding):
            return Err((finding,))
    read = structure(values, wanted, str(path))
    if isinstance(read, Err):
        return read
    findings = check(read.ok_value, str(path))
    return Err(findings) if findings else read
