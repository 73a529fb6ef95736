"""Sends orders over HTTP."""

import asyncio
from typing import Protocol

import msgspec
from result import Err, Ok

from almondfield_core.tables import Timeouts
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
from almondfield_daemon.router.calls import BackendCall, Backends

__all__ = ["SEND_TIMEOUT_S", "HttpOrderSender", "OrderSender"]

SEND_TIMEOUT_S = 2.0
SEND_TIMEOUTS = Timeouts(SEND_TIMEOUT_S, SEND_TIMEOUT_S, SEND_TIMEOUT_S)
STATUS_OK = range(200, 300)
STATUS_CONFLICT = 409
STATUS_CLIENT_ERROR = range(400, 500)


class OrderSender(Protocol):
    """Sends orders to backend servers."""

    async def send(self, order: FencedOrder) -> OrderOutcome:
        """Return how the server answered within :data:`SEND_TIMEOUT_S`.

        :param order: the order.
        """


class HttpOrderSender:
    """Posts each order to ``/orders`` of its server, on a connection of its own.

    :param backends: sends requests to backend servers.
    :param backend_token: token that authenticates the fleet to the servers.
    """

    def __init__(self, backends: Backends, backend_token: str) -> None:
        self._backends = backends
        self._backend_token = backend_token

    async def send(self, order: FencedOrder) -> OrderOutcome:
        """Return how the server answered; the body of its answer is not read."""
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                sent = await self._backends.send(self._call(order))
        except TimeoutError as error:
            return OrderUnanswered(repr(error))
        match sent:
            case Ok(answer):
                answer.close()
                return _read_status(answer.status)
            case Err(failure):
                return OrderUnanswered(failure.reason)

    def _call(self, order: FencedOrder) -> BackendCall:
        return BackendCall(
            address=order.address,
            method="POST",
            target=b"/orders",
            headers=(
                (b"content-type", b"application/json"),
                (b"authorization", f"Bearer {self._backend_token}".encode()),
            ),
            body=msgspec.json.encode(_as_json(order)),
            timeouts=SEND_TIMEOUTS,
            pooled=False,
            may_end_by_close=True,
        )


def _read_status(status: int) -> OrderOutcome:
    if status in STATUS_OK:
        return OrderAccepted()
    if status == STATUS_CONFLICT:
        return StaleFencing()
    if status in STATUS_CLIENT_ERROR:
        return OrderRefused(f"status {status}")
    return OrderUnanswered(f"status {status}")


def _as_json(order: FencedOrder) -> dict[str, object]:
    return {"server": order.server, "fencing": order.fencing} | _describe(order.order)


def _describe(order: Order) -> dict[str, object]:
    match order:
        case LoadModel(model, version, adapters):
            return {
                "order": "load-model",
                "model": model,
                "version": version,
                "adapters": adapters,
            }
        case UnloadModel():
            return {"order": "unload-model"}
        case ChangeRole(role):
            return {"order": "change-role", "role": role}
