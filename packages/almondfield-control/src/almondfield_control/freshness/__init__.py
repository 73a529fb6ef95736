"""Leases that confirm that a host's tables are current."""

from almondfield_control.freshness.core import HostLeases
from almondfield_control.freshness.delta import TablesDelta
from almondfield_control.freshness.evacuations import (
    EvacuationView,
    log_evacuations,
)
from almondfield_control.freshness.fallback import FallbackRenewal
from almondfield_control.freshness.messages import (
    NotLeader,
    RenewalReply,
    RenewalRequest,
    RevisionNotice,
)
from almondfield_control.freshness.queries import RevisionQueryHandler
from almondfield_control.freshness.view import HostView

__all__ = [
    "EvacuationView",
    "FallbackRenewal",
    "HostLeases",
    "HostView",
    "NotLeader",
    "RenewalReply",
    "RenewalRequest",
    "RevisionNotice",
    "RevisionQueryHandler",
    "TablesDelta",
    "log_evacuations",
]
