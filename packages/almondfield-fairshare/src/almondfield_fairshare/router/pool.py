"""One pool as a router sees it: queues, grant and requests in flight."""

import asyncio
from collections import Counter, OrderedDict
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from almondfield_core.clock import now
from almondfield_core.messages import (
    DemandReport,
    NotRun,
    NotRunReason,
    ServerFailure,
    ServerSlots,
    SlotGrant,
    SlotRequest,
)
from almondfield_core.ports import Slot
from almondfield_core.settings import SharingPolicy
from almondfield_fairshare.router.drain import DrainRate
from almondfield_fairshare.router.queues import QueueMemory, TeamQueues, Waiter
from almondfield_fairshare.router.servers import ServerHealth, choose_server
from almondfield_fairshare.router.usage import PoolUsage

__all__ = ["HeldSlot", "RouterPool"]

KEPT_REPORTS = 64
"""Reports whose sending a router remembers, to date the grants that answer them."""


@dataclass(frozen=True)
class _SentReport:
    at_s: float
    service_by_team: dict[str, float]


class HeldSlot:
    """A slot that a request holds until it is released, once.

    :param pool: pool of the slot.
    :param server: server to send the request to.
    :param request: the request.
    """

    def __init__(
        self, pool: "RouterPool", server: ServerSlots, request: SlotRequest
    ) -> None:
        self._pool = pool
        self._server = server
        self._request = request
        self._started_s = now()
        self._estimate_s = pool.usage.start(server.name, request)
        self._released = False

    @property
    def server(self) -> ServerSlots:
        """Return the backend server to send the request to."""
        return self._server

    def release(self, failure: ServerFailure | None = None) -> None:
        """Give the slot back and charge the time that it was held.

        :param failure: how the call failed, if it did.
        """
        if self._released:
            return
        self._released = True
        self._pool.usage.finish(
            self._server.name, self._request, self._started_s, self._estimate_s
        )
        self._pool.on_released(self._server, failure)


