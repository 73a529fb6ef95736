"""Counts of what a router did."""

from dataclasses import dataclass

__all__ = ["RouterStats"]


@dataclass(frozen=True)
class RouterStats:
    """Counts since the start of the daemon.

    :ivar running: requests that are being served now.
    :ivar served: requests that were admitted.
    :ivar not_run: requests that were certainly not run.
    :ivar unknown: requests that may have run and gave no answer.
    :ivar cut: answers that ended before they were whole.
    :ivar retries: attempts beyond the first of each request.
    :ivar resumed: streams that went on over a new connection.
    """

    running: int = 0
    served: int = 0
    not_run: int = 0
    unknown: int = 0
    cut: int = 0
    retries: int = 0
    resumed: int = 0
