"""HTTP listeners of the daemon."""

from almondfield_daemon.serving.connection import CallerConnection, connection_of
from almondfield_daemon.serving.core import (
    BACKLOG,
    HttpListener,
    ListenError,
    bind,
)
from almondfield_daemon.serving.gate import Gate, HeadRefusal, RequestHead

__all__ = [
    "BACKLOG",
    "CallerConnection",
    "Gate",
    "HeadRefusal",
    "HttpListener",
    "ListenError",
    "RequestHead",
    "bind",
    "connection_of",
]
