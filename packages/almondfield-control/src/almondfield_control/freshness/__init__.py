"""Leases that say that a host's tables are current."""

from almondfield_control.freshness.core import HostLeases
from almondfield_control.freshness.delta import TablesDelta
from almondfield_control.freshness.fallback import Fallback
from almondfield_control.freshness.messages import (
    NotLeader,
    RenewalReply,
    RenewalRequest,
    RevisionNotice,
)
from almondfield_control.freshness.reads import VoterReads
from almondfield_control.freshness.view import HostView

__all__ = [
    "Fallback",
    "HostLeases",
    "HostView",
    "NotLeader",
    "RenewalReply",
    "RenewalRequest",
    "RevisionNotice",
    "TablesDelta",
    "VoterReads",
]
