"""Reports of a router on its attempts at engines, for the scheduler."""

import asyncio
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_core.ports import Peers
from almondfield_daemon.scheduling.messages import (
    EngineInFlight,
    EngineProgress,
    EngineSlowdown,
    HeldPrompt,
    UnscheduledPrompt,
)
from almondfield_fairshare.engines import AttemptSnapshot

__all__ = ["AttemptReports"]

REPORT_DELAY_S = 0.02  # batches reports; a fraction of the prefill time of a prompt
SNAPSHOT_INTERVAL_S = 1.0  # while attempts change
SNAPSHOTS_AFTER_S = 3.0  # after their last change; reports of it may be lost
HELD_REPORT_DELAY_S = 0.2  # callers return after about a second
MAX_HELD_PROMPTS = 200  # in one report
SLOWDOWN_REPORT_DELAY_S = 0.1  # a sixth of the time that a slowdown lasts
MAX_SLOWDOWNS = 100  # in one report; more engines than a router has answers of in 0.1 s
MAX_UNREPORTED = 1000  # reports held back while no scheduler is known


@dataclass(frozen=True)
class _Slowdown:
    """What an engine reported of its speed.

    :ivar started_ms: start of the engine, in milliseconds since 1970.
    :ivar slowdown: time that work takes, as a multiple of the usual time.
    :ivar received_s: when it was received, in seconds of the loop's clock.
    """

    started_ms: int
    slowdown: float
    received_s: float


