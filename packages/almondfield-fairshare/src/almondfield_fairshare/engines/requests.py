"""Questions to the scheduler of model engines, and its decisions."""

from dataclasses import dataclass
from typing import NamedTuple

from almondfield_core.routing import Prompt

__all__ = [
    "Admitted",
    "Decision",
    "EngineServer",
    "PromptRequest",
    "Refused",
    "TicketId",
]


class TicketId(NamedTuple):
    """Names one attempt at one engine.

    :ivar router: host of the router that makes it.
    :ivar number: number of the attempt at that router.
    """

    router: str
    number: int


@dataclass(frozen=True)
class EngineServer:
    """A model engine that takes new work.

    :ivar name: identifier of the server.
    :ivar born_ms: when it started, in milliseconds since 1970; caches are empty then.
    :ivar slots: requests that it runs at a time.
    :ivar cache_tokens: tokens that it can hold.
    """

    name: str
    born_ms: int
    slots: int
    cache_tokens: int


@dataclass(frozen=True)
class PromptRequest:
    """A request that asks for an engine.

    :ivar team: team that asks; empty without one.
    :ivar prompt: its prompt.
    :ivar latency_target_s: time to the first token that the caller wants.
    :ivar excluded: servers that the router can't use for it.
    :ivar is_repeat: whether another attempt at the same request was made before.
    :ivar waited_s: how long its caller has waited since it first tried.
    :ivar hint: server that had the prompt's shared parts last, as the router knows;
        empty for none.
    """

    team: str
    prompt: Prompt
    latency_target_s: float
    excluded: tuple[str, ...] = ()
    is_repeat: bool = False
    waited_s: float = 0.0
    hint: str = ""


@dataclass(frozen=True)
class Admitted:
    """The request is to be sent to a server at once.

    :ivar server: its identifier.
    :ivar unread_tokens: prompt tokens that it has to read.
    :ivar wait_s: predicted wait before it reads them.
    """

    server: str
    unread_tokens: int
    wait_s: float


@dataclass(frozen=True)
class Refused:
    """No server can begin the request soon enough.

    :ivar retry_after_s: when another try may succeed, in seconds.
    :ivar is_over_share: whether the team has had its share of the engines.
    :ivar wait_s: shortest predicted wait.
    """

    retry_after_s: float
    is_over_share: bool
    wait_s: float


Decision = Admitted | Refused
