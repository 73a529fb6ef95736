"""Budget of what the connections of one process hold in memory, and of their number."""

from almondfield_daemon.connection_budget.core import (
    ConnectionBudget,
    Holder,
    Limit,
    Phase,
)

__all__ = ["ConnectionBudget", "Holder", "Limit", "Phase"]
