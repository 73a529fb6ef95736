"""Messages between hosts about routers and backend servers."""

from dataclasses import dataclass
from enum import StrEnum

from almondfield_core.wire import wire_message
from almondfield_daemon.server_limits.messages import NamedCold, NamedLimit

__all__ = [
    "FleetServer",
    "HelloReply",
    "RouterHello",
    "RouterState",
    "ServerPhase",
    "ServerUpdate",
]


class ServerPhase(StrEnum):
    """Phase of a backend server, which decides whether it gets new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class RouterState(StrEnum):
    """State of a router; callers use only ready ones."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class FleetServer:
    """A backend server as described by its announcement.

    :ivar name: identifier of the server; a restarted server may use the same one.
    :ivar pool: name of the pool that it belongs to.
    :ivar address: ``ip:port`` where it takes requests.
    :ivar data_centre: data centre where it runs.
    :ivar slots: maximum number of concurrent requests.
    :ivar phase: its phase.
    :ivar born_ms: start time, in milliseconds since 1970.
    :ivar sequence: sequence number of the announcement, increasing from each start.
    :ivar cold_left_s: seconds until the end of its slow warm-up.
    :ivar version: version of its software, without any order; empty if unknown.
    :ivar has_cold_time: whether ``cold_left_s`` can be used; otherwise the last known
        cold time stays in force.
    :ivar cold_age_s: how long ago ``cold_left_s`` was said, in seconds.
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
    version: str = ""
    has_cold_time: bool = True
    cold_age_s: float = 0.0


@wire_message("router-hello")
@dataclass(frozen=True)
class RouterHello:
    """Heartbeat of a router to a control host, sent about once a second.

    :ivar data_centre: data centre of the router.
    :ivar region: region of that data centre.
    :ivar caller_address: ``ip:port`` for callers.
    :ivar state: state of the router.
    :ivar board_start: incarnation of the control host whose registry the router
        holds; 0 before the first reply.
    :ivar board_version: version of the registry that the router holds.
    :ivar cores: processor cores that the router may use; 0 if it doesn't tell.
    :ivar connections: open connections of callers.
    :ivar running: requests in work.
    :ivar loop_delay_s: longest recent delay of its event loop, in seconds.
    """

    data_centre: str
    region: str
    caller_address: str
    state: RouterState
    board_start: int = 0
    board_version: int = 0
    cores: float = 0.0
    connections: int = 0
    running: int = 0
    loop_delay_s: float = 0.0


@wire_message("hello-reply")
@dataclass(frozen=True)
class HelloReply:
    """Reply of a control host to a :class:`RouterHello`.

    :ivar board_start: incarnation of the control host; versions of its server
        registry start again with each incarnation.
    :ivar board_version: version of the registry.
    :ivar servers: all servers of the registry; None if the router has this version.
    :ivar silent: names of unresponsive servers, without a recent announcement.
    :ivar routers: number of routers that sent a hello recently.
    :ivar control_hosts: members of the control group.
    :ivar limits: limits that servers named, if the host leads the control group.
    :ivar cold: cold times of servers, and the router's parts of their rates, if the
        host leads the control group.
    """

    board_start: int
    board_version: int
    servers: tuple[FleetServer, ...] | None
    silent: tuple[str, ...] = ()
    routers: int = 1
    control_hosts: tuple[str, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    cold: tuple[NamedCold, ...] = ()


@wire_message("server-news")
@dataclass(frozen=True)
class ServerUpdate:
    """Announcements of backend servers, relayed by a control host.

    :ivar servers: the latest announcement of each server.
    """

    servers: tuple[FleetServer, ...]
