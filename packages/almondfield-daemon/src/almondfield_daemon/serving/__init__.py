"""HTTP listeners of the daemon."""

from almondfield_daemon.serving.bodies import RefusedBody, read_content
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
    "RefusedBody",
    "RequestHead",
    "bind",
    "connection_of",
    "read_content",
]
