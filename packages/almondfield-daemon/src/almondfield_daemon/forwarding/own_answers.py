"""Error answers of the router itself to requests that it couldn't serve."""

from almondfield_daemon.forwarding.unavailable import RETRY_AFTER_S
from almondfield_daemon.router.problems import Outcome, Problem

__all__ = ["no_answer", "refusal"]


def refusal(detail: str, may_have_run: bool, retry_after_s: float) -> Problem:
    """Return the problem of a request that no server accepted.

    An earlier attempt that may have run makes the outcome unknown instead.

    :param detail: why no server accepted it.
    :param may_have_run: whether a server may have run the request.
    :param retry_after_s: time after which a retry may succeed, in seconds.
    """
    if may_have_run:
        return no_answer(detail, may_have_run, is_timeout=False)
    return Problem(503, "no-capacity", detail, retry_after_s=retry_after_s)


def no_answer(detail: str, may_have_run: bool, is_timeout: bool) -> Problem:
    """Return the problem of a request that got no usable answer.

    :param detail: why there is none.
    :param may_have_run: whether a server may have run the request.
    :param is_timeout: whether the deadline passed before an answer arrived.
    """
    if not may_have_run and not is_timeout:
        return refusal(detail, may_have_run, RETRY_AFTER_S)
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    status = 504 if is_timeout else 502
    return Problem(status, "no-answer", detail, outcome)
