"""Logs an unexpected error of one round of a loop, so that the loop goes on."""

from collections.abc import Iterator
from contextlib import contextmanager

import eliot

__all__ = ["contain_errors"]

MAX_REASON_CHARACTERS = 200


@contextmanager
def contain_errors(activity: str) -> Iterator[None]:
    """Log an unexpected error of the block, which then ends.

    For blocks that are tried again later anyway. Writing to disk isn't one of them: a
    host whose disk fails has to stop.

    :param activity: what the block does, for the log.
    """
    try:
        yield
    except Exception as error:
        reason = repr(error)[:MAX_REASON_CHARACTERS]
        eliot.log_message("loop:error", activity=activity, reason=reason)
        eliot.write_traceback()
