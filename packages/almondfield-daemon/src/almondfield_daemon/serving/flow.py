"""Flow control of one connection's input and output."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import FlowControl

__all__ = ["InputFlow"]


class InputFlow(FlowControl):
    """Flow control that reads on only when what has come before is taken in.

    :param transport: transport of the connection.
    :param take_in: takes in what has been received and is held back; returns whether
        all of it is taken in and more may be read.
    """

    def __init__(
        self, transport: asyncio.Transport, take_in: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._take_in = take_in

    def resume_reading(self) -> None:
        """Read on, unless something is held back; each answer tries again."""
        if self.read_paused and self._take_in():
            super().resume_reading()

    def resume_writing(self) -> None:
        """Let the sender go on, and take in what waited for the caller to read."""
        super().resume_writing()
        self.resume_reading()
