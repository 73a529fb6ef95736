"""Membership of the fleet: its hosts and backend servers."""

from almondfield_daemon.membership.addresses import AddressAnswer, HostAddress
from almondfield_daemon.membership.core import Membership
from almondfield_daemon.membership.selection import selects_server
from almondfield_daemon.membership.servers import AnnouncedServer

__all__ = [
    "AddressAnswer",
    "AnnouncedServer",
    "HostAddress",
    "Membership",
    "selects_server",
]
