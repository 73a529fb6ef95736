"""Request counts of a router."""

from dataclasses import dataclass

__all__ = ["RouterStats"]


@dataclass(frozen=True)
class RouterStats:
    """Request counts since the start of the daemon.

    :ivar running: requests being served now.
    :ivar served: requests that were admitted.
    :ivar not_run: requests that were certainly not run.
    :ivar unknown: requests that may have run but returned no answer.
    :ivar cut: answers that ended before they were complete.
    :ivar retries: attempts beyond the first of each request.
    :ivar resumed: attempts to resume a stream over a new connection.
    """

    running: int = 0
    served: int = 0
    not_run: int = 0
    unknown: int = 0
    cut: int = 0
    retries: int = 0
    resumed: int = 0
