"""Client of the engine scheduler: requests engines and reports on the attempts."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import eliot
from result import Ok

from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_core.routing import Prompt
from almondfield_daemon.scheduling.asked_shares import (
    Ask,
    AskedShares,
    Refuse,
    SendUnscheduled,
)
from almondfield_daemon.scheduling.assignment import EngineAssignment
from almondfield_daemon.scheduling.messages import (
    EngineInFlight,
    EnginePrefix,
    EnginePrefixes,
    EngineRefusal,
    EngineReply,
    EngineRequest,
    UnscheduledPrompt,
)
from almondfield_daemon.scheduling.prefixes import SentPrefixes
from almondfield_daemon.scheduling.reports import AttemptReports
from almondfield_fairshare.engines import PromptRequest, TeamPace

__all__ = ["EngineClient"]

# Many round trips between data centres, but much shorter than a prefill.
REQUEST_TIMEOUT_S = 0.08
SLOW_TIMEOUT_SHARE = 0.5  # of the latency target; the rest is for wait and prefill
# Callers abandon an answer that has not begun some targets after their request.
MAX_WAIT_TARGETS = 2.5
REPLY_TIME_MARGIN = 1.5
REPLY_TIME_DECAY = 0.9  # with each reply
# A team's usage changes little in this time; engines prefill one or two prompts.
REFUSAL_HOLD_S = 0.05
MAX_HOLD_S = 1.0  # without a newer decision
MAX_ASKING_S = 0.25  # after which the next request of a refused team asks again
ANSWERING_S = 1.0  # after its last reply, the scheduler counts as answering for so long
FAILURE_BACKOFF_S = 0.3  # a fraction of the duration of an election
PREFIXES_PER_MESSAGE = 16  # all routers tell a new scheduler theirs at the same time
PREFIXES_INTERVAL_S = 0.25
MS_PER_S = 1000


@dataclass(frozen=True)
class _HeldRefusal:
    """A refusal that applies to further requests of its team for a short time.

    :ivar refusal: the refusal.
    :ivar received_s: when it arrived, in seconds of the loop's clock.
    :ivar asked_until_s: until when another request of the team waits for the scheduler,
        whose decision replaces this refusal, in seconds of the loop's clock.
    """

    refusal: EngineRefusal
    received_s: float
    asked_until_s: float = float("-inf")


class EngineClient:
    """A router's client of the engine scheduler on the leading control host.

    :param peers: messages to the other hosts.
    :param leader: returns the host that leads the control group; empty if unknown.
    :param first_number: attempts have higher numbers than this. It is above those of an
        earlier start of this router, so that a snapshot drops them at the scheduler.
    :param on_new_scheduler: called with the host of a scheduler that has just started.
    """

    def __init__(
        self,
        peers: Peers,
        leader: Callable[[], str],
        first_number: int = 0,
        on_new_scheduler: Callable[[str], None] = lambda host: None,
    ) -> None:
        self._on_new_scheduler = on_new_scheduler
        self._peers = peers
        self._leader = leader
        self._reports = AttemptReports(peers, first_number)
        self._unresponsive_host = ""
        self._backoff_until_s = float("-inf")
        self._is_reached = False
        self._last_reply_s = float("-inf")
        self._reply_time_s = 0.0
        self._held_refusal_by_team: dict[tuple[str, str], _HeldRefusal] = {}
        self._prefixes = SentPrefixes()
        self._asked_shares = AskedShares()
        self._pace = TeamPace()

    @property
    def has_undecided(self) -> bool:
        """Return whether a request waits for the scheduler's decision."""
        return self._reports.has_undecided

    def last_server(self, prompt: Prompt) -> str:
        """Return the server that last got a prompt's shared parts; empty for none.

        :param prompt: the prompt.
        """
        return self._prefixes.last_server(prompt)

    def record_server(
        self, pool: str, prompt: Prompt, server: str, started_ms: int
    ) -> None:
        """Record the server that a prompt was sent to.

        :param pool: name of the pool.
        :param prompt: the prompt.
        :param server: name of the server.
        :param started_ms: when the server started, in milliseconds since 1970.
        """
        self._prefixes.record(pool, prompt, server, started_ms)

    def held_refusal(
        self, pool: str, team: str, prompt: Prompt
    ) -> EngineRefusal | None:
        """Return a recent refusal that still holds for a team above its share.

        Without it, a team that sends far more than its share to one router takes all of
        the router's processor time with requests that the scheduler refuses. After some
        time one request asks again; the refusal holds for the others until it has
        a decision.

        :param pool: name of the pool.
        :param team: name of the team.
        :param prompt: prompt of the request; the scheduler is told of its refusal, so
            that it knows the caller if it returns.
        """
        held = self._held_refusal_by_team.get((pool, team))
        if held is None:
            return None
        age_s = now() - held.received_s
        if age_s >= MAX_HOLD_S:
            del self._held_refusal_by_team[(pool, team)]
            return None
        if age_s >= REFUSAL_HOLD_S and now() >= held.asked_until_s:
            wait_s = min(MAX_ASKING_S, REPLY_TIME_MARGIN * self._reply_time_s)
            wait_s = max(REFUSAL_HOLD_S, wait_s)
            held = replace(held, asked_until_s=now() + wait_s)
            self._held_refusal_by_team[(pool, team)] = held
            return None
        self._reports.add_held(pool, prompt.identifier)
        refusal = held.refusal
        earliest_s = max(REFUSAL_HOLD_S, held.asked_until_s - now())
        retry_after_s = max(earliest_s, refusal.retry_after_s - age_s)
        return replace(refusal, retry_after_s=retry_after_s)

    def may_go_on(self, pool: str, team: str) -> bool:
        """Return whether a team's prompt may begin though no scheduler decides on it.

        :param pool: name of the pool.
        :param team: name of the team.
        """
        return self._pace.is_due(pool, team)

    def may_ask(self, latency_target_s: float) -> bool:
        """Return whether a scheduler is expected to decide on a prompt in time.

        :param latency_target_s: latency target of its route, in seconds; 0 for none.
        """
        host = self._leader()
        return self._may_ask(host, self._timeout_s(host, latency_target_s))

    def _may_ask(self, host: str, timeout_s: float) -> bool:
        is_backing_off = (
            host == self._unresponsive_host and now() < self._backoff_until_s
        )
        # An admission that is certain to come late reserves an engine for nothing. One
        # request at a time shows when replies come in time again.
        is_too_slow = self._reports.has_undecided and self._reply_time_s > timeout_s
        return bool(host) and not is_backing_off and not is_too_slow

    async def request_engine(
        self, pool: str, request: PromptRequest
    ) -> EngineAssignment | EngineRefusal | SendUnscheduled | Refuse | None:
        """Return the scheduler's decision; None if no scheduler decides in time.

        A busy scheduler leaves some prompts to the router: these are sent to an engine
        of its own choice, or refused.

        :param pool: name of the pool.
        :param request: the request; its hint is filled in here.
        """
        host = self._leader()
        timeout_s = self._timeout_s(host, request.latency_target_s)
        if not self._may_ask(host, timeout_s):
            return None
        match self._asked_shares.decide(request.team, request.is_repeat):
            case Ask(prompts):
                return await self._ask(host, pool, request, prompts, timeout_s)
            case undecided:
                return undecided

    async def _ask(
        self,
        host: str,
        pool: str,
        request: PromptRequest,
        prompts: int,
        timeout_s: float,
    ) -> EngineAssignment | EngineRefusal | None:
        """Return the decision of the scheduler; None if it takes too long.

        :param host: host of the scheduler.
        :param prompts: prompts of the team that the scheduler is told of.
        :param timeout_s: how long to wait, in seconds.
        """
        number = self._reports.add_undecided()
        request = replace(request, hint=self.last_server(request.prompt))
        sent_s = now()
        message = EngineRequest(pool, number, request, sent_s, prompts)

        def on_late(reply: object) -> None:
            self._record_late_reply(host, reply, sent_s)
            self._hold_refusal(pool, request.team, reply, sent_s)

        try:
            answer = await self._peers.request(host, message, timeout_s, on_late)
        except BaseException:
            # The scheduler may have counted the attempt as sent.
            self._reports.end(EngineInFlight(number, pool, "", 0))
            raise
        match answer:
            case Ok(EngineReply() as reply):
                # First, as a new scheduler has this attempt and receives the others.
                self._record_scheduler(host, reply, sent_s)
                self._hold_refusal(pool, request.team, reply, sent_s)
                self._pace.begin(pool, request.team, request.prompt)
                item = EngineInFlight(number, pool, reply.server, reply.unread_tokens)
                self._reports.start(item)
                return EngineAssignment(self._reports, item, reply.wait_s, sent_s)
            case Ok(EngineRefusal() as refusal):
                self._reports.remove_undecided(number)
                self._record_scheduler(host, refusal, sent_s)
                self._hold_refusal(pool, request.team, refusal, sent_s)
                return refusal
            case _:
                self._reports.end(EngineInFlight(number, pool, "", 0))
                self._record_failure(host, sent_s)
                return None

    def _hold_refusal(
        self, pool: str, team: str, decision: object, sent_s: float
    ) -> None:
        """Hold a refusal for a team's share; an admission ends the hold of older ones.

        :param decision: reply of the scheduler.
        :param sent_s: when it was asked, in seconds of the loop's clock.
        """
        match decision:
            case EngineRefusal(is_over_share=True) as refusal:
                held = _HeldRefusal(refusal, now())
                self._held_refusal_by_team[(pool, team)] = held
            case EngineReply():
                held = self._held_refusal_by_team.get((pool, team))
                if held is not None and held.received_s <= sent_s:
                    del self._held_refusal_by_team[(pool, team)]

    def assign_unscheduled(
        self, pool: str, server: str, team: str, prompt: Prompt
    ) -> EngineAssignment:
        """Return an assignment that this router chose without a scheduler.

        The scheduler is told, as the prompt counts for its team and its engine.

        :param pool: name of the pool.
        :param server: name of the server.
        :param team: team of the caller.
        :param prompt: the prompt.
        """
        self._pace.begin(pool, team, prompt)
        assignment = self.assign_again(pool, server, prompt.unshared_tokens)
        number = assignment.number
        self._reports.add_unscheduled(
            UnscheduledPrompt(number, pool, server, team, prompt)
        )
        return assignment

    def assign_again(
        self, pool: str, server: str, uncached_tokens: int
    ) -> EngineAssignment:
        """Return an assignment to a server that the request was admitted to before.

        :param pool: name of the pool.
        :param server: name of the server.
        :param uncached_tokens: prompt tokens that the server has to prefill.
        """
        number = self._reports.add_undecided()
        item = EngineInFlight(number, pool, server, max(1, uncached_tokens))
        self._reports.start(item)
        return EngineAssignment(self._reports, item)

    def _record_scheduler(
        self, host: str, reply: EngineReply | EngineRefusal, sent_s: float
    ) -> None:
        self._last_reply_s = now()
        decayed_s = REPLY_TIME_DECAY * self._reply_time_s
        self._reply_time_s = max(now() - sent_s, decayed_s)
        if not self._is_reached:
            self._is_reached = True
            eliot.log_message("scheduler:reached", scheduler=host)
        if reply.shares_by_team is not None:
            self._asked_shares.record(reply.shares_by_team)
        if self._reports.set_scheduler(host, reply.scheduler_start):
            self._tell_prefixes(host, reply.scheduler_start)
            self._on_new_scheduler(host)

    def _tell_prefixes(self, host: str, start: int) -> None:
        """Tell a new scheduler what engines have got from this router."""
        items = self._prefixes.recent()
        if items:
            self._send_prefixes(host, start, items)
            eliot.log_message(
                "scheduler:told-prefixes", scheduler=host, prefixes=len(items)
            )

    def _send_prefixes(
        self, host: str, start: int, items: tuple[EnginePrefix, ...]
    ) -> None:
        """Send the first prefixes, and the others later while the scheduler stays.

        :param host: host of the scheduler.
        :param start: identifier of its start.
        :param items: the prefixes, the most recent one first.
        """
        if not self._reports.is_scheduler(host, start):
            return
        self._peers.send(host, EnginePrefixes(items[:PREFIXES_PER_MESSAGE]))
        rest = items[PREFIXES_PER_MESSAGE:]
        if rest:
            loop = asyncio.get_running_loop()
            send = partial(self._send_prefixes, host, start, rest)
            loop.call_later(PREFIXES_INTERVAL_S, send)

    def _timeout_s(self, host: str, latency_target_s: float) -> float:
        """Return how long to wait for a decision, in seconds.

        While replies arrive, a late one means that this router or its link is busy. A
        request waits as long as they take: without a decision, the router may send only
        a small part of what the scheduler would admit.
        """
        is_answering = now() - self._last_reply_s < ANSWERING_S
        if host != self._reports.scheduler_host or not is_answering:
            return REQUEST_TIMEOUT_S
        expected_s = REPLY_TIME_MARGIN * self._reply_time_s
        expected_s = min(expected_s, MAX_WAIT_TARGETS * latency_target_s)
        slow_s = SLOW_TIMEOUT_SHARE * latency_target_s
        return max(REQUEST_TIMEOUT_S, slow_s, expected_s)

    def _record_late_reply(self, host: str, reply: object, sent_s: float) -> None:
        """Record that the scheduler answers; the attempt has been reported as over."""
        match reply:
            case EngineReply() | EngineRefusal() if host == self._leader():
                self._record_scheduler(host, reply, sent_s)
                if host == self._unresponsive_host:
                    self._backoff_until_s = float("-inf")

    def _record_failure(self, host: str, sent_s: float) -> None:
        if host == self._reports.scheduler_host and self._last_reply_s >= sent_s:
            # The scheduler has answered other requests of this router since.
            return
        self._unresponsive_host = host
        self._backoff_until_s = now() + FAILURE_BACKOFF_S
        if self._is_reached:
            self._is_reached = False
            eliot.log_message(
                "scheduler:lost",
                scheduler=host,
                after_ms=round((now() - sent_s) * MS_PER_S, 1),
                reply_age_ms=round((now() - self._last_reply_s) * MS_PER_S, 1),
            )
