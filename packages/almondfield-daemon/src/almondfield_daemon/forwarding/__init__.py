"""Forwards callers' requests to backend servers by the routing table."""

from almondfield_daemon.forwarding.attempts import Attempts
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.core import Forwarder
from almondfield_daemon.forwarding.endpoint import ForwardEndpoint
from almondfield_daemon.forwarding.messages import (
    AnswerMarks,
    CallerMarks,
    CallMarks,
    ServerLoad,
)
from almondfield_daemon.forwarding.ports import HeaderCodec
from almondfield_daemon.forwarding.reports import RequestReport
from almondfield_daemon.forwarding.servers import ServerChoice

__all__ = [
    "AnswerMarks",
    "Attempts",
    "CallMarks",
    "CallerMarks",
    "ForwardEndpoint",
    "Forwarder",
    "HeaderCodec",
    "RequestReport",
    "RetryWindow",
    "ServerChoice",
    "ServerLoad",
]
