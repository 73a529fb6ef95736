"""Admission of prompts to model engines.

Under overload, the demand is several times what the engines can prefill in time. A
prompt is admitted only where its predicted wait before prefill is short, so that the
answers to admitted prompts begin within their latency target. Teams above their fair
share are refused first. A prompt goes to the engine that has most of it cached, unless
much more work waits there.
"""

import math
from collections.abc import Iterable
from dataclasses import replace

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_fairshare.engines.attempts import AttemptTable, InFlightAttempt
from almondfield_fairshare.engines.engine import Engine
from almondfield_fairshare.engines.estimates import (
    CACHED_WAIT_FACTOR,
    are_mostly_idle,
    costs_s,
    estimate_engines,
    has_capacity,
    is_late_everywhere,
)
from almondfield_fairshare.engines.load import (
    DecisionCounts,
    EngineLoad,
    UsedShare,
    summarize_load,
)
from almondfield_fairshare.engines.pool import EnginePool
from almondfield_fairshare.engines.prefix_cache import PrefixBlock, prefix_blocks
from almondfield_fairshare.engines.refused_prompts import RefusedPrompts
from almondfield_fairshare.engines.requests import (
    Admitted,
    AttemptId,
    AttemptSnapshot,
    Decision,
    EngineServer,
    PromptRequest,
    Refused,
    SentPrefix,
)
from almondfield_fairshare.engines.shares import Grant, TeamLoad, TeamShares
from almondfield_fairshare.engines.team_limits import (
    output_tokens,
    spare_capacity,
    team_max_wait_s,
    work_tokens,
)

__all__ = ["EngineScheduler"]

PREFILL_WEIGHT = 2.0  # a repeated prefill also evicts other cache entries
REPEATED_PREFILL_WEIGHT = 0.8  # of the time for tokens cached elsewhere
WAIT_SHARE = 0.6  # of the strictest latency target less the delay of answers
MAX_DELAY_SHARE = 0.5  # of that target; without any wait, engines would be idle
REPEAT_MAX_WAIT_S = 1.2  # callers abandon a stream after a 2 s pause, prefill included
LATE_REQUEST_USAGE = 0.8  # above it, a team's late requests are refused
MIN_RETRY_S = 0.1  # a fraction of the prefill time of one prompt
OVERDUE_RETRY_S = 0.3  # in which a scheduler works off some hundred requests
SAMPLE_INTERVAL_S = 0.01  # a small part of the time constant of the busy shares
TARGET_DECAY = 0.999  # the strictest target decays over about 1000 requests


