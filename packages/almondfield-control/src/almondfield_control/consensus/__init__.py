"""Consensus of the control group: elections, replication, membership."""

from almondfield_control.consensus.core import Replica
from almondfield_control.consensus.limits import LogLimits
from almondfield_control.consensus.policy import GroupPolicy
from almondfield_control.consensus.roles import Role

__all__ = ["GroupPolicy", "LogLimits", "Replica", "Role"]
