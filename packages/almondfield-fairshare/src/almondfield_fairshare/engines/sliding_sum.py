"""Sum of work over a sliding window."""

from collections import deque

from almondfield_core.clock import now

__all__ = ["SlidingSum"]


class SlidingSum:
    """Sum of work over a sliding window.

    :param window_s: length of the window in seconds.

    :ivar work: the work, with what has left the window since the last call of
        :meth:`total`.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._items: deque[tuple[float, float]] = deque()
        self.work = 0.0

    def add(self, at_s: float, work: float) -> None:
        """Add work at a time, which is not before that of the last addition.

        :param at_s: the time, in seconds of the loop's clock.
        :param work: the work.
        """
        self._items.append((at_s, work))
        self.work += work

    def remove(self, added_s: float, work: float) -> None:
        """Remove work that was added at a time, unless the window has passed it.

        :param added_s: time of the addition, in seconds of the loop's clock.
        :param work: the work that was added.
        """
        # Recent work is at the end, and most is removed soon after its addition.
        for index in range(len(self._items) - 1, -1, -1):
            if self._items[index] == (added_s, work):
                del self._items[index]
                self.work -= work
                return
            if self._items[index][0] < added_s:
                return

    def total(self, at_s: float | None = None) -> float:
        """Return the work within the window.

        :param at_s: the current time, in seconds of the loop's clock, if it is known.
        """
        before_s = (now() if at_s is None else at_s) - self._window_s
        items = self._items
        while items and items[0][0] < before_s:
            self.work -= items.popleft()[1]
        if not items:
            self.work = 0.0  # sums of floats leave a small rest
        return self.work
