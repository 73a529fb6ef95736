"""Orders to backend servers, which set their model, version, adapters and role."""

from almondfield_daemon.orders.core import Orders
from almondfield_daemon.orders.kinds import (
    ChangeRole,
    FencedOrder,
    LoadModel,
    Order,
    UnloadModel,
)
from almondfield_daemon.orders.outcomes import (
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    OrderUnanswered,
    StaleFencing,
)
from almondfield_daemon.orders.plan import plan_orders
from almondfield_daemon.orders.reports import PoolLoad, PoolLoads, ServerReport
from almondfield_daemon.orders.sender import HttpOrderSender

__all__ = [
    "ChangeRole",
    "FencedOrder",
    "HttpOrderSender",
    "LoadModel",
    "Order",
    "OrderAccepted",
    "OrderOutcome",
    "OrderRefused",
    "OrderUnanswered",
    "Orders",
    "PoolLoad",
    "PoolLoads",
    "ServerReport",
    "StaleFencing",
    "UnloadModel",
    "plan_orders",
]
