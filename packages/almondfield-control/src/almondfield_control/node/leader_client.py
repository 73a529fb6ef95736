"""Client that finds the leader of the control group."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from result import Err, Ok, Result

from almondfield_control.freshness import NotLeader
from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable
from almondfield_core.ports import Peers

__all__ = ["LeaderClient"]

ATTEMPT_S = 1.0
MIN_ATTEMPT_S = 0.001
RETRY_DELAY_S = 0.1


class LeaderClient:
    """Finds the leader and retries idempotent requests until it answers.

    :param peers: transport to the other hosts.
    :param voters: returns the hosts that may currently lead.
    :param attempt_s: seconds to wait for one host before the next attempt.
    :param broadcast: whether to send a request to all hosts at once while no leader is
        known.
    """

    def __init__(
        self,
        peers: Peers,
        voters: Callable[[], tuple[str, ...]],
        attempt_s: float = ATTEMPT_S,
        broadcast: bool = False,
    ) -> None:
        self._broadcast = broadcast
        self._peers = peers
        self._voters = voters
        self._attempt_s = attempt_s
        self._target = ""
        self._leader_host = ""
        self._last_leader = ""

    @property
    def leader_host(self) -> str:
        """Return the host that last answered as the leader; else empty."""
        return self._leader_host

    @property
    def last_leader(self) -> str:
        """Return the host that last answered as the leader, even if it failed since."""
        return self._last_leader

    def set_leader(self, host: str) -> bool:
        """Set the leader; return whether it changed.

        :param host: a host that reported that it leads.
        """
        if host == self._leader_host:
            return False
        self._record_leader(host)
        return True

    async def request(
        self,
        message: object,
        timeout_s: float,
        on_late: Callable[[Any], None] | None = None,
    ) -> Result[Any, ControlUnavailable]:
        """Return the leader's reply to an idempotent request.

        :param message: the request.
        :param timeout_s: seconds after which no further attempt is made.
        :param on_late: called with a leader's reply that arrives after its attempt.
        """
        deadline = now() + timeout_s
        if not self._target:
            self._select_target("", "")
        maybe_done = False
        reason = "no voter is known"
        while self._target and deadline - now() > MIN_ATTEMPT_S:
            target = self._target
            attempt_s = min(self._attempt_s, deadline - now())
            if self._broadcast and not self._leader_host:
                match await self._request_all(message, attempt_s, on_late):
                    case Ok(reply):
                        return Ok(reply)
                    case Err(unavailable):
                        maybe_done |= not unavailable.certainly_not_done
                        reason = unavailable.reason
                await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - now())))
                continue
            process_late = partial(self._process_late, target, on_late)
            match await self._peers.request(target, message, attempt_s, process_late):
                case Ok(NotLeader(leader_host)):
                    reason = f"{target} does not lead"
                    self._select_target(leader_host, target)
                case Ok(ControlUnavailable() as unavailable):
                    maybe_done |= not unavailable.certainly_not_done
                    reason = unavailable.reason
                    self._select_target("", target)
                case Ok(reply):
                    self._record_leader(target)
                    return Ok(reply)
                case Err(failure):
                    maybe_done = True
                    reason = f"{target}: {failure.reason}"
                    self._select_target("", target)
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - now())))
        return Err(ControlUnavailable(reason, certainly_not_done=not maybe_done))

    def _record_leader(self, host: str) -> None:
        self._target = self._leader_host = self._last_leader = host

    def _process_late(
        self, host: str, on_late: Callable[[Any], None] | None, reply: Any
    ) -> None:
        """Record that a host answers as the leader, and pass its reply on."""
        match reply:
            case NotLeader() | ControlUnavailable():
                return
        if not self._leader_host:
            self._record_leader(host)
        if on_late is not None:
            on_late(reply)

    async def _request_all(
        self,
        message: object,
        attempt_s: float,
        on_late: Callable[[Any], None] | None,
    ) -> Result[Any, ControlUnavailable]:
        """Return the leader's reply, or why there is none."""
        targets = self._voters()
        reply, named_leaders, refusals = await self._request_each(
            targets, message, attempt_s, on_late
        )
        others = tuple(named_leaders.difference(targets, [""]))
        if reply is None and others:
            reply, _, more_refusals = await self._request_each(
                others, message, attempt_s, on_late
            )
            refusals += more_refusals
        if reply is not None:
            return Ok(reply)
        is_not_done = all(item.certainly_not_done for item in refusals)
        # Hosts that gave no reply don't say why; the leader may have.
        reasons = [item.reason for item in refusals if item.certainly_not_done]
        reason = reasons[0] if reasons else "no host leads"
        return Err(ControlUnavailable(reason, certainly_not_done=is_not_done))

    async def _request_each(
        self,
        hosts: tuple[str, ...],
        message: object,
        attempt_s: float,
        on_late: Callable[[Any], None] | None,
    ) -> tuple[Any | None, set[str], list[ControlUnavailable]]:
        """Return the leader's reply, if any, named leaders, and why others gave none.

        A host that doesn't lead has done nothing, and isn't among the last ones.
        """

        async def request(host: str) -> tuple[str, Any]:
            process_late = partial(self._process_late, host, on_late)
            answer = await self._peers.request(host, message, attempt_s, process_late)
            return host, answer

        named_leaders: set[str] = set()
        refusals: list[ControlUnavailable] = []
        tasks = [asyncio.create_task(request(host)) for host in hosts]
        try:
            for task in asyncio.as_completed(tasks):
                match await task:
                    case (_, Ok(NotLeader(leader_host))):
                        named_leaders.add(leader_host)
                    case (_, Ok(ControlUnavailable() as unavailable)):
                        refusals.append(unavailable)
                    case (host, Err(failure)):
                        reason = f"{host}: {failure.reason}"
                        refusals.append(ControlUnavailable(reason))
                    case (host, Ok(reply)):
                        self._record_leader(host)
                        return reply, named_leaders, refusals
        finally:
            for task in tasks:
                task.cancel()
        return None, named_leaders, refusals

    def _select_target(self, leader_host: str, tried_host: str) -> None:
        """Select the named leader, or else the next voter, for the next attempt.

        :param leader_host: the leader as named by the host; else empty.
        :param tried_host: the host of the last attempt; nothing changes if the
            target is already another host.
        """
        voters = self._voters()
        if self._leader_host == tried_host:
            self._leader_host = ""
        if self._target != tried_host:
            return
        if leader_host and leader_host != tried_host:
            self._target = leader_host
            return
        position = voters.index(tried_host) if tried_host in voters else -1
        self._target = voters[(position + 1) % len(voters)] if voters else ""
