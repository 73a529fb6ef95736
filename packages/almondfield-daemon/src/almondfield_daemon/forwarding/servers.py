"""Chooses backend servers for requests and keeps account of their load."""

from collections.abc import Iterable

import eliot

from almondfield_daemon.fleet import FleetServer, FleetView
from almondfield_daemon.forwarding.messages import ForwardRequest, ServerLoad
from almondfield_fairshare.prefix_placement import Candidate, Placement, Ticket

__all__ = ["Choice", "ServerChoice"]


class Choice:
    """A server that one attempt is made at.

    :param server: the server.
    :param placement: keeps its record.
    :param ticket: the request's part in its load.
    """

    def __init__(
        self, server: FleetServer, placement: Placement, ticket: Ticket
    ) -> None:
        self.server = server
        self._placement = placement
        self._ticket = ticket

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

    def end(self) -> None:
        """Note that the attempt is over."""
        self._ticket.end()


class ServerChoice:
    """Servers of the fleet that this router may use.

    :param view: servers as they are known.
    :param placement: chooses among them.
    :param data_centre: data centre of this router.
    """

    def __init__(self, view: FleetView, placement: Placement, data_centre: str) -> None:
        self._view = view
        self._placement = placement
        self._data_centre = data_centre
        # Servers that hold the address of an earlier one, by name and start.
        self._misdirected: set[tuple[str, int]] = set()

    def choose(self, request: ForwardRequest, tried: frozenset[str]) -> Choice | None:
        """Return where to make the next attempt; None where there is no server.

        :param request: the request.
        :param tried: servers that failed it already.
        """
        servers = self._usable(request.pool)
        silent = self._view.silent_servers()
        candidates = tuple(self._candidate(server, silent) for server in servers)
        prompt = request.marks.prompt if request.route.has_prompt else None
        chosen = self._placement.choose(candidates, prompt, tried)
        if chosen is None:
            return None
        server = next(item for item in servers if item.name == chosen.name)
        ticket = self._placement.start(chosen, prompt)
        return Choice(server, self._placement, ticket)

    def is_serving(self, choice: Choice) -> bool:
        """Return whether a chosen server still takes new work.

        :param choice: the choice.
        """
        return self._view.is_serving(choice.server)

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
