"""Messages between routers and control hosts about the origins of streams."""

from dataclasses import dataclass

from almondfield_core.wire import wire_message

__all__ = ["OriginQuery", "OriginReply", "OriginReport", "StreamOrigin"]


@dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began.

    :ivar request_id: the caller's attempt that brought the first event.
    :ivar pool: pool of the server that sent it.
    :ivar server: name of that server.
    :ivar version: version of its software.
    :ivar keep_s: seconds for which the caller may still take the stream up.
    :ivar age_s: seconds since that event.
    :ivar born_ms: latest start of that server which the router knew then, in
        milliseconds since 1970.
    """

    request_id: str
    pool: str
    server: str
    version: str
    keep_s: float
    age_s: float = 0.0
    born_ms: int = 0


@wire_message("origin-report")
@dataclass(frozen=True)
class OriginReport:
    """Origins of streams, sent by the router that delivers them.

    :ivar origins: the origins.
    """

    origins: tuple[StreamOrigin, ...]


@wire_message("origin-query")
@dataclass(frozen=True)
class OriginQuery:
    """Query for the origin of a stream.

    :ivar request_id: the caller's attempt that brought the first event; empty if the
        caller named none.
    :ivar pool: pool that the stream probably began in.
    :ivar lookback_s: longest time since the stream may have begun, in seconds.
    """

    request_id: str
    pool: str
    lookback_s: float = 20.0


@wire_message("origin-reply")
@dataclass(frozen=True)
class OriginReply:
    """Reply to an :class:`OriginQuery`.

    :ivar origin: the origin; None if this host doesn't know it.
    :ivar versions: versions that served in the pool within that time, as this host
        knows.
    :ivar is_complete: whether this host has been up for that time, and keeps it.
    """

    origin: StreamOrigin | None
    versions: tuple[str, ...]
    is_complete: bool
