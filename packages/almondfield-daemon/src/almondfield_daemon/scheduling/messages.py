"""Messages between routers and the scheduler of model engines."""

from dataclasses import dataclass

from almondfield_core.wire import wire_message
from almondfield_fairshare.engines import PromptRequest

__all__ = [
    "EngineAsk",
    "EngineInFlight",
    "EngineProgress",
    "EngineRefusal",
    "EngineReply",
    "NotScheduling",
]


@wire_message("engine-ask")
@dataclass(frozen=True)
class EngineAsk:
    """Asks for an engine.

    :ivar pool: name of the pool.
    :ivar number: number of the attempt at this router.
    :ivar request: what it is asked for.
    """

    pool: str
    number: int
    request: PromptRequest


@wire_message("engine-reply")
@dataclass(frozen=True)
class EngineReply:
    """Admits a request.

    :ivar server: server that it goes to.
    :ivar unread_tokens: prompt tokens that the server has to read.
    :ivar wait_s: predicted wait before it reads them.
    :ivar scheduler_start: when the scheduler began; another one lacks what was told
        to this one.
    """

    server: str
    unread_tokens: int
    wait_s: float
    scheduler_start: int


@wire_message("engine-refusal")
@dataclass(frozen=True)
class EngineRefusal:
    """Refuses a request.

    :ivar retry_after_s: when another try may succeed, in seconds.
    :ivar is_over_share: whether the team has had its share.
    :ivar wait_s: shortest predicted wait.
    :ivar scheduler_start: when the scheduler began.
    """

    retry_after_s: float
    is_over_share: bool
    wait_s: float
    scheduler_start: int


@wire_message("not-scheduling")
@dataclass(frozen=True)
class NotScheduling:
    """Says that this host does not schedule the pool."""


@dataclass(frozen=True)
class EngineInFlight:
    """One attempt that a server has.

    :ivar number: number of the attempt at its router.
    :ivar pool: name of the pool.
    :ivar server: the server.
    :ivar unread_tokens: prompt tokens that it has to read; 0 once the answer began.
    :ivar was_refused: whether the server refused it as full.
    """

    number: int
    pool: str
    server: str
    unread_tokens: int
    was_refused: bool = False


@wire_message("engine-progress")
@dataclass(frozen=True)
class EngineProgress:
    """What became of a router's attempts since it last told.

    :ivar begun: attempts whose answer has begun.
    :ivar ended: attempts that are over.
    :ivar in_flight: every attempt, for a scheduler that has just begun; else empty.
    """

    begun: tuple[EngineInFlight, ...] = ()
    ended: tuple[EngineInFlight, ...] = ()
    in_flight: tuple[EngineInFlight, ...] = ()
