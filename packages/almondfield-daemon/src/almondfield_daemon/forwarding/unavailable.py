"""Why no server accepts a request now."""

from dataclasses import dataclass

from almondfield_daemon.forwarding.counts import RefusalCause
from almondfield_daemon.scheduling.messages import EngineRefusal

__all__ = [
    "EVACUATED_RETRY_AFTER_S",
    "LATE_RETRY_AFTER_S",
    "RETRY_AFTER_S",
    "Unavailable",
    "describe_refusal",
]

LATE_RETRY_AFTER_S = 0.1  # other routers are probably in time
# Nobody knows when an evacuation ends, but routers learn of the end within this time.
EVACUATED_RETRY_AFTER_S = 1.0
RETRY_AFTER_S = 0.3  # about as long as a failed server is avoided


@dataclass(frozen=True)
class Unavailable:
    """The reason why no server accepts a request now.

    :ivar detail: description of the reason.
    :ivar cause: the kind of reason, for the counts.
    :ivar retry_after_s: seconds after which a retry may succeed.
    """

    detail: str
    cause: RefusalCause
    retry_after_s: float = RETRY_AFTER_S


def describe_refusal(
    refusal: EngineRefusal, over_share: RefusalCause = RefusalCause.SHARE
) -> Unavailable:
    """Return the reason that the scheduler's refusal of a request gives.

    :param refusal: the refusal.
    :param over_share: the cause if the team has had its share.
    """
    reason = "the team has had its share" if refusal.is_over_share else "no room"
    cause = over_share if refusal.is_over_share else RefusalCause.NO_ROOM
    detail = f"{reason}; the shortest wait is {refusal.wait_s:.3f} s"
    return Unavailable(detail, cause, refusal.retry_after_s)
