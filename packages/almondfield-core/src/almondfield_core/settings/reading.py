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
    data_class: type[T],
    check: Callable[[T, str], tuple[Finding, ...]],
) -> Result[T, tuple[Finding, ...]]:
    """Return the settings in a TOML file, or a finding for each problem with them.

    :param path: the file.
    :param data_class: the data class.
    :param check: returns the findings of settings whose types are right; its second
        argument is the name of the file, for the places of the findings.
    """
    return read_checked(path, MAX_SETTINGS_BYTES, data_class, check)
