"""Durable storage of one voter."""

from almondfield_control.storage.core import RETRY_INTERVAL_S, Disk, Journal
from almondfield_control.storage.folder import FolderDisk
from almondfield_control.storage.layout import HardState, Recovered

__all__ = [
    "RETRY_INTERVAL_S",
    "Disk",
    "FolderDisk",
    "HardState",
    "Journal",
    "Recovered",
]
