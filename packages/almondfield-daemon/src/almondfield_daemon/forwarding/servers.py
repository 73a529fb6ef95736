"""Selects backend servers for requests and tracks their load."""

from collections.abc import Iterable
from dataclasses import dataclass

import eliot

from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.forwarding.counts import RefusalCause, RequestCounts
from almondfield_daemon.forwarding.messages import ForwardRequest, ServerLoad
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.scheduling import EngineAssignment, EngineClient
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_fairshare.engines import PromptRequest
from almondfield_fairshare.prefix_placement import Candidate, InFlightRequest, Placement

__all__ = ["RETRY_AFTER_S", "SelectedServer", "ServerSelector", "Unavailable"]

# Concurrent prefills per server, over all routers; more would start too late.
LOCAL_PREFILLS_PER_SERVER = 2
RETRY_AFTER_S = 0.3  # about as long as a failed server is avoided
SLOW_PREFILL_TOKENS_PER_S = 20_000.0  # half the rate of large engines


@dataclass(frozen=True)
class Unavailable:
    """The reason why no server accepts a request now.

    :ivar detail: description of the reason.
    :ivar cause: the kind of reason, for the counts.
    :ivar retry_after_s: seconds after which a retry may succeed.
    """

    detail: str
    cause: RefusalCause
    retry_after_s: float = RETRY_AFTER_S


class SelectedServer:
    """The server selected for one attempt.

    :param server: the server.
    :param placement: holds the load record of the server.
    :param in_flight: the attempt's share of that load.
    :param host_delay: delay of this host.
    :param assignment: the assignment to a model engine, reported to the scheduler; None
        for other servers.
    """

    def __init__(
        self,
        server: FleetServer,
        placement: Placement,
        in_flight: InFlightRequest,
        host_delay: HostDelay,
        assignment: EngineAssignment | None = None,
    ) -> None:
        self.server = server
        self._host_delay = host_delay
        self._placement = placement
        self._in_flight = in_flight
        self.assignment = assignment

    @property
    def time_to_first_token_s(self) -> float:
        """Return the wait and prefill time of a slow engine, in seconds."""
        if self.assignment is None:
            return 0.0
        wait_s = self.assignment.wait_s or 0.0
        return wait_s + self.assignment.uncached_tokens / SLOW_PREFILL_TOKENS_PER_S

    def record_load(self, load: ServerLoad | None) -> None:
        """Record the load that the server reported.

        :param load: the load; None if the server reported none.
        """
        if load is not None:
            record = self._placement.record(self.server.name)
            record.record_load(load.running, load.waiting)

    def begin_answer(self) -> None:
        """Record that prefill has finished."""
        self._in_flight.begin_answer()
        if self.assignment is not None:
            self.assignment.begin_answer()

    def record_success(self) -> None:
        """Record a complete answer."""
        self._placement.record(self.server.name).record_success()

    def record_failure(self, reason: str, timed_out: bool = False) -> None:
        """Record that the server gave no answer of its own.

        :param reason: description of the failure.
        :param timed_out: whether it did not answer within a timeout. While this host
            itself is late, one timeout in a row shows nothing.
        """
        record = self._placement.record(self.server.name)
        if timed_out and self._host_delay.is_late and not record.timeouts:
            record.timeouts += 1
            eliot.log_message(
                "server:timeout-ignored",
                server=self.server.name,
                reason=reason,
                host_delay_ms=round(self._host_delay.seconds() * 1000, 1),
            )
            return
        was_avoided = record.is_avoided
        record.record_failure()
        if not was_avoided:
            eliot.log_message(
                "server:avoided",
                server=self.server.name,
                failures=record.failures,
                reason=reason,
            )

    def end(self, was_refused: bool = False) -> None:
        """Record the end of the attempt.

        :param was_refused: whether the server refused it because it was full.
        """
        self._in_flight.end()
        if self.assignment is not None:
            self.assignment.end(was_refused)