class RouterPool:
    """Queues and slots of one pool in one router.

    :param name: name of the pool.
    :param memory: bound that all pools of the router share.
    :param policy: how slots are shared.
    :param incarnation: incarnation of the router.
    :param typical_cost_s: first estimate of a request's cost, in slot-seconds.
    """

    def __init__(
        self,
        name: str,
        memory: QueueMemory,
        policy: SharingPolicy,
        incarnation: int,
        typical_cost_s: float,
    ) -> None:
        self.name = name
        self.queues = TeamQueues(memory)
        self.usage = PoolUsage(typical_cost_s)
        self.health = ServerHealth()
        self.drain = DrainRate()
        self.urgent = asyncio.Event()
        self.epoch = 0
        self.window_s = 0.0
        self._policy = policy
        self._incarnation = incarnation
        self._grant: SlotGrant | None = None
        self._grant_until_s = float("-inf")
        self._answered: _SentReport | None = None
        self._sent_by_number: OrderedDict[int, _SentReport] = OrderedDict()
        self._report_number = 0
        self._weight_by_team: dict[str, float] = {}
        self._number_of_waiter = 0
        self._reported_waiting = False
        self._carried: dict[str, float] = {}
        self._carried_slots: dict[str, int] = {}
        self._given_back: Counter[str] = Counter()

    @property
    def backlogged(self) -> bool:
        """Return whether work waits here, or elsewhere as the scheduler says."""
        elsewhere = self._grant is not None and self._grant.backlogged
        return elsewhere or len(self.queues) > 0

    @property
    def granted_slots(self) -> int:
        """Return the slots that the router may use now."""
        return sum(server.slots for server in self._servers())

    async def acquire(self, request: SlotRequest) -> Result[Slot, NotRun]:
        """Return a slot once it is the request's turn.

        :param request: what the request needs.
        """
        waiter = self._enqueue(request)
        self.dispatch()
        if not waiter.answer.done():
            self._call_for_slots()
        elif not self.backlogged and self.usage.total() >= self.granted_slots:
            self.urgent.set()
        try:
            async with asyncio.timeout(request.queue_deadline_s):
                return await waiter.answer
        except TimeoutError:
            return self._give_up(waiter)
        except asyncio.CancelledError:
            self._leave(waiter)
            raise

    def refuse_all(self, reason: NotRunReason) -> None:
        """Answer every waiting request that it was not run.

        :param reason: why.
        """
        for team in self.queues.teams:
            while self.queues.length(team):
                waiter = self.queues.head(team)
                self.queues.remove(waiter)
                waiter.refuse(NotRun(reason))

    def dispatch(self) -> None:
        """Start waiting requests on free slots, lowest counter first."""
        while len(self.queues):
            waiter = self.queues.head(self._next_team())
            if waiter.answer.done():
                self.queues.remove(waiter)
                continue
            server = choose_server(
                self._servers(), self.usage, self.health, waiter.request.avoid
            )
            if server is None:
                return
            self.queues.remove(waiter)
            self.drain.note(waiter.request.team)
            slot = HeldSlot(self, server, waiter.request)
            waiter.answer.set_result(Ok(slot))
        self._give_back_idle()

    def on_released(self, server: ServerSlots, failure: ServerFailure | None) -> None:
        """Use a freed slot for the next request, or tell the scheduler of it.

        :param server: server of the slot.
        :param failure: how the call failed, if it did.
        """
        known = [one.name for one in self._servers()]
        self.health.note(server.name, failure, known)
        if self.health.is_ejected(server.name):
            probe_s = self.health.ejected_until_s(server.name)
            asyncio.get_running_loop().call_at(probe_s, self.dispatch)
        if self.usage.on_server(server.name) >= self._slots_on(server.name):
            self.urgent.set()
        self.dispatch()

    def on_grant(self, grant: SlotGrant) -> None:
        """Follow a grant, unless it is older than the one followed now.

        :param grant: the grant.
        """
        if grant.epoch < self.epoch:
            return
        last = self._grant
        known = last is not None and grant.epoch == self.epoch
        if known and grant.number <= last.number:
            return
        if grant.epoch > self.epoch:
            teams = self.queues.teams
            self._carried = {team: round(self._counter(team), 4) for team in teams}
            self._carried_slots = self._slots_by_server()
        before = self._slots_by_server()
        self.epoch = grant.epoch
        self._grant = grant
        self.window_s = grant.report_window_s
        self._date_grant(grant)
        after = {server.name: server.slots for server in grant.servers}
        self._given_back.clear()
        self.dispatch()
        skipped = known and grant.number > last.number + 1
        if skipped or not grant.report_number or self._freed_by(before, after):
            self.urgent.set()

    @property
    def is_at_rest(self) -> bool:
        """Return whether no request waits or runs."""
        return not len(self.queues) and not self.usage.total()

    def make_report(self) -> DemandReport:
        """Return the full state of the router in this pool."""
        self._report_number += 1
        sent = _SentReport(now(), self.usage.service_by_team())
        self._sent_by_number[self._report_number] = sent
        if len(self._sent_by_number) > KEPT_REPORTS:
            self._sent_by_number.popitem(last=False)
        waiting = {team: self.queues.length(team) for team in self.queues.teams}
        in_flight = self.usage.in_flight()
        self._reported_waiting = bool(waiting)
        active = waiting.keys() | {entry.team for entry in in_flight}
        weights = {team: self._weight_by_team[team] for team in sorted(active)}
        return DemandReport(
            self.name,
            self.epoch,
            self._incarnation,
            self._report_number,
            self._grant.number if self._grant is not None else 0,
            waiting,
            {team: weight for team, weight in weights.items() if weight != 1.0},
            in_flight,
            self._changed_service(),
            dict(self.health.failures_by_server),
            self.usage.finished,
            counter_by_team=dict(self._carried),
            given_back_by_server=self._carried_slots or dict(+self._given_back),
        )

    def _enqueue(self, request: SlotRequest) -> Waiter:
        self._weight_by_team[request.team] = request.weight
        self._number_of_waiter += 1
        answer = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, answer, now(), self._number_of_waiter)
        self.queues.add(waiter)
        return waiter

    def _call_for_slots(self) -> None:
        """Report at once unless the scheduler knows that work waits here."""
        known = self._grant is not None and self._grant.backlogged
        if not known or len(self.queues) == 1 or not self.granted_slots:
            self.urgent.set()

    def _give_up(self, waiter: Waiter) -> Result[Slot, NotRun]:
        """Return the answer that came just in time, or that the deadline passed."""
        if waiter.answer.done() and not waiter.answer.cancelled():
            return waiter.answer.result()
        self.queues.remove(waiter)
        retry_after_s = self.retry_after_s(waiter.request.team)
        backlogged = self._grant is not None and self._grant.backlogged
        unused = not self.granted_slots and not self.usage.total()
        reason = NotRunReason.QUEUE_DEADLINE
        if unused and not backlogged:
            reason = NotRunReason.NO_CAPACITY
        return Err(NotRun(reason, retry_after_s))

    def _leave(self, waiter: Waiter) -> None:
        """Take a cancelled request out; a slot that it just got goes back."""
        self.queues.remove(waiter)
        if not waiter.answer.done() or waiter.answer.cancelled():
            return
        match waiter.answer.result():
            case Ok(slot):
                slot.release()

    def retry_after_s(self, team: str) -> float:
        """Return the seconds after which a team's queue should have room again."""
        return self.drain.time_for_s(team, self.queues.length(team))

    def _next_team(self) -> str:
        if self._policy == SharingPolicy.FIRST_COME:
            return min(self.queues.teams, key=lambda t: self.queues.head(t).number)
        return min(self.queues.teams, key=lambda team: (self._counter(team), team))

    def _counter(self, team: str) -> float:
        """Return a team's counter with what it used here since it was sent."""
        sent = self._grant.counter_by_team if self._grant is not None else {}
        seen = self._answered.service_by_team if self._answered is not None else {}
        since = self.usage.service(team) - seen.get(team, 0.0)
        charged = since + self.usage.remaining(team)
        return sent.get(team, 0.0) + charged / self._weight_by_team[team]

    def _freed_by(self, before: dict[str, int], after: dict[str, int]) -> bool:
        """Return whether a new grant leaves slots that another router may use."""
        return any(
            max(after.get(name, 0), self.usage.on_server(name)) < slots
            for name, slots in before.items()
        )

    def _servers(self) -> tuple[ServerSlots, ...]:
        """Return the servers that the router may use now."""
        if self._grant is None or now() >= self._grant_until_s:
            return ()
        return self._grant.servers

    def _slots_by_server(self) -> dict[str, int]:
        """Return the slots of the newest grant, also where its time is over."""
        servers = self._grant.servers if self._grant is not None else ()
        return {server.name: server.slots for server in servers if server.slots}

    def _slots_on(self, name: str) -> int:
        return next((s.slots for s in self._servers() if s.name == name), 0)

    def _date_grant(self, grant: SlotGrant) -> None:
        """Count the grant's lifetime from the report that it answers."""
        sent = self._sent_by_number.get(grant.report_number)
        if sent is None or grant.incarnation != self._incarnation:
            self._answered = None
            self._grant_until_s = float("-inf")
            return
        self._answered = sent
        self._carried.clear()
        self._carried_slots.clear()
        self._grant_until_s = sent.at_s + grant.lifetime_s

    def _give_back_idle(self) -> None:
        """Give idle slots back while work waits elsewhere, and say that none does."""
        if self._reported_waiting and self.usage.total() < self.granted_slots:
            self.urgent.set()
        if self._grant is None or not self._grant.backlogged:
            return
        kept = []
        for server in self._servers():
            idle = max(0, server.slots - self.usage.on_server(server.name))
            self._given_back[server.name] += idle
            kept.append(replace(server, slots=server.slots - idle))
        if kept and sum(server.slots for server in kept) < self.granted_slots:
            self._grant = replace(self._grant, servers=tuple(kept))
            self.urgent.set()

    def _changed_service(self) -> dict[str, float]:
        """Return the totals that the scheduler may not have heard."""
        service_by_team = self.usage.service_by_team()
        if self._answered is None:
            return service_by_team
        heard = self._answered.service_by_team
        return {t: s for t, s in service_by_team.items() if heard.get(t) != s}