class AttemptReports:
    """Attempts of one router, and reports of their changes.

    Reports are one-way messages that may be lost. While attempts change, and
    for some seconds after, one report a second has a snapshot of all attempts, by which
    the scheduler corrects its own.

    :param peers: messages to the other hosts.
    :param first_number: attempts have higher numbers than this.

    :ivar scheduler_host: host that is reported to; empty before the first reply.
    """

    def __init__(self, peers: Peers, first_number: int) -> None:
        self._peers = peers
        self._last_number = first_number
        self._undecided: set[int] = set()
        self._in_flight_by_number: dict[int, EngineInFlight] = {}
        self._begun: list[EngineInFlight] = []
        self._ended: list[EngineInFlight] = []
        self._held: list[HeldPrompt] = []
        self._unscheduled: list[UnscheduledPrompt] = []
        self._slowdown_by_server: dict[tuple[str, str], _Slowdown] = {}
        self.scheduler_host = ""
        self._scheduler_start = 0
        self._report_timer: asyncio.TimerHandle | None = None
        self._snapshot_timer: asyncio.TimerHandle | None = None
        self._snapshot_sent_s = float("-inf")
        self._changed_s = float("-inf")

    @property
    def has_undecided(self) -> bool:
        """Return whether an attempt has no engine yet."""
        return bool(self._undecided)

    def set_scheduler(self, host: str, start: int) -> bool:
        """Set the scheduler; a new one receives all attempts in flight.

        :param host: its host.
        :param start: identifier of its start.
        :returns: whether it is a new one.
        """
        if self.is_scheduler(host, start):
            return False
        self.scheduler_host, self._scheduler_start = host, start
        in_flight = tuple(self._in_flight_by_number.values())
        # This scheduler may have counted attempts as sent that have ended since.
        progress = EngineProgress(ended=tuple(self._ended), in_flight=in_flight)
        self._begun.clear()
        self._ended.clear()
        self._unscheduled.clear()  # those in flight are told
        self._peers.send(host, progress)
        return True

    def is_scheduler(self, host: str, start: int) -> bool:
        """Return whether the attempts are reported to a start of a scheduler.

        :param host: its host.
        :param start: identifier of its start.
        """
        return (host, start) == (self.scheduler_host, self._scheduler_start)

    def add_undecided(self) -> int:
        """Return the number of a new attempt that has no engine yet."""
        self._last_number += 1
        self._undecided.add(self._last_number)
        return self._last_number

    def remove_undecided(self, number: int) -> None:
        """Remove an attempt that the scheduler refused.

        :param number: number of the attempt.
        """
        self._undecided.discard(number)

    def start(self, item: EngineInFlight) -> None:
        """Record that an attempt has an engine.

        :param item: the attempt.
        """
        self._undecided.discard(item.number)
        self._in_flight_by_number[item.number] = item

    def begin_answer(self, item: EngineInFlight) -> None:
        """Report that an answer has begun.

        :param item: the attempt.
        """
        if item.number in self._in_flight_by_number:
            self._in_flight_by_number[item.number] = item
        self._begun.append(item)
        self._changed_s = now()
        self._schedule_report()

    def end(self, item: EngineInFlight) -> None:
        """Report that an attempt is over.

        :param item: the attempt.
        """
        self._undecided.discard(item.number)
        self._in_flight_by_number.pop(item.number, None)
        self._ended.append(item)
        self._changed_s = now()
        self._schedule_report()

    def add_held(self, pool: str, prompt_id: str) -> None:
        """Report a prompt that this router refused without asking the scheduler.

        :param pool: name of the pool.
        :param prompt_id: identifier of the prompt; empty for none.
        """
        if prompt_id and len(self._held) < MAX_HELD_PROMPTS:
            self._held.append(HeldPrompt(pool, prompt_id))
            self._schedule_report(HELD_REPORT_DELAY_S)

    def add_unscheduled(self, item: UnscheduledPrompt) -> None:
        """Report a prompt that this router sent without a decision of the scheduler.

        :param item: the prompt.
        """
        self._unscheduled.append(item)
        self._changed_s = now()
        self._schedule_report()

    def add_slowdown(
        self, pool: str, server: str, started_ms: int, slowdown: float, is_new: bool
    ) -> None:
        """Report what an engine says of its speed.

        :param pool: name of the pool.
        :param server: the engine.
        :param started_ms: start of the engine, in milliseconds since 1970.
        :param slowdown: time that work takes now, as a multiple of the usual time.
        :param is_new: whether its last report was another one. Other reports are only
            sent with what else there is to tell.
        """
        key = (pool, server)
        items = self._slowdown_by_server
        if key in items or len(items) < MAX_SLOWDOWNS:
            items[key] = _Slowdown(started_ms, slowdown, now())
        if is_new:
            self._schedule_report(SLOWDOWN_REPORT_DELAY_S)

    def _take_slowdowns(self) -> tuple[EngineSlowdown, ...]:
        items, self._slowdown_by_server = self._slowdown_by_server, {}
        at_s = now()
        return tuple(
            EngineSlowdown(
                pool, server, item.started_ms, item.slowdown, at_s - item.received_s
            )
            for (pool, server), item in items.items()
        )

    def _schedule_report(self, delay_s: float = REPORT_DELAY_S) -> None:
        loop = asyncio.get_running_loop()
        if self._report_timer is not None:
            if self._report_timer.when() <= loop.time() + delay_s:
                return
            self._report_timer.cancel()
        self._report_timer = loop.call_later(delay_s, self._send_report)

    def _send_report(self) -> None:
        self._report_timer = None
        if not self.scheduler_host:
            del self._begun[:-MAX_UNREPORTED], self._ended[:-MAX_UNREPORTED]
            self._held.clear()
            self._unscheduled.clear()
            self._slowdown_by_server.clear()
            return
        begun, ended = tuple(self._begun), tuple(self._ended)
        self._begun.clear()
        self._ended.clear()
        held = tuple(self._held)
        self._held.clear()
        unscheduled = tuple(self._unscheduled)
        self._unscheduled.clear()
        snapshot = self._take_snapshot_if_due()
        progress = EngineProgress(
            begun,
            ended,
            snapshot=snapshot,
            held=held,
            unscheduled=unscheduled,
            slowdowns=self._take_slowdowns(),
        )
        self._peers.send(self.scheduler_host, progress)

    def _take_snapshot_if_due(self) -> AttemptSnapshot | None:
        """Return a snapshot if the last one is old; else make sure that one follows."""
        if now() < self._snapshot_sent_s + SNAPSHOT_INTERVAL_S:
            self._schedule_snapshot()
            return None
        self._snapshot_sent_s = now()
        if now() < self._changed_s + SNAPSHOTS_AFTER_S:
            self._schedule_snapshot()
        items = self._in_flight_by_number.values()
        return AttemptSnapshot(
            last_number=self._last_number,
            waiting=(
                *self._undecided,
                *(item.number for item in items if item.unread_tokens),
            ),
            running=tuple(item.number for item in items if not item.unread_tokens),
        )

    def _schedule_snapshot(self) -> None:
        """Send a report when the next snapshot is due."""
        if self._snapshot_timer is None:
            due_s = self._snapshot_sent_s + SNAPSHOT_INTERVAL_S
            loop = asyncio.get_running_loop()
            self._snapshot_timer = loop.call_at(due_s, self._send_snapshot)

    def _send_snapshot(self) -> None:
        self._snapshot_timer = None
        self._schedule_report()
