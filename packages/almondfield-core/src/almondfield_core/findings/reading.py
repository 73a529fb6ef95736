"""Reads a TOML file into a data class and checks its values."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

from almondfield_core.findings.core import Finding
from almondfield_core.findings.structuring import structure
from almondfield_core.findings.toml import read_toml

__all__ = ["read_checked"]

T = TypeVar("T")


def read_checked(
    path: str | Path,
    max_bytes: int,
    data_class: type[T],
    check: Callable[[T, str], tuple[Finding, ...]],
) -> Result[T, tuple[Finding, ...]]:
    """Return the value in a TOML file, or a finding for each problem with it.

    :param path: the file.
    :param max_bytes: largest size of the file, in bytes.
    :param data_class: the data class.
    :param check: returns the findings of a value whose types are right; its second
        argument is the name of the file, for the places of the findings.
    """
    match read_toml(Path(path), max_bytes):
        case Ok(values):
            pass
        case Err(finding):
            return Err((finding,))
    read = structure(values, data_class, str(path))
    if isinstance(read, Err):
        return read
    findings = check(read.ok_value, str(path))
    return Err(findings) if findings else read
