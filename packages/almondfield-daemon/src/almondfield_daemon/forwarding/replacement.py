"""A server that is selected to take a request over, and what is kept for that."""

from almondfield_daemon.forwarding.budget import Repeat, RetryWindow
from almondfield_daemon.forwarding.selected_server import SelectedServer

__all__ = ["Replacement"]


class Replacement:
    """A server that is selected to take a request over from a silent one.

    :param selected: the server.
    :param window: retry budget of the pool.
    :param repeats: repeats that are counted for the hand-over: the last one for the way
        back, the other one for the server.

    :ivar selected: the server.
    :ivar repeats: the repeats.
    """

    def __init__(
        self,
        selected: SelectedServer,
        window: RetryWindow,
        repeats: tuple[Repeat, ...],
    ) -> None:
        self.selected = selected
        self.repeats = repeats
        self._window = window

    def drop(self) -> None:
        """Give back the place at the server and the repeats, as nothing was sent."""
        self.selected.end(was_sent=False)
        for repeat in self.repeats:
            self._window.refund(repeat)
