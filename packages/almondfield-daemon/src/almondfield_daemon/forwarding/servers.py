"""Selects backend servers for requests and tracks their load."""

import math
from collections.abc import Callable, Iterable

from almondfield_core.routing import Prompt
from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.forwarding.counts import RefusalCause, RequestCounts
from almondfield_daemon.forwarding.homes import ServerHomes
from almondfield_daemon.forwarding.known_servers import KnownServers
from almondfield_daemon.forwarding.local_choice import LocalChoice
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.selected_server import SelectedServer, server_start
from almondfield_daemon.forwarding.unavailable import (
    LATE_RETRY_AFTER_S,
    RETRY_AFTER_S,
    Unavailable,
    describe_refusal,
)
from almondfield_daemon.hedging import PoolLoad
from almondfield_daemon.host_delay import HostDelay
from almondfield_daemon.quarantine import (
    NoQuarantine,
    RequestQuarantine,
    shared_parts,
)
from almondfield_daemon.scheduling import EngineAssignment, EngineClient
from almondfield_daemon.scheduling.asked_shares import Refuse, SendUnscheduled
from almondfield_daemon.scheduling.messages import EngineRefusal
from almondfield_daemon.server_limits import ServerLimits
from almondfield_daemon.server_notices import ServerNotices
from almondfield_fairshare.engines import IntakeShares, PromptRequest
from almondfield_fairshare.prefix_placement import Placement

__all__ = ["ServerSelector"]

# The event loop takes some eight iterations to send a request on, each as long as it
# takes to read one; wait and prefill need the other half of the target.
MAX_UNREAD_TARGET_SHARE = 1 / 16
NO_SCHEDULER = Unavailable(
    "no scheduler answers in time, and the team has had its part",
    RefusalCause.NO_SCHEDULER,
)


