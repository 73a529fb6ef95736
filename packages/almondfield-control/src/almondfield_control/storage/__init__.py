"""Durable storage of one voter."""

from almondfield_control.storage.core import Disk, HardState, Journal, Recovered
from almondfield_control.storage.folder import FolderDisk

__all__ = ["Disk", "FolderDisk", "HardState", "Journal", "Recovered"]
