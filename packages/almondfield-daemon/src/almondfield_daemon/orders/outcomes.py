"""Outcomes of sending an order to a backend server."""

from dataclasses import dataclass

__all__ = [
    "OrderAccepted",
    "OrderOutcome",
    "OrderRefused",
    "OrderUnanswered",
    "StaleFencing",
]


@dataclass(frozen=True)
class OrderAccepted:
    """The server carries the order out, or has done so."""


@dataclass(frozen=True)
class StaleFencing:
    """The server has seen a greater fencing number."""


@dataclass(frozen=True)
class OrderRefused:
    """The server does not carry the order out.

    :ivar reason: why the server refused it.
    """

    reason: str


@dataclass(frozen=True)
class OrderUnanswered:
    """No conclusive answer was received; the server may have accepted the order.

    :ivar reason: the error or status.
    """

    reason: str


OrderOutcome = OrderAccepted | StaleFencing | OrderRefused | OrderUnanswered
