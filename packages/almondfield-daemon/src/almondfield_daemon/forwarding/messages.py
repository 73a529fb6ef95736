"""Data of one request on its way through a router."""

from dataclasses import dataclass

from almondfield_core.routing import Prompt, RouteRule
from almondfield_daemon.router.calls import Header

__all__ = ["AnswerMarks", "CallMarks", "CallerMarks", "ForwardRequest", "ServerLoad"]


@dataclass(frozen=True)
class CallerMarks:
    """What the head of a caller's request says.

    :ivar request_id: identifier of this attempt of the caller.
    :ivar deadline_s: seconds that the caller waits; None where it doesn't say.
    :ivar key: team key; empty without one.
    :ivar last_event_id: last event of the stream that the caller has; empty for none.
    :ivar prompt: prompt of a request to a model engine, if it tells one.
    """

    request_id: str
    deadline_s: float | None = None
    key: str = ""
    last_event_id: str = ""
    prompt: Prompt | None = None


@dataclass(frozen=True)
class CallMarks:
    """What the router adds to a request for one backend server.

    :ivar server: name of the server that must run it, and no other.
    :ivar deadline_s: seconds that are left.
    :ivar team: team of the caller; empty without one.
    :ivar last_event_id: last event that the caller has; empty for none.
    """

    server: str
    deadline_s: float
    team: str = ""
    last_event_id: str = ""


@dataclass(frozen=True)
class ServerLoad:
    """Load that a backend server tells with an answer.

    :ivar running: requests that it runs.
    :ivar waiting: requests that wait for a slot.
    :ivar slots: requests that it can run at a time.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class AnswerMarks:
    """What the head of a backend server's answer says.

    :ivar request_id: request that it answers; empty where it names none.
    :ivar is_signed: whether it bears the server's signature.
    :ivar was_not_run: whether the server says that it did not run the request.
    :ivar is_encoded: whether its body is not the server's own bytes.
    :ivar load: load of the server, where it tells it.
    """

    request_id: str = ""
    is_signed: bool = False
    was_not_run: bool = False
    is_encoded: bool = False
    load: ServerLoad | None = None


@dataclass(frozen=True)
class ForwardRequest:
    """A caller's request with its whole body, and the rule that it falls under.

    :ivar method: HTTP method.
    :ivar target: path and query as sent.
    :ivar headers: headers as sent.
    :ivar marks: what the headers say.
    :ivar route: the rule.
    :ivar pool: pool that takes the request.
    :ivar table_version: version of the table that has the rule.
    :ivar team: team of the caller; empty without one.
    :ivar arrived_s: when its head was read, in seconds of the loop's clock.
    :ivar waited_s: how long its caller had waited before, as its deadline tells.
    :ivar until_s: when its caller or the rule's timeout gives it up.
    :ivar body: the whole body.
    """

    method: str
    target: bytes
    headers: tuple[Header, ...]
    marks: CallerMarks
    route: RouteRule
    pool: str
    table_version: int
    team: str
    arrived_s: float
    until_s: float
    waited_s: float = 0.0
    body: bytes = b""
