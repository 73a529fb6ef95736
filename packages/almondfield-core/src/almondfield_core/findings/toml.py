"""Reads TOML files into plain values."""

import tomllib
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from almondfield_core.findings.core import Finding

__all__ = ["read_toml"]


def read_toml(path: Path, max_bytes: int) -> Result[dict[str, Any], Finding]:
    """Return the content of a TOML file, or a finding if it cannot be read.

    :param path: the file.
    :param max_bytes: largest size of the file, in bytes.
    """
    try:
        with path.open("rb") as stream:
            content = stream.read(max_bytes + 1)
    except OSError as error:
        return Err(Finding(str(path), f"cannot be read: {error.strerror}"))
    if len(content) > max_bytes:
        return Err(Finding(str(path), "is too large", f"{max_bytes} bytes"))
    try:
        return Ok(tomllib.loads(content.decode()))
    except UnicodeDecodeError as error:
        problem = f"byte {error.start} is not UTF-8"
        return Err(Finding(str(path), problem, "text in UTF-8"))
    except tomllib.TOMLDecodeError as error:
        return Err(Finding(str(path), f"is not TOML: {error}"))
    except RecursionError:
        return Err(Finding(str(path), "values are nested too deeply"))
    except ValueError as error:
        return Err(Finding(str(path), f"holds a value that cannot be read: {error}"))
