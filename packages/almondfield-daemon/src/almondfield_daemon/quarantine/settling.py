"""Decisions of a quarantine table that wait until reports have settled."""

import asyncio
from collections.abc import Callable

from almondfield_daemon.quarantine.core import QuarantineTable
from almondfield_daemon.quarantine.messages import Quarantine

__all__ = ["SettlingTable"]

# Reports on one crash come from several routers; all count before a decision.
SETTLE_S = 0.1
EXPIRY_MARGIN_S = 0.01


class SettlingTable(QuarantineTable):
    """A quarantine table that decides shortly after the first of several reports.

    :param on_decided: called with new quarantines.
    :param may_blame: returns whether parts may be blamed that weren't blamed before.
    """

    def __init__(
        self,
        on_decided: Callable[[tuple[Quarantine, ...]], None],
        may_blame: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self._may_blame = may_blame
        self._on_decided = on_decided
        self._decision_timer: asyncio.TimerHandle | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None

    def decide_soon(self) -> None:
        """Decide once reports that are on their way have arrived."""
        if self._decision_timer is None:
            loop = asyncio.get_running_loop()
            self._decision_timer = loop.call_later(SETTLE_S, self._decide_now)

    def expire_in_time(self) -> None:
        """Log the end of the quarantines that hold now once they are over."""
        left_s = [item.left_s for item in self.quarantines() if item.left_s > 0]
        if left_s and self._expiry_timer is None:
            loop = asyncio.get_running_loop()
            after_s = min(left_s) + EXPIRY_MARGIN_S
            self._expiry_timer = loop.call_later(after_s, self._expire_now)

    def _decide_now(self) -> None:
        self._decision_timer = None
        decided = self.decide(may_blame=self._may_blame())
        if decided:
            self.expire_in_time()
            self._on_decided(decided)

    def _expire_now(self) -> None:
        self._expiry_timer = None
        self.expire()
        self.expire_in_time()
