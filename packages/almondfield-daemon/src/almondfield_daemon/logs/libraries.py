"""Forwards log messages of libraries to the structured log."""

import logging

from eliot.stdlib import EliotHandler

__all__ = ["capture_library_logs"]

# uvicorn logs this when the router aborts an answer that it cannot complete. The
# router logs the request itself.
INCOMPLETE_ANSWER = "ASGI callable returned without completing response."


def capture_library_logs() -> logging.Handler:
    """Forward library messages of level WARNING and above; return the handler."""
    handler = EliotHandler(logging.WARNING)
    handler.addFilter(lambda record: record.getMessage() != INCOMPLETE_ANSWER)
    logging.getLogger().addHandler(handler)
    return handler
