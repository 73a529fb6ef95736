"""Requests to the leader of the control group, wherever it is."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from almondfield_control.freshness import NotLeader
from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers

__all__ = ["LeaderClient"]

ATTEMPT_S = 1.0
MIN_ATTEMPT_S = 0.001
PAUSE_S = 0.1


class LeaderClient:
    """Finds the leader and repeats idempotent requests until it answers.

    :param peers: messages to the other hosts.
    :param voters: returns the hosts that may lead, as they are known now.
    :param attempt_s: seconds to wait for one host before the next is asked.
    """

    def __init__(
        self,
        peers: Peers,
        voters: Callable[[], tuple[str, ...]],
        attempt_s: float = ATTEMPT_S,
    ) -> None:
        self._peers = peers
        self._voters = voters
        self._attempt_s = attempt_s
        self._target = ""
        self._leader_host = ""

    @property
    def leader_host(self) -> str:
        """Return the host that last answered as the leader; else empty."""
        return self._leader_host

    async def ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, ControlUnavailable]:
        """Return the leader's reply to an idempotent request.

        :param message: the request.
        :param timeout_s: seconds to go on trying.
        """
        until = now() + timeout_s
        if not self._target:
            self._turn_to("", "")
        maybe_done = False
        reason = "no voter is known"
        while self._target and until - now() > MIN_ATTEMPT_S:
            target = self._target
            attempt_s = min(self._attempt_s, until - now())
            match await self._peers.ask(target, message, attempt_s):
                case Ok(NotLeader(leader_host)):
                    reason = f"{target} does not lead"
                    self._turn_to(leader_host, target)
                case Ok(ControlUnavailable() as unavailable):
                    maybe_done |= not unavailable.certainly_not_done
                    reason = unavailable.reason
                    self._turn_to("", target)
                case Ok(reply):
                    self._leader_host = target
                    return Ok(reply)
                case Err(failure):
                    maybe_done = True
                    reason = f"{target}: {failure.reason}"
                    self._turn_to("", target)
            await asyncio.sleep(min(PAUSE_S, max(0.0, until - now())))
        return Err(ControlUnavailable(reason, certainly_not_done=not maybe_done))

    def _turn_to(self, leader_host: str, asked: str) -> None:
        voters = self._voters()
        if self._leader_host == asked:
            self._leader_host = ""
        if self._target != asked:
            return
        if leader_host and leader_host != asked:
            self._target = leader_host
            return
        place = voters.index(asked) if asked in voters else -1
        self._target = voters[(place + 1) % len(voters)] if voters else ""
