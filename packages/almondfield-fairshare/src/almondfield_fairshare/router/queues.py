"""Bounded first-in first-out queues, one for each team."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from result import Err, Result

from almondfield_core.messages import NotRun, NotRunReason, SlotRequest
from almondfield_core.ports import Slot

__all__ = ["QueueMemory", "TeamQueues", "Waiter"]


@dataclass(frozen=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    :ivar request: what it needs.
    :ivar answer: future of the slot, or of the reason why there is none.
    :ivar since_s: time at which it began to wait.
    :ivar number: sequence number of its arrival at the router.
    """

    request: SlotRequest
    answer: asyncio.Future[Result[Slot, NotRun]]
    since_s: float
    number: int

    def refuse(self, reason: NotRun) -> None:
        """Answer that the request was not run, unless it is answered or cancelled."""
        if not self.answer.done():
            self.answer.set_result(Err(reason))


class QueueMemory:
    """Limits on the waiting requests of a router, shared fairly by the teams.

    :param max_requests: number of requests that may wait, over all pools.
    :param max_bytes: total size of their bodies, in bytes.
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._requests = 0
        self._bytes = 0
        self._share_by_team: dict[str, float] = {}

    @property
    def requests(self) -> int:
        """Return how many requests wait."""
        return self._requests

    @property
    def body_bytes(self) -> int:
        """Return the size of the bodies that wait, in bytes."""
        return self._bytes

    def fits(self, request: SlotRequest) -> bool:
        """Return whether a request fits without evicting another one.

        :param request: request to be queued.
        """
        return (
            self._requests < self._max_requests
            and self._bytes + request.body_bytes <= self._max_bytes
        )

    def largest_team(self, request: SlotRequest) -> str:
        """Return the team that uses most of the memory, with the request counted.

        :param request: a request that does not fit.
        """
        share_by_team = dict(self._share_by_team)
        own = share_by_team.get(request.team, 0.0) + self._share(request)
        share_by_team[request.team] = own
        return max(share_by_team, key=lambda team: (share_by_team[team], team))

    def add(self, request: SlotRequest) -> None:
        """Count a request that waits."""
        self._requests += 1
        self._bytes += request.body_bytes
        share = self._share_by_team.get(request.team, 0.0)
        self._share_by_team[request.team] = share + self._share(request)

    def remove(self, request: SlotRequest) -> None:
        """Stop counting a request that no longer waits."""
        self._requests -= 1
        self._bytes -= request.body_bytes
        share = self._share_by_team[request.team] - self._share(request)
        if share > self._share_per_request / 2:
            self._share_by_team[request.team] = share
        else:
            del self._share_by_team[request.team]

    @property
    def _share_per_request(self) -> float:
        return 1 / self._max_requests

    def _share(self, request: SlotRequest) -> float:
        """Return the share of the memory that a request uses."""
        return max(self._share_per_request, request.body_bytes / self._max_bytes)


class TeamQueues:
    """Waiting requests of one pool by team.

    :param memory: memory limits that all pools of the router share.
    """

    def __init__(self, memory: QueueMemory) -> None:
        self._memory = memory
        self._waiters_by_team: dict[str, OrderedDict[int, Waiter]] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(waiters) for waiters in self._waiters_by_team.values())

    @property
    def teams(self) -> tuple[str, ...]:
        """Return the teams with waiting requests."""
        return tuple(self._waiters_by_team)

    def length(self, team: str) -> int:
        """Return how many requests of a team wait."""
        return len(self._waiters_by_team.get(team, ()))

    def head(self, team: str) -> Waiter:
        """Return the request of a team that has waited longest."""
        return next(iter(self._waiters_by_team[team].values()))

    def add(self, waiter: Waiter) -> None:
        """Append a request to the queue of its team."""
        waiters = self._waiters_by_team.setdefault(waiter.request.team, OrderedDict())
        waiters[waiter.number] = waiter
        self._memory.add(waiter.request)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from its queue, if it waits."""
        team = waiter.request.team
        waiters = self._waiters_by_team.get(team, {})
        if waiters.pop(waiter.number, None) is None:
            return
        self._memory.remove(waiter.request)
        if not waiters:
            del self._waiters_by_team[team]

    def refuse_newest(self, team: str, retry_after_s: float) -> bool:
        """Refuse a team's newest request for lack of memory.

        :param team: name of the team.
        :param retry_after_s: seconds after which the caller may retry.
        :returns: whether the team had a waiting request.
        """
        waiters = self._waiters_by_team.get(team)
        if not waiters:
            return False
        waiter = next(reversed(waiters.values()))
        self.remove(waiter)
        waiter.refuse(NotRun(NotRunReason.MEMORY, retry_after_s))
        return True
