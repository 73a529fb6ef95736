"""Answers and attempts that ended with their connection, and may have been cut."""

from collections import OrderedDict
from dataclasses import dataclass

from almondfield_core.clock import now
from almondfield_daemon.server_notices import ServerStart

__all__ = ["EndedStarts", "UnprovenAnswer", "UnprovenAnswers"]

# A server that still answers this long after the end of an answer has outlived it.
OUTLIVED_S = 0.3
GONE_WITHIN_S = 2.0  # until the next request meets a server that has ended
MAX_STARTS = 1000
MAX_ANSWERS_PER_START = 64


@dataclass(frozen=True)
class UnprovenAnswer:
    """The end of an answer or attempt that its server may have cut.

    :ivar ended_s: when it ended, in seconds of the loop's clock.
    :ivar parts: parts of its request.
    :ivar ran_s: seconds from the choice of the server to the end.
    :ivar looks_whole: whether the answer was whole unless its server has ended.
    """

    ended_s: float
    parts: tuple[str, ...]
    ran_s: float
    looks_whole: bool


class UnprovenAnswers:
    """Answers and attempts that ended lately, until the server is heard again."""

    def __init__(self) -> None:
        self._answers_by_start: OrderedDict[ServerStart, list[UnprovenAnswer]] = (
            OrderedDict()
        )

    def put(self, start: ServerStart, answer: UnprovenAnswer) -> None:
        """Record the end of an answer or attempt.

        :param start: the start of its server.
        :param answer: the answer or attempt.
        """
        answers = self._answers_by_start.setdefault(start, [])
        if len(answers) < MAX_ANSWERS_PER_START:
            answers.append(answer)
        if len(self._answers_by_start) > MAX_STARTS:
            self._answers_by_start.popitem(last=False)

    def take_outlived(self, start: ServerStart) -> list[UnprovenAnswer]:
        """Return and forget the answers that a server has outlived.

        :param start: the start of a server that answers now.
        """
        answers = self._answers_by_start.pop(start, None)
        if not answers:
            return []
        cutoff_s = now() - OUTLIVED_S
        left = [item for item in answers if item.ended_s > cutoff_s]
        if left:
            self._answers_by_start[start] = left
        return [item for item in answers if item.ended_s <= cutoff_s]

    def take_all(self, start: ServerStart) -> list[UnprovenAnswer]:
        """Return and forget the answers that a server has not outlived.

        :param start: the start of a server that has ended.
        """
        answers = self._answers_by_start.pop(start, [])
        cutoff_s = now() - GONE_WITHIN_S
        return [item for item in answers if item.ended_s > cutoff_s]


class EndedStarts:
    """The starts of servers that ended last."""

    def __init__(self) -> None:
        self._starts: OrderedDict[ServerStart, None] = OrderedDict()

    def __contains__(self, start: ServerStart) -> bool:
        return start in self._starts

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
