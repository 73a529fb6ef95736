"""Where streams began: which pool and software version sent the first event."""

from almondfield_daemon.streams.client import OriginClient
from almondfield_daemon.streams.core import OriginTable
from almondfield_daemon.streams.messages import StreamOrigin
from almondfield_daemon.streams.service import OriginService
from almondfield_daemon.streams.versions import VersionHistory

__all__ = [
    "OriginClient",
    "OriginService",
    "OriginTable",
    "StreamOrigin",
    "VersionHistory",
]
