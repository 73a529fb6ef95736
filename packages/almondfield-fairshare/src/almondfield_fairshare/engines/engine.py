"""A model of one engine: what it has yet to read, how fast it reads, what it keeps."""

from collections import OrderedDict
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_fairshare.engines.prefix_cache import Chain, KeptParts
from almondfield_fairshare.engines.requests import EngineServer, TicketId

__all__ = ["Engine"]

FIRST_RATE = 40_000.0  # tokens read a second by a large engine; corrected soon
LEAST_RATE = 1_000.0
SAMPLE_DECAY = 0.95  # about the last twenty prompts decide the rate
LEAST_SAMPLE_TOKENS = 500  # a shorter prompt tells of overheads, not of the rate
LOST_AFTER_S = 20.0  # longer than callers wait for an answer
OVERHEAD_S = 0.05  # round trips, and steps of the requests that run already
SHORT_DELAY_S = 0.2  # a delay below it says little of the engine's speed
FULL_PAUSE_S = 0.3  # a few of its requests end meanwhile


@dataclass(frozen=True)
class _Waiting:
    """A prompt that the engine has not read yet.

    :ivar unread_tokens: tokens that it has to read.
    :ivar sent_s: when it was sent, in seconds of the loop's clock.
    """

    unread_tokens: int
    sent_s: float


class Engine:
    """Predicts when an engine begins to answer.

    Prompts are read in order of arrival; the answer begins once its prompt is read.

    :param server: the server, as it announced itself.

    :ivar rate: prompt tokens that it reads a second beside its running work.
    """

    def __init__(self, server: EngineServer) -> None:
        self.server = server
        self._kept = KeptParts(server.cache_tokens)
        self._waiting_by_ticket: OrderedDict[TicketId, _Waiting] = OrderedDict()
        self._running_s_by_ticket: dict[TicketId, float] = {}
        self._unread_tokens = 0
        self._reading_since_s = now()
        self._sampled_tokens = FIRST_RATE
        self._sampled_s = 1.0
        self._paused_until_s = float("-inf")
        self.rate = FIRST_RATE

    @property
    def is_reading(self) -> bool:
        """Return whether it has a prompt that it has not read."""
        return bool(self._waiting_by_ticket)

    @property
    def in_flight(self) -> int:
        """Return how many requests it has."""
        return len(self._waiting_by_ticket) + len(self._running_s_by_ticket)

    def kept_tokens(self, chains: tuple[Chain, ...]) -> int:
        """Return how many tokens of a prompt it keeps.

        :param chains: parts of the prompt.
        """
        return self._kept.count(chains)

    def wait_s(self, at_s: float) -> float:
        """Return how long a new prompt waits before it is read.

        :param at_s: the time now, in seconds of the loop's clock.
        """
        paused_s = self._paused_until_s - at_s
        if not self._waiting_by_ticket:
            return max(0.0, paused_s)
        return max(paused_s, self._backlog_s(at_s))

    def _backlog_s(self, at_s: float) -> float:
        """Return how long it reads the prompts that it has."""
        head = next(iter(self._waiting_by_ticket.values()))
        elapsed_s = at_s - max(self._reading_since_s, head.sent_s)
        read = min(head.unread_tokens, elapsed_s * self.rate)
        wait_s = (self._unread_tokens - read) / self.rate
        expected_s = head.unread_tokens / self.rate + OVERHEAD_S
        if elapsed_s > expected_s:
            # It is slower than it was: what is left takes longer in proportion.
            slowness = (elapsed_s + SHORT_DELAY_S) / (expected_s + SHORT_DELAY_S)
            wait_s = elapsed_s - expected_s + wait_s * slowness
        return wait_s

    def send(
        self,
        ticket: TicketId,
        chains: tuple[Chain, ...],
        unread_tokens: int,
        output_tokens: int,
    ) -> None:
        """Note that a request is sent.

        :param ticket: names it.
        :param chains: parts of its prompt.
        :param unread_tokens: tokens that the engine has to read.
        :param output_tokens: expected length of the answer in tokens.
        """
        self.take(ticket, unread_tokens)
        self._kept.add(chains, output_tokens)

    def take(self, ticket: TicketId, unread_tokens: int) -> None:
        """Note that the engine has a request whose answer has not begun.

        :param ticket: names it.
        :param unread_tokens: tokens that the engine has to read.
        """
        if not self._waiting_by_ticket:
            self._reading_since_s = now()
        self._waiting_by_ticket[ticket] = _Waiting(unread_tokens, now())
        self._unread_tokens += unread_tokens

    def begin(self, ticket: TicketId) -> None:
        """Note that the answer of a request has begun.

        :param ticket: names it.
        """
        waiting = self._waiting_by_ticket.get(ticket)
        if waiting is None:
            self._running_s_by_ticket.setdefault(ticket, now())
            return
        self._sample(ticket, waiting)
        self._drop(ticket)
        self._running_s_by_ticket[ticket] = now()

    def end(self, ticket: TicketId, was_refused: bool = False) -> None:
        """Note that the engine has a request no more.

        :param ticket: names it.
        :param was_refused: whether the engine refused it as full.
        """
        if was_refused:
            self._paused_until_s = now() + FULL_PAUSE_S
        waiting = self._waiting_by_ticket.get(ticket)
        if waiting is not None:
            elapsed_s = now() - max(self._reading_since_s, waiting.sent_s)
            if elapsed_s > waiting.unread_tokens / self.rate + OVERHEAD_S:
                # Its caller left before it was read: it took that long at least.
                self._sample(ticket, waiting)
        self._drop(ticket)
        self._running_s_by_ticket.pop(ticket, None)

    def tickets(self) -> tuple[TicketId, ...]:
        """Return the names of the requests that it has."""
        return (*self._waiting_by_ticket, *self._running_s_by_ticket)

    def lost_tickets(self) -> tuple[TicketId, ...]:
        """Return the names of the requests whose end nobody told."""
        before_s = now() - LOST_AFTER_S
        waiting = self._waiting_by_ticket.items()
        lost = [t for t, item in waiting if item.sent_s < before_s]
        running = self._running_s_by_ticket.items()
        lost += [t for t, began_s in running if began_s < before_s]
        return tuple(lost)

    def _sample(self, ticket: TicketId, waiting: _Waiting) -> None:
        """Learn the rate from a prompt that was read."""
        since_s = max(self._reading_since_s, waiting.sent_s)
        took_s = now() - since_s
        is_first = next(iter(self._waiting_by_ticket)) == ticket
        if is_first and waiting.unread_tokens >= LEAST_SAMPLE_TOKENS and took_s > 0:
            self._sampled_tokens *= SAMPLE_DECAY
            self._sampled_s *= SAMPLE_DECAY
            self._sampled_tokens += waiting.unread_tokens
            self._sampled_s += took_s
            self.rate = max(LEAST_RATE, self._sampled_tokens / self._sampled_s)

    def _drop(self, ticket: TicketId) -> None:
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._unread_tokens -= waiting.unread_tokens
            self._reading_since_s = now()
