"""How busy a group of engines was lately."""

import math
from dataclasses import dataclass

from almondfield_core.clock import now

__all__ = ["BusyShare", "EngineLoad"]

MEMORY_S = 1.0  # many prompts, and a fraction of the teams' window


@dataclass(frozen=True)
class EngineLoad:
    """What a scheduler did since the load was taken last.

    :ivar engines: engines that take new work.
    :ivar busy_share: part of them that had something to read, over about a second.
    :ivar admitted: requests that were admitted.
    :ivar unread_tokens: prompt tokens that these had the engines read.
    :ivar refused_full: requests that were refused as no engine had room.
    :ivar refused_over_share: requests that were refused for their team's share.
    :ivar longest_wait_s: longest predicted wait of an engine now.
    """

    engines: int = 0
    busy_share: float = 0.0
    admitted: int = 0
    unread_tokens: int = 0
    refused_full: int = 0
    refused_over_share: int = 0
    longest_wait_s: float = 0.0


class BusyShare:
    """The part of the engines that had something to read, over about a second."""

    def __init__(self) -> None:
        self._share = 0.0
        self._current = 0.0
        self._since_s = now()

    def note(self, share: float) -> None:
        """Note how many engines have something to read from now on.

        :param share: their part of all engines.
        """
        self._share = self.value()
        self._since_s = now()
        self._current = share

    def value(self) -> float:
        """Return the part of the engines that had something to read lately."""
        kept = math.exp((self._since_s - now()) / MEMORY_S)
        return kept * self._share + (1 - kept) * self._current
