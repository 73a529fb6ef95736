"""Allocation of a pool's slots to teams and to routers."""

from almondfield_fairshare.allocation.core import (
    RouterNeed,
    TeamDemand,
    adjust_targets,
    allocate_to_teams,
    split_over_routers,
    spread_idle,
)

__all__ = [
    "RouterNeed",
    "TeamDemand",
    "adjust_targets",
    "allocate_to_teams",
    "split_over_routers",
    "spread_idle",
]
