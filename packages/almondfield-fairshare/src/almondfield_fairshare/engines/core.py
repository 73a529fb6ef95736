"""Admits prompts to engines.

Under overload, callers ask for several times what the engines can read in time. A
prompt is admitted only where it waits a short time before it is read, so that what is
admitted begins within its target; a team that has had its share yields first. Prompts
go to the engine that keeps most of them, unless much more waits there.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_fairshare.engines.engine import Engine
from almondfield_fairshare.engines.load import BusyShare, EngineLoad
from almondfield_fairshare.engines.prefix_cache import Chain, prompt_chains
from almondfield_fairshare.engines.requests import (
    Admitted,
    Decision,
    EngineServer,
    PromptRequest,
    Refused,
    TicketId,
)
from almondfield_fairshare.engines.shares import TeamShares

__all__ = ["EngineScheduler"]

GENERATED_WEIGHT = 2.0  # work of a generated token beside one that is read
READING_WEIGHT = 2.0  # a part read again costs its time and the place of another
KEPT_PATIENCE = 1.25  # of the usual wait, where most of a prompt is kept
READ_AGAIN_WEIGHT = 0.8  # of the time for what another engine keeps
WAIT_SHARE = 0.6  # of the strictest latency target; the rest is for reading
REPEAT_PATIENCE_S = 1.2  # callers leave a stream that pauses for 2 s, reading included
LATE_SHARE = 0.8  # beyond it a team's requests that are late already yield
IDLE_SHARE = 0.6  # of the engines; with fewer, one is idle between two prompts only
LOW_USE = 0.7  # teams below this part of their share may wait a little longer
LOW_USE_PATIENCE = 1.3  # of the usual wait
OVER_SHARE_PATIENCE = 0.25  # a team beyond its share gets what would be idle
OVER_SHARE_RANGE = 0.5  # part of a share over which that falls to nothing
EASY_BUSY_SHARE = 0.5  # engines this busy have time to read prompts again
TIGHT_BUSY_SHARE = 0.8  # beyond it waits grow steeply
LEAST_RETRY_S = 0.1  # a fraction of the time that an engine reads one prompt
TARGET_MEMORY = 0.999  # forgets a strict target after some thousand requests
SLOT_PENALTY_S = 0.05  # wait for each request beyond an engine's slots


class _Offer(NamedTuple):
    """What one engine would have to do for a request.

    :ivar engine: the engine.
    :ivar wait_s: predicted wait before it reads the prompt.
    :ivar unread_tokens: tokens that it has to read.
    :ivar reading_s: how long it reads them.
    """

    # Each question makes one for each engine, so that it must be cheap to make.

    engine: Engine
    wait_s: float
    unread_tokens: int
    reading_s: float


class EngineScheduler:
    """Chooses an engine for each prompt, or refuses it.

    :param window_s: window of the teams' shares, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._shares = TeamShares(window_s)
        self._engine_by_name: dict[str, Engine] = {}
        self._server_by_ticket: dict[TicketId, str] = {}
        self._busy = BusyShare()
        self._counts: Counter[str] = Counter()
        self._strictest_target_s = float("inf")

    def set_servers(self, servers: Iterable[EngineServer]) -> None:
        """Use these engines from now on; one that started anew keeps nothing.

        :param servers: engines that take new work.
        """
        before = self._engine_by_name
        self._engine_by_name = {}
        for server in servers:
            engine = before.get(server.name)
            if engine is None or engine.server.born_ms != server.born_ms:
                engine = Engine(server)
            self._engine_by_name[server.name] = engine
        self._server_by_ticket = {
            ticket: server
            for ticket, server in self._server_by_ticket.items()
            if self._engine_by_name.get(server) is before.get(server)
        }

    def decide(
        self, ticket: TicketId, request: PromptRequest, work_per_s: float
    ) -> Decision:
        """Return the engine for a request, which counts as sent, or a refusal.

        :param ticket: names the attempt.
        :param request: the request.
        :param work_per_s: work of all engines a second, for the teams' shares.
        """
        prompt = request.prompt
        work = prompt.input_tokens + GENERATED_WEIGHT * _output_tokens(prompt)
        if not request.is_repeat:
            self._shares.ask(request.team, work)
        self._note_busy()
        used = self._shares.used(request.team, work_per_s, self._busy.value())
        full_patience_s = self._full_patience_s(request)
        # Beyond its share a team does not make engines read parts again.
        spare = _spare(self._busy.value()) if used <= 1 else 0.0
        patience_s = _patience_s(full_patience_s, used)
        if request.is_repeat:
            # Its caller has waited already, and may have a part of the answer.
            patience_s = REPEAT_PATIENCE_S
        excluded = frozenset(request.excluded)
        engines = [
            engine
            for name, engine in self._engine_by_name.items()
            if name not in excluded
        ]
        if not engines:
            return Refused(LEAST_RETRY_S, False, 0.0)
        chains = prompt_chains(prompt)
        offers = _offers(engines, request, chains)
        least_unread = min(offer.unread_tokens for offer in offers)
        if used > LATE_SHARE and _is_late(request, offers):
            # Its share goes to requests that can still be answered in time.
            patience_s = min(patience_s, 0.0)
        least_s = 0.0 if _has_time_to_spare(offers) else -math.inf
        again_weight = READ_AGAIN_WEIGHT * (1 - spare)
        limits_s = [
            max(least_s, _limit_s(offer, least_unread, patience_s, again_weight))
            for offer in offers
        ]
        # What is left goes to the team that has had least of it.
        is_ahead = used > 1 and not request.is_repeat and self._shares.is_ahead(used)
        has_room = any(o.wait_s <= limit_s for o, limit_s in zip(offers, limits_s))
        if is_ahead or not has_room:
            self._shares.note_refused(request.team, used)
            wait_s = min(offer.wait_s for offer in offers)
            return self._refuse(wait_s, patience_s, used)
        # Where one may take it, it goes where it costs the engines least.
        most_s = KEPT_PATIENCE * max(full_patience_s, patience_s)
        chosen = min(
            (o for o in offers if o.wait_s <= most_s),
            key=lambda o: o.wait_s + READING_WEIGHT * o.reading_s,
        )
        chosen.engine.send(ticket, chains, chosen.unread_tokens, _output_tokens(prompt))
        self._server_by_ticket[ticket] = chosen.engine.server.name
        self._shares.grant(request.team, work)
        self._counts["admitted"] += 1
        self._counts["unread_tokens"] += chosen.unread_tokens
        name = chosen.engine.server.name
        return Admitted(name, chosen.unread_tokens, chosen.wait_s)

    def begin(self, ticket: TicketId, server: str) -> None:
        """Note that the answer of a request has begun.

        :param ticket: names it.
        :param server: engine that has it.
        """
        engine = self._engine_by_name.get(server)
        if engine is not None:
            engine.begin(ticket)
            self._server_by_ticket[ticket] = server

    def end(self, ticket: TicketId, was_refused: bool = False) -> None:
        """Note that no engine has a request any more.

        :param ticket: names it.
        :param was_refused: whether its engine refused it as full.
        """
        engine = self._engine_by_name.get(self._server_by_ticket.pop(ticket, ""))
        if engine is not None:
            engine.end(ticket, was_refused)

    def restore(self, ticket: TicketId, server: str, unread_tokens: int) -> None:
        """Note a request that an engine had before this scheduler began.

        :param ticket: names it.
        :param server: the engine.
        :param unread_tokens: tokens that it has to read; 0 once its answer has begun.
        """
        engine = self._engine_by_name.get(server)
        if engine is None:
            return
        self._server_by_ticket[ticket] = server
        if unread_tokens:
            engine.take(ticket, unread_tokens)
        else:
            engine.begin(ticket)

    def forget_router(self, router: str) -> None:
        """Forget the requests of a router that is gone.

        :param router: its host.
        """
        for engine in self._engine_by_name.values():
            for ticket in engine.tickets():
                if ticket.router == router:
                    self.end(ticket)

    def forget_lost(self) -> None:
        """Forget requests whose end nobody told, and teams that ask no more."""
        self._shares.forget_idle()
        for engine in self._engine_by_name.values():
            for ticket in engine.lost_tickets():
                self.end(ticket)

    def take_load(self) -> EngineLoad:
        """Return the load since this was called last."""
        engines = self._engine_by_name.values()
        load = EngineLoad(
            engines=len(engines),
            busy_share=self._busy.value(),
            longest_wait_s=max(
                (engine.wait_s(now()) for engine in engines), default=0.0
            ),
            **self._counts,
        )
        self._counts.clear()
        return load

    def _note_busy(self) -> None:
        engines = self._engine_by_name.values()
        busy = sum(engine.is_reading for engine in engines)
        self._busy.note(busy / max(1, len(engines)))

    def _full_patience_s(self, request: PromptRequest) -> float:
        """Return the longest wait that requests of teams within their share meet."""
        target_s = request.latency_target_s
        if target_s > 0:
            remembered_s = self._strictest_target_s / TARGET_MEMORY
            self._strictest_target_s = min(target_s, remembered_s)
        return WAIT_SHARE * self._strictest_target_s

    def _refuse(self, wait_s: float, patience_s: float, used: float) -> Refused:
        retry_s = max(LEAST_RETRY_S, wait_s - patience_s)
        if used > 1:
            # What it had leaves the window evenly.
            retry_s = max(retry_s, self._window_s * (1 - 1 / used))
            self._counts["refused_over_share"] += 1
        else:
            self._shares.note_full()
            self._counts["refused_full"] += 1
        return Refused(retry_s, used > 1, wait_s)


