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
    """Request to publish a routing table.

    :ivar table: the table.
    :ivar document: the table as the operator sent it.
    """

    table: RoutingTable
    document: bytes


@wire_message("publish-reply")
@dataclass(frozen=True)
class PublishReply:
    """Reply with the table that is in force after a publish request.

    :ivar version: its version.
    """

    version: int


@wire_message("read-request")
@dataclass(frozen=True)
class ReadRequest:
    """Request to read the newest table, confirmed by a quorum."""


@wire_message("read-reply")
@dataclass(frozen=True)
class ReadReply:
    """The newest table, confirmed by a quorum after the request arrived.

    :ivar version: its version; 0 if there is none yet.
    :ivar document: the table as the operator sent it.
    """

    version: int
    document: bytes


@wire_message("lease-request")
@dataclass(frozen=True)
class LeaseRequest:
    """Request to confirm that a router's table is the newest.

    :ivar version: version held by the router; 0 for none.
    :ivar unpacks: whether the router reads packed tables; earlier builds don't.
    """

    version: int
    unpacks: bool = False


@wire_message("lease-reply")
@dataclass(frozen=True)
class LeaseReply:
    """The newest table when the leader replied.

    :ivar version: its version; 0 if there is none yet.
    :ivar table: the table, if the router holds another version and doesn't unpack.
    :ivar packed: the packed table, if the router holds another version and unpacks.
    :ivar control_hosts: hosts of the members of the control group.
    :ivar evacuated: the evacuated data centres.
    :ivar evacuations_index: log entry of the last change of them; 0 for none.
    """

    version: int
    table: RoutingTable | None = None
    control_hosts: tuple[str, ...] = ()
    packed: bytes = b""
    evacuated: tuple[str, ...] = ()
    evacuations_index: int = 0


@wire_message("table-notice")
@dataclass(frozen=True)
class TableNotice:
    """Notification that the sender leads, with what is in force there.

    :ivar version: version of the table; 0 if there is none yet.
    :ivar evacuations_index: log entry of the last change of evacuations; 0 for none.
    """

    version: int
    evacuations_index: int = 0
