"""Admits prompts to engines.

The heaviest days ask for several times what the engines can read in time. A prompt is
admitted only where it waits a short time before it is read, so that what is admitted
begins within its target; a team that has had its share yields first. Prompts go to the
engine that keeps most of them, unless much more waits there.
"""

from collections.abc import Iterable

from almondfield_core.routing import Prompt
from almondfield_fairshare.engines.engine import Engine
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
WAIT_SHARE = 0.6  # of the strictest latency target; the rest is for reading
LOW_USE = 0.7  # teams below this part of their share may wait a little longer
LOW_USE_PATIENCE = 1.3
OVER_SHARE_PATIENCE = 0.25  # a team beyond its share gets what would be idle
LEAST_RETRY_S = 0.1
OVER_SHARE_RETRY_S = 1.0
TARGET_MEMORY = 0.999  # forgets a strict target after some thousand requests
SLOT_PENALTY_S = 0.05  # wait for each request beyond an engine's slots


class EngineScheduler:
    """Chooses an engine for each prompt, or refuses it.

    :param window_s: window of the teams' shares, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._shares = TeamShares(window_s)
        self._engine_by_name: dict[str, Engine] = {}
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

    def decide(self, request: PromptRequest, work_per_s: float) -> Decision:
        """Return the engine for a request, which counts as sent, or a refusal.

        :param request: the request.
        :param work_per_s: work of all engines a second, for the teams' shares.
        """
        prompt = request.prompt
        work = prompt.input_tokens + GENERATED_WEIGHT * _output_tokens(prompt)
        if not request.is_repeat:
            self._shares.ask(request.team, work)
        used = self._shares.used(request.team, work_per_s)
        patience_s = self._patience_s(request, used)
        engines = [
            engine
            for name, engine in self._engine_by_name.items()
            if name not in request.excluded
        ]
        if not engines:
            return Refused(LEAST_RETRY_S, False, 0.0)
        waits = {engine.server.name: _wait_s(engine) for engine in engines}
        soon = [e for e in engines if waits[e.server.name] <= patience_s]
        if not soon:
            return self._refuse(min(waits.values()), patience_s, used)
        unread = self._unread_by_name(soon, request)
        chosen = min(
            soon,
            key=lambda e: (
                waits[e.server.name] + READING_WEIGHT * unread[e.server.name] / e.rate
            ),
        )
        name = chosen.server.name
        chosen.send(request.ticket, prompt, unread[name], _output_tokens(prompt))
        self._shares.grant(request.team, work)
        return Admitted(name, unread[name], waits[name])

    def begin(self, ticket: TicketId, server: str) -> None:
        """Note that the answer of a request has begun.

        :param ticket: names it.
        :param server: engine that has it.
        """
        engine = self._engine_by_name.get(server)
        if engine is not None:
            engine.begin(ticket)

    def end(self, ticket: TicketId) -> None:
        """Note that no engine has a request any more.

        :param ticket: names it.
        """
        for engine in self._engine_by_name.values():
            engine.end(ticket)

    def restore(self, ticket: TicketId, server: str, unread_tokens: int) -> None:
        """Note a request that an engine had before this scheduler began.

        :param ticket: names it.
        :param server: the engine.
        :param unread_tokens: tokens that it has to read; 0 once its answer has begun.
        """
        engine = self._engine_by_name.get(server)
        if engine is None:
            return
        if unread_tokens:
            engine.take(ticket, unread_tokens)
        else:
            engine.begin(ticket)

    def forget_router(self, router: str) -> None:
        """Forget the requests of a router that is gone.

        :param router: its host.
        """
        for engine in self._engine_by_name.values():
            engine.forget_router(router)

    def forget_lost(self) -> None:
        """Forget requests whose end nobody told."""
        for engine in self._engine_by_name.values():
            engine.forget_lost()

    def _patience_s(self, request: PromptRequest, used: float) -> float:
        """Return the longest wait that a request may meet."""
        target_s = request.latency_target_s
        if target_s > 0:
            remembered_s = self._strictest_target_s / TARGET_MEMORY
            self._strictest_target_s = min(target_s, remembered_s)
        patience_s = WAIT_SHARE * self._strictest_target_s
        if used > 1:
            return OVER_SHARE_PATIENCE * patience_s
        if used < LOW_USE:
            return LOW_USE_PATIENCE * patience_s
        return patience_s

    def _unread_by_name(
        self, engines: list[Engine], request: PromptRequest
    ) -> dict[str, int]:
        """Return the tokens that each engine has to read of a prompt."""
        prompt = request.prompt
        unread = {e.server.name: e.unread_tokens(prompt) for e in engines}
        is_unknown = min(unread.values()) >= prompt.input_tokens
        if is_unknown and request.hint in unread and prompt.parts:
            # The router saw the shared parts there before this scheduler began.
            unread[request.hint] = max(1, prompt.parts[-1].tokens)
        return unread

    def _refuse(self, wait_s: float, patience_s: float, used: float) -> Refused:
        retry_s = max(LEAST_RETRY_S, wait_s - patience_s)
        if used > 1:
            retry_s = max(retry_s, OVER_SHARE_RETRY_S)
        return Refused(retry_s, used > 1, wait_s)


def _wait_s(engine: Engine) -> float:
    beyond = engine.in_flight + 1 - engine.server.slots
    return engine.wait_s() + SLOT_PENALTY_S * max(0, beyond)


def _output_tokens(prompt: Prompt) -> int:
    return prompt.likely_output_tokens or prompt.max_output_tokens
