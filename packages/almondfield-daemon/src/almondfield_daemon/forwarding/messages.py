"""Data classes of a request that a router forwards."""

from dataclasses import dataclass
from functools import cached_property

from almondfield_core.routing import Prompt, RequestLimits, RouteRule
from almondfield_daemon.quarantine import request_digests, shared_parts
from almondfield_daemon.router.calls import Header
from almondfield_daemon.server_notices import ServerNotice

__all__ = [
    "AnswerMetadata",
    "CallMetadata",
    "ForwardRequest",
    "RequestMetadata",
    "ServerLoad",
    "UnreadTime",
]


@dataclass(frozen=True)
class RequestMetadata:
    """Metadata from the head of a caller's request.

    :ivar request_id: identifier of this attempt of the caller.
    :ivar deadline_s: seconds that the caller waits; None if it sent no deadline.
    :ivar key: team key; empty without one.
    :ivar last_event_id: last event of the stream that the caller received; empty for
        none.
    :ivar first_request_id: the caller's attempt that brought the first event of the
        stream that this one takes up; empty for none.
    :ivar prompt: prompt of a request to a model engine; None if the head names none.
    """

    request_id: str
    deadline_s: float | None = None
    key: str = ""
    last_event_id: str = ""
    first_request_id: str = ""
    prompt: Prompt | None = None

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the caller has events of the stream already."""
        return bool(self.last_event_id or self.first_request_id)


@dataclass(frozen=True)
class CallMetadata:
    """Metadata that the router adds to a request for one backend server.

    :ivar server: name of the only server that may run it.
    :ivar deadline_s: seconds until the deadline.
    :ivar team: team of the caller; empty without one.
    :ivar last_event_id: last event that the caller received; empty for none.
    """

    server: str
    deadline_s: float
    team: str = ""
    last_event_id: str = ""


@dataclass(frozen=True)
class ServerLoad:
    """Load that a backend server reports with an answer.

    :ivar running: requests that are running.
    :ivar waiting: requests that wait for a slot.
    :ivar slots: requests that it can run concurrently.
    :ivar slowdown: time that work takes on its machine at this moment, as a multiple of
        the usual time; None if it reported none.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True)
class AnswerMetadata:
    """Metadata from the head of a backend server's answer.

    :ivar request_id: request that it answers; empty if the head names none.
    :ivar is_signed: whether it has the server's signature.
    :ivar was_not_run: whether the server reported that it did not run the request.
    :ivar is_encoded: whether a content encoding changed the bytes of its body.
    :ivar load: load of the server; None if it reported none.
    :ivar notices: what the server says about further work.
    """

    request_id: str = ""
    is_signed: bool = False
    was_not_run: bool = False
    is_encoded: bool = False
    load: ServerLoad | None = None
    notices: tuple[ServerNotice, ...] = ()


@dataclass(frozen=True)
class UnreadTime:
    """How long a request had been in the socket when its handler started.

    :ivar least_s: lower bound in seconds.
    :ivar most_s: upper bound in seconds.
    :ivar is_first: whether it is the first request of its connection.
    """

    least_s: float
    most_s: float
    is_first: bool


@dataclass(frozen=True)
class ForwardRequest:
    """A caller's request with its whole body and the route rule that it matches.

    :ivar method: HTTP method.
    :ivar target: path and query as sent.
    :ivar headers: headers as sent.
    :ivar metadata: metadata from the headers.
    :ivar route: the rule.
    :ivar pool: pool that the request is sent to.
    :ivar table_version: version of the routing table with the rule.
    :ivar team: team of the caller; empty without one.
    :ivar arrived_s: earliest time at which it can have arrived, in seconds of the
        loop's clock.
    :ivar waited_s: seconds that its caller had waited before, estimated from its
        deadline.
    :ivar until_s: when the caller's deadline or the rule's timeout ends it, in seconds
        of the loop's clock.
    :ivar body: the whole body.
    :ivar stream_version: software version at which a stream that the caller takes up
        has to go on; None for other requests.
    :ivar is_checked: whether held refusals were considered when its head was read.
    :ivar unread: how long it was in the socket before; None where that is unknown.
    :ivar max_body_bytes: largest body, by the table that was in force when its head was
        read.
    :ivar allowed_regions: regions whose servers may get it; None for all.
    """

    method: str
    target: bytes
    headers: tuple[Header, ...]
    metadata: RequestMetadata
    route: RouteRule
    pool: str
    table_version: int
    team: str
    arrived_s: float
    until_s: float
    waited_s: float = 0.0
    body: bytes = b""
    stream_version: str | None = None
    is_checked: bool = False
    unread: UnreadTime | None = None
    max_body_bytes: int = RequestLimits.max_body_bytes
    allowed_regions: frozenset[str] | None = None

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the caller has events of the stream already."""
        return self.metadata.takes_up_stream

    @cached_property
    def digests(self) -> tuple[str, ...]:
        """Return the digests by which the whole request is recognised."""
        return request_digests(
            self.method,
            self.route.domain,
            self.target,
            self.team,
            self.body,
            self.metadata.prompt,
        )

    @cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of its prompt that others may share."""
        return shared_parts(self.metadata.prompt)

    @property
    def parts(self) -> tuple[str, ...]:
        """Return all by which the request may be quarantined."""
        return self.shared_parts + self.digests
