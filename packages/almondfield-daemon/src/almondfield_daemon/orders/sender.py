"""Sends orders over HTTP."""

import asyncio
from typing import Protocol

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

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

__all__ = ["SEND_TIMEOUT_S", "HttpOrderSender", "OrderSender"]

SEND_TIMEOUT_S = 2.0
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

    :param backend_token: token that authenticates the fleet to the servers.
    """

    def __init__(self, backend_token: str) -> None:
        self._backend_token = backend_token

    async def send(self, order: FencedOrder) -> OrderOutcome:
        """Return how the server answered."""
        client = aiosonic.HTTPClient()
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S), client:
                response = await client.post(
                    f"http://{order.address}/orders",
                    data=msgspec.json.encode(_as_json(order)),
                    headers={
                        "content-type": "application/json",
                        "authorization": f"Bearer {self._backend_token}",
                        "connection": "close",
                    },
                    timeouts=Timeouts(sock_connect=SEND_TIMEOUT_S),
                )
                return _read_status(response.status_code)
        except (TimeoutError, OSError, AiosonicError) as error:
            return OrderUnanswered(repr(error))


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
