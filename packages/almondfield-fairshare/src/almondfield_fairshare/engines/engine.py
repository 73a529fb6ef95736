"""A model of one engine: what it has yet to read, how fast it reads, what it keeps."""

from collections import OrderedDict
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_fairshare.engines.kept import KeptParts
from almondfield_fairshare.engines.requests import EngineServer, TicketId

__all__ = ["Engine"]

FIRST_RATE = 40_000.0  # tokens read a second by a large engine; corrected soon
LEAST_RATE = 1_000.0
SAMPLE_DECAY = 0.95  # about the last twenty prompts decide the rate
LEAST_SAMPLE_TOKENS = 500  # a shorter prompt tells of overheads, not of the rate
LOST_AFTER_S = 20.0  # longer than callers wait for an answer


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

    @property
    def rate(self) -> float:
        """Return how many prompt tokens it reads a second beside its running work."""
        return max(LEAST_RATE, self._sampled_tokens / self._sampled_s)

    @property
    def in_flight_unread(self) -> int:
        """Return how many prompts it has yet to read."""
        return len(self._waiting_by_ticket)

    @property
    def in_flight(self) -> int:
        """Return how many requests it has."""
        return len(self._waiting_by_ticket) + len(self._running_s_by_ticket)

    def unread_tokens(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt it has to read.

        :param prompt: the prompt.
        """
        return max(1, prompt.input_tokens - self._kept.count(prompt))

    def wait_s(self) -> float:
        """Return how long a new prompt waits before it is read."""
        if not self._waiting_by_ticket:
            return 0.0
        head = next(iter(self._waiting_by_ticket.values()))
        since_s = max(self._reading_since_s, head.sent_s)
        read = min(head.unread_tokens, (now() - since_s) * self.rate)
        return (self._unread_tokens - read) / self.rate

    def send(
        self, ticket: TicketId, prompt: Prompt, unread_tokens: int, output_tokens: int
    ) -> None:
        """Note that a request is sent.

        :param ticket: names it.
        :param prompt: its prompt.
        :param unread_tokens: tokens that the engine has to read.
        :param output_tokens: expected length of the answer in tokens.
        """
        self.take(ticket, unread_tokens)
        self._kept.add(prompt, output_tokens)

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

    def end(self, ticket: TicketId) -> None:
        """Note that the engine has a request no more.

        :param ticket: names it.
        """
        self._drop(ticket)
        self._running_s_by_ticket.pop(ticket, None)

    def forget_router(self, router: str) -> None:
        """Forget the requests of a router that is gone.

        :param router: its host.
        """
        for tickets in (self._waiting_by_ticket, self._running_s_by_ticket):
            for ticket in [t for t in tickets if t.router == router]:
                self.end(ticket)

    def forget_lost(self) -> None:
        """Forget requests whose end nobody told."""
        before_s = now() - LOST_AFTER_S
        waiting = self._waiting_by_ticket.items()
        lost = [t for t, item in waiting if item.sent_s < before_s]
        running = self._running_s_by_ticket.items()
        lost += [t for t, began_s in running if began_s < before_s]
        for ticket in lost:
            self.end(ticket)

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

    def _drop(self, ticket: TicketId) -> None:
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._unread_tokens -= waiting.unread_tokens
            self._reading_since_s = now()
