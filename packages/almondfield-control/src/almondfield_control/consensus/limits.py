"""Memory that the log of one member may take."""

from dataclasses import dataclass

__all__ = ["LogLimits"]

MEMORY_FRACTION = 1 / 16  # of the daemon's memory, for each limit
_MIB = 1024 * 1024


@dataclass(frozen=True)
class LogLimits:
    """Sizes of parts of the log, in bytes. A larger entry counts alone.

    :ivar retained_bytes: entries that a snapshot covers, kept for members that lag.
    :ivar uncommitted_bytes: entries that no quorum holds yet; with more, commands are
        refused.
    """

    retained_bytes: int = 16 * _MIB
    uncommitted_bytes: int = 16 * _MIB

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "LogLimits":
        """Return the limits of a daemon.

        :param memory_bytes: memory that the daemon may use, in bytes.
        """
        limit = int(memory_bytes * MEMORY_FRACTION)
        return cls(retained_bytes=limit, uncommitted_bytes=limit)
