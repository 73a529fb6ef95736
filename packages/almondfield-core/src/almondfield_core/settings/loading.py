"""Reads a settings file."""

from pathlib import Path

from result import Result

from almondfield_core.findings import Finding
from almondfield_core.settings.checking import check_settings
from almondfield_core.settings.core import DaemonSettings
from almondfield_core.settings.reading import read_settings

__all__ = ["load_settings"]


def load_settings(path: str | Path) -> Result[DaemonSettings, tuple[Finding, ...]]:
    """Return the settings in a TOML file, or a finding for each problem with them.

    :param path: the file.
    """
    return read_settings(path, DaemonSettings, check_settings)
