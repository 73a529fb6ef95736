"""Choice of the backend server for a request by its prompt prefix."""

from almondfield_fairshare.prefix_placement.core import (
    Candidate,
    InFlightRequest,
    Placement,
)
from almondfield_fairshare.prefix_placement.server_record import ServerRecord

__all__ = ["Candidate", "InFlightRequest", "Placement", "ServerRecord"]
