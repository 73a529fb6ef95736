"""Messages of libraries in the structured log."""

import logging

from eliot.stdlib import EliotHandler

__all__ = ["take_library_messages"]

# The router ends an answer so when it can't be completed, and logs the request itself.
DELIBERATE_CUT = "ASGI callable returned without completing response."


def take_library_messages() -> logging.Handler:
    """Write what libraries warn of to the structured log; return the handler."""
    handler = EliotHandler(logging.WARNING)
    handler.addFilter(lambda record: record.getMessage() != DELIBERATE_CUT)
    logging.getLogger().addHandler(handler)
    return handler
