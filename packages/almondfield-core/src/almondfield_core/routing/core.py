"""Data classes of the routing table."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "EngineLimits",
    "PoolShare",
    "RequestKind",
    "RequestLimits",
    "RouteRule",
    "RoutingTable",
    "ServerPool",
    "TeamKeys",
]


class RequestKind(StrEnum):
    """Kind of a request, which limits how often it may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class PoolShare:
    """A pool's share of a route's requests.

    :ivar pool: name of the pool.
    :ivar weight: weight of the pool, relative to the route's other pools.
    """

    pool: str
    weight: float = 1.0


@dataclass(frozen=True)
class RouteRule:
    """Where requests for one domain and path prefix go, and how.

    :ivar name: name of the route, for logs.
    :ivar domain: domain name that the request is addressed to.
    :ivar path_prefix: prefix of the path; it begins and ends with a slash.
    :ivar kind: kind of the requests, which limits how often one may run.
    :ivar shares: pools that serve the requests, with their weights.
    :ivar timeout_s: longest time to the end of the answer.
    :ivar latency_target_s: target time to the answer, or to a stream's first event,
        after which the answer is worth less to the caller.
    :ivar event_gap_target_s: target for the longest pause between two events of a
        stream; 0 for none.
    :ivar rank: priority; 0 is the highest.
    :ivar max_attempts: most backend servers that one request may be sent to.
    :ivar is_public: whether requests need no team key.
    :ivar is_resumable: whether another server may continue a broken stream.
    :ivar has_prompt: whether requests describe the parts of their prompt.
    :ivar allowed_regions: regions in which requests may be processed; None for all.
    """

    name: str
    domain: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[PoolShare, ...]
    timeout_s: float
    latency_target_s: float
    event_gap_target_s: float = 0.0
    rank: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    allowed_regions: tuple[str, ...] | None = None

    @property
    def may_run_again(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.is_resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


@dataclass(frozen=True)
class EngineLimits:
    """Capacity of one server of a model pool.

    :ivar slots: most requests that run concurrently.
    :ivar cache_tokens: most tokens of prompts and answers held in memory.
    """

    slots: int
    cache_tokens: int


@dataclass(frozen=True)
class ServerPool:
    """A named pool of backend servers.

    :ivar name: name of the pool.
    :ivar max_connections: most connections that one server accepts from all callers.
    :ivar health_path: path of the health check.
    :ivar engine: limits of a model engine; None for a plain service.
    :ivar cold_start_s: how long a server is cold after a start, in seconds.
    :ivar warmup_per_s: requests a second that a cold server tolerates; 0 if its
        servers don't become cold.
    """

    name: str
    max_connections: int
    health_path: str = "/healthz"
    engine: EngineLimits | None = None
    cold_start_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclass(frozen=True)
class TeamKeys:
    """A team and the keys that identify it.

    :ivar team: name of the team.
    :ivar key_hashes: SHA-256 of its keys, in hexadecimal.
    :ivar rank: priority of its requests; None for the rank of the route.
    :ivar allowed_regions: regions in which its requests may be processed; None for all.
    """

    team: str
    key_hashes: tuple[str, ...]
    rank: int | None = None
    allowed_regions: tuple[str, ...] | None = None


@dataclass(frozen=True)
class RequestLimits:
    """Limits of callers' requests, and the capacity that all teams share.

    :ivar max_header_bytes: largest header section of a request.
    :ivar max_body_bytes: largest body of a request.
    :ivar head_timeout_s: time in which a request's head must arrive.
    :ivar idle_timeout_s: longest time that a keep-alive connection may be idle.
    :ivar work_per_s: tokens that the servers of all model pools can process per second;
        a prefill token counts once, a generated token twice; 0 if unknown.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    work_per_s: float = 0.0


@dataclass(frozen=True)
class RoutingTable:
    """The whole routing table at one version.

    :ivar version: number chosen by the operator; the highest one is in force; 0 for
        no table.
    :ivar routes: the routes.
    :ivar pools: the pools that routes name.
    :ivar teams: teams and their keys; if empty, requests need no key.
    :ivar limits: limits of requests.
    """

    version: int = 0
    routes: tuple[RouteRule, ...] = ()
    pools: tuple[ServerPool, ...] = ()
    teams: tuple[TeamKeys, ...] = ()
    limits: RequestLimits = RequestLimits()
