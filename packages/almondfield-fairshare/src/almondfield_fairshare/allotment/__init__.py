"""How many slots each team and each router should have."""

from almondfield_fairshare.allotment.core import (
    TeamDemand,
    allot_to_teams,
    split_over_routers,
    spread_idle,
)

__all__ = ["TeamDemand", "allot_to_teams", "split_over_routers", "spread_idle"]