class EngineScheduler:
    """Assigns each prompt to an engine, or refuses it.

    :param window_s: sliding window of the teams' shares, in seconds.

    :ivar pool: the engines.
    :ivar closed_names: engines that take no request now, which count as used.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._shares = TeamShares(window_s)
        self.pool = EnginePool()
        self._answer_delay = self.pool.answer_delay
        self._attempts = AttemptTable()
        self._used_share = UsedShare()
        self._sampled_s = -math.inf
        self._counts = DecisionCounts()
        self._refused_prompts = RefusedPrompts()
        self._strictest_target_s = float("inf")
        self._work_per_s = 0.0
        self.closed_names: frozenset[str] = frozenset()

    @property
    def _engine_by_name(self) -> dict[str, Engine]:
        return self.pool.engine_by_name

    def set_servers(self, servers: Iterable[EngineServer]) -> None:
        """Replace the set of engines; a restarted engine begins anew.

        :param servers: engines that accept new work.
        """
        before = self._engine_by_name
        self.pool.set_servers(servers)
        after = self._engine_by_name
        self._attempts.retain(lambda name: after.get(name) is before.get(name))

    def engine_names(self) -> tuple[str, ...]:
        """Return the names of all engines."""
        return tuple(self._engine_by_name)

    @property
    def used_share(self) -> float:
        """Return the recent part of the engines' scarcer resource that was in use."""
        return self._used_share.value()

    def usage(self, team: str) -> float:
        """Return the fraction of its fair share that a team has used.

        :param team: name of the team.
        """
        return self._shares.usage(team, self._work_per_s, self.used_share)

    def decide(
        self, attempt: AttemptId, request: PromptRequest, work_per_s: float
    ) -> Decision:
        """Return an admission or a refusal; an admitted request counts as sent.

        :param attempt: identifier of the attempt.
        :param request: the request.
        :param work_per_s: work that all engines do per second, for the teams' shares.
        """
        prompt = request.prompt
        request = self._with_known_wait(request)
        work = work_tokens(prompt)
        if not request.is_repeat:
            self._shares.record_demand(request.team, work)
        self._sample()
        self._work_per_s = work_per_s
        usage = self.usage(request.team)
        base_max_wait_s = self._base_max_wait_s(request)
        # A team above its share must not cause repeated prefills.
        spare = spare_capacity(self._used_share.busy()) if usage <= 1 else 0.0
        max_wait_s = team_max_wait_s(base_max_wait_s, usage)
        if request.is_repeat:
            # The caller has waited already and may have received a part of the answer.
            max_wait_s = REPEAT_MAX_WAIT_S
        engines = self._usable_engines(request)
        if not engines:
            return Refused(MIN_RETRY_S, False, 0.0)
        blocks = prefix_blocks(prompt)
        estimates = estimate_engines(engines, request, blocks)
        are_idle = are_mostly_idle(estimates)
        is_late = (
            usage > LATE_REQUEST_USAGE
            and not are_idle
            and is_late_everywhere(request, estimates, self._answer_delay.seconds)
        )
        repeat_weight = REPEATED_PREFILL_WEIGHT * (1 - spare)
        # While engines are mostly idle, any idle one may prefill any prompt.
        is_admissible = are_idle or has_capacity(estimates, max_wait_s, repeat_weight)
        # Spare capacity goes to the team with the lowest usage.
        must_yield = (
            usage > 1 and not request.is_repeat and self._shares.must_yield(usage)
        )
        waits_s = estimates.waits_s
        # A late request leaves the team's share to those that can meet their target.
        if is_late or must_yield or not is_admissible:
            return self._refuse(request, min(waits_s), max_wait_s, usage, is_late)
        # The request is admitted: choose the engine with the lowest total cost.
        max_limit_s = CACHED_WAIT_FACTOR * max(base_max_wait_s, max_wait_s)
        affordable_costs_s = [
            cost_s if wait_s <= max_limit_s else math.inf
            for wait_s, cost_s in zip(
                waits_s, costs_s(estimates, PREFILL_WEIGHT), strict=True
            )
        ]
        chosen = affordable_costs_s.index(min(affordable_costs_s))
        engine, uncached = engines[chosen], estimates.uncached_tokens[chosen]
        grant = self._shares.record_grant(request.team, work)
        self._send(attempt, prompt, engine, uncached, blocks, grant)
        self._counts.add_for(request.team, "admitted")
        self._counts.add("unread_tokens", uncached)
        return Admitted(engine.server.name, uncached, waits_s[chosen])

    def refuse_overdue(self, request: PromptRequest) -> Refused:
        """Return the refusal of a request that waited too long for a decision.

        :param request: the request.
        """
        self._shares.record_demand(request.team, work_tokens(request.prompt))
        self.record_refused(request.prompt.identifier)
        self._counts.add_for(request.team, "refused_overdue")
        return Refused(OVERDUE_RETRY_S, False, 0.0)

    def _usable_engines(self, request: PromptRequest) -> list[Engine]:
        excluded = request.excluded
        return [e for e in self._open_engines() if e.server.name not in excluded]

    def _open_engines(self) -> list[Engine]:
        engines = self._engine_by_name.values()
        return [e for e in engines if e.server.name not in self.closed_names]

    def _with_known_wait(self, request: PromptRequest) -> PromptRequest:
        """Return a request with the longest known wait of its caller."""
        known_s = self._refused_prompts.waited_s(request.prompt.identifier)
        if known_s <= request.waited_s:
            return request
        return replace(request, waited_s=known_s)

    def _send(
        self,
        attempt: AttemptId,
        prompt: Prompt,
        engine: Engine,
        uncached_tokens: int,
        blocks: tuple[PrefixBlock, ...],
        grant: Grant,
    ) -> None:
        """Count an admitted request as sent to an engine."""
        engine.send(attempt, blocks, uncached_tokens, output_tokens(prompt))
        self._attempts.put(attempt, InFlightAttempt(engine.server.name, grant))
        self._refused_prompts.remove(prompt.identifier)

    def record_refused(self, prompt_id: str) -> None:
        """Record that a prompt was refused, by this scheduler or by a router.

        :param prompt_id: identifier of the prompt.
        """
        self._refused_prompts.record(prompt_id)

    def begin_answer(self, attempt: AttemptId, server: str) -> None:
        """Record that the answer to a request has begun.

        :param attempt: identifier of the attempt.
        :param server: name of the engine that processes it.
        """
        engine = self._engine_by_name.get(server)
        if engine is not None:
            engine.begin_answer(attempt)
            self._attempts.put(attempt, InFlightAttempt(server))

    def end(
        self, attempt: AttemptId, was_refused: bool = False, was_sent: bool = True
    ) -> None:
        """Record that an attempt is over.

        :param attempt: identifier of the attempt.
        :param was_refused: whether the engine refused it as full.
        :param was_sent: whether the router sent it; it does not if the admission
            arrives too late.
        """
        item = self._attempts.pop(attempt)
        if item is None:
            return
        if item.grant is not None and (was_refused or not was_sent):
            self._shares.cancel_grant(item.grant)
        self._engine_by_name[item.server].end(attempt, was_refused)
        if item.grant is not None and not was_sent:
            self._counts.add_for(item.grant.team, "unsent")

    def reconcile(self, router: str, snapshot: AttemptSnapshot) -> None:
        """Replace what is known of a router's attempts by its snapshot.

        Reports are lost when a link fails. Without a snapshot, an attempt whose end was
        not reported occupies its engine until it expires.

        :param router: host of the router.
        :param snapshot: its attempts.
        """
        waiting, running = frozenset(snapshot.waiting), frozenset(snapshot.running)
        for attempt in self._attempts.of_router(router):
            if attempt.number > snapshot.last_number or attempt.number in waiting:
                continue
            item = self._attempts.get(attempt)
            engine = self._engine_by_name[item.server]
            has_begun = attempt.number in running
            if has_begun and not engine.is_waiting(attempt):
                continue
            self._counts.add("unreported")
            engine.remove(attempt)
            if has_begun:
                self.begin_answer(attempt, item.server)
            else:
                self._attempts.pop(attempt)

    def record_unscheduled(
        self, attempt: AttemptId, team: str, prompt: Prompt, server: str
    ) -> None:
        """Record a prompt that its router sent without a decision.

        :param attempt: identifier of the attempt.
        :param team: team of the caller.
        :param prompt: the prompt.
        :param server: name of the engine.
        """
        engine = self._engine_by_name.get(server)
        if engine is None:
            return
        work = work_tokens(prompt)
        self._shares.record_demand(team, work)
        grant = self._shares.record_grant(team, work)
        blocks = prefix_blocks(prompt)
        uncached_tokens = prompt.input_tokens - engine.cached_tokens(blocks)
        self._send(attempt, prompt, engine, max(1, uncached_tokens), blocks, grant)
        self._counts.add("unscheduled")

    def restore(self, attempt: AttemptId, server: str, uncached_tokens: int) -> None:
        """Record a request that was in flight before this scheduler started.

        :param attempt: identifier of the attempt.
        :param server: name of the engine.
        :param uncached_tokens: tokens left to prefill; 0 once the answer has begun.
        """
        engine = self._engine_by_name.get(server)
        if engine is None:
            return
        self._attempts.put(attempt, InFlightAttempt(server))
        if uncached_tokens:
            engine.enqueue(attempt, uncached_tokens)
        else:
            engine.begin_answer(attempt)

    def restore_prefix(self, sent: SentPrefix) -> None:
        """Record shared parts that an engine got before this scheduler started.

        :param sent: the parts, and the start of the engine that got them.
        """
        self.pool.restore_prefix(sent)

    def remove_router(self, router: str) -> None:
        """Drop the requests of a router that is gone.

        :param router: host of the router.
        """
        for attempt in self._attempts.of_router(router):
            self.end(attempt)

    def remove_expired(self) -> None:
        """Drop requests whose end was not reported, and teams without demand."""
        self._shares.remove_idle()
        for engine in self._engine_by_name.values():
            for attempt in engine.expired_attempts():
                engine.remove(attempt)
                self._attempts.pop(attempt)

    def collect_load(self) -> EngineLoad:
        """Return the load since the previous call, and reset the counts."""
        return summarize_load(
            tuple(self._engine_by_name.values()),
            self._used_share.busy(),
            self._answer_delay.seconds,
            self._counts.collect(),
        )

    def collect_team_loads(self, count: int) -> tuple[TeamLoad, ...]:
        """Return the loads of the teams with the most demand, and reset the counts.

        :param count: number of teams.
        """
        return self._shares.loads(count, self._counts.collect_by_team())

    def _sample(self) -> None:
        """Update what changes with time alone, at intervals."""
        at_s = now()
        if at_s - self._sampled_s < SAMPLE_INTERVAL_S:
            return
        self._sampled_s = at_s
        self._shares.remove_expired(at_s)
        engines = self._engine_by_name.values()
        self.pool.refresh(at_s)
        self._used_share.record(self._open_engines(), engines, at_s)

    def _base_max_wait_s(self, request: PromptRequest) -> float:
        """Return the wait limit for teams within their fair share, in seconds."""
        target_s = request.latency_target_s
        if target_s > 0:
            decayed_s = self._strictest_target_s / TARGET_DECAY
            self._strictest_target_s = min(target_s, decayed_s)
        target_s = self._strictest_target_s
        delay_s = min(self._answer_delay.seconds, MAX_DELAY_SHARE * target_s)
        return WAIT_SHARE * (target_s - delay_s)

    def _refuse(
        self,
        request: PromptRequest,
        wait_s: float,
        max_wait_s: float,
        usage: float,
        is_late: bool,
    ) -> Refused:
        self.record_refused(request.prompt.identifier)
        retry_s = max(MIN_RETRY_S, wait_s - max_wait_s)
        if usage > 1:
            # The team's past usage leaves the window at an even rate.
            retry_s = max(retry_s, self._window_s * (1 - 1 / usage))
        if is_late:
            # It shows neither a full engine nor a team that lacks a part of its share.
            self._counts.add_for(request.team, "refused_late")
            return Refused(retry_s, usage > 1, wait_s)
        self._shares.record_refusal(request.team, usage)
        if usage > 1:
            self._counts.add_for(request.team, "refused_over_share")
        else:
            self._shares.record_saturation()
            self._counts.add_for(request.team, "refused_full")
        return Refused(retry_s, usage > 1, wait_s)
