"""Answers that ended with their connection, which may have been cut there."""

from collections import OrderedDict

from almondfield_core.clock import now
from almondfield_daemon.server_notices import ServerStart

__all__ = ["EndedStarts", "UnprovenAnswers"]

# A server that still answers this long after the end of an answer has outlived it.
OUTLIVED_S = 0.3
GONE_WITHIN_S = 2.0  # until the next request meets a server that has ended
MAX_STARTS = 1000
MAX_ANSWERS_PER_START = 64


class UnprovenAnswers:
    """Parts of prompts whose answers ended lately, until the server is heard again."""

    def __init__(self) -> None:
        self._answers_by_start: OrderedDict[
            ServerStart, list[tuple[float, tuple[str, ...]]]
        ] = OrderedDict()

    def put(self, start: ServerStart, parts: tuple[str, ...]) -> None:
        """Record the end of an answer.

        :param start: the start of the server that sent it.
        :param parts: parts of its prompt.
        """
        answers = self._answers_by_start.setdefault(start, [])
        if len(answers) < MAX_ANSWERS_PER_START:
            answers.append((now(), parts))
        if len(self._answers_by_start) > MAX_STARTS:
            self._answers_by_start.popitem(last=False)

    def take_outlived(self, start: ServerStart) -> list[tuple[str, ...]]:
        """Return and forget the prompts that a server has outlived.

        :param start: the start of a server that answers now.
        """
        answers = self._answers_by_start.pop(start, None)
        if not answers:
            return []
        cutoff_s = now() - OUTLIVED_S
        left = [item for item in answers if item[0] > cutoff_s]
        if left:
            self._answers_by_start[start] = left
        return [parts for ended_s, parts in answers if ended_s <= cutoff_s]

    def take_all(self, start: ServerStart) -> list[tuple[str, ...]]:
        """Return and forget the prompts that a server has not outlived.

        :param start: the start of a server that has ended.
        """
        answers = self._answers_by_start.pop(start, [])
        cutoff_s = now() - GONE_WITHIN_S
        return [parts for ended_s, parts in answers if ended_s > cutoff_s]


class EndedStarts:
    """The starts of servers that ended last."""

    def __init__(self) -> None:
        self._starts: OrderedDict[ServerStart, None] = OrderedDict()

    def add(self, start: ServerStart) -> bool:
        """Record that a server has ended, and return whether that is new.

        :param start: the start of the server.
        """
        if start in self._starts:
            return False
        self._starts[start] = None
        if len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)
        return True
