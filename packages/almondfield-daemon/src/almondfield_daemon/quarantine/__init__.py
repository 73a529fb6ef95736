"""Quarantine of requests and prompt parts under which backend servers ended."""

from almondfield_daemon.quarantine.client import QuarantineClient
from almondfield_daemon.quarantine.core import QuarantineTable
from almondfield_daemon.quarantine.digests import request_digests
from almondfield_daemon.quarantine.messages import Quarantine
from almondfield_daemon.quarantine.parts import (
    BEGIN_WINDOW_S,
    NoQuarantine,
    RequestQuarantine,
    shared_parts,
)
from almondfield_daemon.quarantine.service import QuarantineService

__all__ = [
    "BEGIN_WINDOW_S",
    "NoQuarantine",
    "Quarantine",
    "QuarantineClient",
    "QuarantineService",
    "QuarantineTable",
    "RequestQuarantine",
    "request_digests",
    "shared_parts",
]
