"""Plans orders from what servers announce and pools want."""

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

MAX_DONOR_LOAD = 0.8
"""Highest load at which a pool gives up a server, as a share of the slots left."""


@dataclass(frozen=True)
class PlannedOrder:
    """An order that is due.

    :ivar server: current announcement of the server.
    :ivar order: the order.
    """

    server: ServerAnnouncement
    order: Order


def plan_orders(
    pools: tuple[Pool, ...],
    servers: Collection[ServerAnnouncement],
    order_by_server: Mapping[str, Order],
    backlogged: Collection[str] = (),
    movable: Collection[str] = (),
) -> tuple[PlannedOrder, ...]:
    """Return the orders that are due, at most one per server.

    Every pool gets its wanted servers first. Servers beyond those are spare: up to half
    of them at a time move to a backlogged pool, from pools that are not backlogged and
    keep enough slots for their running requests.

    :param pools: rows of the pools table.
    :param servers: current announcements of the servers.
    :param order_by_server: orders that are being carried out.
    :param backlogged: pools that have been backlogged for long enough.
    :param movable: servers that have been in their pool long enough to be moved to a
        backlogged one.
    """
    planner = _Planner(pools, servers, order_by_server)
    for pool in planner.pools:
        planner.add_wanted_servers(pool)
    for pool in planner.pools:
        if pool.name in backlogged:
            planner.add_spare_servers(pool, backlogged, movable)
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
        self._ordered_servers = set(order_by_server)
        self._running_by_pool = {
            pool.name: sum(s.busy for s in servers if selects_server(pool, s))
            for pool in pools
        }
        self._expected_by_server = {
            server.name: _expected_announcement(
                order_by_server.get(server.name), server
            )
            for server in sorted(servers, key=lambda server: server.name)
            if server.state is ServerState.SERVING
            or server.name in self._ordered_servers
        }

    def add_wanted_servers(self, pool: Pool) -> None:
        while pool.wanted_servers > len(self._members(pool)):
            donors = [s for s in self._donors(pool) if self._is_spare(s)]
            if not donors:
                return
            self._move(donors[0], pool)

    def add_spare_servers(
        self, pool: Pool, backlogged: Collection[str], movable: Collection[str]
    ) -> None:
        if not pool.wanted_servers:
            return
        max_incoming = max(1, self._count_spare() // 2)
        while self._count_incoming(pool) < max_incoming:
            donors = [
                server
                for server in self._donors(pool)
                if self._may_donate(server, backlogged, movable)
            ]
            if not donors:
                return
            self._move(donors[0], pool)

    def _may_donate(
        self,
        server: ServerAnnouncement,
        backlogged: Collection[str],
        movable: Collection[str],
    ) -> bool:
        pools = self._pools_selecting(server)
        if not pools:
            return True
        if server.name not in movable or not self._is_spare(server):
            return False
        return all(
            pool.name not in backlogged and self._keeps_enough_slots(pool, server)
            for pool in pools
        )

    def _keeps_enough_slots(self, pool: Pool, server: ServerAnnouncement) -> bool:
        slots = sum(member.slots for member in self._members(pool)) - server.slots
        return self._running_by_pool[pool.name] <= MAX_DONOR_LOAD * slots

    def _count_spare(self) -> int:
        wanted = sum(pool.wanted_servers for pool in self.pools)
        return len(self._expected_by_server) - wanted

    def unload_retired(self) -> None:
        models = {pool.selects.model for pool in self.pools if pool.selects.version}
        for server in list(self._expected_by_server.values()):
            is_unassigned = (
                server.name not in self._ordered_servers
                and not self._pools_selecting(server)
            )
            if is_unassigned and server.model in models and server.model:
                self._add_order(server, UnloadModel())

    def _members(self, pool: Pool) -> list[ServerAnnouncement]:
        expected = self._expected_by_server.values()
        return [server for server in expected if selects_server(pool, server)]

    def _pools_selecting(self, server: ServerAnnouncement) -> list[Pool]:
        return [pool for pool in self.pools if selects_server(pool, server)]

    def _count_incoming(self, pool: Pool) -> int:
        return sum(
            server.name in self._ordered_servers for server in self._members(pool)
        )

    def _is_spare(self, server: ServerAnnouncement) -> bool:
        pools = self._pools_selecting(server)
        return all(len(self._members(p)) > p.wanted_servers for p in pools)

    def _donors(self, pool: Pool) -> list[ServerAnnouncement]:
        donors = [
            server
            for server in self._expected_by_server.values()
            if server.name not in self._ordered_servers
            and not selects_server(pool, server)
            and _next_order(pool, server) is not None
        ]
        # Servers of no pool come first, then those that have the model already and need
        # no load from the weight store.
        return sorted(
            donors,
            key=lambda server: (
                bool(self._pools_selecting(server)),
                server.model != pool.selects.model,
            ),
        )

    def _move(self, server: ServerAnnouncement, pool: Pool) -> None:
        self._add_order(server, _next_order(pool, server))

    def _add_order(self, server: ServerAnnouncement, order: Order) -> None:
        self.planned.append(PlannedOrder(server, order))
        self._ordered_servers.add(server.name)
        self._expected_by_server[server.name] = _expected_announcement(order, server)


def _expected_announcement(
    order: Order | None, server: ServerAnnouncement
) -> ServerAnnouncement:
    return server if order is None else apply_order(order, server)


def _next_order(pool: Pool, server: ServerAnnouncement) -> Order | None:
    """Return the next order towards membership of a pool; None if there is none."""
    selector = pool.selects
    labels = dict(selector.label_by_name)
    role = labels.pop(ROLE_LABEL, None)
    labels_match = labels.items() <= server.label_by_name.items()
    if not labels_match or not selector.model or server.kind is not pool.kind:
        return None
    load = LoadModel(selector.model, selector.version, selector.adapters)
    if not is_done(load, server):
        return load
    if role is not None and server.label_by_name.get(ROLE_LABEL) != role:
        return ChangeRole(role)
    return None
