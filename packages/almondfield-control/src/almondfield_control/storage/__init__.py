"""Durable storage of one voter."""

from almondfield_control.storage.core import (
    RETRY_INTERVAL_S,
    Disk,
    HardState,
    Journal,
    Recovered,
)
from almondfield_control.storage.folder import FolderDisk

__all__ = [
    "RETRY_INTERVAL_S",
    "Disk",
    "FolderDisk",
    "HardState",
    "Journal",
    "Recovered",
]
