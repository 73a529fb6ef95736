"""What the frames of one path show: what arrived, and whether it still works."""

from collections import deque

from almondfield_core.clock import now
from almondfield_daemon.peers.frames import Frame

__all__ = ["Path"]


class Path:
    """Both directions between this host and another one.

    :param own_incarnation: incarnation of this host.
    :param silence_s: seconds of silence after which a direction counts as dead.
    """

    def __init__(self, own_incarnation: int, silence_s: float) -> None:
        self._own_incarnation = own_incarnation
        self._silence_s = silence_s
        self._sequence = 0
        self._unechoed: deque[tuple[int, float]] = deque()
        self._heard_s: float | None = None
        self._echoed_s: float | None = None
        self.peer_incarnation = 0
        self.peer_sequence = 0

    @property
    def is_open(self) -> bool:
        """Return whether both directions were seen to work within the silence."""
        return self.is_heard and self.is_echoed

    @property
    def is_heard(self) -> bool:
        """Return whether the other host was heard within the silence."""
        return self._heard_s is not None and now() - self._heard_s < self._silence_s

    @property
    def is_echoed(self) -> bool:
        """Return whether the other host told within the silence that it hears us."""
        return self._echoed_s is not None and now() - self._echoed_s < self._silence_s

    def is_silent(self, since_s: float) -> bool:
        """Return whether a connection made at a time carries nothing any more.

        :param since_s: when the connection was made, in seconds of the loop's clock.
        """
        lost_after_s = now() - self._silence_s
        if since_s > lost_after_s:
            return False
        unechoed_since_s = self._unechoed[0][1] if self._unechoed else now()
        unheard = self._heard_s is None or self._heard_s < lost_after_s
        return unechoed_since_s < lost_after_s or unheard

    def next_sequence(self) -> int:
        """Return the sequence of the next frame, and remember when it was sent."""
        self._sequence += 1
        self._unechoed.append((self._sequence, now()))
        return self._sequence

    def forget_unechoed(self) -> None:
        """Forget frames that went out on a connection that is closed now."""
        self._unechoed.clear()

    def refusal(self, frame: Frame) -> str:
        """Return why a frame of the other host is to be dropped; empty if it isn't.

        Takes note of what the frame shows where it is kept.

        :param frame: a frame with a right seal.
        """
        if frame.incarnation < self.peer_incarnation and self.is_heard:
            return "earlier incarnation of the sender"
        if frame.echo_incarnation not in (0, self._own_incarnation):
            return "meant for another incarnation"
        if frame.envelopes and not frame.echo_incarnation:
            return "meant for no known incarnation"
        # A lower incarnation after a silence is a host whose calendar time was set
        # back before it started again.
        restarted = frame.incarnation != self.peer_incarnation
        if not restarted and frame.sequence <= self.peer_sequence:
            return "repeated or overtaken"
        if restarted:
            self._unechoed.clear()
        self._note(frame)
        return ""

    def _note(self, frame: Frame) -> None:
        self.peer_incarnation = frame.incarnation
        self.peer_sequence = frame.sequence
        self._heard_s = now()
        if not frame.echo_incarnation:
            return
        while self._unechoed and self._unechoed[0][0] <= frame.echo_sequence:
            self._unechoed.popleft()
            self._echoed_s = now()
