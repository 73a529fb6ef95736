"""How many slots each team and each router should have."""

from almondfield_fairshare.allocation.core import (
    RouterNeed,
    TeamDemand,
    adjust_targets,
    allot_to_teams,
    split_over_routers,
    spread_idle,
)

__all__ = [
    "RouterNeed",
    "TeamDemand",
    "adjust_targets",
    "allot_to_teams",
    "split_over_routers",
    "spread_idle",
]