def _offers(
    engines: list[Engine], request: PromptRequest, chains: tuple[Chain, ...]
) -> list[_Offer]:
    """Return what each engine would have to do for a request."""
    at_s = now()
    input_tokens = request.prompt.input_tokens
    offers = []
    for engine in engines:
        unread = max(1, input_tokens - engine.kept_tokens(chains))
        offer = _Offer(engine, _wait_s(engine, at_s), unread, unread / engine.rate)
        offers.append(offer)
    is_unknown = all(offer.unread_tokens >= input_tokens for offer in offers)
    if not is_unknown or not chains:
        return offers
    # The router saw the shared parts there before this scheduler began.
    own_tokens = max(1, request.prompt.own_tokens)
    return [
        offer._replace(
            unread_tokens=own_tokens, reading_s=own_tokens / offer.engine.rate
        )
        if offer.engine.server.name == request.hint
        else offer
        for offer in offers
    ]


def _has_time_to_spare(offers: list[_Offer]) -> bool:
    """Return whether so many engines are idle that any may read any prompt."""
    idle = sum(offer.wait_s <= 0 for offer in offers)
    return idle >= IDLE_SHARE * len(offers)


def _is_late(request: PromptRequest, offers: list[_Offer]) -> bool:
    """Return whether no engine can begin the answer within the target any more."""
    target_s = request.latency_target_s
    if request.is_repeat or target_s <= 0:
        return False
    soonest_s = min(offer.wait_s + offer.reading_s for offer in offers)
    return request.waited_s > 0 and request.waited_s + soonest_s > target_s


