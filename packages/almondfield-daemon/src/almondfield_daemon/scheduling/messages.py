"""Messages between routers and the scheduler of model engines."""

from dataclasses import dataclass

from almondfield_core.routing import Prompt
from almondfield_core.wire import wire_message
from almondfield_fairshare.engines import (
    AttemptSnapshot,
    PromptRequest,
    PromptShares,
    SentPrefix,
)

__all__ = [
    "EngineInFlight",
    "EnginePrefix",
    "EnginePrefixes",
    "EngineProgress",
    "EngineRefusal",
    "EngineReply",
    "EngineRequest",
    "EngineSlowdown",
    "HeldPrompt",
    "NotScheduling",
    "UnscheduledPrompt",
]


@wire_message("engine-ask")
@dataclass(frozen=True)
class EngineRequest:
    """Request for an engine.

    :ivar pool: name of the pool.
    :ivar number: number of the attempt at this router.
    :ivar request: the request that needs an engine.
    :ivar sent_s: when it was sent, in seconds of the router's clock; 0 if not told.
    :ivar prompts: prompts of the team since the last request for it, this one included.
    """

    pool: str
    number: int
    request: PromptRequest
    sent_s: float = 0.0
    prompts: int = 1


@wire_message("engine-reply")
@dataclass(frozen=True)
class EngineReply:
    """Admission of a request.

    :ivar server: server that the request is assigned to.
    :ivar unread_tokens: prompt tokens that the server has to prefill.
    :ivar wait_s: predicted wait before prefill, in seconds.
    :ivar scheduler_start: identifier of this start of the scheduler; if it changes, the
        scheduler has none of the earlier reports.
    :ivar shares_by_team: what the router does with further prompts, of each team of
        which it doesn't ask for all; None if it has not changed.
    """

    server: str
    unread_tokens: int
    wait_s: float
    scheduler_start: int
    shares_by_team: dict[str, PromptShares] | None = None


@wire_message("engine-refusal")
@dataclass(frozen=True)
class EngineRefusal:
    """Refusal of a request.

    :ivar retry_after_s: time after which a retry may succeed, in seconds.
    :ivar is_over_share: whether the team has exceeded its fair share.
    :ivar wait_s: shortest predicted wait, in seconds.
    :ivar scheduler_start: identifier of this start of the scheduler.
    :ivar shares_by_team: what the router does with further prompts, of each team of
        which it doesn't ask for all; None if it has not changed.
    """

    retry_after_s: float
    is_over_share: bool
    wait_s: float
    scheduler_start: int
    shares_by_team: dict[str, PromptShares] | None = None


@wire_message("not-scheduling")
@dataclass(frozen=True)
class NotScheduling:
    """Reply of a host that does not schedule the pool."""


@dataclass(frozen=True)
class EngineInFlight:
    """One attempt in flight at a server.

    :ivar number: number of the attempt at its router.
    :ivar pool: name of the pool.
    :ivar server: the server; empty if no admission arrived in time, or nothing was
        sent after it.
    :ivar unread_tokens: prompt tokens left to prefill; 0 once the answer has begun.
    :ivar was_refused: whether the server refused it as full.
    """

    number: int
    pool: str
    server: str
    unread_tokens: int
    was_refused: bool = False


@dataclass(frozen=True)
class HeldPrompt:
    """A prompt that a router refused without asking the scheduler.

    :ivar pool: name of the pool.
    :ivar prompt_id: identifier of the prompt.
    """

    pool: str
    prompt_id: str


@dataclass(frozen=True)
class UnscheduledPrompt:
    """A prompt that a router sent to an engine without a decision of the scheduler.

    :ivar number: number of the attempt at the router.
    :ivar pool: name of the pool.
    :ivar server: the engine.
    :ivar team: team of the caller.
    :ivar prompt: the prompt.
    """

    number: int
    pool: str
    server: str
    team: str
    prompt: Prompt


@dataclass(frozen=True)
class EngineSlowdown:
    """What an engine reported of its speed.

    :ivar pool: name of the pool.
    :ivar server: the engine.
    :ivar started_ms: start of the engine, in milliseconds since 1970.
    :ivar slowdown: time that work takes now, as a multiple of the usual time.
    :ivar age_s: time since the report, in seconds.
    """

    pool: str
    server: str
    started_ms: int
    slowdown: float
    age_s: float


@wire_message("engine-progress")
@dataclass(frozen=True)
class EngineProgress:
    """Progress of a router's attempts since its previous report.

    :ivar begun: attempts whose answer has begun.
    :ivar ended: attempts that are over.
    :ivar in_flight: all attempts, for a scheduler that has just started; else empty.
    :ivar snapshot: numbers of all attempts, at intervals; else None.
    :ivar held: prompts that the router refused by itself.
    :ivar unscheduled: prompts that the router sent without a decision.
    :ivar slowdowns: latest reports of engines on their speed.
    """

    begun: tuple[EngineInFlight, ...] = ()
    ended: tuple[EngineInFlight, ...] = ()
    in_flight: tuple[EngineInFlight, ...] = ()
    snapshot: AttemptSnapshot | None = None
    held: tuple[HeldPrompt, ...] = ()
    unscheduled: tuple[UnscheduledPrompt, ...] = ()
    slowdowns: tuple[EngineSlowdown, ...] = ()


@dataclass(frozen=True)
class EnginePrefix:
    """Shared parts of a prompt that a router sent to an engine of a pool.

    :ivar pool: name of the pool.
    :ivar sent: the parts and the engine.
    """

    pool: str
    sent: SentPrefix


@wire_message("engine-prefixes")
@dataclass(frozen=True)
class EnginePrefixes:
    """Prefixes that engines have got from a router, for a scheduler that has started.

    :ivar items: the prefixes, the most recent one first.
    """

    items: tuple[EnginePrefix, ...]
