"""State of one pool in a router: queues, grant and requests in flight."""

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

MAX_SENT_REPORTS = 64
"""Number of sent reports kept, to compute the expiry of grants that answer them."""


@dataclass(frozen=True)
class _SentReport:
    sent_s: float
    service_by_team: dict[str, float]


class HeldSlot:
    """A slot that a request holds until its release; further releases do nothing.

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
        """Release the slot, and charge the time for which it was held.

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
    :param memory: memory limits that all pools of the router share.
    :param policy: sharing policy of the slots.
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
        self.drain_rate = DrainRate()
        self.report_needed = asyncio.Event()
        self.epoch = 0
        self.window_s = 0.0
        self._policy = policy
        self._incarnation = incarnation
        self._grant: SlotGrant | None = None
        self._grant_expires_s = float("-inf")
        self._answered_report: _SentReport | None = None
        self._sent_by_number: OrderedDict[int, _SentReport] = OrderedDict()
        self._report_number = 0
        self._weight_by_team: dict[str, float] = {}
        self._last_waiter_number = 0
        self._reported_backlog = False
        self._previous_counter_by_team: dict[str, float] = {}
        self._previous_slots_by_server: dict[str, int] = {}
        self._given_back_by_server: Counter[str] = Counter()

    @property
    def backlogged(self) -> bool:
        """Return whether work waits here or, by the newest grant, at other routers."""
        elsewhere = self._grant is not None and self._grant.backlogged
        return elsewhere or len(self.queues) > 0

    @property
    def granted_slots(self) -> int:
        """Return the number of slots that the router may use now."""
        return sum(server.slots for server in self._servers())

    async def acquire(self, request: SlotRequest) -> Result[Slot, NotRun]:
        """Return a slot when the request is scheduled, or why it was not run.

        :param request: what the request needs.
        """
        waiter = self._enqueue(request)
        self.dispatch()
        if not waiter.answer.done():
            self._report_backlog()
        elif not self.backlogged and self.usage.total() >= self.granted_slots:
            self.report_needed.set()
        try:
            async with asyncio.timeout(request.queue_deadline_s):
                return await waiter.answer
        except TimeoutError:
            return self._expire(waiter)
        except asyncio.CancelledError:
            self._cancel(waiter)
            raise

    def refuse_all(self, reason: NotRunReason) -> None:
        """Refuse every waiting request as not run.

        :param reason: reason of the refusal.
        """
        for team in self.queues.teams:
            while self.queues.length(team):
                waiter = self.queues.head(team)
                self.queues.remove(waiter)
                waiter.refuse(NotRun(reason))

    def dispatch(self) -> None:
        """Start waiting requests on free slots, in the order of the sharing policy."""
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
            self.drain_rate.record_start(waiter.request.team)
            slot = HeldSlot(self, server, waiter.request)
            waiter.answer.set_result(Ok(slot))
        self._return_idle_slots()

    def on_released(self, server: ServerSlots, failure: ServerFailure | None) -> None:
        """Use a freed slot for the next request, or report it to the scheduler.

        :param server: server of the slot.
        :param failure: how the call failed, if it did.
        """
        known = [item.name for item in self._servers()]
        self.health.record(server.name, failure, known)
        if self.health.is_ejected(server.name):
            probe_s = self.health.ejected_until_s(server.name)
            asyncio.get_running_loop().call_at(probe_s, self.dispatch)
        if self.usage.on_server(server.name) >= self._slots_on(server.name):
            self.report_needed.set()
        self.dispatch()

    def on_grant(self, grant: SlotGrant) -> None:
        """Apply a grant, unless it is older than the current one.

        :param grant: grant from the scheduler of the pool.
        """
        if grant.epoch < self.epoch:
            return
        last = self._grant
        known = last is not None and grant.epoch == self.epoch
        if known and grant.number <= last.number:
            return
        if grant.epoch > self.epoch:
            teams = self.queues.teams
            self._previous_counter_by_team = {
                team: round(self._counter(team), 4) for team in teams
            }
            self._previous_slots_by_server = self._slots_by_server()
        before = self._slots_by_server()
        self.epoch = grant.epoch
        self._grant = grant
        self.window_s = grant.report_window_s
        self._set_grant_expiry(grant)
        after = {server.name: server.slots for server in grant.servers}
        self._given_back_by_server.clear()
        self.dispatch()
        skipped = known and grant.number > last.number + 1
        if skipped or not grant.report_number or self._frees_slots(before, after):
            self.report_needed.set()

    @property
    def is_idle(self) -> bool:
        """Return whether no request waits or runs."""
        return not len(self.queues) and not self.usage.total()

    def make_report(self) -> DemandReport:
        """Return the full state of the router in this pool."""
        self._report_number += 1
        sent = _SentReport(now(), self.usage.service_by_team())
        self._sent_by_number[self._report_number] = sent
        if len(self._sent_by_number) > MAX_SENT_REPORTS:
            self._sent_by_number.popitem(last=False)
        waiting = {team: self.queues.length(team) for team in self.queues.teams}
        in_flight = self.usage.in_flight()
        self._reported_backlog = bool(waiting)
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
            self._unacknowledged_service(),
            dict(self.health.failures_by_server),
            self.usage.finished,
            counter_by_team=dict(self._previous_counter_by_team),
            given_back_by_server=self._previous_slots_by_server
            or dict(+self._given_back_by_server),
        )

    def _enqueue(self, request: SlotRequest) -> Waiter:
        self._weight_by_team[request.team] = request.weight
        self._last_waiter_number += 1
        answer = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, answer, now(), self._last_waiter_number)
        self.queues.add(waiter)
        return waiter

    def _report_backlog(self) -> None:
        """Request an early report unless the newest grant signals a backlog.

        The first waiting request, and one without any granted slot, is always
        reported.
        """
        known = self._grant is not None and self._grant.backlogged
        if not known or len(self.queues) == 1 or not self.granted_slots:
            self.report_needed.set()

    def _expire(self, waiter: Waiter) -> Result[Slot, NotRun]:
        """Return the refusal at the queue deadline, or an answer set just before it."""
        if waiter.answer.done() and not waiter.answer.cancelled():
            return waiter.answer.result()
        self.queues.remove(waiter)
        retry_after_s = self.retry_after_s(waiter.request.team)
        backlogged = self._grant is not None and self._grant.backlogged
        has_no_slots = not self.granted_slots and not self.usage.total()
        reason = NotRunReason.QUEUE_DEADLINE
        if has_no_slots and not backlogged:
            reason = NotRunReason.NO_CAPACITY
        return Err(NotRun(reason, retry_after_s))

    def _cancel(self, waiter: Waiter) -> None:
        """Remove a cancelled request, and release a slot that it was just given."""
        self.queues.remove(waiter)
        if not waiter.answer.done() or waiter.answer.cancelled():
            return
        match waiter.answer.result():
            case Ok(slot):
                slot.release()

    def retry_after_s(self, team: str) -> float:
        """Return the estimated seconds until the team's queue is drained."""
        return self.drain_rate.drain_time_s(team, self.queues.length(team))

    def _next_team(self) -> str:
        if self._policy == SharingPolicy.FIRST_COME:
            return min(self.queues.teams, key=lambda t: self.queues.head(t).number)
        return min(self.queues.teams, key=lambda team: (self._counter(team), team))

    def _counter(self, team: str) -> float:
        """Return a team's counter from the grant plus the service charged here since.

        The estimated rest of its running requests is charged in advance.
        """
        sent = self._grant.counter_by_team if self._grant is not None else {}
        seen = (
            self._answered_report.service_by_team
            if self._answered_report is not None
            else {}
        )
        since = self.usage.service(team) - seen.get(team, 0.0)
        charged = since + self.usage.remaining(team)
        return sent.get(team, 0.0) + charged / self._weight_by_team[team]

    def _frees_slots(self, before: dict[str, int], after: dict[str, int]) -> bool:
        """Return whether a new grant frees slots for other routers."""
        return any(
            max(after.get(name, 0), self.usage.on_server(name)) < slots
            for name, slots in before.items()
        )

    def _servers(self) -> tuple[ServerSlots, ...]:
        """Return the servers that the router may use now."""
        if self._grant is None or now() >= self._grant_expires_s:
            return ()
        return self._grant.servers

    def _slots_by_server(self) -> dict[str, int]:
        """Return the slots of the newest grant, even if it has expired."""
        servers = self._grant.servers if self._grant is not None else ()
        return {server.name: server.slots for server in servers if server.slots}

    def _slots_on(self, name: str) -> int:
        return next((s.slots for s in self._servers() if s.name == name), 0)

    def _set_grant_expiry(self, grant: SlotGrant) -> None:
        """Set the grant's expiry, counted from sending the report that it answers."""
        sent = self._sent_by_number.get(grant.report_number)
        if sent is None or grant.incarnation != self._incarnation:
            self._answered_report = None
            self._grant_expires_s = float("-inf")
            return
        self._answered_report = sent
        self._previous_counter_by_team.clear()
        self._previous_slots_by_server.clear()
        self._grant_expires_s = sent.sent_s + grant.lifetime_s

    def _return_idle_slots(self) -> None:
        """Return idle slots while work waits elsewhere.

        An early report follows, also when the waiting work of the last report has
        been started.
        """
        if self._reported_backlog and self.usage.total() < self.granted_slots:
            self.report_needed.set()
        if self._grant is None or not self._grant.backlogged:
            return
        kept = []
        for server in self._servers():
            idle = max(0, server.slots - self.usage.on_server(server.name))
            self._given_back_by_server[server.name] += idle
            kept.append(replace(server, slots=server.slots - idle))
        if kept and sum(server.slots for server in kept) < self.granted_slots:
            self._grant = replace(self._grant, servers=tuple(kept))
            self.report_needed.set()

    def _unacknowledged_service(self) -> dict[str, float]:
        """Return the service totals that the scheduler has not acknowledged."""
        service_by_team = self.usage.service_by_team()
        if self._answered_report is None:
            return service_by_team
        acknowledged = self._answered_report.service_by_team
        return {t: s for t, s in service_by_team.items() if acknowledged.get(t) != s}
