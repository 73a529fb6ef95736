"""Hands a request over from a silent server to another one, and back if need be."""

from collections.abc import Awaitable, Callable

import eliot

from almondfield_core.clock import now
from almondfield_daemon.forwarding.budget import PendingRepeat, RetryWindow
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.replacement import LeftServer, Replacement
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_watch import SilenceWatch
from almondfield_daemon.forwarding.stop_limits import StopLimits
from almondfield_daemon.forwarding.unavailable import Unavailable

__all__ = ["MIN_REMAINING_S", "HandOver"]

MIN_REMAINING_S = 0.02  # less is too short for a backend server to answer
RESTART_S = 0.5  # a server takes longer to end and start again
# One to the server that takes over, one back if it refuses.
REPEATS_PER_HAND_OVER = 2
LEAVING_REASON = "the silent server takes no new work, so there is no way back"


class HandOver:
    """The hand-over of one request between servers.

    A silent server loses its request only to a server that was selected for it, within
    the retry budget. Whether that server is full, fails or is silent as well shows only
    when it is asked. If it has no answer, nor has any other, the request goes back to
    the servers that were left, to each one once: they may have been sound, and are no
    further servers for the limit on attempts.

    :param request: the request.
    :param servers: chooses servers.
    :param window: retry budget of the pool.
    :param pending: gets the repeat for the next attempt.
    :param stop_limits: limits on requests while the router stops.
    """

    def __init__(
        self,
        request: ForwardRequest,
        servers: ServerSelector,
        window: RetryWindow,
        pending: PendingRepeat,
        stop_limits: StopLimits,
    ) -> None:
        self._stop_limits = stop_limits
        self._pending = pending
        self._request = request
        self._servers = servers
        self._window = window
        self._next: Replacement | None = None
        # In the order in which they were left; none once a server has answered.
        self._left: list[LeftServer] = []
        self._gone_back: set[str] = set()
        self._is_returning = False
        self._is_at_new_server = False

    @property
    def can_go_back(self) -> bool:
        """Return whether a server was left that may get the request again."""
        return bool(self._left)

    @property
    def takes_over(self) -> bool:
        """Return whether the last chosen server takes over from one that was left."""
        return self.can_go_back and self._is_at_new_server

    @property
    def is_secured(self) -> bool:
        """Return whether a server has been selected that takes the request over."""
        return self._next is not None

    def watch(
        self,
        selected: SelectedServer,
        limit_s: float,
        choose: Callable[[], Awaitable[SelectedServer | Unavailable]] | None,
        choose_again: Callable[[str], SelectedServer | Unavailable],
        can_go_on: Callable[[], bool],
    ) -> SilenceWatch:
        """Return what watches the waits for a server.

        :param selected: the server.
        :param limit_s: longest silence that starts no search, in seconds.
        :param choose: returns a new server for the next attempt, or why there is none;
            None if the limit on attempts allows no new one.
        :param choose_again: returns a server that was left, by its name, or why it gets
            the request no more.
        :param can_go_on: returns whether another answer can go on from what the caller
            has got.
        """
        is_logged = False

        async def find() -> Replacement | None:
            nonlocal is_logged
            if can_go_on():
                found = await self._find(selected, choose, choose_again)
            else:
                found = "the events that were sent have no numbers"
            if isinstance(found, Replacement):
                return found
            if not is_logged:
                is_logged = True
                self._log_wait(selected, found)
            return None

        def on_found(found: Replacement) -> None:
            self._next = found
            if found.repeats:
                left = LeftServer(selected.server.name, now(), found.repeats[-1])
                self._left.append(left)

        return SilenceWatch(
            limit_s + selected.delay_allowance_s,
            find,
            on_found,
            lambda reason: selected.record_failure(reason, timed_out=True),
        )

    async def choose(
        self, tried: frozenset[str], has_lost_server: bool, version: str | None
    ) -> SelectedServer | Unavailable:
        """Return the server for the next attempt, or why there is none.

        :param tried: names of servers that failed or refused the request.
        :param has_lost_server: whether one of them failed without a refusal.
        :param version: software version that the server must have; None for any.
        """
        if self._next is not None:
            found, self._next = self._next, None
            self._is_at_new_server = found.left is None
            if found.left is None:
                self._pending.replace(found.repeats[0])
            else:
                self._pending.replace(found.left.repeat)
                self._record_return(found.left)
            return found.selected
        self._is_at_new_server = not self._is_returning
        if self._is_returning:
            self._is_returning = False
            left = self._left[0]
            self._record_return(left)
            is_just_left = now() - left.left_s < RESTART_S
            selected = self._servers.choose_again(
                self._request, left.name, version, is_just_left
            )
            if isinstance(selected, Unavailable):
                self._window.refund(left.repeat)
                self._servers.record_refusal(self._request.team, selected)
            else:
                self._pending.replace(left.repeat)
            return selected
        return await self._servers.choose(
            self._request, tried, has_lost_server, version
        )

    def try_return(self) -> bool:
        """Return whether the next attempt goes back to the server that was silent.

        To be called once no other server may have the request.
        """
        if not self._left or self._remaining_s() < MIN_REMAINING_S:
            return False
        self._is_returning = True
        return True

    def settle(self) -> None:
        """Record that a server answers the request, so that it doesn't go back."""
        for left in self._left:
            self._window.refund(left.repeat)
        self._left.clear()

    def close(self) -> None:
        """Give back what is kept for a request that has ended."""
        if self._next is not None:
            found, self._next = self._next, None
            found.drop()
        self.settle()

    async def _find(
        self,
        selected: SelectedServer,
        choose: Callable[[], Awaitable[SelectedServer | Unavailable]] | None,
        choose_again: Callable[[str], SelectedServer | Unavailable],
    ) -> Replacement | str:
        """Return a server that takes the request over, or why there is none."""
        if not self._servers.may_be_left(self._request.pool, selected):
            return LEAVING_REASON
        found = await self._find_new(choose)
        # The silent server may have begun to leave while the scheduler decided.
        if not self._servers.may_be_left(self._request.pool, selected):
            if isinstance(found, Replacement):
                found.drop()
            return LEAVING_REASON
        if isinstance(found, str):
            return self._find_left(selected, choose_again) or found
        return found

    async def _find_new(
        self, choose: Callable[[], Awaitable[SelectedServer | Unavailable]] | None
    ) -> Replacement | str:
        """Return a new server that takes the request over, or why there is none."""
        if choose is None:
            return "the limit on attempts is reached"
        if not self._window.allows_repeats(REPEATS_PER_HAND_OVER):
            return "the retry budget is used up"
        found = await choose()
        if isinstance(found, Unavailable):
            return found.detail
        if not self._has_time(found):
            found.end(was_sent=False)
            return "too little time is left for another server"
        repeats = self._window.reserve(REPEATS_PER_HAND_OVER)
        if not repeats:
            found.end(was_sent=False)
            return "the retry budget is used up"
        return Replacement(found, self._window, repeats)

    def _find_left(
        self,
        selected: SelectedServer,
        choose_again: Callable[[str], SelectedServer | Unavailable],
    ) -> Replacement | None:
        """Return a server that was left, if the request may go back there now.

        The silent server gets a way back in turn, but for one that has had its own.
        """
        count = 0 if selected.server.name in self._gone_back else 1
        if count and not self._window.allows_repeats(count):
            return None
        for left in self._left:
            found = choose_again(left.name)
            if isinstance(found, Unavailable):
                continue
            if self._has_time(found):
                repeats = self._window.reserve(count)
                if len(repeats) == count:
                    return Replacement(found, self._window, repeats, left)
            found.end(was_sent=False)
        return None

    def _record_return(self, left: LeftServer) -> None:
        self._left.remove(left)
        self._gone_back.add(left.name)

    def _has_time(self, found: SelectedServer) -> bool:
        """Return whether a server may answer before the deadline and a stop's end."""
        least_s = max(MIN_REMAINING_S, found.time_to_first_token_s)
        allowed = self._stop_limits.allows_attempt(self._request.route)
        return allowed and self._remaining_s() >= least_s

    def _remaining_s(self) -> float:
        return self._stop_limits.remaining_s(self._request.until_s)

    def _log_wait(self, selected: SelectedServer, reason: str) -> None:
        eliot.log_message(
            "attempt:waits",
            request_id=self._request.metadata.request_id,
            server=selected.server.name,
            reason=reason,
            after_ms=round((now() - self._request.arrived_s) * 1000, 1),
        )
