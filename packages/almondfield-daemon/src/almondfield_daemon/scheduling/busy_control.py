"""Control of how many prompts routers ask a busy scheduler to decide on."""

from collections.abc import Callable

import eliot

from almondfield_daemon.scheduling.messages import EngineRequest
from almondfield_daemon.scheduling.queue_delay import QueueDelay
from almondfield_fairshare.engines import (
    DecisionLimit,
    PromptShares,
    UnscheduledLimit,
)

__all__ = ["BusyControl"]

MS_PER_S = 1000


class BusyControl:
    """Limits the teams' prompts by how late this host handles requests.

    :param used_share: returns the part of the engines that is in use.
    :param is_over_share: returns whether a team has had more than its fair share.
    """

    def __init__(
        self,
        used_share: Callable[[], float],
        is_over_share: Callable[[str], bool],
    ) -> None:
        self._used_share = used_share
        self._is_over_share = is_over_share
        self._queue_delay = QueueDelay()
        self._limit = DecisionLimit()
        self._unscheduled = UnscheduledLimit()
        self._shares_by_team: dict[str, PromptShares] = {}
        self._update_number = 0
        self._told_number_by_router: dict[str, int] = {}

    def record(
        self,
        router: str,
        message: EngineRequest,
        waited_s: float,
        is_decided: bool = True,
    ) -> None:
        """Record a request that is handled now.

        :param router: host of the router that sent it.
        :param message: the request.
        :param waited_s: how long it waited for its handler, in seconds.
        :param is_decided: whether it is decided on; it isn't if it is overdue.
        """
        self._limit.record(message.request.team, message.prompts, is_decided)
        if message.sent_s:
            self._queue_delay.record(router, message.sent_s, waited_s)
        if self._limit.is_due:
            self._update()

    def changed_shares(self, router: str) -> dict[str, PromptShares] | None:
        """Return the shares of the limited teams; None if the router knows them.

        :param router: host of the router.
        """
        if self._told_number_by_router.get(router, 0) == self._update_number:
            return None
        self._told_number_by_router[router] = self._update_number
        return self._shares_by_team

    def remove(self, router: str) -> None:
        """Forget a router that is gone.

        :param router: host of the router.
        """
        self._queue_delay.remove(router)
        self._told_number_by_router.pop(router, None)

    def _update(self) -> None:
        delay_s = self._queue_delay.collect()
        self._limit.update(delay_s)
        before, self._shares_by_team = self._shares_by_team, self._make_shares()
        if before or self._shares_by_team:
            self._update_number += 1
        if bool(before) != bool(self._shares_by_team):
            eliot.log_message(
                "scheduler:busy" if self._shares_by_team else "scheduler:in-time",
                delay_ms=round(delay_s * MS_PER_S, 1),
                teams=len(self._shares_by_team or before),
            )

    def _make_shares(self) -> dict[str, PromptShares]:
        undecided_per_s_by_team = {
            team: 0.0 if self._is_over_share(team) else per_s
            for team, per_s in self._limit.undecided_per_s_by_team().items()
        }
        self._unscheduled.update(undecided_per_s_by_team, self._used_share())
        return {
            team: PromptShares(
                asked, self._unscheduled.share(undecided_per_s_by_team[team])
            )
            for team, asked in self._limit.share_by_team().items()
        }
