"""Control of how many prompts routers ask a busy scheduler to decide on."""

import eliot

from almondfield_daemon.scheduling.messages import EngineRequest
from almondfield_daemon.scheduling.queue_delay import QueueDelay
from almondfield_fairshare.engines import DecisionLimit

__all__ = ["BusyControl"]

MS_PER_S = 1000


class BusyControl:
    """Limits the teams' prompts by how late this host handles requests."""

    def __init__(self) -> None:
        self._queue_delay = QueueDelay()
        self._limit = DecisionLimit()
        self._share_by_team: dict[str, float] = {}
        self._update_number = 0
        self._told_number_by_router: dict[str, int] = {}

    def record(self, router: str, message: EngineRequest) -> None:
        """Record a request that is handled now.

        :param router: host of the router that sent it.
        :param message: the request.
        """
        self._limit.record(message.request.team, message.prompts)
        if message.sent_s:
            self._queue_delay.record(router, message.sent_s)
        if self._limit.is_due:
            self._update()

    def changed_shares(self, router: str) -> dict[str, float] | None:
        """Return the parts of the teams' prompts to ask for; None if it knows them.

        :param router: host of the router.
        """
        if self._told_number_by_router.get(router, 0) == self._update_number:
            return None
        self._told_number_by_router[router] = self._update_number
        return self._share_by_team

    def remove(self, router: str) -> None:
        """Forget a router that is gone.

        :param router: host of the router.
        """
        self._queue_delay.remove(router)
        self._told_number_by_router.pop(router, None)

    def _update(self) -> None:
        delay_s = self._queue_delay.collect()
        self._limit.update(delay_s)
        before, self._share_by_team = self._share_by_team, self._limit.share_by_team()
        if before or self._share_by_team:
            self._update_number += 1
        if bool(before) != bool(self._share_by_team):
            eliot.log_message(
                "scheduler:busy" if self._share_by_team else "scheduler:in-time",
                delay_ms=round(delay_s * MS_PER_S, 1),
                teams=len(self._share_by_team or before),
            )
