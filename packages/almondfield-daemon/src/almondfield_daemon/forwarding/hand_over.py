"""Hands a request over from a silent server to another one, and back if need be."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import eliot

from almondfield_core.clock import now
from almondfield_daemon.forwarding.budget import Repeat, RetryWindow
from almondfield_daemon.forwarding.messages import ForwardRequest
from almondfield_daemon.forwarding.replacement import Replacement
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector
from almondfield_daemon.forwarding.silence_watch import SilenceWatch
from almondfield_daemon.forwarding.unavailable import Unavailable

__all__ = ["MIN_REMAINING_S", "HandOver"]

MIN_REMAINING_S = 0.02  # less is too short for a backend server to answer
RESTART_S = 0.5  # a server takes longer to end and start again
# One to the server that takes over, one back if it refuses.
REPEATS_PER_HAND_OVER = 2


@dataclass(frozen=True)
class _LeftServer:
    """A silent server that was left, to which the request may go back.

    :ivar name: its name.
    :ivar left_s: when it was left, in seconds of the loop's clock.
    :ivar repeat: the repeat that is kept for the way back.
    """

    name: str
    left_s: float
    repeat: Repeat


class HandOver:
    """The hand-over of one request between servers.

    A silent server loses its request only to a server that was selected for it, within
    the retry budget. Whether that server is full or fails shows only when it is asked.
    If it has no answer, nor has any other, the request goes back: the silent server may
    have been sound, and is no further server for the limit on attempts.

    :param request: the request.
    :param servers: chooses servers.
    :param window: retry budget of the pool.
    """

    def __init__(
        self, request: ForwardRequest, servers: ServerSelector, window: RetryWindow
    ) -> None:
        self._request = request
        self._servers = servers
        self._window = window
        self._next: Replacement | None = None
        # In the order in which they were left; none once a server has answered.
        self._left: list[_LeftServer] = []
        self._is_returning = False

    @property
    def is_secured(self) -> bool:
        """Return whether a server has been selected that takes the request over."""
        return self._next is not None

    def watch(
        self,
        selected: SelectedServer,
        limit_s: float,
        choose: Callable[[], Awaitable[SelectedServer | Unavailable]],
        can_go_on: Callable[[], bool],
    ) -> SilenceWatch:
        """Return what watches the waits for a server.

        :param selected: the server.
        :param limit_s: longest silence that starts no search, in seconds.
        :param choose: returns a server for the next attempt, or why there is none.
        :param can_go_on: returns whether another answer can go on from what the caller
            has got.
        """
        is_logged = False

        async def find() -> Replacement | None:
            nonlocal is_logged
            if can_go_on():
                found = await self._find(choose)
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
            left = _LeftServer(selected.server.name, now(), found.repeats[-1])
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
            return found.selected
        if self._is_returning:
            self._is_returning = False
            left = self._left.pop(0)
            is_just_left = now() - left.left_s < RESTART_S
            selected = self._servers.choose_again(
                self._request, left.name, version, is_just_left
            )
            if isinstance(selected, Unavailable):
                self._window.refund(left.repeat)
            return selected
        return await self._servers.choose(
            self._request, tried, has_lost_server, version
        )

    def try_return(self) -> bool:
        """Return whether the next attempt goes back to the server that was silent.

        To be called once no other server may have the request.
        """
        remaining_s = self._request.until_s - now()
        if not self._left or remaining_s < MIN_REMAINING_S:
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
        self, choose: Callable[[], Awaitable[SelectedServer | Unavailable]]
    ) -> Replacement | str:
        """Return a server that takes the request over, or why there is none."""
        if not self._window.allows_repeats(REPEATS_PER_HAND_OVER):
            return "the retry budget is used up"
        found = await choose()
        if isinstance(found, Unavailable):
            return found.detail
        remaining_s = self._request.until_s - now()
        if remaining_s < max(MIN_REMAINING_S, found.time_to_first_token_s):
            found.end(was_sent=False)
            return "too little time is left for another server"
        repeats = self._window.reserve(REPEATS_PER_HAND_OVER)
        if not repeats:
            found.end(was_sent=False)
            return "the retry budget is used up"
        return Replacement(found, self._window, repeats)

    def _log_wait(self, selected: SelectedServer, reason: str) -> None:
        eliot.log_message(
            "attempt:waits",
            request_id=self._request.metadata.request_id,
            server=selected.server.name,
            reason=reason,
            after_ms=round((now() - self._request.arrived_s) * 1000, 1),
        )
