"""Attempts in flight at the engines of one pool."""

from collections.abc import Callable
from dataclasses import dataclass

from almondfield_fairshare.engines.requests import AttemptId
from almondfield_fairshare.engines.shares import Grant

__all__ = ["AttemptTable", "InFlightAttempt"]


@dataclass(frozen=True)
class InFlightAttempt:
    """An attempt at an engine.

    :ivar server: name of the engine.
    :ivar grant: work charged to its team that can still be taken back; None once the
        answer has begun.
    """

    server: str
    grant: Grant | None = None


class AttemptTable:
    """Attempts in flight, by identifier and by router."""

    def __init__(self) -> None:
        self._item_by_attempt: dict[AttemptId, InFlightAttempt] = {}
        self._attempts_by_router: dict[str, set[AttemptId]] = {}

    def put(self, attempt: AttemptId, item: InFlightAttempt) -> None:
        """Add or replace an attempt.

        :param attempt: identifier of the attempt.
        :param item: the attempt.
        """
        self._item_by_attempt[attempt] = item
        self._attempts_by_router.setdefault(attempt.router, set()).add(attempt)

    def get(self, attempt: AttemptId) -> InFlightAttempt | None:
        """Return an attempt; None if it is not in flight.

        :param attempt: identifier of the attempt.
        """
        return self._item_by_attempt.get(attempt)

    def pop(self, attempt: AttemptId) -> InFlightAttempt | None:
        """Remove and return an attempt; None if it is not in flight.

        :param attempt: identifier of the attempt.
        """
        item = self._item_by_attempt.pop(attempt, None)
        if item is not None:
            attempts = self._attempts_by_router[attempt.router]
            attempts.discard(attempt)
            if not attempts:
                del self._attempts_by_router[attempt.router]
        return item

    def of_router(self, router: str) -> tuple[AttemptId, ...]:
        """Return the attempts of one router.

        :param router: host of the router.
        """
        return tuple(self._attempts_by_router.get(router, ()))

    def retain(self, is_kept: Callable[[str], bool]) -> None:
        """Drop the attempts at some engines.

        :param is_kept: returns whether the attempts at the engine of a name are kept.
        """
        for attempt, item in list(self._item_by_attempt.items()):
            if not is_kept(item.server):
                self.pop(attempt)
