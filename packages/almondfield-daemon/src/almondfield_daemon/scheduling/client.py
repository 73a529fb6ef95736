"""Asks the scheduler for engines and tells it what becomes of the attempts."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

import eliot
from result import Ok

from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_core.routing import Prompt
from almondfield_daemon.scheduling.messages import (
    EngineAsk,
    EngineInFlight,
    EngineProgress,
    EngineRefusal,
    EngineReply,
)
from almondfield_fairshare.engines import PromptRequest

__all__ = ["EngineClient", "EnginePlace"]

ASK_TIMEOUT_S = 0.08  # many round trips between data centres, short beside a prompt
PAUSE_AFTER_FAILURE_S = 0.3  # a fraction of an election
TELL_S = 0.02  # delays what the scheduler hears by a fraction of a prompt's reading
MAX_UNTOLD = 1000  # attempts kept for a scheduler that is not known yet
MAX_REMEMBERED = 20_000  # shared parts whose server a router remembers


class EnginePlace:
    """A request's place at an engine, told to the scheduler as it changes.

    :param client: tells the scheduler.
    :param item: the attempt.
    :param wait_s: predicted wait before the prompt is read; None without a scheduler.
    """

    def __init__(
        self,
        client: "EngineClient",
        item: EngineInFlight,
        wait_s: float | None = None,
    ) -> None:
        self.unread_tokens = item.unread_tokens
        self.wait_s = wait_s
        self._client = client
        self._item = item
        self._ended = False

    @property
    def server(self) -> str:
        """Return the name of the server."""
        return self._item.server

    def begin_answer(self) -> None:
        """Note that the answer has begun."""
        if self._item.unread_tokens:
            self._item = replace(self._item, unread_tokens=0)
            self._client.tell_begun(self._item)

    def end(self, was_refused: bool = False) -> None:
        """Note that the attempt is over.

        :param was_refused: whether the server refused it as full.
        """
        if not self._ended:
            self._ended = True
            self._client.tell_ended(replace(self._item, was_refused=was_refused))


class EngineClient:
    """The scheduler as a router reaches it.

    :param peers: messages to the other hosts.
    :param leader: returns the host that leads the control group; empty if unknown.
    """

    def __init__(self, peers: Peers, leader: Callable[[], str]) -> None:
        self._peers = peers
        self._leader = leader
        self._next_number = 0
        self._in_flight_by_number: dict[int, EngineInFlight] = {}
        self._begun: list[EngineInFlight] = []
        self._ended: list[EngineInFlight] = []
        self._told_host = ""
        self._scheduler_start = 0
        self._silent_host = ""
        self._silent_until_s = float("-inf")
        self._is_reached = False
        self._server_by_part: OrderedDict[str, str] = OrderedDict()
        self._timer: asyncio.TimerHandle | None = None

    def remembered(self, prompt: Prompt) -> str:
        """Return the server that had a prompt's shared parts last; else empty.

        :param prompt: the prompt.
        """
        return self._server_by_part.get(prompt.shared_part, "")

    def remember(self, prompt: Prompt, server: str) -> None:
        """Take note of where a prompt was sent.

        :param prompt: the prompt.
        :param server: name of the server.
        """
        part = prompt.shared_part
        if part:
            self._server_by_part[part] = server
            self._server_by_part.move_to_end(part)
            if len(self._server_by_part) > MAX_REMEMBERED:
                self._server_by_part.popitem(last=False)

    async def ask(
        self, pool: str, request: PromptRequest
    ) -> EnginePlace | EngineRefusal | None:
        """Return a place at an engine, a refusal, or None without a scheduler.

        :param pool: name of the pool.
        :param request: what an engine is asked for; the hint is added here.
        """
        host = self._leader()
        is_silent = host == self._silent_host and now() < self._silent_until_s
        if not host or is_silent:
            return None
        self._next_number += 1
        number = self._next_number
        request = replace(request, hint=self.remembered(request.prompt))
        question = EngineAsk(pool, number, request)
        try:
            answer = await self._peers.ask(host, question, ASK_TIMEOUT_S)
        except asyncio.CancelledError:
            # The scheduler may have counted the attempt as sent.
            self.tell_ended(EngineInFlight(number, pool, "", 0))
            raise
        match answer:
            case Ok(EngineReply() as reply):
                self._note_scheduler(host, reply.scheduler_start)
                item = EngineInFlight(number, pool, reply.server, reply.unread_tokens)
                self._in_flight_by_number[number] = item
                return EnginePlace(self, item, reply.wait_s)
            case Ok(EngineRefusal() as refusal):
                self._note_scheduler(host, refusal.scheduler_start)
                return refusal
            case _:
                self.tell_ended(EngineInFlight(number, pool, "", 0))
                self._note_silence(host)
                return None

    def place(self, pool: str, server: str, unread_tokens: int) -> EnginePlace:
        """Return a place that this router chose without a scheduler.

        :param pool: name of the pool.
        :param server: name of the server.
        :param unread_tokens: prompt tokens that the server has to read.
        """
        self._next_number += 1
        item = EngineInFlight(self._next_number, pool, server, max(1, unread_tokens))
        self._in_flight_by_number[item.number] = item
        return EnginePlace(self, item)

    def tell_begun(self, item: EngineInFlight) -> None:
        """Tell the scheduler that an answer has begun.

        :param item: the attempt.
        """
        if item.number in self._in_flight_by_number:
            self._in_flight_by_number[item.number] = item
        self._begun.append(item)
        self._tell_soon()

    def tell_ended(self, item: EngineInFlight) -> None:
        """Tell the scheduler that an attempt is over.

        :param item: the attempt.
        """
        self._in_flight_by_number.pop(item.number, None)
        self._ended.append(item)
        self._tell_soon()

    def _note_scheduler(self, host: str, start: int) -> None:
        if not self._is_reached:
            self._is_reached = True
            eliot.log_message("scheduler:reached", scheduler=host)
        if (host, start) == (self._told_host, self._scheduler_start):
            return
        self._told_host, self._scheduler_start = host, start
        in_flight = tuple(self._in_flight_by_number.values())
        # What ended before may have been counted as sent by this scheduler, too.
        progress = EngineProgress(ended=tuple(self._ended), in_flight=in_flight)
        self._begun.clear()
        self._ended.clear()
        self._peers.send(host, progress)

    def _note_silence(self, host: str) -> None:
        self._silent_host = host
        self._silent_until_s = now() + PAUSE_AFTER_FAILURE_S
        if self._is_reached:
            self._is_reached = False
            eliot.log_message("scheduler:lost", scheduler=host)

    def _tell_soon(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TELL_S, self._tell)

    def _tell(self) -> None:
        self._timer = None
        if not self._told_host:
            del self._begun[:-MAX_UNTOLD], self._ended[:-MAX_UNTOLD]
            return
        progress = EngineProgress(tuple(self._begun), tuple(self._ended))
        self._peers.send(self._told_host, progress)
        self._begun.clear()
        self._ended.clear()
