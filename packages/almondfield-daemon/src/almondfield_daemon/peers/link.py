"""The task that sends to one other host."""

import asyncio
from collections import deque

from almondfield_core.clock import Beat, now
from almondfield_core.settings import HostSettings, TimingSettings
from almondfield_daemon.peers.frames import Envelope, Frame, FrameSeal, Purpose
from almondfield_daemon.peers.meter import FRAMES, Meter
from almondfield_daemon.peers.path import Path
from almondfield_daemon.peers.sockets import FrameSink, Sockets

__all__ = ["OutgoingLink"]

MAX_QUEUED_ENVELOPES = 4096
MAX_FRAME_ENVELOPES = 256
MAX_FRAME_BYTES = 256 * 1024
RETRY_SEND_S = 0.02
UNUSED_S = 10.0


class OutgoingLink:
    """Sends queued messages and heartbeats to one other host.

    :param own: this host.
    :param incarnation: incarnation of this host.
    :param target: the other host.
    :param sockets: opens connections.
    :param seal: codes frames.
    :param meter: counts the traffic.
    :param timing: intervals.
    """

    def __init__(
        self,
        own: HostSettings,
        incarnation: int,
        target: HostSettings,
        sockets: Sockets,
        seal: FrameSeal,
        meter: Meter,
        timing: TimingSettings,
    ) -> None:
        self.target = target
        self.path = Path(incarnation, timing.silence_s)
        self._own = own
        self._incarnation = incarnation
        self._sockets = sockets
        self._seal = seal
        self._meter = meter
        self._beat = Beat(own.name, timing.heartbeat_s)
        self._queue: deque[Envelope] = deque()
        self._wake = asyncio.Event()
        self._used_s = -UNUSED_S
        self._asked_s = -UNUSED_S
        self._sink: FrameSink | None = None
        self._dialled_s = 0.0

    def post(self, envelope: Envelope) -> None:
        """Queue a message; the oldest one-way message makes room in a full queue.

        :param envelope: the message.
        """
        if len(self._queue) >= MAX_QUEUED_ENVELOPES:
            self._drop_oldest()
        self._queue.append(envelope)
        self.use()
        if self.path.is_heard:
            self._wake.set()

    def withdraw(self, tag: int) -> None:
        """Drop a question that nobody waits for any more, if it was not sent yet.

        :param tag: tag of the question.
        """
        for index, envelope in enumerate(self._queue):
            if envelope.purpose is Purpose.ASK and envelope.tag == tag:
                del self._queue[index]
                return

    def retarget(self, target: HostSettings) -> None:
        """Send to another address from now on.

        :param target: the host as it is reached now.
        """
        self.target = target
        self._close()

    def use(self) -> None:
        """Keep the heartbeats going for a while."""
        if not self.is_used:
            self._wake.set()
        self._used_s = now()

    def answer_heartbeat(self, at_once: bool) -> None:
        """Send heartbeats for a while because the other host uses the path.

        :param at_once: whether the first one is due now.
        """
        if at_once or not self.is_active:
            self._wake.set()
        self._asked_s = now()

    def note_heard(self) -> None:
        """Send what waited until the other host was heard."""
        if self._queue:
            self._wake.set()

    @property
    def is_used(self) -> bool:
        """Return whether this host used the path lately."""
        return now() - self._used_s < UNUSED_S

    @property
    def is_active(self) -> bool:
        """Return whether the path needs heartbeats."""
        return self.is_used or now() - self._asked_s < UNUSED_S

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self._wait_work()
                await self._send_frame()
        finally:
            self._close()

    async def _wait_work(self) -> None:
        if self._queue and self.path.is_heard:
            return
        if not self.is_active:
            self._close()
            await self._wake.wait()
            return
        try:
            async with asyncio.timeout_at(self._beat.next_s(now())):
                await self._wake.wait()
        except TimeoutError:
            # What other parts send on this beat goes in the same frame.
            await asyncio.sleep(0)

    async def _send_frame(self) -> None:
        self._redial_if_silent()
        with self._meter.work(FRAMES):
            sealed = self._seal.seal(self._next_frame())
        while not self._offer(sealed):
            await asyncio.sleep(RETRY_SEND_S)
            if self._redial_if_silent():
                return

    def _offer(self, sealed: bytes) -> bool:
        if self._sink is None:
            self._dial()
        with self._meter.work(FRAMES):
            taken = self._sink.send(sealed)
        if taken:
            self._meter.sent(FRAMES, len(sealed))
        return taken

    def _next_frame(self) -> Frame:
        self._wake.clear()
        return Frame(
            sender=self._own.name,
            receiver=self.target.name,
            incarnation=self._incarnation,
            sequence=self.path.next_sequence(),
            wants_echo=self.is_used,
            echo_incarnation=self.path.peer_incarnation,
            echo_sequence=self.path.peer_sequence,
            introduction=None if self.path.is_echoed else self._own,
            envelopes=self._take_envelopes(),
        )

    def _take_envelopes(self) -> tuple[Envelope, ...]:
        taken: list[Envelope] = []
        size = 0
        if not self.path.is_heard:
            # Messages are meant for one incarnation of the other host, so that none
            # reaches a later one; they wait until it is known.
            return ()
        while self._queue and len(taken) < MAX_FRAME_ENVELOPES:
            size += len(self._queue[0].body)
            if taken and size > MAX_FRAME_BYTES:
                break
            taken.append(self._queue.popleft())
        return tuple(taken)

    def _redial_if_silent(self) -> bool:
        if self._sink is None or not self.path.is_silent(self._dialled_s):
            return False
        self._meter.redials += 1
        self._close()
        self._drop_one_way()
        self._dial()
        return True

    def _dial(self) -> None:
        self._sink = self._sockets.dial(
            f"{self.target.address}:{self.target.peer_port}"
        )
        self._dialled_s = now()

    def _close(self) -> None:
        if self._sink is not None:
            self._sink.close()
            self._sink = None
        self.path.forget_unechoed()

    def _drop_one_way(self) -> None:
        # What waited through a silence says how things were before it.
        kept = [e for e in self._queue if e.purpose is not Purpose.ONE_WAY]
        for _ in range(len(self._queue) - len(kept)):
            self._meter.dropped("path silent")
        self._queue = deque(kept)

    def _drop_oldest(self) -> None:
        self._meter.dropped("queue full")
        for index, envelope in enumerate(self._queue):
            if envelope.purpose is Purpose.ONE_WAY:
                del self._queue[index]
                return
        self._queue.popleft()
