"""Which routers the directory names to a caller, by their size and load."""

from almondfield_daemon.router_addresses.core import (
    MAX_ADDRESSES,
    AddressChooser,
    Candidate,
)
from almondfield_daemon.router_addresses.reports import (
    EarlyReports,
    RouterLoad,
    clamp_load,
)

__all__ = [
    "MAX_ADDRESSES",
    "AddressChooser",
    "Candidate",
    "EarlyReports",
    "RouterLoad",
    "clamp_load",
]
