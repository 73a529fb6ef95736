"""Rows of the two tables, and the tables as a whole."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Pool", "PoolKind", "Route", "Selector", "Tables", "Timeouts", "hash_key"]


class PoolKind(StrEnum):
    """What stands behind a pool."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True)
class Selector:
    """Which backend servers belong to a pool; an empty item selects any.

    :ivar model: name of the model that the server has loaded.
    :ivar version: version of that model.
    :ivar adapters: adapters that the server must have loaded, all of them.
    :ivar label_by_name: labels that the server must announce, all of them.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    label_by_name: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Timeouts:
    """How long a router waits for a backend server, in seconds.

    :ivar connect_s: for the connection.
    :ivar first_byte_s: from the request's last byte to the answer's first.
    :ivar chunk_s: between two chunks of an answer.
    """

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    chunk_s: float = 10.0


@dataclass(frozen=True)
class Pool:
    """One row of the pools table: the capacity behind a name.

    :ivar name: name that routes refer to.
    :ivar kind: what stands behind the pool.
    :ivar selects: which backend servers belong to it.
    :ivar wanted_servers: servers that the fleet orders for it; 0 orders none.
    :ivar max_slots_per_server: requests at a time on one server, at most; 0 leaves
        it to what the server announces.
    :ivar timeouts: timeouts of calls to its servers.
    :ivar typical_cost: first estimate of a request's cost, in seconds of a slot.
    """

    name: str
    kind: PoolKind = PoolKind.MODEL
    selects: Selector = Selector()
    wanted_servers: int = 0
    max_slots_per_server: int = 0
    timeouts: Timeouts = Timeouts()
    typical_cost: float = 1.0


@dataclass(frozen=True)
class Route:
    """One row of the routes table: a team's requests under a path to a pool.

    :ivar team: name of the team.
    :ivar path_prefix: prefix of the request's path; the longest one wins.
    :ivar pool: name of the pool.
    :ivar key_hashes: SHA-256 of the team's keys, in hexadecimal; a key named in one
        route of a team holds for all of them.
    :ivar weight: share of the team in the pool beside the other teams' weights.
    :ivar idempotent_methods: HTTP methods that may be sent more than once.
    :ivar queue_limit: requests of the team that may wait in one router.
    :ivar queue_deadline_s: seconds that a request may wait for a slot.
    """

    team: str
    path_prefix: str
    pool: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    queue_limit: int = 256
    queue_deadline_s: float = 30.0


@dataclass(frozen=True)
class Tables:
    """Both tables at one revision.

    :ivar revision: number of accepted changes that led here; 0 is the empty start.
    :ivar pools: rows of the pools table.
    :ivar routes: rows of the routes table.
    """

    revision: int = 0
    pools: tuple[Pool, ...] = ()
    routes: tuple[Route, ...] = ()


def hash_key(key: str) -> str:
    """Return the SHA-256 of a team's key in hexadecimal.

    :param key: the key as the caller presents it.
    """
    return hashlib.sha256(key.encode()).hexdigest()
