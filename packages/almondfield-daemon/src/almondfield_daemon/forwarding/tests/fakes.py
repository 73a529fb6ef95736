"""Fake backend servers, header codec and caller in memory."""

import asyncio
import re
from dataclasses import dataclass, replace

from result import Err, Ok

from almondfield_core.messages import ServerFailure
from almondfield_daemon.edge.bodies import CallerDisconnectedError
from almondfield_daemon.forwarding import AnswerMetadata, RequestMetadata
from almondfield_daemon.quarantine import NoQuarantine
from almondfield_daemon.router.calls import (
    AnswerCutError,
    AnswerHead,
    CallFailure,
    Framing,
)
from almondfield_daemon.scheduling import EngineAssignment
from almondfield_daemon.scheduling.messages import EngineInFlight

EVENTS = 6
TRUNCATED_AFTER_EVENTS = 3
SILENCE_S = 1000.0


def event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


class FakeCodec:
    """A codec that passes metadata in two plain headers."""

    def read_request(self, headers):
        """Return metadata with a request id only."""
        return Ok(RequestMetadata("r"))

    def call_headers(self, headers, metadata):
        """Return the metadata as headers."""
        return (
            (b"remaining", b"%f" % metadata.deadline_s),
            (b"last-event-id", metadata.last_event_id.encode()),
        )

    def read_answer(self, status, headers):
        """Return the metadata that the fake answer has as a header."""
        return dict(headers)[b"metadata"]

    def problem_headers(self, problem):
        """Return no headers."""
        return ()


class FakeAnswer:
    """An answer that may be truncated."""

    def __init__(self, status, metadata, chunks, is_truncated, server, silence_s=0.0):
        self._silence_s = silence_s
        self.status = status
        self.is_first = True
        self.framing = Framing.CHUNKS
        self.received_bytes = 0
        self.received_s = asyncio.get_running_loop().time()
        self.headers = (
            (b"metadata", metadata),
            (b"content-type", b"text/event-stream"),
        )
        self._chunks = chunks
        self._is_truncated = is_truncated
        self._server = server

    async def chunks(self):
        """Yield the chunks of the body."""
        for chunk in self._chunks:
            await asyncio.sleep(0.001)
            yield chunk
        await asyncio.sleep(self._silence_s)
        if self._is_truncated:
            raise AnswerCutError(ServerFailure.STREAM, "cut")

    def close(self):
        """Record when the answer was closed."""
        self._server.closed_s = asyncio.get_running_loop().time()


class SilentAnswer(FakeAnswer):
    """An answer whose server is silent amid its events, and then goes on."""

    def __init__(self, metadata, before, after, server, chunk_s):
        super().__init__(200, metadata, before, False, server)
        self._after = after
        self._chunk_s = chunk_s

    async def chunks(self):
        """Yield the events before the silence and those after it."""
        async for chunk in super().chunks():
            yield chunk
        silence_s = self._server.remaining_silence_s()
        await asyncio.sleep(min(silence_s, self._chunk_s))
        if silence_s > self._chunk_s:
            raise AnswerCutError(ServerFailure.STREAM, "silent", timed_out=True)
        for chunk in self._after:
            await asyncio.sleep(0.001)
            yield chunk


@dataclass(frozen=True)
class ReceivedCall:
    """A request as a server received it."""

    remaining_s: float
    last_event_id: str
    received_s: float


