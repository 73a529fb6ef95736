"""Counts what a connection holds in memory, while its requests are parsed."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from almondfield_daemon.connection_budget import ConnectionBudget, Limit, Phase
from almondfield_daemon.serving.refusals import UNAVAILABLE, encode_refusal
from almondfield_daemon.serving.request_limits import (
    REQUEST_BYTES,
    LimitExceededError,
    RequestLimits,
    RequestSize,
)
from almondfield_daemon.serving.turns import InputTurns

__all__ = ["CountedProtocol"]

# An answer that isn't read waits here, beyond the buffers of the kernel.
WRITE_BUFFER_BYTES = 16 * 1024
HEAD_COST_KEY = "head_cost"  # in the state of an ASGI scope


class CountedProtocol(InputTurns):
    """Counts a connection in the budget of its process.

    :cvar limits: limits on the parts of a request.
    :cvar budget: limits what all connections hold in memory.
    :cvar holds_bodies: whether the application holds the body of a request that runs,
        and doesn't count it itself.
    """

    limits: RequestLimits
    budget: ConnectionBudget
    holds_bodies = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The base class's cycle is of the newest request, which may wait for this one.
        self._running: RequestResponseCycle | None = None
        self._size = RequestSize(self.limits)
        self._exceeded: LimitExceededError | None = None
        self._in_head = True
        self._is_request_read = True
        self._is_discarding = False
        self._is_counted = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.budget.connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_counted = False
        self.budget.disconnect(self)
        super().connection_lost(exc)
        self._drop_heads()

    def shed(self, limit: Limit) -> None:
        """Refuse a request that isn't whole, and close the connection at once."""
        is_open = not self.transport.is_closing()
        is_open = is_open and not self.transport.get_write_buffer_size()
        if is_open and not self._is_request_read and self._may_refuse():
            detail = f"this host has reached its limit on {limit} of connections"
            self.transport.write(encode_refusal(UNAVAILABLE, limit.value, detail))
        self._is_discarding = True
        self._is_counted = False
        self._drop_request()
        if is_open:
            self.transport.close_at_once()
        else:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._is_request_read = False
        self._in_head = True
        self._heads_in_turn += 1
        self._size.begin()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self._size.add_url(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._check(self._size.add_field, len(name) + len(value))
        # Fields behind a body are no headers.
        if self._in_head:
            super().on_header(name, value)

    def on_chunk_header(self) -> None:
        """Count the framing of a chunk; called by the parser."""
        self._check(self._size.add_chunk)

    def on_response_complete(self) -> None:
        if self._running is not None:
            # The connection refers to the request until its next one.
            self._running.scope["headers"].clear()
        super().on_response_complete()
        self._count_held()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._count_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._count_held()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _cycles(self) -> tuple[RequestResponseCycle, ...]:
        """Return the requests of the connection: those that wait, newest first."""
        waiting = tuple(cycle for cycle, _ in self.pipeline)
        return waiting if self._running is None else (*waiting, self._running)

    def _unanswered_requests(self) -> tuple[RequestResponseCycle, ...]:
        """Return the whole requests that wait for their answers, newest first."""
        return tuple(
            cycle
            for cycle in self._cycles()
            if not (cycle.response_complete or cycle.more_body)
        )

    def _drop_request(self) -> None:
        """Free what was read, and end an application that reads on."""
        self._drop_unparsed()
        self._drop_heads()
        for cycle in self._cycles():
            cycle.body.clear()
            cycle.disconnected = not cycle.response_complete
            cycle.message_event.set()
        self._count_held()

    def _drop_heads(self) -> None:
        """Free the heads of requests that no application has seen.

        The parser and the protocol refer to each other, so that they stay in memory
        until the next collection of such cycles.
        """
        if self._in_head and not self._is_request_read:
            self.headers.clear()
        for cycle, _ in self.pipeline:
            cycle.scope["headers"].clear()

    def _may_refuse(self) -> bool:
        """Return whether an answer now is that of the request that isn't whole."""
        if self._unanswered_requests():
            return False
        return not (self._is_running and self.cycle.response_started)

    def _end_head(self) -> None:
        """Count what follows as body."""
        self._in_head = False
        self._size.end_head()
        self.scope["state"][HEAD_COST_KEY] = self._size.head_cost

    def _check(self, count: Callable[..., None], *sizes: int) -> None:
        """Count a part of the request.

        :raises LimitExceededError: if it exceeds a limit; the parser stops then.
        """
        try:
            count(*sizes)
        except LimitExceededError as error:
            self._exceeded = error
            raise

    def _count_framing(self, size: int) -> None:
        """Count the framing of a body, of which the parser tells only a part."""
        try:
            self._size.add_framing(size)
        except LimitExceededError as error:
            self._exceeded = error
            self.send_400_response(str(error))

    def _after_turn(self) -> None:
        self._count_held()

    def _count_held(self) -> None:
        """Count what the connection holds in memory, and for whom it waits."""
        if not self._is_counted:
            return
        held = len(self._unparsed) + self.transport.get_write_buffer_size()
        running = self._running
        if running is not None and not running.response_complete:
            held += _held_by(running)
            if self.holds_bodies:
                held += self._size.body_bytes
        for cycle, _ in self.pipeline:
            held += REQUEST_BYTES + _held_by(cycle)
        if self._in_head and not self.transport.is_closing():
            held += self._size.head_cost
        self.budget.hold(self, held, self._phase())

    def _phase(self) -> Phase:
        is_open = not self.transport.is_closing()
        if not is_open or not self._is_request_read or self.flow.write_paused:
            return Phase.WAITING
        if self._is_running:
            return Phase.WORKING
        return Phase.WAITING if self._in_head else Phase.IDLE


def _held_by(cycle: RequestResponseCycle) -> int:
    """Return what a request whose head is read holds in memory, in bytes."""
    return cycle.scope["state"][HEAD_COST_KEY] + len(cycle.body)
