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
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class PoolShare:
    """A pool's part of a route's requests.

    :ivar pool: name of the pool.
    :ivar weight: its part beside the weights of the route's other pools.
    """

    pool: str
    weight: float = 1.0


@dataclass(frozen=True)
class RouteRule:
    """Where requests for one domain and path prefix go, and how.

    :ivar name: name of the route, for logs.
    :ivar domain: domain name that the request is addressed to.
    :ivar path_prefix: prefix of the path; it begins and ends with a slash.
    :ivar kind: how often a request may run.
    :ivar shares: pools that take the requests.
    :ivar timeout_s: time in which a request gets its final answer.
    :ivar latency_target_s: time in which an answer, or a stream's first event, is
        worth most to the caller.
    :ivar event_gap_target_s: longest pause between two events of a stream; 0 for none.
    :ivar rank: importance; 0 is the highest.
    :ivar max_attempts: backend servers that one request may be sent to.
    :ivar is_public: whether requests need no team key.
    :ivar is_resumable: whether another server may go on with a broken stream.
    :ivar has_prompt: whether requests name the parts of their prompt.
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


@dataclass(frozen=True)
class EngineLimits:
    """What one server of a model pool can hold.

    :ivar slots: requests that run at a time.
    :ivar cache_tokens: tokens of prompts and answers in memory.
    """

    slots: int
    cache_tokens: int


@dataclass(frozen=True)
class ServerPool:
    """The backend servers behind a name.

    :ivar name: name of the pool.
    :ivar max_connections: connections that one server takes from all callers.
    :ivar health_path: path of the health check.
    :ivar engine: limits of a model engine; None for a plain service.
    """

    name: str
    max_connections: int
    health_path: str = "/healthz"
    engine: EngineLimits | None = None


@dataclass(frozen=True)
class TeamKeys:
    """A team and the keys that name it.

    :ivar team: name of the team.
    :ivar key_hashes: SHA-256 of its keys, in hexadecimal.
    :ivar rank: importance of its requests; None leaves it to the route.
    """

    team: str
    key_hashes: tuple[str, ...]
    rank: int | None = None


@dataclass(frozen=True)
class RequestLimits:
    """Bounds on what callers may send, and on what all teams may use.

    :ivar max_header_bytes: largest header section.
    :ivar max_body_bytes: largest body.
    :ivar head_timeout_s: time in which a request's head must arrive.
    :ivar idle_timeout_s: time that a kept connection may be idle.
    :ivar work_per_s: tokens that the servers of all model pools manage a second, each
        token read counted once and each token generated twice; 0 where not known.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    work_per_s: float = 0.0


@dataclass(frozen=True)
class RoutingTable:
    """All rules at one version.

    :ivar version: the operator's number; the highest one is in force, 0 is none.
    :ivar routes: the routes.
    :ivar pools: the pools that routes name.
    :ivar teams: teams and their keys; without any, requests need no key.
    :ivar limits: bounds on requests.
    """

    version: int = 0
    routes: tuple[RouteRule, ...] = ()
    pools: tuple[ServerPool, ...] = ()
    teams: tuple[TeamKeys, ...] = ()
    limits: RequestLimits = RequestLimits()