class ServerSelector:
    """Selects servers of the fleet for this router's requests.

    :param view: known servers and routers.
    :param placement: chooses among the servers.
    :param data_centre: data centre of this router.
    :param engines: client of the scheduler of model engines.
    :param host_delay: delay of this host.
    :param notices: what servers said about further work.
    :param limits: permits for requests to servers that limit them.
    :param counts: counts refusals.
    :param quarantine: knows requests under which servers ended.
    :param evacuated: returns the evacuated data centres, whose servers get no request.
    :param homes: knows the regions of servers.
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
        counts: RequestCounts | None = None,
        quarantine: RequestQuarantine | None = None,
        evacuated: Callable[[], frozenset[str]] = frozenset,
        homes: ServerHomes | None = None,
    ) -> None:
        self._quarantine = quarantine or NoQuarantine()
        self._notices = notices
        self._limits = limits
        self._counts = counts or RequestCounts()
        self._engines = engines
        self._view = view
        self._placement = placement
        self._local = LocalChoice(
            view,
            placement,
            data_centre,
            engines,
            host_delay,
            notices,
            limits,
            self._quarantine,
            evacuated,
        )
        self._known = KnownServers(view, notices, self._quarantine, evacuated, homes)
        self._intake_shares = IntakeShares()

    def quarantine_refusal(self, team: str, prompt: Prompt) -> Unavailable | None:
        """Return the refusal of a prompt that holds a quarantined part, or None.

        :param team: name of the team.
        :param prompt: prompt of the request.
        """
        refused = self._quarantined(shared_parts(prompt))
        if refused is not None:
            self._counts.record_refusal(team, refused.cause)
        return refused

    def evacuation_refusal(
        self, pool: str, team: str, regions: frozenset[str] | None
    ) -> Unavailable | None:
        """Return a refusal if all servers of a pool are evacuated; None otherwise.

        :param pool: name of the pool.
        :param team: name of the team.
        :param regions: regions that the servers may be in; None for all.
        """
        refused = self._known.evacuated(pool, regions)
        if refused is not None:
            self._counts.record_refusal(team, refused.cause)
        return refused

    def held_refusal(self, pool: str, team: str, prompt: Prompt) -> Unavailable | None:
        """Return a refusal of a team's prompts that still holds; None for none.

        :param pool: name of a pool of engines.
        :param team: name of the team, whose next request asks the scheduler if None is
            returned.
        :param prompt: prompt of the request.
        """
        held = self._engines.held_refusal(pool, team, prompt)
        if held is None:
            return None
        self._counts.record_refusal(team, RefusalCause.HELD_SHARE)
        return describe_refusal(held, RefusalCause.HELD_SHARE)

    def late_refusal(
        self, team: str, latency_target_s: float, unread_s: float
    ) -> Unavailable | None:
        """Return the refusal of a prompt that would get its server too late, or None.

        A router that has more to do than it can reads requests late, and what follows
        takes many times as long. One request at a time is passed on all the same, and
        those of teams that have had less than their share of the router.

        :param team: name of the team.
        :param latency_target_s: latency target of the route, in seconds; 0 for none.
        :param unread_s: least time that the request was unread, in seconds.
        """
        self._intake_shares.record_read(team)
        is_late = unread_s > MAX_UNREAD_TARGET_SHARE * latency_target_s > 0
        may_pass_on = (
            not is_late
            or not self._engines.has_undecided
            or self._intake_shares.is_below_share(team)
        )
        if may_pass_on:
            self._intake_shares.record_passed_on(team)
            return None
        self._counts.record_refusal(team, RefusalCause.LATE)
        detail = f"the request was not read for {unread_s:.3f} s"
        return Unavailable(detail, RefusalCause.LATE, LATE_RETRY_AFTER_S)

    def unscheduled_refusal(
        self,
        pool: str,
        team: str,
        latency_target_s: float,
        regions: frozenset[str] | None,
    ) -> Unavailable | None:
        """Return the refusal of a prompt that no scheduler decides on, or None.

        :param pool: name of a pool of engines.
        :param team: name of the team.
        :param latency_target_s: latency target of the route, in seconds; 0 for none.
        :param regions: regions that the servers may be in; None for all.
        """
        if self._engines.may_ask(latency_target_s):
            return None
        if self._may_go_on(pool, team, self._known.usable(pool, None, regions)):
            return None
        self._counts.record_refusal(team, RefusalCause.NO_SCHEDULER)
        return NO_SCHEDULER

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
            self.record_refusal(request.team, selected)
        return selected

    async def choose_replacement(
        self, request: ForwardRequest, tried: frozenset[str], version: str | None
    ) -> SelectedServer | Unavailable:
        """Return a sound server that takes over from a silent one, or why none does.

        The request isn't refused if there is none.

        :param request: the request.
        :param tried: names of servers that have had the request.
        :param version: software version that the server must have; None for any.
        """
        servers = self._usable(request, version)
        excluded = tried | self._view.unresponsive_servers()
        excluded |= self._local.avoided_servers(servers, may_be_all=True)
        return await self._choose(request, excluded, True, version)

    def may_be_left(self, pool: str, selected: SelectedServer) -> bool:
        """Return whether a silent server may lose its request to another one.

        :param pool: name of the server's pool.
        :param selected: the server, selected for the request.
        """
        return self._known.may_be_left(pool, selected)

    def load(self, pool: str) -> PoolLoad:
        """Return the load of a pool, as far as its servers' reports show it.

        :param pool: name of the pool.
        """
        return self._local.load(self._known.usable(pool, None))

    def choose_again(
        self,
        request: ForwardRequest,
        name: str,
        version: str | None,
        is_just_left: bool,
    ) -> SelectedServer | Unavailable:
        """Return a server that has had the request, or why it gets no more.

        The request was admitted there, so the scheduler isn't asked again. A server
        that leaves or takes no work gets no request, though. The request isn't refused
        for that yet.

        :param request: the request.
        :param name: name of the server.
        :param version: software version that the server must have; None for any.
        :param is_just_left: whether its connection was open a moment ago, so that it
            hasn't restarted even if it isn't announced.
        """
        quarantined = self._quarantined(request.parts)
        if quarantined is not None:
            return quarantined
        known = self._known.running if is_just_left else self._known.reachable
        for server in known(request.pool, version, request.allowed_regions):
            is_open = self._notices.accepts(server_start(server))
            if server.name == name and is_open and self._local.may_go_back(server):
                return self._local.select_again(request, server)
        detail = f"the silent server {name!r} takes no work any more"
        return Unavailable(detail, RefusalCause.NO_SERVER)

    def record_refusal(self, team: str, refused: Unavailable) -> None:
        """Count the refusal of a request.

        :param team: name of the team.
        :param refused: why no server accepts the request.
        """
        self._counts.record_refusal(team, refused.cause)

    async def _choose(
        self,
        request: ForwardRequest,
        tried: frozenset[str],
        has_lost_server: bool,
        version: str | None,
    ) -> SelectedServer | Unavailable:
        quarantined = self._quarantined(request.parts)
        if quarantined is not None:
            return quarantined
        servers = self._usable(request, version)
        closed = None if servers else self._closed(request, version)
        if closed is not None:
            return closed
        if version is not None and not servers:
            detail = f"no server of version {version!r} takes work now"
            return Unavailable(detail, RefusalCause.NO_VERSION)
        prompt = request.metadata.prompt if request.route.has_prompt else None
        if prompt is None:
            return await self._choose_locally(request, servers, tried)
        is_repeat = has_lost_server or request.takes_up_stream
        if not request.is_checked and not is_repeat:
            held = self._engines.held_refusal(request.pool, request.team, prompt)
            if held is not None:
                return describe_refusal(held, RefusalCause.HELD_SHARE)
        excluded = tried | self._local.avoided_servers(servers)
        excluded |= self._known.unusable_names(request.pool, servers)
        engine_request = PromptRequest(
            team=request.team,
            prompt=prompt,
            latency_target_s=request.route.latency_target_s,
            excluded=tuple(excluded),
            is_repeat=is_repeat,
            waited_s=request.waited_s,
        )
        assignment = await self._engines.request_engine(request.pool, engine_request)
        # Quarantines and the view may have changed while the scheduler decided.
        quarantined = self._quarantined(request.parts)
        if quarantined is not None:
            if isinstance(assignment, EngineAssignment):
                assignment.end(was_sent=False)
            return quarantined
        servers = self._usable(request, version)
        match assignment:
            case EngineRefusal() as refusal:
                return describe_refusal(refusal)
            case Refuse():
                detail = "the scheduler is busy and the team has had its part of others"
                return Unavailable(detail, RefusalCause.BUSY_SCHEDULER)
            case SendUnscheduled():
                # The scheduler limits these prompts for all routers together.
                return await self._local.choose(request, servers, tried)
            case EngineAssignment():
                server = next((s for s in servers if s.name == assignment.server), None)
                if server is not None:
                    return self._local.select(request, server, assignment)
                assignment.end(was_sent=False)
                closed = None if servers else self._closed(request, version)
                if closed is not None:
                    return closed
        return await self._choose_locally(request, servers, tried)

    async def _choose_locally(
        self,
        request: ForwardRequest,
        servers: tuple[FleetServer, ...],
        tried: frozenset[str],
    ) -> SelectedServer | Unavailable:
        """Return a server chosen from this router's own data, without the scheduler."""
        prompt = request.metadata.prompt if request.route.has_prompt else None
        if prompt is not None and not self._may_go_on(
            request.pool, request.team, servers
        ):
            return NO_SCHEDULER
        return await self._local.choose(request, servers, tried)

    def _may_go_on(
        self, pool: str, team: str, servers: tuple[FleetServer, ...]
    ) -> bool:
        """Return whether a prompt may begin without a scheduler."""
        if self._engines.may_go_on(pool, team):
            return True
        return not self._local.is_prefill_limit_reached(servers)

    def _usable(
        self, request: ForwardRequest, version: str | None
    ) -> tuple[FleetServer, ...]:
        return self._known.usable(request.pool, version, request.allowed_regions)

    def _closed(
        self, request: ForwardRequest, version: str | None
    ) -> Unavailable | None:
        return self._known.closed(request.pool, version, request.allowed_regions)

    def _quarantined(self, parts: tuple[str, ...]) -> Unavailable | None:
        """Return a refusal if servers ended under a request with these parts."""
        left_s = self._quarantine.left_s(parts)
        if left_s <= 0:
            return None
        detail = "servers ended under the request or a part of its prompt"
        return Unavailable(detail, RefusalCause.QUARANTINE, left_s)

    def exclude_misdirected(self, selected: SelectedServer) -> None:
        """Stop using a server whose address now belongs to another one.

        :param selected: the selected server.
        """
        self._known.exclude_misdirected(selected.server)

    def drop_removed_servers(self, pools: Iterable[str]) -> None:
        """Drop the records of servers that left the fleet.

        :param pools: names of all pools.
        """
        self._placement.retain(server.name for server in self._known.retain(pools))
        self._limits.retain(server_start(server) for server in self._view.all_servers())

    def may_have_changed_version(self, pool: str, server: FleetServer) -> bool:
        """Return whether a server may have restarted with another version.

        :param pool: name of its pool.
        :param server: the server as it was when it was chosen.
        """
        return self._known.may_have_changed_version(pool, server)

    def retry_after_s(self, request: ForwardRequest, version: str | None) -> float:
        """Return when a refused request may be accepted, in seconds from now.

        :param request: the request.
        :param version: software version that the server must have; None for any.
        """
        wait_s = self._known.wait_s(request.pool, version, request.allowed_regions)
        return RETRY_AFTER_S if wait_s == math.inf else max(RETRY_AFTER_S, wait_s)
