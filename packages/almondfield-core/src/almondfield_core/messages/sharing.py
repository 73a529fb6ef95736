"""Demand and grants between routers and the scheduler of a pool."""

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
    """What a request needs of its pool.

    :ivar pool: name of the pool.
    :ivar team: name of the team.
    :ivar route: path prefix of the route; costs are estimated by (team, route).
    :ivar weight: weight of the team in the pool.
    :ivar queue_limit: requests of the team that may wait in this router.
    :ivar queue_deadline_s: seconds that the request may wait.
    :ivar body_bytes: size of the body that is held while it waits, in bytes.
    :ivar avoid: names of servers that failed this request already.
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
    """Certainty that a request was not run.

    :ivar reason: why.
    :ivar retry_after_s: seconds after which another try may succeed; 0 where
        another host may take it at once.
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
    :ivar resumes_streams: whether it resumes streams.
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
    """Full state of one router in one pool, from router to scheduler.

    A lost report costs nothing but time: the next one replaces it.

    :ivar pool: name of the pool.
    :ivar epoch: epoch of the pool lease that the router knows.
    :ivar incarnation: number that grows with each start of the router.
    :ivar number: number of the report, growing within the incarnation.
    :ivar grant_number: number of the newest grant that the router applied.
    :ivar waiting_by_team: requests that wait, by team.
    :ivar weight_by_team: weight of each team that waits or runs, where it is not 1.
    :ivar in_flight: requests that run, by server and team.
    :ivar service_by_team: slot-seconds used since the incarnation began, with what
        running requests have used so far; without teams whose total is that of the
        report that the newest grant answers.
    :ivar failures_by_server: calls that failed since the incarnation began.
    :ivar finished: requests finished since the incarnation began.
    :ivar counter_by_team: counters that an earlier scheduler gave, with what the
        router charged since; only in the first reports of an epoch.
    :ivar given_back_by_server: slots of the grant ``grant_number`` that the router
        gives back unused; in the first reports of an epoch, the slots that it had
        from the scheduler of the epoch before.
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
    """Slots that a router may use, from scheduler to router.

    Each grant replaces the one before it. Slots beyond it run out as their
    requests finish; none is taken from a running request.

    :ivar pool: name of the pool.
    :ivar epoch: epoch of the scheduler's pool lease.
    :ivar number: number of the grant, growing within (epoch, router).
    :ivar lifetime_s: seconds during which it may start requests, counted from when
        the router sent the report that the grant answers, so that no delay on the
        way makes a grant last longer than its scheduler reckons.
    :ivar backlogged: whether work waits that the pool's slots cannot take.
    :ivar servers: slots by server.
    :ivar counter_by_team: weighted service of the teams that wait at the router,
        relative to the lowest backlogged team, in slot-seconds per weight.
    :ivar report_window_s: seconds between two reports from now on.
    :ivar incarnation: incarnation of the router that the grant answers.
    :ivar report_number: number of the report that the grant answers; 0 where it
        answers none, and then it has no slots.
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
