"""How a backend server answered an order."""

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
    """The server doesn't carry the order out.

    :ivar reason: why.
    """

    reason: str


@dataclass(frozen=True)
class OrderUnanswered:
    """No answer came; the order may have been taken.

    :ivar reason: what happened.
    """

    reason: str


OrderOutcome = OrderAccepted | StaleFencing | OrderRefused | OrderUnanswered
