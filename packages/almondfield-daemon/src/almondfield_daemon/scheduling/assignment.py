"""Assignment of a request to an engine."""

from dataclasses import replace

from almondfield_daemon.scheduling.messages import EngineInFlight
from almondfield_daemon.scheduling.reports import AttemptReports

__all__ = ["EngineAssignment"]


class EngineAssignment:
    """Assignment of a request to an engine; changes are reported to the scheduler.

    :param reports: reports to the scheduler.
    :param item: the attempt.
    :param wait_s: predicted wait before prefill, in seconds; None without a scheduler.
    :param asked_s: when the scheduler was asked, in seconds of the loop's clock; None
        without a scheduler.
    """

    def __init__(
        self,
        reports: AttemptReports,
        item: EngineInFlight,
        wait_s: float | None = None,
        asked_s: float | None = None,
    ) -> None:
        self.uncached_tokens = item.unread_tokens
        self.wait_s = wait_s
        self.asked_s = asked_s
        self._reports = reports
        self._item = item
        self._ended = False

    @property
    def server(self) -> str:
        """Return the name of the server."""
        return self._item.server

    @property
    def number(self) -> int:
        """Return the number of the attempt at this router."""
        return self._item.number

    def begin_answer(self) -> None:
        """Record that the answer has begun."""
        if self._item.unread_tokens:
            self._item = replace(self._item, unread_tokens=0)
            self._reports.begin_answer(self._item)

    def report_slowdown(self, started_ms: int, slowdown: float, is_new: bool) -> None:
        """Report what the server says of its speed.

        :param started_ms: start of the server, in milliseconds since 1970.
        :param slowdown: time that work takes now, as a multiple of the usual time.
        :param is_new: whether its last report was another one.
        """
        item = self._item
        self._reports.add_slowdown(item.pool, item.server, started_ms, slowdown, is_new)

    def end(self, was_refused: bool = False, was_sent: bool = True) -> None:
        """Record that the attempt is over.

        :param was_refused: whether the server refused it as full.
        :param was_sent: whether a byte of it may have been sent.
        """
        if not self._ended:
            self._ended = True
            server = self._item.server if was_sent else ""
            item = replace(self._item, server=server, was_refused=was_refused)
            self._reports.end(item)
