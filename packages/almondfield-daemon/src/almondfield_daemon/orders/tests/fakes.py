"""Fakes of the control group and of backend servers."""

import asyncio

from result import Ok

from almondfield_core.clock import now
from almondfield_core.messages import PoolLease, ServerAnnouncement, ServerState
from almondfield_core.settings import (
    DaemonSettings,
    HostSettings,
    OrderSettings,
    SecuritySettings,
    TimingSettings,
)
from almondfield_core.tables import PoolKind, Tables
from almondfield_daemon.membership import Membership
from almondfield_daemon.orders import (
    LoadModel,
    OrderAccepted,
    Orders,
    OrderUnanswered,
    StaleFencing,
)
from almondfield_daemon.orders.kinds import apply_order

ORDER_SETTINGS = OrderSettings(load_interval_s=5.0, backlog_s=10.0, stay_s=60.0)


class FakeControlGroup:
    """Leadership and fencing numbers that all hosts share."""

    def __init__(self):
        self.leader = ""
        self.fencing = 0


class FakeControl:
    """The fake control group as seen by one host.

    :ivar lease_until_s: when the leader lease of a partitioned host expires, in seconds
        of the loop's clock; None while the host is connected.
    """

    def __init__(self, group, host):
        self.group, self.host = group, host
        self.lease_until_s = None

    @property
    def is_leader(self):
        if self.lease_until_s is not None:
            return now() < self.lease_until_s
        return self.group.leader == self.host

    @property
    def leader_host(self):
        return self.host if self.is_leader else self.group.leader

    async def next_fencing(self):
        self.group.fencing += 1
        return Ok(self.group.fencing)


class FakeView:
    """The tables, the same for every host."""

    def __init__(self):
        self.tables = Tables()
        self.lease_by_pool = {}

    def freshness_left_s(self):
        return 3.0

    def set_pools(self, pools):
        pools = tuple(pools)
        self.tables = Tables(self.tables.revision + 1, pools)
        self.lease_by_pool = {p.name: PoolLease(p.name, "h0", 1) for p in pools}


class FakeEngine:
    """A fake backend server that accepts orders and announces itself."""

    def __init__(self, name, model="", load_s=20.0, checks_fencing=True):
        self.announcement = ServerAnnouncement(
            name=name,
            incarnation=1,
            address=name,
            data_centre="dc",
            kind=PoolKind.MODEL,
            slots=4,
            model=model,
            checks_fencing=checks_fencing,
        )
        self.load_s = load_s
        self.highest_fencing = 0
        self.accepted = []
        self.loads_started_s = []
        self.answers_to_lose = 0
        self.busy_at_order = []
        self.order_task = None

    def accept(self, fenced):
        if self.announcement.checks_fencing and fenced.fencing < self.highest_fencing:
            return StaleFencing()
        repeated = fenced.fencing == self.highest_fencing
        self.highest_fencing = max(self.highest_fencing, fenced.fencing)
        self.accepted.append((now(), fenced))
        if not repeated or not self.announcement.checks_fencing:
            self.busy_at_order.append(self.announcement.busy)
            self.order_task = asyncio.ensure_future(self.carry_out(fenced.order))
        return OrderAccepted()

    async def carry_out(self, order):
        done = apply_order(order, self.announcement)
        if isinstance(order, LoadModel):
            self.loads_started_s.append(now())
            self.update_announcement(model="", state=ServerState.LEAVING)
            await asyncio.sleep(self.load_s)
        self.announcement = done
        self.update_announcement(state=ServerState.SERVING)

    def update_announcement(self, **changes):
        self.announcement = ServerAnnouncement(**(vars(self.announcement) | changes))


class FakeOrderSender:
    """Delivers orders to engines, with simulated loss and delay.

    :ivar loses_orders: whether all orders are lost.
    :ivar delay_s: seconds until an order arrives.
    """

    def __init__(self, engine_by_name):
        self.engine_by_name = engine_by_name
        self.loses_orders = False
        self.delay_s = 0.01

    async def send(self, fenced):
        await asyncio.sleep(self.delay_s)
        engine = self.engine_by_name[fenced.server]
        if self.loses_orders:
            return OrderUnanswered("order lost")
        outcome = engine.accept(fenced)
        if engine.answers_to_lose:
            engine.answers_to_lose -= 1
            return OrderUnanswered("answer lost")
        return outcome


class OrderHost:
    """One host with membership and orders."""

    def __init__(self, network, name, names, view, group, engine_by_name):
        hosts = tuple(HostSettings(other, "dc", "127.0.0.1") for other in names)
        settings = DaemonSettings(
            name,
            hosts,
            SecuritySettings("", "", ""),
            timing=TimingSettings(freshness_lease_s=30.0),
            orders=ORDER_SETTINGS,
        )
        peers = network.peers(name)
        self.control = FakeControl(group, name)
        self.sender = FakeOrderSender(engine_by_name)
        self.membership = Membership(peers, view, settings, 1)
        self.orders = Orders(
            peers, view, self.control, self.membership, self.sender, settings
        )
        self.tasks = [
            asyncio.ensure_future(self.membership.run()),
            asyncio.ensure_future(self.orders.run()),
        ]
