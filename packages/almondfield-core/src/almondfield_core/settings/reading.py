"""Reads one settings file into its data class."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from result import Result

from almondfield_core.findings import Finding, read_checked

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
    return read_checked(path, MAX_SETTINGS_BYTES, wanted, check)
