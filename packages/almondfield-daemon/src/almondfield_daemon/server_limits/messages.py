"""Messages between routers and the host that keeps the limits of servers."""

from dataclasses import dataclass

from almondfield_core.wire import wire_message

__all__ = [
    "ColdReport",
    "KeepsNoLimits",
    "LimitReport",
    "NamedCold",
    "NamedLimit",
    "Permit",
    "PermitRequest",
]


@dataclass(frozen=True)
class NamedLimit:
    """What one start of a server says about the requests that it takes.

    :ivar server: identifier of the server.
    :ivar born_ms: when it started, in milliseconds since 1970.
    :ivar per_s: requests a second from all routers together; None if it names no limit
        any more.
    :ivar age_s: time since it said so, or since the request was sent in whose answer it
        named none, in seconds.
    """

    server: str
    born_ms: int
    per_s: float | None
    age_s: float = 0.0


@dataclass(frozen=True)
class NamedCold:
    """How long one start of a server stays cold.

    :ivar server: identifier of the server.
    :ivar born_ms: when it started, in milliseconds since 1970.
    :ivar left_s: how long it stays cold from now, in seconds; 0 if it is warm.
    :ivar age_s: time since it said so, in seconds.
    :ivar is_assumed: whether a control host assumes it without the server's word.
    :ivar part_s: how long the router that is told this may send one request a second to
        the server while it is cold and no leader answers, in seconds from the router's
        question.
    """

    server: str
    born_ms: int
    left_s: float
    age_s: float = 0.0
    is_assumed: bool = False
    part_s: float = 0.0


@wire_message("cold-report")
@dataclass(frozen=True)
class ColdReport:
    """Cold times that answers of servers named to a router.

    :ivar items: the cold times.
    """

    items: tuple[NamedCold, ...]


@wire_message("limit-report")
@dataclass(frozen=True)
class LimitReport:
    """Limits that servers named to a router, or do not name any more.

    :ivar items: the limits.
    """

    items: tuple[NamedLimit, ...]


@wire_message("permit-ask")
@dataclass(frozen=True)
class PermitRequest:
    """Question of a router that is about to send a request to a limited server.

    :ivar limit: the limit as the router knows it.
    :ivar is_cold: whether the server is cold as far as the router knows.
    :ivar cold: what an answer to the router said of the server's cold time.
    """

    limit: NamedLimit
    is_cold: bool = False
    cold: NamedCold | None = None


@wire_message("permit")
@dataclass(frozen=True)
class Permit:
    """Reply to a :class:`PermitRequest`.

    :ivar is_granted: whether the request may be sent.
    :ivar wait_s: time until one may be sent, in seconds; 0 if this one is granted.
    :ivar is_limited: whether the server has a limit at all.
    :ivar cold: the server's cold time as the leader knows it.
    """

    is_granted: bool
    wait_s: float = 0.0
    is_limited: bool = True
    cold: NamedCold | None = None


@wire_message("keeps-no-limits")
@dataclass(frozen=True)
class KeepsNoLimits:
    """Reply of a host that does not lead the control group."""
