"""Messages about the routing table."""

from dataclasses import dataclass

from almondfield_core.routing import RoutingTable
from almondfield_core.wire import wire_message

__all__ = [
    "LeaseReply",
    "LeaseRequest",
    "PublishReply",
    "PublishRequest",
    "ReadReply",
    "ReadRequest",
    "TableNotice",
]


@wire_message("publish-request")
@dataclass(frozen=True)
class PublishRequest:
    """Asks the leader to put a routing table in force.

    :ivar table: the table.
    :ivar document: the operator's own form of it.
    """

    table: RoutingTable
    document: bytes


@wire_message("publish-reply")
@dataclass(frozen=True)
class PublishReply:
    """Says which table is in force after one was offered.

    :ivar version: its version.
    """

    version: int


@wire_message("read-request")
@dataclass(frozen=True)
class ReadRequest:
    """Asks the leader for the table that a quorum knows to be the newest."""


@wire_message("read-reply")
@dataclass(frozen=True)
class ReadReply:
    """The newest table, confirmed by a quorum after the question came.

    :ivar version: its version; 0 where there is none yet.
    :ivar document: the operator's own form of it.
    """

    version: int
    document: bytes


@wire_message("lease-request")
@dataclass(frozen=True)
class LeaseRequest:
    """Asks the leader to confirm that a router's table is the newest.

    :ivar version: version that the router holds; 0 for none.
    """

    version: int


@wire_message("lease-reply")
@dataclass(frozen=True)
class LeaseReply:
    """Says what was the newest table when the leader answered.

    :ivar version: its version; 0 where there is none yet.
    :ivar table: the table, where the router holds another version.
    :ivar control_hosts: members of the control group.
    """

    version: int
    table: RoutingTable | None = None
    control_hosts: tuple[str, ...] = ()


@wire_message("table-notice")
@dataclass(frozen=True)
class TableNotice:
    """Tells a router that the sender leads, and which table is in force.

    :ivar version: its version; 0 where there is none yet.
    """

    version: int
