"""Reads a settings file."""

from pathlib import Path

from result import Err, Ok, Result

from almondfield_core.findings import Finding, read_toml, structure
from almondfield_core.settings.checking import check_settings
from almondfield_core.settings.core import DaemonSettings

__all__ = ["load_settings"]

MAX_SETTINGS_BYTES = 4 * 1024 * 1024


def load_settings(path: str | Path) -> Result[DaemonSettings, tuple[Finding, ...]]:
    """Return the settings in a TOML file, or everything that is wrong with them.

    :param path: the file.
    """
    match read_toml(Path(path), MAX_SETTINGS_BYTES):
        case Ok(values):
            pass
        case Err(finding):
            return Err((finding,))
    read = structure(values, DaemonSettings, str(path))
    if isinstance(read, Err):
        return read
    findings = check_settings(read.ok_value, str(path))
    return Err(findings) if findings else read
