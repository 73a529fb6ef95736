"""Messages between routers and a pool's scheduler: demand and slot grants."""

from dataclasses import dataclass, field
from enum import StrEnum

from almondfield_core.wire import wire_message

__all__ = [
    "DemandReport",
    "InFlight",
    "NotRun",
    "NotRunReason",
    "ServerFailure",
    "ServerSlots",
    "SlotGrant",
    "SlotRequest",
]


@dataclass(frozen=True)
class SlotRequest:
    """A request's demand for a slot of its pool.

    :ivar pool: name of the pool.
    :ivar team: name of the team.
    :ivar route: path prefix of the route; costs are estimated per (team, route).
    :ivar weight: weight of the team in the pool.
    :ivar queue_limit: most requests of the team that may wait in this router.
    :ivar queue_deadline_s: longest wait of the request, in seconds.
    :ivar body_bytes: size of the body held in memory during the wait, in bytes.
    :ivar avoid: names of servers on which this request has already failed.
    """

    pool: str
    team: str
    route: str
    weight: float = 1.0
    queue_limit: int = 256
    queue_deadline_s: float = 30.0
    body_bytes: int = 0
    avoid: tuple[str, ...] = ()


class NotRunReason(StrEnum):
    """Why a request was certainly not run."""

    QUEUE_FULL = "queue-full"
    QUEUE_DEADLINE = "queue-deadline"
    STALE_TABLES = "stale-tables"
    DRAINING = "draining"
    NO_CAPACITY = "no-capacity"
    CONTROL_UNAVAILABLE = "control-unavailable"
    MEMORY = "memory"


@dataclass(frozen=True)
class NotRun:
    """The outcome of a request that was certainly not run.

    :ivar reason: why.
    :ivar retry_after_s: seconds after which a retry may succeed; 0 if another host
        may accept the request at once.
    """

    reason: NotRunReason
    retry_after_s: float = 0.0


class ServerFailure(StrEnum):
    """How a call to a backend server failed."""

    CONNECT = "connect"
    FIRST_BYTE = "first-byte"
    STREAM = "stream"
    REFUSED = "refused"


@dataclass(frozen=True)
class ServerSlots:
    """Slots of one backend server that a router may use.

    :ivar name: name of the server.
    :ivar incarnation: incarnation of the server.
    :ivar address: ``host:port`` where it takes requests.
    :ivar slots: requests that the router may have in flight on it.
    :ivar resumes_streams: whether it can resume streams.
    """

    name: str
    incarnation: int
    address: str
    slots: int
    resumes_streams: bool = False


@dataclass(frozen=True)
class InFlight:
    """Requests of a team that a router has in flight on a server.

    :ivar server: name of the server.
    :ivar team: name of the team.
    :ivar count: number of requests.
    """

    server: str
    team: str
    count: int


@wire_message("demand-report")
@dataclass(frozen=True)
class DemandReport:
    """Full state of one router in one pool, sent from router to scheduler.

    A lost report only causes a delay, as the next one has the full state again.

    :ivar pool: name of the pool.
    :ivar epoch: epoch of the newest pool lease that the router has received.
    :ivar incarnation: number that increases with each start of the router.
    :ivar number: number of the report, increasing within the incarnation.
    :ivar grant_number: number of the newest grant that the router applied.
    :ivar waiting_by_team: waiting requests by team.
    :ivar weight_by_team: weights other than 1, of teams with waiting or running
        requests.
    :ivar in_flight: running requests by server and team.
    :ivar service_by_team: slot-seconds used since the incarnation began, including
        those of running requests so far; omits teams whose total has not changed
        since the report that the newest grant answers.
    :ivar failures_by_server: failed calls since the incarnation began.
    :ivar finished: requests finished since the incarnation began.
    :ivar counter_by_team: counters received from an earlier scheduler, plus what the
        router has charged since; only in the first reports of an epoch.
    :ivar given_back_by_server: slots of the grant ``grant_number`` that the router
        returns unused; in the first reports of an epoch, the slots that the
        scheduler of the previous epoch had granted.
    """

    pool: str
    epoch: int
    incarnation: int
    number: int
    grant_number: int
    waiting_by_team: dict[str, int] = field(default_factory=dict)
    weight_by_team: dict[str, float] = field(default_factory=dict)
    in_flight: tuple[InFlight, ...] = ()
    service_by_team: dict[str, float] = field(default_factory=dict)
    failures_by_server: dict[str, int] = field(default_factory=dict)
    finished: int = 0
    counter_by_team: dict[str, float] = field(default_factory=dict)
    given_back_by_server: dict[str, int] = field(default_factory=dict)


@wire_message("slot-grant")
@dataclass(frozen=True)
class SlotGrant:
    """Slots that a router may use, sent from scheduler to router.

    Each grant replaces the previous one. Slots that it no longer includes are
    released when their requests finish; a running request keeps its slot.

    :ivar pool: name of the pool.
    :ivar epoch: epoch of the scheduler's pool lease.
    :ivar number: number of the grant, increasing within (epoch, router).
    :ivar lifetime_s: seconds during which the router may start requests, counted from
        when it sent the report that the grant answers, so that network delay cannot
        extend a grant beyond the end that its scheduler assumes.
    :ivar backlogged: whether requests wait because the pool has too few slots.
    :ivar servers: slots by server.
    :ivar counter_by_team: weighted service of the teams that wait at the router,
        relative to the lowest backlogged team, in slot-seconds per weight.
    :ivar report_window_s: interval of the following reports, in seconds.
    :ivar incarnation: incarnation of the router that the grant answers.
    :ivar report_number: number of the report that the grant answers; 0 if it answers
        none, in which case it has no slots.
    """

    pool: str
    epoch: int
    number: int
    lifetime_s: float
    backlogged: bool
    servers: tuple[ServerSlots, ...] = ()
    counter_by_team: dict[str, float] = field(default_factory=dict)
    report_window_s: float = 0.1
    incarnation: int = 0
    report_number: int = 0
