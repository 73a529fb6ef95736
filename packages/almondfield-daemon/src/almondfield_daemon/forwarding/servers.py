"""Chooses backend servers for requests and keeps account of their load."""

from collections.abc import Iterable
from dataclasses import dataclass

import eliot

from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.forwarding.messages import ForwardRequest, ServerLoad
from almondfield_daemon.scheduling import EngineClient, EnginePlace
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_fairshare.engines import PromptRequest
from almondfield_fairshare.prefix_placement import Candidate, Placement, Ticket

__all__ = ["RETRY_AFTER_S", "Choice", "ServerChoice", "Unavailable"]

# Unread prompts at a server that still begin in time, of all routers together.
LOCAL_PROMPTS_PER_SERVER = 2
RETRY_AFTER_S = 0.3  # a server that failed is avoided for about as long
SLOW_READING_RATE = 20_000.0  # tokens a second; half of what large engines do


@dataclass(frozen=True)
class Unavailable:
    """Why no server takes a request now.

    :ivar detail: what is known.
    :ivar retry_after_s: when another try may succeed, in seconds.
    """

    detail: str
    retry_after_s: float = RETRY_AFTER_S


class Choice:
    """A server that one attempt is made at.

    :param server: the server.
    :param placement: keeps its record.
    :param ticket: the request's part in its load.
    :param place: its place at a model engine, told to the scheduler; None for others.
    """

    def __init__(
        self,
        server: FleetServer,
        placement: Placement,
        ticket: Ticket,
        place: EnginePlace | None = None,
    ) -> None:
        self.server = server
        self._placement = placement
        self._ticket = ticket
        self.place = place

    @property
    def reading_s(self) -> float:
        """Return how long a slow engine takes to read the prompt, its wait included."""
        if self.place is None:
            return 0.0
        wait_s = self.place.wait_s or 0.0
        return wait_s + self.place.unread_tokens / SLOW_READING_RATE

    def report(self, load: ServerLoad | None) -> None:
        """Take note of the load that the server told, if it did.

        :param load: the load.
        """
        if load is not None:
            record = self._placement.record(self.server.name)
            record.report(load.running, load.waiting)

    def begin_answer(self) -> None:
        """Note that the server has read the prompt."""
        self._ticket.begin_answer()
        if self.place is not None:
            self.place.begin_answer()

    def succeed(self) -> None:
        """Note a whole answer."""
        self._placement.record(self.server.name).succeed()

    def fail(self, reason: str) -> None:
        """Note that the server gave no answer of its own.

        :param reason: what was seen.
        """
        record = self._placement.record(self.server.name)
        was_avoided = record.is_avoided
        record.fail()
        if not was_avoided:
            eliot.log_message(
                "server:avoided",
                server=self.server.name,
                failures=record.failures,
                reason=reason,
            )

    def end(self, was_refused: bool = False) -> None:
        """Note that the attempt is over.

        :param was_refused: whether the server refused it as full.
        """
        self._ticket.end()
        if self.place is not None:
            self.place.end(was_refused)


