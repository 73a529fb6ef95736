"""Requests to the scheduler of model engines, and its decisions."""

from dataclasses import dataclass
from typing import NamedTuple

from almondfield_core.routing import Prompt

__all__ = [
    "Admitted",
    "AttemptSnapshot",
    "AttemptId",
    "Decision",
    "EngineServer",
    "PromptRequest",
    "PromptShares",
    "Refused",
    "SentPrefix",
]


class AttemptId(NamedTuple):
    """Identifies one attempt at one engine.

    :ivar router: host of the router that makes the attempt.
    :ivar number: number of the attempt at that router.
    """

    router: str
    number: int


@dataclass(frozen=True)
class AttemptSnapshot:
    """All attempts of one router that are in flight.

    :ivar last_number: number of its latest attempt; later ones are not in the snapshot.
    :ivar waiting: numbers of those whose answer has not begun, undecided ones included.
    :ivar running: numbers of those whose answer has begun.
    """

    last_number: int
    waiting: tuple[int, ...]
    running: tuple[int, ...]


@dataclass(frozen=True)
class EngineServer:
    """A model engine that accepts new work.

    :ivar name: identifier of the server.
    :ivar started_ms: when it started, with an empty cache, in milliseconds since 1970.
    :ivar slots: requests that it runs at a time.
    :ivar cache_tokens: capacity of its prefix cache in tokens.
    """

    name: str
    started_ms: int
    slots: int
    cache_tokens: int


@dataclass(frozen=True)
class SentPrefix:
    """Shared parts of a prompt that a router sent to an engine.

    :ivar server: identifier of the server.
    :ivar started_ms: when the server started, in milliseconds since 1970.
    :ivar prefix: a prompt of the shared parts alone.
    """

    server: str
    started_ms: int
    prefix: Prompt


@dataclass(frozen=True)
class PromptRequest:
    """A request for an engine.

    :ivar team: team of the caller; empty for none.
    :ivar prompt: the prompt.
    :ivar latency_target_s: target for the time to the first token, in seconds.
    :ivar excluded: servers that the router can't use for this request.
    :ivar is_repeat: whether another attempt at the same request was made before.
    :ivar waited_s: time since the caller's first try, in seconds.
    :ivar hint: server to which the router last sent the prompt's shared parts; empty
        for none.
    """

    team: str
    prompt: Prompt
    latency_target_s: float
    excluded: tuple[str, ...] = ()
    is_repeat: bool = False
    waited_s: float = 0.0
    hint: str = ""


@dataclass(frozen=True)
class PromptShares:
    """What a router does with a team's prompts while the scheduler is busy.

    :ivar asked: part of them that the scheduler decides on.
    :ivar unscheduled: part of the others that the router sends to engines of its own
        choice; it refuses the rest.
    """

    asked: float
    unscheduled: float


@dataclass(frozen=True)
class Admitted:
    """Admission of a request, which is to be sent at once.

    :ivar server: identifier of the server.
    :ivar uncached_tokens: prompt tokens that the server has to prefill.
    :ivar wait_s: predicted wait before prefill, in seconds.
    """

    server: str
    uncached_tokens: int
    wait_s: float


@dataclass(frozen=True)
class Refused:
    """Refusal of a request.

    :ivar retry_after_s: time after which a retry may succeed, in seconds.
    :ivar is_over_share: whether the team has exceeded its fair share.
    :ivar wait_s: shortest predicted wait, in seconds.
    """

    retry_after_s: float
    is_over_share: bool
    wait_s: float


Decision = Admitted | Refused
