"""Chooses a server by what it keeps of a prompt and by how much waits there.

Engines keep parts of prompts that they read lately. All routers rank the servers of a
pool alike for one prompt, so that prompts with the same parts meet at one server; one
with less waiting work is taken where that outweighs reading the prompt anew.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from almondfield_core.routing import Prompt
from almondfield_fairshare.prefix_placement.server_record import ServerRecord

__all__ = ["Candidate", "Placement", "Ticket"]

RANKED_SERVERS = 2  # servers that may come to keep one prompt's parts
OTHER_DATA_CENTRE_SLOTS = 0.3  # busy slots that a call within the data centre outweighs


@dataclass(frozen=True)
class Candidate:
    """A server that may be chosen.

    :ivar name: its identifier.
    :ivar slots: requests that it runs at a time.
    :ivar is_near: whether it stands in the router's data centre.
    :ivar is_silent: whether it has not announced itself for a while.
    """

    name: str
    slots: int
    is_near: bool = False
    is_silent: bool = False


class Ticket:
    """One request's part in the load of a server.

    :param record: the server's record.
    :param unread_tokens: prompt tokens that the server has to read for it.
    """

    def __init__(self, record: ServerRecord, unread_tokens: int) -> None:
        self._record = record
        self._unread_tokens = unread_tokens
        self._ended = False
        record.in_flight += 1
        record.unread_tokens += unread_tokens

    def begin_answer(self) -> None:
        """Note that the prompt was read and the answer has begun."""
        self._record.unread_tokens -= self._unread_tokens
        self._unread_tokens = 0

    def end(self) -> None:
        """Note that the server has the request no more."""
        if not self._ended:
            self._ended = True
            self.begin_answer()
            self._record.in_flight -= 1


class Placement:
    """Servers of all pools with their records, and the choice among them.

    :param chance: breaks ties between equal servers.
    """

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._record_by_name: dict[str, ServerRecord] = {}

    def record(self, name: str) -> ServerRecord:
        """Return the record of a server.

        :param name: its identifier.
        """
        return self._record_by_name.setdefault(name, ServerRecord())

    def forget_all_but(self, names: Iterable[str]) -> None:
        """Drop the records of idle servers that are not named.

        :param names: identifiers of the servers in use.
        """
        kept = set(names)
        for name, record in list(self._record_by_name.items()):
            if name not in kept and not record.in_flight:
                del self._record_by_name[name]

    def choose(
        self,
        candidates: tuple[Candidate, ...],
        prompt: Prompt | None,
        tried: frozenset[str] = frozenset(),
        hint: str = "",
    ) -> Candidate | None:
        """Return the server to send a request to; None where there is none.

        A server that still reads a prompt of this router gets no other one.

        :param candidates: servers of the pool that take new work.
        :param prompt: prompt of the request, if it tells one.
        :param tried: servers that failed this request already.
        :param hint: server that had the prompt's shared parts last; empty for none.
        """
        usable = [c for c in candidates if c.name not in tried]
        sound = [
            c for c in usable if not c.is_silent and not self.record(c.name).is_avoided
        ]
        choice = sound or usable
        if not choice:
            return None
        if prompt is not None:
            # Without a scheduler nobody knows what the other routers have sent.
            choice = [c for c in choice if not self.record(c.name).unread_tokens]
        remembered = next((c for c in choice if c.name == hint), None)
        if remembered is not None or not choice:
            return remembered
        if prompt is None or len(prompt.parts) < 2:
            return min(choice, key=self._business)
        return self._by_prompt(choice, prompt)

    def start(self, candidate: Candidate, prompt: Prompt | None) -> Ticket:
        """Return the ticket of a request that is sent to a server.

        :param candidate: the server.
        :param prompt: prompt of the request, if it tells one.
        """
        unread_tokens = prompt.own_tokens if prompt else 0
        return Ticket(self.record(candidate.name), unread_tokens)

    def _business(self, candidate: Candidate) -> tuple[float, float]:
        record = self.record(candidate.name)
        busy = record.running + record.waiting
        if not candidate.is_near:
            busy += OTHER_DATA_CENTRE_SLOTS
        return busy / max(1, candidate.slots), self._chance.random()

    def _by_prompt(self, candidates: list[Candidate], prompt: Prompt) -> Candidate:
        shared = prompt.parts[:-1]
        key = shared[-1].part_id
        ranked = sorted(candidates, key=lambda c: _rank(key, c.name), reverse=True)
        shared_tokens = sum(part.tokens for part in shared)

        def cost(place: int) -> float:
            record = self.record(ranked[place].name)
            unread = 0 if place < RANKED_SERVERS else shared_tokens
            move = shared_tokens / 2 if 0 < place < RANKED_SERVERS else 0
            waiting = record.waiting * prompt.input_tokens
            return waiting + unread + move

        return ranked[min(range(len(ranked)), key=cost)]


def _rank(key: str, server: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{server}".encode())
