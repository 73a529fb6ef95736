"""Messages between routers and the host that keeps the limits of servers."""

from dataclasses import dataclass

from almondfield_core.wire import wire_message

__all__ = ["KeepsNoLimits", "LimitReport", "NamedLimit", "Permit", "PermitRequest"]


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
    """

    limit: NamedLimit


@wire_message("permit")
@dataclass(frozen=True)
class Permit:
    """Reply to a :class:`PermitRequest`.

    :ivar is_granted: whether the request may be sent.
    :ivar wait_s: time until one may be sent, in seconds; 0 if this one is granted.
    :ivar is_limited: whether the server has a limit at all.
    """

    is_granted: bool
    wait_s: float = 0.0
    is_limited: bool = True


@wire_message("keeps-no-limits")
@dataclass(frozen=True)
class KeepsNoLimits:
    """Reply of a host that does not lead the control group."""