class ServerChoice:
    """Servers of the fleet that this router may use.

    :param view: servers as they are known.
    :param placement: chooses among them.
    :param data_centre: data centre of this router.
    :param engines: the scheduler of model engines.
    """

    def __init__(
        self,
        view: FleetView,
        placement: Placement,
        data_centre: str,
        engines: EngineClient,
    ) -> None:
        self._engines = engines
        self._view = view
        self._placement = placement
        self._data_centre = data_centre
        # Servers that hold the address of an earlier one, by name and start.
        self._misdirected: set[tuple[str, int]] = set()

    async def choose(
        self, request: ForwardRequest, tried: frozenset[str], lost_server: bool = False
    ) -> Choice | Unavailable:
        """Return where to make the next attempt, or why there is none.

        :param request: the request.
        :param tried: servers that failed it already, or refused it.
        :param lost_server: whether one of them was lost with it.
        """
        prompt = request.marks.prompt if request.route.has_prompt else None
        if prompt is None:
            return self._choose_here(request, tried)
        excluded = tried | self._avoided(request.pool)
        excluded |= self._view.unusable_servers(request.pool)
        asked = PromptRequest(
            team=request.team,
            prompt=prompt,
            latency_target_s=request.route.latency_target_s,
            excluded=tuple(excluded),
            is_repeat=lost_server or bool(request.marks.last_event_id),
            waited_s=request.waited_s,
        )
        place = await self._engines.ask(request.pool, asked)
        match place:
            case EngineRefusal(retry_after_s, is_over_share, wait_s):
                reason = "the team has had its share" if is_over_share else "no room"
                detail = f"{reason}; the shortest wait is {wait_s:.3f} s"
                return Unavailable(detail, retry_after_s)
            case EnginePlace():
                server = self._find(request.pool, place.server)
                if server is not None:
                    self._engines.remember(prompt, server.name)
                    candidate = self._candidate(server, frozenset())
                    ticket = self._placement.start(candidate, prompt)
                    return Choice(server, self._placement, ticket, place)
                place.end()
        return self._choose_here(request, tried)

    def _choose_here(
        self, request: ForwardRequest, tried: frozenset[str]
    ) -> Choice | Unavailable:
        """Return a server by what this router alone knows."""
        servers = self._usable(request.pool)
        silent = self._view.silent_servers()
        candidates = tuple(self._candidate(server, silent) for server in servers)
        prompt = request.marks.prompt if request.route.has_prompt else None
        if prompt is not None and self._reads_enough(servers):
            return Unavailable("without a scheduler, enough prompts wait already")
        hint = self._engines.remembered(prompt) if prompt else ""
        chosen = self._placement.choose(candidates, prompt, tried, hint)
        if chosen is None:
            return Unavailable("no backend server of the pool takes work now")
        server = next(item for item in servers if item.name == chosen.name)
        ticket = self._placement.start(chosen, prompt)
        place = None
        if prompt is not None:
            self._engines.remember(prompt, server.name)
            place = self._engines.place(request.pool, server.name, prompt.own_tokens)
        return Choice(server, self._placement, ticket, place)

    def _reads_enough(self, servers: tuple[FleetServer, ...]) -> bool:
        """Return whether this router's part of the unread prompts is in use."""
        reading = sum(
            self._placement.record(server.name).unread_tokens > 0 for server in servers
        )
        most = LOCAL_PROMPTS_PER_SERVER * len(servers) / max(1, self._view.routers())
        return reading >= max(1, round(most))

    def _find(self, pool: str, name: str) -> FleetServer | None:
        return next((s for s in self._usable(pool) if s.name == name), None)

    def _avoided(self, pool: str) -> frozenset[str]:
        """Return servers that the scheduler must not choose; none if that is all."""
        servers = self._usable(pool)
        avoided = frozenset(
            server.name
            for server in servers
            if self._placement.record(server.name).is_avoided
        )
        return avoided if len(avoided) < len(servers) else frozenset()

    def note_misdirected(self, choice: Choice) -> None:
        """Use a server no more: another one has its address.

        :param choice: the choice.
        """
        self._misdirected.add((choice.server.name, choice.server.born_ms))

    def follow_view(self, pools: Iterable[str]) -> None:
        """Forget servers that are known no more.

        :param pools: names of all pools.
        """
        servers = [s for pool in pools for s in self._view.servers(pool)]
        self._placement.forget_all_but(server.name for server in servers)
        starts = {(server.name, server.born_ms) for server in servers}
        self._misdirected &= starts

    def _usable(self, pool: str) -> tuple[FleetServer, ...]:
        return tuple(
            server
            for server in self._view.servers(pool)
            if (server.name, server.born_ms) not in self._misdirected
        )

    def _candidate(self, server: FleetServer, silent: frozenset[str]) -> Candidate:
        return Candidate(
            name=server.name,
            slots=server.slots,
            is_near=server.data_centre == self._data_centre,
            is_silent=server.name in silent,
        )
