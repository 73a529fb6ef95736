"""Decides which server is to do what, from what servers announce now."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from almondfield_core.messages import ServerAnnouncement, ServerState
from almondfield_core.tables import Pool
from almondfield_daemon.membership import selects_server
from almondfield_daemon.orders.kinds import (
    ROLE_LABEL,
    ChangeRole,
    LoadModel,
    Order,
    UnloadModel,
    apply_order,
    is_done,
)

__all__ = ["PlannedOrder", "plan_orders"]

LARGEST_LOAD = 0.8
"""Share of its slots that a pool may use after it gave a server away."""


@dataclass(frozen=True)
class PlannedOrder:
    """An order that is due.

    :ivar server: the server as it announces itself now.
    :ivar order: what it is to do.
    """

    server: ServerAnnouncement
    order: Order


def plan_orders(
    pools: tuple[Pool, ...],
    servers: Collection[ServerAnnouncement],
    order_by_server: Mapping[str, Order],
    backlogged: Collection[str] = (),
    settled: Collection[str] = (),
) -> tuple[PlannedOrder, ...]:
    """Return the orders that are due, at most one per server.

    Every pool gets its wanted servers first. Servers beyond those are spare: up to half
    of them at a time go to a backlogged pool, from pools that are not backlogged and
    keep enough slots for what they run.

    :param pools: rows of the pools table.
    :param servers: what the servers announce.
    :param order_by_server: orders that are being carried out.
    :param backlogged: pools that have been backlogged for long enough.
    :param settled: servers that have been in their pool for long enough to be moved
        for a backlog.
    """
    planner = _Planner(pools, servers, order_by_server)
    for pool in planner.pools:
        planner.fill(pool)
    for pool in planner.pools:
        if pool.name in backlogged:
            planner.relieve(pool, backlogged, settled)
    planner.unload_retired()
    return tuple(planner.planned)


class _Planner:
    def __init__(
        self,
        pools: tuple[Pool, ...],
        servers: Collection[ServerAnnouncement],
        order_by_server: Mapping[str, Order],
    ) -> None:
        self.pools = sorted(pools, key=lambda pool: pool.name)
        self.planned: list[PlannedOrder] = []
        self._pool_by_name = {pool.name: pool for pool in pools}
        self._busy = set(order_by_server)
        self._running_by_pool = {
            pool.name: sum(s.busy for s in servers if selects_server(pool, s))
            for pool in pools
        }
        self._later_by_server = {
            server.name: _after(order_by_server.get(server.name), server)
            for server in sorted(servers, key=lambda server: server.name)
            if server.state is ServerState.SERVING or server.name in self._busy
        }

    def fill(self, pool: Pool) -> None:
        while pool.wanted_servers > len(self._members(pool)):
            donors = [s for s in self._donors(pool) if self._is_spare(s)]
            if not donors:
                return
            self._move(donors[0], pool)

    def relieve(
        self, pool: Pool, backlogged: Collection[str], settled: Collection[str]
    ) -> None:
        if not pool.wanted_servers:
            return
        most = max(1, self._count_spare() // 2)
        while self._count_awaited(pool) < most:
            donors = [
                server
                for server in self._donors(pool)
                if self._may_help(server, backlogged, settled)
            ]
            if not donors:
                return
            self._move(donors[0], pool)

    def _may_help(
        self,
        server: ServerAnnouncement,
        backlogged: Collection[str],
        settled: Collection[str],
    ) -> bool:
        pools = self._pools_of(server)
        if not pools:
            return True
        if server.name not in settled or not self._is_spare(server):
            return False
        return all(
            pool.name not in backlogged and self._keeps_enough(pool, server)
            for pool in pools
        )

    def _keeps_enough(self, pool: Pool, server: ServerAnnouncement) -> bool:
        slots = sum(member.slots for member in self._members(pool)) - server.slots
        return self._running_by_pool[pool.name] <= LARGEST_LOAD * slots

    def _count_spare(self) -> int:
        wanted = sum(pool.wanted_servers for pool in self.pools)
        return len(self._later_by_server) - wanted

    def unload_retired(self) -> None:
        models = {pool.selects.model for pool in self.pools if pool.selects.version}
        for server in list(self._later_by_server.values()):
            idle = server.name not in self._busy and not self._pools_of(server)
            if idle and server.model in models and server.model:
                self._order(server, UnloadModel())

    def _members(self, pool: Pool) -> list[ServerAnnouncement]:
        later = self._later_by_server.values()
        return [server for server in later if selects_server(pool, server)]

    def _pools_of(self, server: ServerAnnouncement) -> list[Pool]:
        return [pool for pool in self.pools if selects_server(pool, server)]

    def _count_awaited(self, pool: Pool) -> int:
        return sum(server.name in self._busy for server in self._members(pool))

    def _is_spare(self, server: ServerAnnouncement) -> bool:
        pools = self._pools_of(server)
        return all(len(self._members(p)) > p.wanted_servers for p in pools)

    def _donors(self, pool: Pool) -> list[ServerAnnouncement]:
        donors = [
            server
            for server in self._later_by_server.values()
            if server.name not in self._busy
            and not selects_server(pool, server)
            and _order_for(pool, server) is not None
        ]
        # A server that has the model already needs no load from the weight store.
        return sorted(
            donors,
            key=lambda server: (
                bool(self._pools_of(server)),
                server.model != pool.selects.model,
            ),
        )

    def _move(self, server: ServerAnnouncement, pool: Pool) -> None:
        self._order(server, _order_for(pool, server))

    def _order(self, server: ServerAnnouncement, order: Order) -> None:
        self.planned.append(PlannedOrder(server, order))
        self._busy.add(server.name)
        self._later_by_server[server.name] = _after(order, server)


def _after(order: Order | None, server: ServerAnnouncement) -> ServerAnnouncement:
    return server if order is None else apply_order(order, server)


def _order_for(pool: Pool, server: ServerAnnouncement) -> Order | None:
    """Return the next order that brings a server towards a pool; None if none can."""
    selector = pool.selects
    labels = dict(selector.label_by_name)
    role = labels.pop(ROLE_LABEL, None)
    fits = labels.items() <= server.label_by_name.items()
    if not fits or not selector.model or server.kind is not pool.kind:
        return None
    load = LoadModel(selector.model, selector.version, selector.adapters)
    if not is_done(load, server):
        return load
    if role is not None and server.label_by_name.get(ROLE_LABEL) != role:
        return ChangeRole(role)
    return None
