"""Which hosts and backend servers are there, as this host knows it."""

from almondfield_daemon.membership.addresses import AddressAnswer, HostAddress
from almondfield_daemon.membership.core import Membership
from almondfield_daemon.membership.selection import selects_server
from almondfield_daemon.membership.servers import HeardServer

__all__ = [
    "AddressAnswer",
    "HeardServer",
    "HostAddress",
    "Membership",
    "selects_server",
]