class FakeServer:
    """A server with one configurable failure."""

    def __init__(self, name):
        self.name = name
        self.failure = ""
        self.notices = ()
        self.load = None
        self.received = []
        self.closed_s = None
        self._silent_until_s = None

    def remaining_silence_s(self):
        """Return how long the server is still silent, from its first silence on."""
        now_s = asyncio.get_running_loop().time()
        if self._silent_until_s is None:
            seconds = re.fullmatch(r"is silent for (\S+) s .*", self.failure)[1]
            self._silent_until_s = now_s + float(seconds)
        return max(0.0, self._silent_until_s - now_s)

    async def answer(self, call, request_id):
        """Return the outcome of one call."""
        if self.failure == "refuses the connection":
            self.received.append(None)
            failure = ServerFailure.CONNECT
            return Err(CallFailure(failure, False, "refused", is_refused=True))
        headers = dict(call.headers)
        last_event_id = headers[b"last-event-id"].decode()
        remaining_s = float(headers[b"remaining"])
        received_s = asyncio.get_running_loop().time()
        self.received.append(ReceivedCall(remaining_s, last_event_id, received_s))
        metadata = AnswerMetadata(
            request_id, is_signed=True, load=self.load, notices=self.notices
        )
        first = int(last_event_id or 0) + 1
        events = [event(number) for number in range(first, EVENTS + 1)]
        match self.failure:
            case "reports that it did not run it":
                not_run = replace(metadata, is_signed=False, was_not_run=True)
                return Ok(FakeAnswer(503, not_run, [], False, self))
            case "refuses without a name, on a kept connection":
                return Ok(self._unnamed(503, was_not_run=True, is_first=False))
            case "refuses without a name, on a new connection":
                return Ok(self._unnamed(503, was_not_run=True, is_first=True))
            case "has moved without a name, on a kept connection":
                return Ok(self._unnamed(421, was_not_run=False, is_first=False))
            case "has moved without a name, on a new connection":
                return Ok(self._unnamed(421, was_not_run=False, is_first=True))
            case "fails without a name, on a kept connection":
                return Ok(self._unnamed(500, was_not_run=False, is_first=False))
            case "lost its address to another":
                return Ok(FakeAnswer(421, metadata, [], False, self))
            case "loses its answer":
                return Err(CallFailure(ServerFailure.FIRST_BYTE, True, "reset"))
            case "loses its answer after 1.0 s":
                await asyncio.sleep(1.0)
                return Err(CallFailure(ServerFailure.FIRST_BYTE, True, "reset"))
            case "answers without signature":
                unsigned = replace(metadata, is_signed=False)
                return Ok(FakeAnswer(200, unsigned, events, False, self))
            case "answers another request":
                other = replace(metadata, request_id="other")
                return Ok(FakeAnswer(200, other, events, False, self))
            case "truncates its answer":
                parts = [*events[:TRUNCATED_AFTER_EVENTS], b"id: 4\nda"]
                return Ok(FakeAnswer(200, metadata, parts, True, self))
            case "stalls during its answer":
                parts = events[:TRUNCATED_AFTER_EVENTS]
                silence_s = call.timeouts.chunk_s
                return Ok(FakeAnswer(200, metadata, parts, True, self, silence_s))
            case "fails with 500":
                return Ok(FakeAnswer(500, metadata, [b"failed"], False, self))
            case "answers with 404":
                return Ok(FakeAnswer(404, metadata, [b"unknown"], False, self))
            case "cuts its answer after the head":
                return Ok(FakeAnswer(200, metadata, [], True, self))
            case "never answers":
                return await self._never_answer(call)
            case "answers after 1.0 s":
                answer = FakeAnswer(200, metadata, events, False, self)
                return await self._answer_late(call, answer)
            case failure if failure.startswith("is silent"):
                return await self._answer_silently(call, metadata, events)
            case _:
                return Ok(FakeAnswer(200, metadata, events, False, self))

    def _unnamed(self, status, was_not_run, is_first):
        """Return an answer that names no request."""
        metadata = AnswerMetadata(was_not_run=was_not_run, notices=self.notices)
        answer = FakeAnswer(status, metadata, [b"failed"], False, self)
        answer.is_first = is_first
        return answer

    async def _answer_silently(self, call, metadata, events):
        if self.failure.endswith("before its answer"):
            answer = FakeAnswer(200, metadata, events, False, self)
            return await self._answer_late(call, answer, self.remaining_silence_s())
        if len(self.received) > 1:
            answer = SilentAnswer(metadata, [], events, self, call.timeouts.chunk_s)
            return Ok(answer)
        last = re.fullmatch(r".* after event (\d+)", self.failure)
        count = int(last[1]) if last else 0
        before, after = events[:count], events[count:]
        return Ok(SilentAnswer(metadata, before, after, self, call.timeouts.chunk_s))

    async def _never_answer(self, call):
        return await self._answer_late(call, None, SILENCE_S)

    async def _answer_late(self, call, answer, after_s=1.0):
        try:
            async with asyncio.timeout(call.timeouts.first_byte_s):
                await asyncio.sleep(after_s)
                return Ok(answer)
        except TimeoutError:
            failure = ServerFailure.FIRST_BYTE
            return Err(CallFailure(failure, True, "no answer", timed_out=True))
        except asyncio.CancelledError:
            self.closed_s = asyncio.get_running_loop().time()
            raise


class FakeBackends:
    """The ``Backends`` port over fake servers, found by address."""

    def __init__(self, servers):
        self.server_by_address = {f"{server.name}:1": server for server in servers}
        self.request_id = "r"
        self.connect_s = 0.0

    async def send(self, call):
        """Pass a call to its server."""
        server = self.server_by_address[call.address]
        await asyncio.sleep(self.connect_s)
        call = replace(call, headers=call.prepare_headers())
        result = await server.answer(call, self.request_id)
        if isinstance(result, Ok):
            answer = result.ok_value
            call.on_head(AnswerHead(answer.status, answer.headers, answer.received_s))
        return result


