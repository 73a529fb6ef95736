"""Queue, connection and heartbeats of the link to one other host."""

import asyncio

import eliot

from almondfield_core.clock import PeriodicTimer, now
from almondfield_core.settings import HostSettings, TimingSettings
from almondfield_daemon.peers.envelope_queue import ByteBudget, EnvelopeQueue
from almondfield_daemon.peers.frames import Envelope, Frame, FrameSeal
from almondfield_daemon.peers.message_counters import FRAMES, MessageCounters
from almondfield_daemon.peers.path import Path
from almondfield_daemon.peers.sockets import FrameSink, Sockets

__all__ = ["OutgoingLink"]

MAX_FRAME_ENVELOPES = 256
MAX_FRAME_BYTES = 256 * 1024
SEND_RETRY_S = 0.02
ERROR_RETRY_S = 1.0
LATE_ECHO_S = 0.1  # many round trips; without messages, beyond a heartbeat interval
LATE_FRAME_INTERVAL_S = 0.15  # between two frames, while they are handled late
MIN_FRAME_INTERVAL_S = 0.005  # shorter ones make no difference
FRAME_INTERVAL_HALF_LIFE_S = 1.0  # while frames are handled in time
IDLE_TIMEOUT_S = 10.0


class OutgoingLink:
    """Sends queued messages and heartbeats to one other host.

    :param own_host: settings of this host.
    :param incarnation: incarnation of this host.
    :param target: settings of the other host.
    :param sockets: opens connections.
    :param seal: encodes and authenticates frames.
    :param counters: counts the traffic.
    :param timing: heartbeat interval and heartbeat timeout.
    :param budget: bytes of the queued messages to all hosts.
    """

    def __init__(
        self,
        own_host: HostSettings,
        incarnation: int,
        target: HostSettings,
        sockets: Sockets,
        seal: FrameSeal,
        counters: MessageCounters,
        timing: TimingSettings,
        budget: ByteBudget,
    ) -> None:
        self.target = target
        self.path = Path(incarnation, timing.silence_s)
        self._own_host = own_host
        self._incarnation = incarnation
        self._sockets = sockets
        self._seal = seal
        self._counters = counters
        self._heartbeat_timer = PeriodicTimer(own_host.name, timing.heartbeat_s)
        self._queue = EnvelopeQueue(
            budget, lambda: counters.count_dropped("queue full")
        )
        self._wake = asyncio.Event()
        self._last_used_s = -IDLE_TIMEOUT_S
        self._last_echo_request_s = -IDLE_TIMEOUT_S
        self._sink: FrameSink | None = None
        self._dialled_s = 0.0
        self._heartbeat_s = timing.heartbeat_s
        self._framed_s = -IDLE_TIMEOUT_S
        self._interval_s = 0.0

    def post(self, envelope: Envelope) -> None:
        """Queue a message, which may be dropped if the queue is full.

        :param envelope: the message.
        """
        self._queue.append(envelope)
        self.mark_used()
        if self.path.is_inbound_alive:
            self._wake.set()

    def cancel_request(self, tag: int) -> None:
        """Remove an abandoned request from the queue if it was not sent yet.

        :param tag: tag of the request.
        """
        self._queue.remove_request(tag)

    def set_target(self, target: HostSettings) -> None:
        """Replace the address of the other host and close the old connection.

        :param target: new settings of the other host.
        """
        self.target = target
        self._close()

    def mark_used(self) -> None:
        """Record that this host uses the path, which keeps heartbeats going."""
        if not self.is_used:
            self._wake.set()
        self._last_used_s = now()

    def answer_heartbeat(self, immediately: bool) -> None:
        """Record that the other host uses the path, which keeps heartbeats going.

        :param immediately: whether to send the first one now.
        """
        if immediately or not self.is_active:
            self._wake.set()
        self._last_echo_request_s = now()

    def wake_if_queued(self) -> None:
        """Wake the sending task if messages wait for a frame of the other host."""
        if self._queue:
            self._wake.set()

    @property
    def is_used(self) -> bool:
        """Return whether this host used the path within the idle timeout."""
        return now() - self._last_used_s < IDLE_TIMEOUT_S

    @property
    def is_active(self) -> bool:
        """Return whether either host used the path within the idle timeout."""
        return self.is_used or now() - self._last_echo_request_s < IDLE_TIMEOUT_S

    async def run(self) -> None:
        """Send messages and heartbeats until cancelled."""
        try:
            while True:
                await self._wait_until_due()
                await self._wait_while_late()
                try:
                    await self._send_frame()
                except Exception as error:
                    # For example an address that can't be dialled. The links to other
                    # hosts run in the same task group.
                    self._log_error(error)
                    self._close()
                    await asyncio.sleep(ERROR_RETRY_S)
        finally:
            self._close()

    def _log_error(self, error: Exception) -> None:
        eliot.log_message(
            "peer:link-error",
            peer_host=self.target.name,
            address=self.target.address,
            port=self.target.peer_port,
            reason=repr(error),
        )

    async def _wait_until_due(self) -> None:
        if self._queue and self.path.is_inbound_alive:
            return
        if not self.is_active:
            self._close()
            self._drop_outdated()
            await self._wake.wait()
            return
        try:
            async with asyncio.timeout_at(self._next_heartbeat_s()):
                await self._wake.wait()
        except TimeoutError:
            # Messages that other parts send at this heartbeat go in the same frame.
            await asyncio.sleep(0)

    def _next_heartbeat_s(self) -> float:
        """Return when a heartbeat is due, in seconds of the loop's clock.

        Each frame is as good as a heartbeat; a link with messages needs none.
        """
        due_s = self._framed_s + self._heartbeat_s
        return due_s if due_s > now() else self._heartbeat_timer.next_tick_s(now())

    async def _wait_while_late(self) -> None:
        """Wait between frames that the other host handles late.

        A busy host handles as many frames of each sender, so that a sender of many
        messages has few of them handled in time, unless a frame has several.
        """
        delay_s = self.path.echo_delay_s
        if delay_s > self._heartbeat_s + LATE_ECHO_S:
            self._interval_s = LATE_FRAME_INTERVAL_S
        elif self._interval_s < MIN_FRAME_INTERVAL_S:
            return
        elif delay_s < LATE_ECHO_S:
            half_lives = (now() - self._framed_s) / FRAME_INTERVAL_HALF_LIFE_S
            self._interval_s *= 0.5**half_lives
        left_s = self._framed_s + self._interval_s - now()
        await asyncio.sleep(max(0.0, left_s))

    async def _send_frame(self) -> None:
        self._redial_if_unresponsive()
        with self._counters.measure(FRAMES):
            sealed = self._seal.seal(self._next_frame())
        while not self._try_send(sealed):
            await asyncio.sleep(SEND_RETRY_S)
            if self._redial_if_unresponsive():
                return

    def _try_send(self, sealed: bytes) -> bool:
        if self._sink is None:
            self._dial()
        with self._counters.measure(FRAMES):
            accepted = self._sink.send(sealed)
        if accepted:
            self._counters.count_sent(FRAMES, len(sealed))
        return accepted

    def _next_frame(self) -> Frame:
        self._wake.clear()
        self._framed_s = now()
        return Frame(
            sender=self._own_host.name,
            receiver=self.target.name,
            incarnation=self._incarnation,
            sequence=self.path.next_sequence(),
            wants_echo=self.is_used,
            echo_incarnation=self.path.peer_incarnation,
            echo_sequence=self.path.peer_sequence,
            introduction=None if self.path.is_outbound_alive else self._own_host,
            envelopes=self._dequeue_envelopes(),
        )

    def _dequeue_envelopes(self) -> tuple[Envelope, ...]:
        dequeued: list[Envelope] = []
        size = 0
        if not self.path.is_inbound_alive:
            # A frame with messages names the incarnation of the other host that they
            # are for, so that no later one handles them. They wait until it is known.
            return ()
        while self._queue and len(dequeued) < MAX_FRAME_ENVELOPES:
            size += self._queue.next_size
            if dequeued and size > MAX_FRAME_BYTES:
                break
            dequeued.append(self._queue.popleft())
        return tuple(dequeued)

    def _redial_if_unresponsive(self) -> bool:
        if self._sink is None or not self.path.is_unresponsive(self._dialled_s):
            return False
        self._counters.redials += 1
        self._close()
        self._drop_outdated()
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
        self.path.clear_unechoed()
        self._interval_s = 0.0

    def _drop_outdated(self) -> None:
        for _ in range(self._queue.drop_outdated()):
            self._counters.count_dropped("path silent")
