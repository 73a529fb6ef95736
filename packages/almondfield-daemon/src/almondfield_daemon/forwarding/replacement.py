"""A server that is selected to take a request over, and what is kept for that."""

from dataclasses import dataclass

from almondfield_daemon.forwarding.budget import Repeat, RetryWindow
from almondfield_daemon.forwarding.selected_server import SelectedServer

__all__ = ["LeftServer", "Replacement"]


@dataclass(frozen=True)
class LeftServer:
    """A silent server that was left, to which the request may go back.

    :ivar name: its name.
    :ivar left_s: when it was left, in seconds of the loop's clock.
    :ivar repeat: the repeat that is kept for the way back.
    """

    name: str
    left_s: float
    repeat: Repeat


class Replacement:
    """A server that is selected to take a request over from a silent one.

    :param selected: the server.
    :param window: retry budget of the pool.
    :param repeats: repeats that are counted for this. The last one is for the way back
        to the silent server; none means that there is no way back.
    :param left: the server as one that was left before; None for a new one.

    :ivar selected: the server.
    :ivar repeats: the repeats.
    :ivar left: the server as one that was left before; None for a new one.
    """

    def __init__(
        self,
        selected: SelectedServer,
        window: RetryWindow,
        repeats: tuple[Repeat, ...],
        left: LeftServer | None = None,
    ) -> None:
        self.selected = selected
        self.repeats = repeats
        self.left = left
        self._window = window

    def drop(self) -> None:
        """Give back the place at the server and the repeats, as nothing was sent."""
        self.selected.end(was_sent=False)
        for repeat in self.repeats:
            self._window.refund(repeat)
