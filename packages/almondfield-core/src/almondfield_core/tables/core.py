"""Rows of the two tables, and the tables as a whole."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Pool", "PoolKind", "Route", "Selector", "Tables", "Timeouts", "hash_key"]


class PoolKind(StrEnum):
    """What the backend servers of a pool run."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True)
class Selector:
    """Selects the backend servers of a pool; an empty item matches any server.

    :ivar model: name of the model that the server has loaded.
    :ivar version: version of that model.
    :ivar adapters: adapters, all of which the server must have loaded.
    :ivar label_by_name: labels, all of which the server must announce.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    label_by_name: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Timeouts:
    """Timeouts of a router's calls to a backend server, in seconds.

    :ivar connect_s: longest time to connect.
    :ivar first_byte_s: longest time from the request's last byte to the answer's first.
    :ivar chunk_s: longest time between two chunks of an answer.
    """

    connect_s: float = 1.0
    first_byte_s: float = 30.0
    chunk_s: float = 10.0


@dataclass(frozen=True)
class Pool:
    """One row of the pools table: a named pool of backend servers.

    :ivar name: name that routes refer to.
    :ivar kind: what its servers run.
    :ivar selects: which backend servers belong to it.
    :ivar wanted_servers: number of servers that the fleet orders for it; 0 for none.
    :ivar max_slots_per_server: most concurrent requests on one server; 0 for the
        number that the server announces.
    :ivar timeouts: timeouts of calls to its servers.
    :ivar typical_cost: initial estimate of a request's cost, in slot-seconds.
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
    """One row of the routes table: sends a team's requests under a path to a pool.

    :ivar team: name of the team.
    :ivar path_prefix: prefix of the request's path; the longest match applies.
    :ivar pool: name of the pool.
    :ivar key_hashes: SHA-256 of the team's keys, in hexadecimal; a key in one route of
        a team is valid for all its routes.
    :ivar weight: weight of the team in the pool, relative to the other teams.
    :ivar idempotent_methods: HTTP methods that may be sent more than once.
    :ivar queue_limit: most requests of the team that may wait in one router.
    :ivar queue_deadline_s: longest wait of a request for a slot, in seconds.
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

    :ivar revision: number of changes accepted so far; 0 for the initial empty tables.
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
