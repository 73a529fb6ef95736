"""Choice of the backend server that a request is sent to."""

from almondfield_fairshare.prefix_placement.core import Candidate, Placement, Ticket
from almondfield_fairshare.prefix_placement.loads import ServerRecord

__all__ = ["Candidate", "Placement", "ServerRecord", "Ticket"]