def _spare(busy_share: float) -> float:
    """Return 1 where the engines have time to spare, 0 where they have none."""
    tight = (busy_share - EASY_BUSY_SHARE) / (TIGHT_BUSY_SHARE - EASY_BUSY_SHARE)
    return min(1.0, max(0.0, 1 - tight))


def _patience_s(full_patience_s: float, used: float) -> float:
    """Return the longest wait for a team that has had a part of its share."""
    if used > 1:
        left = max(0.0, 1 - (used - 1) / OVER_SHARE_RANGE)
        return OVER_SHARE_PATIENCE * full_patience_s * left
    if used < LOW_USE:
        return LOW_USE_PATIENCE * full_patience_s
    return full_patience_s


def _limit_s(
    offer: _Offer, least_unread: int, patience_s: float, again_weight: float
) -> float:
    """Return the longest wait at an engine.

    Where another engine keeps more of the prompt, this one takes it only while it has
    time to spare: what it reads again it can't read for others.
    """
    again_s = (offer.unread_tokens - least_unread) / offer.engine.rate
    return KEPT_PATIENCE * patience_s - again_weight * again_s


def _wait_s(engine: Engine, at_s: float) -> float:
    wait_s = engine.wait_s(at_s)
    beyond = engine.in_flight + 1 - engine.server.slots
    return wait_s + SLOT_PENALTY_S * beyond if beyond > 0 else wait_s


def _output_tokens(prompt: Prompt) -> int:
    return prompt.likely_output_tokens or prompt.max_output_tokens
