"""Parts of prompts: those that may be to blame, and those known as sound."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

import xxhash

from almondfield_core.clock import now
from almondfield_core.routing import Prompt
from almondfield_daemon.server_notices import ServerStart

__all__ = [
    "BEGIN_WINDOW_S",
    "NoQuarantine",
    "PromptQuarantine",
    "SoundParts",
    "shared_parts",
]

# A server that ends this long after the first event of an answer, or later, has not
# ended under it.
BEGIN_WINDOW_S = 1.0
SOUND_MEMORY_S = 30.0
MAX_SOUND_PARTS = 20_000
MAX_PARTS = 256  # of one prompt
MAX_ID_CHARACTERS = 64  # longer ones are kept as a hash


class PromptQuarantine(Protocol):
    """Knows which prompts are refused, and learns from their attempts."""

    def left_s(self, prompt: Prompt | None) -> float:
        """Return the seconds for which a prompt is still refused; 0 if it isn't.

        :param prompt: the prompt; None for none.
        """

    def record_crash(self, start: ServerStart, prompt: Prompt | None) -> None:
        """Record that a server ended while it began to answer a prompt.

        :param start: the start of the server.
        :param prompt: the prompt; None for none.
        """

    def record_sound(self, prompt: Prompt | None) -> None:
        """Record that a prompt was answered soundly.

        :param prompt: the prompt; None for none.
        """

    def record_unproven(self, start: ServerStart, prompt: Prompt | None) -> None:
        """Record an answer that ended with its connection, or was cut there.

        :param start: the start of the server.
        :param prompt: the prompt; None for none.
        """

    def record_alive(self, start: ServerStart) -> None:
        """Record that a server answers.

        :param start: the start of the server.
        """

    def record_gone(self, start: ServerStart) -> None:
        """Record that a server accepts no connection.

        :param start: the start of the server.
        """


class NoQuarantine:
    """Refuses no prompt; implements the ``PromptQuarantine`` port."""

    def left_s(self, prompt: Prompt | None) -> float:
        """Return 0."""
        return 0.0

    def record_crash(self, start: ServerStart, prompt: Prompt | None) -> None:
        """Do nothing."""

    def record_sound(self, prompt: Prompt | None) -> None:
        """Do nothing."""

    def record_unproven(self, start: ServerStart, prompt: Prompt | None) -> None:
        """Do nothing."""

    def record_alive(self, start: ServerStart) -> None:
        """Do nothing."""

    def record_gone(self, start: ServerStart) -> None:
        """Do nothing."""


class SoundParts:
    """Parts that were answered soundly in the last ``SOUND_MEMORY_S``."""

    def __init__(self) -> None:
        self._sound_s_by_part: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._sound_s_by_part)

    def __contains__(self, part: str) -> bool:
        sound_s = self._sound_s_by_part.get(part)
        return sound_s is not None and now() - sound_s < SOUND_MEMORY_S

    def record(self, parts: Iterable[str]) -> None:
        """Record a sound answer.

        :param parts: parts of its prompt.
        """
        for part in parts:
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
    parts = (_shorten(part.part_id) for part in prompt.parts[:-1][:MAX_PARTS])
    return tuple(dict.fromkeys(parts))


def _shorten(part_id: str) -> str:
    if len(part_id) <= MAX_ID_CHARACTERS:
        return part_id
    return xxhash.xxh3_128_hexdigest(part_id.encode())