class FakeSink:
    """Records the answer that the caller receives."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.has_left = False

    def check_caller(self):
        """Raise an error if the caller has left."""
        if self.has_left:
            raise CallerDisconnectedError("left")

    async def start(self, status, headers):
        """Record the status."""
        self.status = status

    async def send(self, chunk):
        """Append a part of the body."""
        self.body += chunk

    async def finish(self):
        """Record the end of the answer."""
        self.is_complete = True


class RefusalRecord(NoQuarantine):
    """Refuses no request, and knows which servers refused connections."""

    def __init__(self, refused):
        self._refused = refused

    def record_refused(self, start):
        """Record that a server refused a connection."""
        self._refused.add(start)

    def has_refused(self, start):
        """Return whether a server refused a connection lately."""
        return start in self._refused


class FakeReports:
    """Reports to no scheduler.

    :ivar slowdowns: what engines reported of their speed, and whether it was new.
    """

    def __init__(self):
        self.slowdowns = []

    def add_slowdown(self, pool, server, started_ms, slowdown, is_new):
        """Record a report."""
        self.slowdowns.append((slowdown, is_new))

    def begin_answer(self, item):
        """Do nothing."""

    def end(self, item):
        """Do nothing."""


def make_assignment(server, reports=None):
    """Return an assignment to a server that waits for nothing."""
    item = EngineInFlight(1, "p", server, 1)
    return EngineAssignment(reports or FakeReports(), item, 0.0)


class FakeEngines:
    """An engine client without a scheduler that records its requests."""

    def __init__(self):
        self.requests = []
        self.has_undecided = False
        self.has_scheduler = True
        self.on_request = lambda: None
        self.assignment = None
        # Decisions in turn, with their delays in seconds; the last one stays.
        self.decisions = []

    def held_refusal(self, pool, team, prompt):
        """Return None: no refusal is held."""

    def may_ask(self, latency_target_s):
        """Return whether there is a scheduler."""
        return self.has_scheduler

    def may_go_on(self, pool, team):
        """Return False: no team had a prompt."""
        return False

    async def request_engine(self, pool, request):
        """Record a request, and return the assignment that the scenario gives."""
        self.requests.append(request)
        self.on_request()
        if self.decisions:
            index = min(len(self.requests), len(self.decisions)) - 1
            decision, delay_s = self.decisions[index]
            await asyncio.sleep(delay_s)
            return decision
        return self.assignment

    def record_server(self, pool, prompt, server, started_ms):
        """Do nothing."""

    def assign_unscheduled(self, pool, server, team, prompt):
        """Return None: no assignment is tracked."""

    def assign_again(self, pool, server, uncached_tokens):
        """Return None: no assignment is tracked."""

    def last_server(self, prompt):
        """Return no server."""
        return ""


class FakeLimits:
    """Servers without limits, in place of a router's ``ServerLimits``."""

    def is_limited(self, server):
        """Return whether a request needs a permit."""
        return False

    def wait_s(self, server):
        """Return the time until a permit may be had."""
        return 0.0

    async def take(self, server):
        """Return whether a request may be sent."""
        return True

    def record(self, server, per_s, selected_s):
        """Do nothing."""

    def record_cold(self, server, left_s, selected_s):
        """Do nothing."""

    def check(self, server, permit_s):
        """Do nothing."""

    def retain(self, servers):
        """Do nothing."""


class FakeOrigins:
    """Knows the origins of streams that began in one pool."""

    def __init__(self):
        self.origin_by_request = {}
        self.recorded = []

    def record(self, origin):
        """Record an origin."""
        self.recorded.append(origin)

    async def find(self, request_id, pool, lookback_s):
        """Return the origin of a stream."""
        return self.origin_by_request.get(request_id)


class FakeView:
    """A fleet view of fixed servers."""

    def __init__(self, servers, routers):
        self.fleet_servers = servers
        self.unresponsive = frozenset()
        self._routers = routers

    def router_count(self):
        """Return the number of routers."""
        return self._routers()

    def servers(self, pool):
        """Return all servers."""
        self.requested_pool = pool
        return self.fleet_servers

    def unusable_servers(self, pool):
        """Return no servers."""
        return frozenset()

    def is_current(self):
        """Return whether a control host replied lately."""
        return True

    def unresponsive_servers(self):
        """Return the servers without recent announcements."""
        return self.unresponsive
