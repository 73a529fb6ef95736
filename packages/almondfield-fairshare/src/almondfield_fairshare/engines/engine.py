"""Model of one engine: its prefill queue, prefill rate and prefix cache."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_fairshare.engines.answer_delay import AnswerDelay
from almondfield_fairshare.engines.prefix_cache import PrefixBlock, PrefixCache
from almondfield_fairshare.engines.requests import AttemptId, EngineServer
from almondfield_fairshare.server_speed import Slowdown

__all__ = ["INITIAL_RATE", "Engine", "bounded_loss_s"]

INITIAL_RATE = 40_000.0  # tokens/s of a large engine, until samples correct it
MIN_RATE = 1_000.0
SAMPLE_DECAY = 0.95  # the rate averages about the last twenty prompts
MIN_SAMPLE_TOKENS = 500  # shorter prompts measure overhead, not the rate
ATTEMPT_LIFETIME_S = 20.0  # longer than callers wait for an answer
MIN_PREFILL_DELAYS = 2.0  # shorter prefills at an idle engine measure the delay
MIN_DURATION_SHARE = 0.25  # of the expected one; shorter ones show a short delay
TOLERANCE_S = 0.05  # delays vary by so much
SHORT_DELAY_S = 0.2  # shorter delays say little about the engine's speed
SLOT_PENALTY_S = 0.05  # added wait per request beyond an engine's slots
FULL_BACKOFF_S = 0.3  # some of the engine's requests end in this time


@dataclass(frozen=True)
class _WaitingPrompt:
    """A prompt whose prefill is not complete.

    :ivar uncached_tokens: tokens that the engine has to prefill.
    :ivar sent_s: when the prompt was sent, in seconds of the loop's clock.
    :ivar wait_s: wait before its prefill as it was predicted then, in seconds.
    """

    uncached_tokens: int
    sent_s: float
    wait_s: float


class Engine:
    """Predicts when one engine begins to answer.

    Prompts are prefilled in order of arrival; the first event of an answer is reported
    some time after the prefill of its prompt, while the engine prefills others.

    :param server: the server, as it announced itself.
    :param answer_delay: that time, over all engines of the pool.
    :param initial_rate: prompt tokens per second until samples correct it.

    The prefill rate is that of the engine's mean speed. The times below hold what a
    momentary slowdown has cost until the last refresh; :attr:`ready_s` also holds what
    it is expected to cost.

    Decisions look at many engines, so what they need is kept in attributes.

    :ivar slowdown: momentary slowdown that the engine reported.
    :ivar prefill_rate: prompt tokens prefilled per second while other requests run.
    :ivar samples: number of samples of the prefill rate.
    :ivar ready_s: when the prefill of a new prompt is expected to begin, in seconds of
        the loop's clock; an earlier time than now for an idle engine.
    :ivar slot_wait_s: added wait of a new prompt if it is beyond the engine's slots, in
        seconds.
    :ivar used_slot_share: share of the engine's slots that are in use, at most 1.
    :ivar idle_from_s: when all waiting prompts are expected to be prefilled, in seconds
        of the loop's clock.
    :ivar due_s: when the first answer is expected to have begun, in seconds of the
        loop's clock; infinite if no prompt waits.
    :ivar is_slowed: whether it is slower or faster than usual now.
    :ivar loss_ratio: added time of a new prompt for each second of its prefill, while
        the slowdown lasts.
    :ivar loss_left_s: what the slowdown adds to a new prompt's prefill at most, in
        seconds; negative if the engine is faster than usual.
    :ivar advanced_s: until when the times above hold what the slowdown has cost, in
        seconds of the loop's clock.
    :ivar cached_parts: keys of the cached prefixes.
    """

    def __init__(
        self,
        server: EngineServer,
        answer_delay: AnswerDelay,
        initial_rate: float = INITIAL_RATE,
    ) -> None:
        self.server = server
        self.slowdown = Slowdown()
        self._answer_delay = answer_delay
        self._prefix_cache = PrefixCache(server.cache_tokens)
        self._waiting_by_attempt: OrderedDict[AttemptId, _WaitingPrompt] = OrderedDict()
        self._began_s_by_attempt: dict[AttemptId, float] = {}
        self._reported_s = now()  # the last time that a waiting prompt began or left
        self._prefilled_s = now()  # when the prefill of that prompt ended
        self._sampled_tokens = initial_rate
        self._sampled_s = 1.0
        self._backoff_until_s = float("-inf")
        self.prefill_rate = initial_rate
        self.samples = 0
        self.is_slowed = False
        self.loss_ratio = 0.0
        self.loss_left_s = 0.0
        self._loss_after_s = 0.0
        self.advanced_s = now()
        self.idle_from_s = now()
        self.due_s = math.inf
        self.cached_parts = self._prefix_cache.tokens_by_key.keys()
        self.refresh(now())

    def refresh(self, at_s: float) -> None:
        """Update the predicted wait, which rises while the engine is late or slow.

        :param at_s: the current time, in seconds of the loop's clock.
        """
        added_s = 0.0
        if self.is_slowed:
            self._advance(at_s)
        wait_s = self.wait_s(at_s)
        if self.is_slowed:
            added_s = bounded_loss_s(wait_s * self.loss_ratio, self._loss_after_s)
            self.loss_left_s = self._loss_after_s - added_s
        self.ready_s = at_s + wait_s + added_s
        slots = max(1, self.server.slots)
        self.used_slot_share = min(1.0, self.in_flight / slots)
        beyond = max(0, self.in_flight + 1 - self.server.slots)
        self.slot_wait_s = SLOT_PENALTY_S * beyond

    def record_slowdown(self, slowdown: float, measured_s: float) -> None:
        """Record how long work takes at the engine now.

        :param slowdown: the time as a multiple of the usual one.
        :param measured_s: when the engine reported it, in seconds of the loop's clock.
        """
        at_s = now()
        self._advance(at_s)
        if self.slowdown.record(slowdown, measured_s):
            self._look_ahead(at_s)
            self.refresh(at_s)

    def _advance(self, at_s: float) -> None:
        """Add the time that the slowdown has cost since the last call."""
        if not self.is_slowed:
            return
        before_s, from_s = self._loss_after_s, self.advanced_s
        self._look_ahead(at_s)
        if self.idle_from_s > from_s:
            self.idle_from_s += before_s - self._loss_after_s
            self.due_s += before_s - self._loss_after_s

    def _look_ahead(self, at_s: float) -> None:
        """Update what the slowdown is expected to cost from now on."""
        self.advanced_s = at_s
        lost_share, self._loss_after_s = self.slowdown.outlook(at_s)
        self.is_slowed = lost_share != 0
        self.loss_ratio = lost_share / (1 - lost_share)
        self.loss_left_s = self._loss_after_s

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self._waiting_by_attempt) + len(self._began_s_by_attempt)

    def cached_tokens(self, blocks: tuple[PrefixBlock, ...]) -> int:
        """Return how many tokens of a prompt are cached.

        :param blocks: prefix blocks of the prompt.
        """
        return self._prefix_cache.count_cached(blocks)

    def wait_s(self, at_s: float) -> float:
        """Return the predicted wait of a new prompt at the mean speed, in seconds.

        :param at_s: the current time, in seconds of the loop's clock.
        """
        backoff_s = self._backoff_until_s - at_s
        backlog_s = self._backlog_s(at_s) if self._waiting_by_attempt else 0.0
        return backlog_s if backlog_s > backoff_s else backoff_s

    def _backlog_s(self, at_s: float) -> float:
        """Return the predicted time to prefill all waiting prompts, in seconds."""
        if at_s <= self.due_s:
            return self.idle_from_s - at_s if self.idle_from_s > at_s else 0.0
        # The engine has slowed down: scale the remaining time in proportion.
        head = next(iter(self._waiting_by_attempt.values()))
        overdue_s = at_s - self.due_s
        expected_s = self.due_s - max(self._prefilled_s, head.sent_s)
        slowdown = 1 + overdue_s / (expected_s + SHORT_DELAY_S)
        return overdue_s + self._remaining_s(head) * slowdown

    def _remaining_s(self, head: _WaitingPrompt) -> float:
        """Return the prefill time of all waiting prompts but the first, in seconds."""
        tokens = sum(item.uncached_tokens for item in self._waiting_by_attempt.values())
        return (tokens - head.uncached_tokens) / self.prefill_rate

    def send(
        self,
        attempt: AttemptId,
        blocks: tuple[PrefixBlock, ...],
        uncached_tokens: int,
        output_tokens: int,
    ) -> None:
        """Record a request sent to the engine, and cache its prompt.

        :param attempt: identifier of the attempt.
        :param blocks: prefix blocks of the prompt.
        :param uncached_tokens: tokens that the engine has to prefill.
        :param output_tokens: expected length of the answer in tokens.
        """
        self.enqueue(attempt, uncached_tokens)
        self._prefix_cache.add(blocks, output_tokens)

    def restore_prefix(self, blocks: tuple[PrefixBlock, ...]) -> None:
        """Record shared parts that were sent to the engine before.

        :param blocks: their prefix blocks.
        """
        self._prefix_cache.restore(blocks)

    def enqueue(self, attempt: AttemptId, uncached_tokens: int) -> None:
        """Add a request whose answer has not begun to the prefill queue.

        :param attempt: identifier of the attempt.
        :param uncached_tokens: tokens that the engine has to prefill.
        """
        self._advance(now())
        wait_s = max(0.0, self.idle_from_s - now())
        prompt = _WaitingPrompt(uncached_tokens, now(), wait_s)
        self._waiting_by_attempt[attempt] = prompt
        self.idle_from_s = now() + wait_s + uncached_tokens / self.prefill_rate
        if len(self._waiting_by_attempt) == 1:
            self._set_due(prompt)
        self.refresh(now())

    def begin_answer(self, attempt: AttemptId) -> None:
        """Record that the answer to a request has begun.

        :param attempt: identifier of the attempt.
        """
        waiting = self._waiting_by_attempt.get(attempt)
        if waiting is None:
            self._began_s_by_attempt.setdefault(attempt, now())
        else:
            self._record_prefill(attempt, waiting)
            self._dequeue(attempt, now() - self._answer_delay.seconds)
            self._began_s_by_attempt[attempt] = now()
        self.refresh(now())

    def end(self, attempt: AttemptId, was_refused: bool = False) -> None:
        """Remove a request from the engine.

        :param attempt: identifier of the attempt.
        :param was_refused: whether the engine refused it as full.
        """
        if was_refused:
            self._backoff_until_s = now() + FULL_BACKOFF_S
        waiting = self._waiting_by_attempt.get(attempt)
        if waiting is not None:
            expected_s = waiting.uncached_tokens / self.prefill_rate + TOLERANCE_S
            duration_s = self._prefill_duration_s(waiting)
            is_first = next(iter(self._waiting_by_attempt)) == attempt
            if is_first and duration_s > expected_s:
                # The caller left during prefill, which took at least this long.
                self._update_rate(waiting.uncached_tokens, duration_s)
        self.remove(attempt)

    def is_waiting(self, attempt: AttemptId) -> bool:
        """Return whether the answer to a request has not begun.

        :param attempt: identifier of the attempt.
        """
        return attempt in self._waiting_by_attempt

    def remove(self, attempt: AttemptId) -> None:
        """Remove a request without a sample of the prefill rate.

        :param attempt: identifier of the attempt.
        """
        self._dequeue(attempt, now())
        self._began_s_by_attempt.pop(attempt, None)
        self.refresh(now())

    def expired_attempts(self) -> tuple[AttemptId, ...]:
        """Return the identifiers of attempts past their lifetime, end unreported."""
        before_s = now() - ATTEMPT_LIFETIME_S
        waiting = self._waiting_by_attempt.items()
        expired = [a for a, item in waiting if item.sent_s < before_s]
        running = self._began_s_by_attempt.items()
        expired += [a for a, began_s in running if began_s < before_s]
        return tuple(expired)

    def _prefill_duration_s(self, waiting: _WaitingPrompt) -> float:
        """Return how long a prefill took if its answer is reported as begun now.

        What a slowdown has cost is not included.
        """
        delay_s = self._answer_delay.seconds
        begun_s = max(self._reported_s, waiting.sent_s + delay_s)
        loss_s = self.slowdown.loss_s(begun_s - delay_s, now() - delay_s)
        return now() - begun_s - loss_s

    def _record_prefill(self, attempt: AttemptId, waiting: _WaitingPrompt) -> None:
        """Record the measured prefill of a prompt and the delay of its answer."""
        if next(iter(self._waiting_by_attempt)) != attempt:
            return
        expected_s = waiting.uncached_tokens / self.prefill_rate
        delay_s = self._answer_delay.seconds
        was_queued = waiting.sent_s + delay_s <= self._reported_s
        is_long = expected_s > MIN_PREFILL_DELAYS * delay_s
        predicted_s = waiting.wait_s + expected_s
        loss_s = self.slowdown.loss_s(waiting.sent_s, now() - delay_s)
        loss_s -= (1 - self.slowdown.mean_speed) * predicted_s
        self._answer_delay.record(
            now() - waiting.sent_s - predicted_s - loss_s, waiting.wait_s > 0
        )
        if was_queued or is_long:
            duration_s = self._prefill_duration_s(waiting)
            duration_s = max(duration_s, MIN_DURATION_SHARE * expected_s)
            self._update_rate(waiting.uncached_tokens, duration_s)

    def _update_rate(self, tokens: int, duration_s: float) -> None:
        if tokens >= MIN_SAMPLE_TOKENS:
            self.samples += 1
            self._sampled_tokens *= SAMPLE_DECAY
            self._sampled_s *= SAMPLE_DECAY
            self._sampled_tokens += tokens
            self._sampled_s += duration_s
            usual_rate = self._sampled_tokens / self._sampled_s
            self.prefill_rate = max(MIN_RATE, usual_rate * self.slowdown.mean_speed)

    def _dequeue(self, attempt: AttemptId, prefilled_s: float) -> None:
        """Remove a waiting prompt.

        :param attempt: identifier of the attempt.
        :param prefilled_s: until when the engine was busy with it and those before.
        """
        if self._waiting_by_attempt.pop(attempt, None) is None:
            return
        self._reported_s = now()
        self._prefilled_s = prefilled_s
        self.idle_from_s = prefilled_s
        for item in self._waiting_by_attempt.values():
            begun_s = max(self.idle_from_s, item.sent_s)
            self.idle_from_s = begun_s + item.uncached_tokens / self.prefill_rate
        self.due_s = math.inf
        if self._waiting_by_attempt:
            head = next(iter(self._waiting_by_attempt.values()))
            self._set_due(head)
            if self.is_slowed:
                self.advanced_s = now()
                lost_share, self._loss_after_s = self.slowdown.outlook(now())
                loss_s = (now() - max(prefilled_s, head.sent_s)) * lost_share
                self.idle_from_s += loss_s
                self.due_s += loss_s

    def _set_due(self, head: _WaitingPrompt) -> None:
        """Set when the answer to the first waiting prompt is expected to have begun."""
        self.due_s = max(self._prefilled_s, head.sent_s)
        self.due_s += head.uncached_tokens / self.prefill_rate
        self.due_s += self._answer_delay.seconds + TOLERANCE_S


def bounded_loss_s(loss_s: float, limit_s: float) -> float:
    """Return a loss or gain of time, at most a limit of the same sign.

    :param loss_s: the loss in seconds; negative for a gain.
    :param limit_s: the limit in seconds.
    """
    is_within = -limit_s < loss_s < limit_s or limit_s < loss_s < -limit_s
    return loss_s if is_within else limit_s
