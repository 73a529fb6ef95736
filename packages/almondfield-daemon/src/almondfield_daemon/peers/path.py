"""State of the path to another host, derived from the frames exchanged on it."""

from collections import deque

from almondfield_core.clock import now
from almondfield_daemon.peers.frames import Frame

__all__ = ["Path"]


class Path:
    """Sequence numbers and liveness of both directions between two hosts.

    :param own_incarnation: incarnation of this host.
    :param heartbeat_timeout_s: seconds without a frame or an echo after which a
        direction counts as unresponsive.
    :ivar peer_incarnation: incarnation of the other host; 0 before its first frame.
    :ivar peer_sequence: highest sequence received from that incarnation.
    """

    def __init__(self, own_incarnation: int, heartbeat_timeout_s: float) -> None:
        self._own_incarnation = own_incarnation
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._sequence = 0
        self._unechoed: deque[tuple[int, float]] = deque()
        self._echoed_sequence = 0
        self._last_received_s: float | None = None
        self._last_echo_s: float | None = None
        self.peer_incarnation = 0
        self.peer_sequence = 0

    @property
    def is_open(self) -> bool:
        """Return whether both directions worked within the heartbeat timeout."""
        return self.is_inbound_alive and self.is_outbound_alive

    @property
    def is_inbound_alive(self) -> bool:
        """Return whether a frame arrived within the heartbeat timeout."""
        return (
            self._last_received_s is not None
            and now() - self._last_received_s < self._heartbeat_timeout_s
        )

    @property
    def is_outbound_alive(self) -> bool:
        """Return whether a sent frame was echoed within the heartbeat timeout."""
        return (
            self._last_echo_s is not None
            and now() - self._last_echo_s < self._heartbeat_timeout_s
        )

    def is_unresponsive(self, dialled_s: float) -> bool:
        """Return whether either direction of a connection timed out.

        Late echoes show that a path is slow. Only if none came within the timeout, for
        a frame that is as old, the direction to the other host counts as lost.

        :param dialled_s: when it was dialled, in seconds of the loop's clock.
        """
        expired_before_s = now() - self._heartbeat_timeout_s
        if dialled_s > expired_before_s:
            return False
        oldest_unechoed_s = self._unechoed[0][1] if self._unechoed else now()
        is_inbound_lost = (
            self._last_received_s is None or self._last_received_s < expired_before_s
        )
        is_echo_due = oldest_unechoed_s < expired_before_s
        return (is_echo_due and not self.is_outbound_alive) or is_inbound_lost

    @property
    def echo_delay_s(self) -> float:
        """Return how long the oldest frame without an echo has been on its way.

        The value is in seconds; 0 if all frames were echoed. The other host echoes
        frames with its next one, a heartbeat at the latest.
        """
        return now() - self._unechoed[0][1] if self._unechoed else 0.0

    def next_sequence(self) -> int:
        """Return the sequence of the next frame, and record when it was sent."""
        self._sequence += 1
        self._unechoed.append((self._sequence, now()))
        return self._sequence

    def clear_unechoed(self) -> None:
        """Discard the send times of frames sent on a connection that is now closed."""
        self._unechoed.clear()

    def record(self, frame: Frame) -> str:
        """Update the state from a frame of the other host, unless it must be dropped.

        :param frame: a frame whose seal was verified.
        :returns: the reason to drop the frame; empty if it is accepted.
        """
        if frame.incarnation < self.peer_incarnation and self.is_inbound_alive:
            return "earlier incarnation of the sender"
        if frame.echo_incarnation not in (0, self._own_incarnation):
            return "meant for another incarnation"
        if frame.envelopes and not frame.echo_incarnation:
            return "meant for no known incarnation"
        # Incarnations come from the wall clock. A lower one after the heartbeat timeout
        # means that the host's clock was set back before it restarted.
        restarted = frame.incarnation != self.peer_incarnation
        if not restarted and frame.sequence <= self.peer_sequence:
            return "repeated or overtaken"
        if restarted:
            self._unechoed.clear()
        self._record_accepted(frame)
        return ""

    def _record_accepted(self, frame: Frame) -> None:
        self.peer_incarnation = frame.incarnation
        self.peer_sequence = frame.sequence
        self._last_received_s = now()
        if not frame.echo_incarnation:
            return
        if frame.echo_sequence > self._echoed_sequence:
            self._echoed_sequence = frame.echo_sequence
            self._last_echo_s = now()
        while self._unechoed and self._unechoed[0][0] <= frame.echo_sequence:
            self._unechoed.popleft()
