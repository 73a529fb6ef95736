"""Model of one engine: its prefill queue, prefill rate and prefix cache."""

from collections import OrderedDict
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_fairshare.engines.prefix_cache import PrefixBlock, PrefixCache
from almondfield_fairshare.engines.requests import AttemptId, EngineServer

__all__ = ["Engine"]

INITIAL_RATE = 40_000.0  # tokens/s of a large engine, until samples correct it
MIN_RATE = 1_000.0
SAMPLE_DECAY = 0.95  # the rate averages about the last twenty prompts
MIN_SAMPLE_TOKENS = 500  # shorter prompts measure overhead, not the rate
ATTEMPT_LIFETIME_S = 20.0  # longer than callers wait for an answer
OVERHEAD_S = 0.05  # round trips, and decode steps of running requests
SHORT_DELAY_S = 0.2  # shorter delays say little about the engine's speed
FULL_BACKOFF_S = 0.3  # some of the engine's requests end in this time


@dataclass(frozen=True)
class _WaitingPrompt:
    """A prompt whose prefill is not complete.

    :ivar uncached_tokens: tokens that the engine has to prefill.
    :ivar sent_s: when the prompt was sent, in seconds of the loop's clock.
    """

    uncached_tokens: int
    sent_s: float


class Engine:
    """Predicts when one engine begins to answer.

    Prompts are prefilled in order of arrival; an answer begins when the prefill of its
    prompt ends.

    :param server: the server, as it announced itself.

    :ivar prefill_rate: prompt tokens prefilled per second while other requests run.
    """

    def __init__(self, server: EngineServer) -> None:
        self.server = server
        self._prefix_cache = PrefixCache(server.cache_tokens)
        self._waiting_by_attempt: OrderedDict[AttemptId, _WaitingPrompt] = OrderedDict()
        self._began_s_by_attempt: dict[AttemptId, float] = {}
        self._uncached_tokens = 0
        self._prefill_since_s = now()
        self._sampled_tokens = INITIAL_RATE
        self._sampled_s = 1.0
        self._backoff_until_s = float("-inf")
        self.prefill_rate = INITIAL_RATE

    @property
    def is_prefilling(self) -> bool:
        """Return whether a prompt waits for prefill or is being prefilled."""
        return bool(self._waiting_by_attempt)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self._waiting_by_attempt) + len(self._began_s_by_attempt)

    @property
    def used_slot_share(self) -> float:
        """Return the share of the engine's slots that are in use, at most 1."""
        return min(1.0, self.in_flight / max(1, self.server.slots))

    def cached_tokens(self, blocks: tuple[PrefixBlock, ...]) -> int:
        """Return how many tokens of a prompt are cached.

        :param blocks: prefix blocks of the prompt.
        """
        return self._prefix_cache.count_cached(blocks)

    def wait_s(self, at_s: float) -> float:
        """Return the predicted wait of a new prompt before prefill, in seconds.

        :param at_s: the current time, in seconds of the loop's clock.
        """
        backoff_s = self._backoff_until_s - at_s
        if not self._waiting_by_attempt:
            return max(0.0, backoff_s)
        return max(backoff_s, self._backlog_s(at_s))

    def _backlog_s(self, at_s: float) -> float:
        """Return the predicted time to prefill all waiting prompts, in seconds."""
        head = next(iter(self._waiting_by_attempt.values()))
        elapsed_s = at_s - max(self._prefill_since_s, head.sent_s)
        prefilled = min(head.uncached_tokens, elapsed_s * self.prefill_rate)
        wait_s = (self._uncached_tokens - prefilled) / self.prefill_rate
        expected_s = head.uncached_tokens / self.prefill_rate + OVERHEAD_S
        if elapsed_s > expected_s:
            # The engine has slowed down: scale the remaining time in proportion.
            slowdown = (elapsed_s + SHORT_DELAY_S) / (expected_s + SHORT_DELAY_S)
            wait_s = elapsed_s - expected_s + wait_s * slowdown
        return wait_s

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

    def enqueue(self, attempt: AttemptId, uncached_tokens: int) -> None:
        """Add a request whose answer has not begun to the prefill queue.

        :param attempt: identifier of the attempt.
        :param uncached_tokens: tokens that the engine has to prefill.
        """
        if not self._waiting_by_attempt:
            self._prefill_since_s = now()
        self._waiting_by_attempt[attempt] = _WaitingPrompt(uncached_tokens, now())
        self._uncached_tokens += uncached_tokens

    def begin_answer(self, attempt: AttemptId) -> None:
        """Record that the answer to a request has begun.

        :param attempt: identifier of the attempt.
        """
        waiting = self._waiting_by_attempt.get(attempt)
        if waiting is None:
            self._began_s_by_attempt.setdefault(attempt, now())
            return
        self._update_rate(attempt, waiting)
        self._dequeue(attempt)
        self._began_s_by_attempt[attempt] = now()

    def end(self, attempt: AttemptId, was_refused: bool = False) -> None:
        """Remove a request from the engine.

        :param attempt: identifier of the attempt.
        :param was_refused: whether the engine refused it as full.
        """
        if was_refused:
            self._backoff_until_s = now() + FULL_BACKOFF_S
        waiting = self._waiting_by_attempt.get(attempt)
        if waiting is not None:
            elapsed_s = now() - max(self._prefill_since_s, waiting.sent_s)
            if elapsed_s > waiting.uncached_tokens / self.prefill_rate + OVERHEAD_S:
                # The caller left during prefill, which took at least this long.
                self._update_rate(attempt, waiting)
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
        self._dequeue(attempt)
        self._began_s_by_attempt.pop(attempt, None)

    def expired_attempts(self) -> tuple[AttemptId, ...]:
        """Return the identifiers of attempts past their lifetime, end unreported."""
        before_s = now() - ATTEMPT_LIFETIME_S
        waiting = self._waiting_by_attempt.items()
        expired = [a for a, item in waiting if item.sent_s < before_s]
        running = self._began_s_by_attempt.items()
        expired += [a for a, began_s in running if began_s < before_s]
        return tuple(expired)

    def _update_rate(self, attempt: AttemptId, waiting: _WaitingPrompt) -> None:
        """Update the prefill rate with the measured prefill of a prompt."""
        since_s = max(self._prefill_since_s, waiting.sent_s)
        duration_s = now() - since_s
        is_first = next(iter(self._waiting_by_attempt)) == attempt
        if is_first and waiting.uncached_tokens >= MIN_SAMPLE_TOKENS and duration_s > 0:
            self._sampled_tokens *= SAMPLE_DECAY
            self._sampled_s *= SAMPLE_DECAY
            self._sampled_tokens += waiting.uncached_tokens
            self._sampled_s += duration_s
            self.prefill_rate = max(MIN_RATE, self._sampled_tokens / self._sampled_s)

    def _dequeue(self, attempt: AttemptId) -> None:
        waiting = self._waiting_by_attempt.pop(attempt, None)
        if waiting is not None:
            self._uncached_tokens -= waiting.uncached_tokens
            self._prefill_since_s = now()
