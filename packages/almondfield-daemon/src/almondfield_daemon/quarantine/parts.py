"""Parts of requests: those that may be to blame, and those known as sound.

A part is one that prompts share, by its ID, or the digest of a whole request.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_daemon.quarantine.digests import SoundDigests, is_digest
from almondfield_daemon.server_notices import ServerStart

__all__ = [
    "BEGIN_WINDOW_S",
    "NoQuarantine",
    "RequestQuarantine",
    "SoundParts",
    "shared_parts",
]

# A server that ends this long after the first event of an answer, or later, has not
# ended under a part of the prompt.
BEGIN_WINDOW_S = 1.0
SOUND_MEMORY_S = 30.0
MAX_SOUND_PARTS = 20_000


class RequestQuarantine(Protocol):
    """Knows which requests are refused, and learns from their attempts."""

    def left_s(self, parts: tuple[str, ...]) -> float:
        """Return the seconds for which a request is still refused; 0 if it isn't.

        :param parts: parts of the request.
        """

    def record_crash(
        self, start: ServerStart, address: str, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Record that a server ended under a request.

        :param start: the start of the server.
        :param address: its address.
        :param parts: parts of the request that may be to blame.
        :param ran_s: seconds from the choice of the server to its end.
        """

    def record_doubtful_cut(
        self, start: ServerStart, address: str, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Record that a server ended under a request, or closed an idle connection.

        :param start: the start of the server.
        :param address: its address.
        :param parts: parts of the request.
        :param ran_s: seconds from the choice of the server to the cut.
        """

    def record_sound(self, parts: tuple[str, ...]) -> None:
        """Record that a request was answered soundly.

        :param parts: parts of the request that this clears.
        """

    def record_unproven(
        self, start: ServerStart, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Record an answer that ended with its connection, or was cut there.

        :param start: the start of the server.
        :param parts: parts of the request.
        :param ran_s: seconds from the choice of the server to the end.
        """

    def record_alive(self, start: ServerStart) -> None:
        """Record that a server answers.

        :param start: the start of the server.
        """

    def record_refused(self, start: ServerStart) -> None:
        """Record that a server refused a connection, so that its process has ended.

        :param start: the start of the server.
        """

    def has_refused(self, start: ServerStart) -> bool:
        """Return whether a server refused a connection of any router lately.

        Another process, with another version of its software, may listen at its address
        before it is announced.

        :param start: the start of the server, as it was announced.
        """


class NoQuarantine:
    """Refuses no request; implements the ``RequestQuarantine`` port."""

    def left_s(self, parts: tuple[str, ...]) -> float:
        """Return 0."""
        return 0.0

    def record_crash(
        self, start: ServerStart, address: str, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Do nothing."""

    def record_doubtful_cut(
        self, start: ServerStart, address: str, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Do nothing."""

    def record_sound(self, parts: tuple[str, ...]) -> None:
        """Do nothing."""

    def record_unproven(
        self, start: ServerStart, parts: tuple[str, ...], ran_s: float
    ) -> None:
        """Do nothing."""

    def record_alive(self, start: ServerStart) -> None:
        """Do nothing."""

    def record_refused(self, start: ServerStart) -> None:
        """Do nothing."""

    def has_refused(self, start: ServerStart) -> bool:
        """Return False."""
        return False


class SoundParts:
    """Parts that were answered soundly lately.

    Shared parts are remembered for ``SOUND_MEMORY_S``. Digests, of which each request
    brings a new one, have a memory of their own.
    """

    def __init__(self) -> None:
        self._sound_s_by_part: OrderedDict[str, float] = OrderedDict()
        self._digests = SoundDigests()

    def __len__(self) -> int:
        return len(self._sound_s_by_part) + len(self._digests)

    def __contains__(self, part: str) -> bool:
        if is_digest(part):
            return part in self._digests
        sound_s = self._sound_s_by_part.get(part)
        return sound_s is not None and now() - sound_s < SOUND_MEMORY_S

    def record(self, parts: Iterable[str]) -> None:
        """Record a sound answer.

        :param parts: parts of its request.
        """
        for part in parts:
            if is_digest(part):
                self._digests.add(part)
            else:
                self._sound_s_by_part[part] = now()
                self._sound_s_by_part.move_to_end(part)
        while len(self._sound_s_by_part) > MAX_SOUND_PARTS:
            self._sound_s_by_part.popitem(last=False)


def shared_parts(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the parts of a prompt that others may share, in order, each once.

    :param prompt: the prompt; None for none.
    """
    if prompt is None:
        return ()
    parts = (part.part_id for part in prompt.bounded().parts[:-1])
    return tuple(dict.fromkeys(parts))
