"""Choice of the backend server for a request by its prompt prefix."""

from almondfield_fairshare.prefix_placement.core import Candidate, Placement, Ticket
from almondfield_fairshare.prefix_placement.server_record import ServerRecord

__all__ = ["Candidate", "Placement", "ServerRecord", "Ticket"]
