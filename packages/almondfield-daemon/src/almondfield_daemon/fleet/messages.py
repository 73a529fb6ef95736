"""Messages about routers and backend servers between hosts of the fleet."""

from dataclasses import dataclass
from enum import StrEnum

from almondfield_core.wire import wire_message

__all__ = [
    "FleetServer",
    "HelloReply",
    "RouterHello",
    "RouterState",
    "ServerNews",
    "ServerPhase",
]


class ServerPhase(StrEnum):
    """What a backend server is to be used for."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class RouterState(StrEnum):
    """Whether callers are to use a router."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class FleetServer:
    """A backend server as it announced itself.

    :ivar name: identifier of the server; another start may have the same one.
    :ivar pool: name of the pool that it belongs to.
    :ivar address: ``ip:port`` where it takes requests.
    :ivar data_centre: data centre that it stands in.
    :ivar slots: requests that it runs at a time.
    :ivar phase: what it is to be used for.
    :ivar born_ms: when it started, in milliseconds since 1970.
    :ivar sequence: number of the announcement, growing from its start on.
    :ivar cold_left_s: seconds for which it stays slow after its start.
    """

    name: str
    pool: str
    address: str
    data_centre: str
    slots: int
    phase: ServerPhase = ServerPhase.SERVING
    born_ms: int = 0
    sequence: int = 0
    cold_left_s: float = 0.0


@wire_message("router-hello")
@dataclass(frozen=True)
class RouterHello:
    """What a router says of itself to a control host, about once a second.

    :ivar data_centre: data centre of the router.
    :ivar region: region of that data centre.
    :ivar caller_address: ``ip:port`` for callers.
    :ivar state: whether callers are to use it.
    :ivar board_start: start of the control host's board that the router follows.
    :ivar board_version: version of that board that the router holds.
    """

    data_centre: str
    region: str
    caller_address: str
    state: RouterState
    board_start: int = 0
    board_version: int = 0


@wire_message("hello-reply")
@dataclass(frozen=True)
class HelloReply:
    """What a control host answers to a router.

    :ivar board_start: when its board was begun; another one restarts versions.
    :ivar board_version: version of the board.
    :ivar servers: the whole board; None where the router holds this version.
    :ivar silent: names of servers that no control host heard for a while.
    :ivar routers: number of routers that said hello lately.
    :ivar control_hosts: members of the control group.
    """

    board_start: int
    board_version: int
    servers: tuple[FleetServer, ...] | None
    silent: tuple[str, ...] = ()
    routers: int = 1
    control_hosts: tuple[str, ...] = ()


@wire_message("server-news")
@dataclass(frozen=True)
class ServerNews:
    """Servers that a control host heard of.

    :ivar servers: their newest announcements.
    """

    servers: tuple[FleetServer, ...]