class ServerSelector:
    """Selects servers of the fleet for this router's requests.

    :param view: known servers and routers.
    :param placement: chooses among the servers.
    :param data_centre: data centre of this router.
    :param engines: client of the scheduler of model engines.
    :param host_delay: delay of this host.
    :param counts: counts refusals.
    """

    def __init__(
        self,
        view: FleetView,
        placement: Placement,
        data_centre: str,
        engines: EngineClient,
        host_delay: HostDelay,
        counts: RequestCounts | None = None,
    ) -> None:
        self._host_delay = host_delay
        self._counts = counts or RequestCounts()
        self._engines = engines
        self._view = view
        self._placement = placement
        self._data_centre = data_centre
        # (name, start) of servers whose address now belongs to another server.
        self._misdirected: set[tuple[str, int]] = set()

    def held_refusal(self, pool: str, team: str) -> Unavailable | None:
        """Return a refusal of a team's prompts that still holds; None for none.

        :param pool: name of a pool of engines.
        :param team: name of the team, whose next request asks the scheduler if None is
            returned.
        """
        held = self._engines.held_refusal(pool, team)
        if held is None:
            return None
        self._counts.record_refusal(team, RefusalCause.HELD_SHARE)
        return _unavailable(held, RefusalCause.HELD_SHARE)

    async def choose(
        self,
        request: ForwardRequest,
        tried: frozenset[str],
        has_lost_server: bool = False,
        version: str | None = None,
    ) -> SelectedServer | Unavailable:
        """Return the server for the next attempt, or why there is none.

        :param request: the request.
        :param tried: names of servers that failed or refused the request.
        :param has_lost_server: whether one of them failed without a refusal.
        :param version: software version that the server must have; None for any.
        """
        selected = await self._choose(request, tried, has_lost_server, version)
        if isinstance(selected, Unavailable):
            self._counts.record_refusal(request.team, selected.cause)
        return selected

    async def _choose(
        self,
        request: ForwardRequest,
        tried: frozenset[str],
        has_lost_server: bool,
        version: str | None,
    ) -> SelectedServer | Unavailable:
        servers = self._usable(request.pool, version)
        if version is not None and not servers:
            detail = f"no server of version {version!r} takes work now"
            return Unavailable(detail, RefusalCause.NO_VERSION)
        prompt = request.metadata.prompt if request.route.has_prompt else None
        if prompt is None:
            return self._choose_locally(request, servers, tried)
        is_repeat = has_lost_server or request.takes_up_stream
        if not request.is_checked and not is_repeat:
            held = self._engines.held_refusal(request.pool, request.team)
            if held is not None:
                return _unavailable(held, RefusalCause.HELD_SHARE)
        excluded = tried | self._avoided_servers(servers)
        excluded |= self._view.unusable_servers(request.pool)
        names = frozenset(server.name for server in servers)
        excluded |= frozenset(
            server.name
            for server in self._view.servers(request.pool)
            if server.name not in names
        )
        engine_request = PromptRequest(
            team=request.team,
            prompt=prompt,
            latency_target_s=request.route.latency_target_s,
            excluded=tuple(excluded),
            is_repeat=is_repeat,
            waited_s=request.waited_s,
        )
        assignment = await self._engines.request_engine(request.pool, engine_request)
        # The view may have changed while the scheduler decided.
        servers = self._usable(request.pool, version)
        match assignment:
            case EngineRefusal() as refusal:
                return _unavailable(refusal)
            case EngineAssignment():
                server = next((s for s in servers if s.name == assignment.server), None)
                if server is not None:
                    self._engines.record_server(prompt, server.name)
                    candidate = self._candidate(server, frozenset())
                    in_flight = self._placement.start(candidate, prompt)
                    return SelectedServer(
                        server,
                        self._placement,
                        in_flight,
                        self._host_delay,
                        assignment,
                    )
                assignment.end()
        return self._choose_locally(request, servers, tried)

    def _choose_locally(
        self,
        request: ForwardRequest,
        servers: tuple[FleetServer, ...],
        tried: frozenset[str],
    ) -> SelectedServer | Unavailable:
        """Return a server chosen from this router's own data, without the scheduler."""
        unresponsive = self._view.unresponsive_servers()
        candidates = tuple(self._candidate(server, unresponsive) for server in servers)
        prompt = request.metadata.prompt if request.route.has_prompt else None
        if prompt is not None and self._is_prefill_limit_reached(servers):
            return Unavailable(
                "no scheduler answers in time and too many prompts wait for prefill",
                RefusalCause.NO_SCHEDULER,
            )
        hint = self._engines.last_server(prompt) if prompt else ""
        chosen = self._placement.choose(candidates, prompt, tried, hint)
        if chosen is None:
            detail = "no backend server of the pool takes work now"
            return Unavailable(detail, RefusalCause.NO_SERVER)
        server = next(item for item in servers if item.name == chosen.name)
        in_flight = self._placement.start(chosen, prompt)
        assignment = None
        if prompt is not None:
            self._engines.record_server(prompt, server.name)
            assignment = self._engines.assign(
                request.pool, server.name, prompt.unshared_tokens
            )
        return SelectedServer(
            server, self._placement, in_flight, self._host_delay, assignment
        )

    def _is_prefill_limit_reached(self, servers: tuple[FleetServer, ...]) -> bool:
        """Return whether this router has used its share of concurrent prefills."""
        prefilling = sum(
            self._placement.record(server.name).uncached_tokens > 0
            for server in servers
        )
        limit = (
            LOCAL_PREFILLS_PER_SERVER * len(servers) / max(1, self._view.router_count())
        )
        return prefilling >= max(1, round(limit))

    def _avoided_servers(self, servers: tuple[FleetServer, ...]) -> frozenset[str]:
        """Return servers that the scheduler must not choose; none if all failed."""
        avoided = frozenset(
            server.name
            for server in servers
            if self._placement.record(server.name).is_avoided
        )
        return avoided if len(avoided) < len(servers) else frozenset()

    def exclude_misdirected(self, selected: SelectedServer) -> None:
        """Stop using a server whose address now belongs to another one.

        :param selected: the selected server.
        """
        self._misdirected.add((selected.server.name, selected.server.born_ms))

    def drop_removed_servers(self, pools: Iterable[str]) -> None:
        """Drop the records of servers that left the fleet.

        :param pools: names of all pools.
        """
        servers = [s for pool in pools for s in self._view.servers(pool)]
        self._placement.retain(server.name for server in servers)
        starts = {(server.name, server.born_ms) for server in servers}
        self._misdirected &= starts

    def _usable(self, pool: str, version: str | None = None) -> tuple[FleetServer, ...]:
        """Return the servers of a pool that may get a request.

        A server without recent announcements may have restarted with another version.
        """
        servers = tuple(
            server
            for server in self._view.servers(pool)
            if (server.name, server.born_ms) not in self._misdirected
        )
        if version is None:
            return servers
        unresponsive = self._view.unresponsive_servers()
        return tuple(
            server
            for server in servers
            if server.version == version and server.name not in unresponsive
        )

    def _candidate(
        self, server: FleetServer, unresponsive: frozenset[str]
    ) -> Candidate:
        return Candidate(
            name=server.name,
            slots=server.slots,
            is_local=server.data_centre == self._data_centre,
            is_unresponsive=server.name in unresponsive,
        )


def _unavailable(
    refusal: EngineRefusal, over_share: RefusalCause = RefusalCause.SHARE
) -> Unavailable:
    reason = "the team has had its share" if refusal.is_over_share else "no room"
    cause = over_share if refusal.is_over_share else RefusalCause.NO_ROOM
    detail = f"{reason}; the shortest wait is {refusal.wait_s:.3f} s"
    return Unavailable(detail, cause, refusal.retry_after_s)
