"""HTTP listeners of the daemon."""

from almondfield_daemon.serving.connection import CallerConnection, connection_of
from almondfield_daemon.serving.core import HttpListener, ListenError, bind

__all__ = [
    "CallerConnection",
    "HttpListener",
    "ListenError",
    "bind",
    "connection_of",
]
