"""Choice of a server by its cached part of a prompt and its waiting work.

Engines cache the prefixes of recent prompts. For one prompt, all routers rank the
servers of a pool in the same order by rendezvous hashing, so that prompts with the same
prefix go to the same server. A server with less waiting work is chosen where that saves
more than the cost of a repeated prefill.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_fairshare.prefix_placement.server_record import ServerRecord

__all__ = ["Candidate", "InFlightRequest", "Placement"]

PREFERRED_SERVERS = 2  # servers that may cache one prompt prefix
OTHER_DATA_CENTRE_SLOTS = 0.3  # busy slots added for another data centre
NEARLY_EQUAL = 1.2  # ratio of expected times; one request more in six slots


@dataclass(frozen=True)
class Candidate:
    """A server that may be chosen.

    :ivar name: identifier of the server.
    :ivar slots: requests that it runs at a time.
    :ivar is_local: whether it is in the router's data centre.
    :ivar is_unresponsive: whether its announcements have stopped for a while.
    """

    name: str
    slots: int
    is_local: bool = False
    is_unresponsive: bool = False


class InFlightRequest:
    """One request in flight, counted in the load of a server.

    :param record: the server's record.
    :param uncached_tokens: uncached prompt tokens of the request.
    """

    def __init__(self, record: ServerRecord, uncached_tokens: int) -> None:
        self._record = record
        self._uncached_tokens = uncached_tokens
        self._ended = False
        record.in_flight += 1
        record.uncached_tokens += uncached_tokens

    def begin_answer(self) -> None:
        """Record that prefill has ended and the answer has begun."""
        self._record.uncached_tokens -= self._uncached_tokens
        self._uncached_tokens = 0

    def end(self) -> None:
        """Remove the request from the server's load; repeated calls have no effect."""
        if not self._ended:
            self._ended = True
            self.begin_answer()
            self._record.in_flight -= 1


class Placement:
    """Records of the servers of all pools, and the choice among the servers.

    :param rng: random numbers that break ties between equal servers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._record_by_name: dict[str, ServerRecord] = {}

    def record(self, name: str) -> ServerRecord:
        """Return the record of a server; create it if there is none.

        :param name: identifier of the server.
        """
        record = self._record_by_name.get(name)
        if record is None:
            record = self._record_by_name[name] = ServerRecord()
        return record

    def avoided_names(self) -> frozenset[str]:
        """Return the servers whose back-off after a failure still lasts."""
        at_s = now()
        records = self._record_by_name.items()
        return frozenset([n for n, record in records if record.avoided_until_s > at_s])

    def prefilling_names(self) -> frozenset[str]:
        """Return the servers that prefill a prompt of this router."""
        records = self._record_by_name.items()
        return frozenset([n for n, record in records if record.uncached_tokens > 0])

    def slowdown_by_server(self) -> dict[str, float]:
        """Return how long work takes at each server now, relative to the usual time."""
        return {name: item.slowdown for name, item in self._record_by_name.items()}

    def retain(self, names: Iterable[str]) -> None:
        """Drop the records of idle servers that are not in use.

        :param names: identifiers of the servers in use.
        """
        names_in_use = set(names)
        for name, record in list(self._record_by_name.items()):
            if name not in names_in_use and not record.in_flight:
                del self._record_by_name[name]

    def choose(
        self,
        candidates: tuple[Candidate, ...],
        prompt: Prompt | None,
        tried: frozenset[str] = frozenset(),
        hint: str = "",
    ) -> Candidate | None:
        """Return the server to send a request to; None if there is none.

        A server that is still prefilling a prompt of this router gets no other one.

        :param candidates: servers of the pool that accept new work.
        :param prompt: prompt of the request; None if it has none.
        :param tried: servers that failed this request already.
        :param hint: server that had the prompt's shared parts last; empty for none.
        """
        usable = [c for c in candidates if c.name not in tried]
        healthy = [
            c
            for c in usable
            if not c.is_unresponsive and not self.record(c.name).is_avoided
        ]
        available = healthy or usable
        if not available:
            return None
        if prompt is not None:
            # Without a scheduler, the prompts of other routers are unknown.
            available = [
                c for c in available if not self.record(c.name).uncached_tokens
            ]
        hinted = next((c for c in available if c.name == hint), None)
        if hinted is not None or not available:
            return hinted
        if prompt is None or len(prompt.parts) < 2:
            return self._choose_by_load(available)
        return self._choose_by_prefix(available, prompt)

    def start(self, candidate: Candidate, prompt: Prompt | None) -> InFlightRequest:
        """Count a request as sent to a server and return its record.

        :param candidate: the server.
        :param prompt: prompt of the request; None if it has none.
        """
        uncached_tokens = prompt.unshared_tokens if prompt else 0
        return InFlightRequest(self.record(candidate.name), uncached_tokens)

    def _choose_by_load(self, candidates: list[Candidate]) -> Candidate:
        """Return the server with the shortest expected time of a request.

        Where servers report how long work takes, all routers know of the same quick
        servers. Any server that takes little longer may be chosen then.
        """
        time_by_name = {c.name: self._relative_time(c) for c in candidates}
        longest = min(time_by_name.values())
        if any(self.record(c.name).slowdown != 1.0 for c in candidates):
            longest *= NEARLY_EQUAL
        nearly_equal = [c for c in candidates if time_by_name[c.name] <= longest]
        return min(nearly_equal, key=lambda c: self._rng.random())

    def _relative_time(self, candidate: Candidate) -> float:
        """Return the expected time of a request, as a multiple of that when idle."""
        record = self.record(candidate.name)
        busy = record.running + record.waiting
        if not candidate.is_local:
            busy += OTHER_DATA_CENTRE_SLOTS
        return (1 + busy / max(1, candidate.slots)) * record.slowdown

    def _choose_by_prefix(
        self, candidates: list[Candidate], prompt: Prompt
    ) -> Candidate:
        shared = prompt.parts[:-1]
        key = shared[-1].part_id
        ranked = sorted(
            candidates, key=lambda c: _rendezvous_score(key, c.name), reverse=True
        )
        shared_tokens = sum(part.tokens for part in shared)

        def cost(index: int) -> float:
            record = self.record(ranked[index].name)
            uncached = 0 if index < PREFERRED_SERVERS else shared_tokens
            replication = shared_tokens / 2 if 0 < index < PREFERRED_SERVERS else 0
            waiting = record.waiting * prompt.input_tokens
            unread = waiting + uncached + prompt.unshared_tokens
            return unread * record.slowdown + replication

        return ranked[min(range(len(ranked)), key=cost)]


def _rendezvous_score(key: str, server: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{server}".encode())
