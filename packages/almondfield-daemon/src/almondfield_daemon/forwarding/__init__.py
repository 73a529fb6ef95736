"""Forwards callers' requests to backend servers by the routing table."""

from almondfield_daemon.forwarding.attempts import AttemptSender
from almondfield_daemon.forwarding.budget import RetryWindow
from almondfield_daemon.forwarding.core import Forwarder
from almondfield_daemon.forwarding.counts import RequestCounts, log_request_counts
from almondfield_daemon.forwarding.endpoint import ForwardEndpoint
from almondfield_daemon.forwarding.homes import ServerHomes
from almondfield_daemon.forwarding.messages import (
    AnswerMetadata,
    CallMetadata,
    RequestMetadata,
    ServerLoad,
)
from almondfield_daemon.forwarding.ports import HeaderCodec
from almondfield_daemon.forwarding.reports import RequestReport
from almondfield_daemon.forwarding.servers import ServerSelector

__all__ = [
    "AnswerMetadata",
    "AttemptSender",
    "CallMetadata",
    "ForwardEndpoint",
    "Forwarder",
    "HeaderCodec",
    "RequestCounts",
    "RequestMetadata",
    "RequestReport",
    "RetryWindow",
    "ServerHomes",
    "ServerLoad",
    "ServerSelector",
    "log_request_counts",
]
