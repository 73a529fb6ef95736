"""Choice of a server from a router's own data, and what begins with it."""

from collections.abc import Callable, Iterable

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.forwarding.counts import RefusalCause
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.selected_server import SelectedServer, server_start
from almondfield_daemon.forwarding.unavailable import Unavailable
from almondfield_daemon.hedging import PoolLoad
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.quarantine import RequestQuarantine
from almondfield_daemon.scheduling import EngineAssignment, EngineClient
from almondfield_daemon.server_limits import ServerLimits
from almondfield_daemon.server_notices import ServerNotices
from almondfield_fairshare.prefix_placement import Candidate, Placement

__all__ = ["LocalChoice"]

# Concurrent prefills per server, over all routers; more would start too late.
LOCAL_PREFILLS_PER_SERVER = 2
MIN_RETRY_AFTER_S = 0.05  # shorter times are rounded to none


class LocalChoice:
    """Chooses servers from this router's own data.

    :param view: known servers and routers.
    :param placement: chooses among the servers.
    :param data_centre: data centre of this router.
    :param engines: client of the scheduler of model engines.
    :param host_delay: delay of this host.
    :param notices: what servers said about further work.
    :param limits: permits for requests to servers that limit them.
    :param quarantine: knows requests under which servers ended.
    :param evacuated: returns the evacuated data centres.
    """

    def __init__(
        self,
        view: FleetView,
        placement: Placement,
        data_centre: str,
        engines: EngineClient,
        host_delay: HostDelay,
        notices: ServerNotices,
        limits: ServerLimits,
        quarantine: RequestQuarantine,
        evacuated: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._evacuated = evacuated
        self._limits = limits
        self._view = view
        self._placement = placement
        self._data_centre = data_centre
        self._engines = engines
        self._host_delay = host_delay
        self._notices = notices
        self._quarantine = quarantine

    async def choose(
        self,
        request: ForwardRequest,
        servers: tuple[FleetServer, ...],
        tried: frozenset[str],
    ) -> SelectedServer | Unavailable:
        """Return a server for the next attempt, or why there is none.

        :param request: the request.
        :param servers: servers that may get it.
        :param tried: names of servers that failed or refused it.
        """
        open_servers = self._within_limits(servers)
        while True:
            server = self._place(request, open_servers, tried)
            if server is None:
                return self._unavailable(servers)
            start = server_start(server)
            permit_s = now() if self._limits.is_limited(start) else None
            if await self._limits.take(start):
                break
            open_servers = self._within_limits(
                s for s in open_servers if s is not server
            )
        prompt = _prompt(request)
        if prompt is None:
            return self.select(request, server, permit_s=permit_s)
        assignment = self._engines.assign_unscheduled(
            request.pool, server.name, request.team, prompt
        )
        return self.select(request, server, assignment, permit_s)

    def _within_limits(self, servers: Iterable[FleetServer]) -> tuple[FleetServer, ...]:
        """Return the servers whose limits may allow a request."""
        return tuple(
            [
                server
                for server in servers
                if self._limits.wait_s(server_start(server)) <= 0
            ]
        )

    def _place(
        self,
        request: ForwardRequest,
        servers: tuple[FleetServer, ...],
        tried: frozenset[str],
    ) -> FleetServer | None:
        prompt = _prompt(request)
        unresponsive = self._view.unresponsive_servers()
        candidates = tuple(self._candidate(server, unresponsive) for server in servers)
        hint = self._engines.last_server(prompt) if prompt else ""
        chosen = self._placement.choose(candidates, prompt, tried, hint)
        if chosen is None:
            return None
        return next(item for item in servers if item.name == chosen.name)

    def _unavailable(self, servers: tuple[FleetServer, ...]) -> Unavailable:
        """Return why none of some servers gets a request."""
        waits_s = [self._limits.wait_s(server_start(server)) for server in servers]
        wait_s = min([wait_s for wait_s in waits_s if wait_s > 0], default=0.0)
        if wait_s <= 0:
            detail = "no backend server of the pool takes work now"
            return Unavailable(detail, RefusalCause.NO_SERVER)
        detail = f"the servers' limits allow no request for {wait_s:.3f} s"
        starts = [server_start(server) for server in servers]
        wait_s = self._limits.spread_s(starts, wait_s)
        return Unavailable(detail, RefusalCause.LIMIT, max(MIN_RETRY_AFTER_S, wait_s))

    def may_go_back(self, server: FleetServer) -> bool:
        """Return whether a server may get a request again without a permit.

        :param server: the server.
        """
        return not self._limits.is_limited(server_start(server))

    def select_again(
        self, request: ForwardRequest, server: FleetServer
    ) -> SelectedServer:
        """Return a server that has had the request, which was admitted there.

        :param request: the request.
        :param server: the server.
        """
        prompt = _prompt(request)
        if prompt is None:
            return self.select(request, server)
        assignment = self._engines.assign_again(
            request.pool, server.name, prompt.unshared_tokens
        )
        return self.select(request, server, assignment)

    def select(
        self,
        request: ForwardRequest,
        server: FleetServer,
        assignment: EngineAssignment | None = None,
        permit_s: float | None = None,
    ) -> SelectedServer:
        """Return a server as selected for one attempt, which counts as begun.

        :param request: the request.
        :param server: the server.
        :param assignment: the assignment to a model engine; None for other servers.
        :param permit_s: when a permit for the request was asked for, in seconds of the
            loop's clock; None if it has none but an admission of the scheduler.
        """
        prompt = _prompt(request)
        if prompt is not None:
            self._engines.record_server(
                request.pool, prompt, server.name, server.born_ms
            )
        if permit_s is None and assignment is not None:
            permit_s = assignment.asked_s
        candidate = self._candidate(server, frozenset())
        return SelectedServer(
            server,
            self._placement,
            self._placement.start(candidate, prompt),
            self._host_delay,
            self._notices,
            self._limits,
            assignment,
            self._quarantine,
            request.shared_parts,
            request.digests,
            self._evacuated,
            permit_s,
        )

    def avoided_servers(
        self, servers: tuple[FleetServer, ...], may_be_all: bool = False
    ) -> frozenset[str]:
        """Return servers that must not be chosen; none if all failed, or all then.

        :param servers: servers of a pool.
        :param may_be_all: whether all may be returned.
        """
        failed = self._placement.avoided_names()
        if not failed:
            return failed
        avoided = frozenset([s.name for s in servers if s.name in failed])
        is_any_left = len(avoided) < len(servers)
        return avoided if is_any_left or may_be_all else frozenset()

    def load(self, servers: Iterable[FleetServer]) -> PoolLoad:
        """Return the load of some servers, as far as their reports show it.

        :param servers: the servers.
        """
        busy = slots = 0
        for server in servers:
            record = self._placement.record(server.name)
            busy += record.running + record.waiting
            slots += server.slots
        return PoolLoad(busy, slots)

    def is_prefill_limit_reached(self, servers: tuple[FleetServer, ...]) -> bool:
        """Return whether this router has used its share of concurrent prefills.

        :param servers: servers of the pool.
        """
        names = self._placement.prefilling_names()
        prefilling = sum([server.name in names for server in servers])
        limit = (
            LOCAL_PREFILLS_PER_SERVER * len(servers) / max(1, self._view.router_count())
        )
        return prefilling >= max(1, round(limit))

    def _candidate(
        self, server: FleetServer, unresponsive: frozenset[str]
    ) -> Candidate:
        return Candidate(
            name=server.name,
            slots=server.slots,
            is_local=server.data_centre == self._data_centre,
            is_unresponsive=server.name in unresponsive,
        )


def _prompt(request: ForwardRequest) -> Prompt | None:
    return request.metadata.prompt if request.route.has_prompt else None
