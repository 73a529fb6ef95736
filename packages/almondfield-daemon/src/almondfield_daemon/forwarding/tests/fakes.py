"""Backend servers, headers and a caller in memory."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok

from almondfield_core.messages import ServerFailure
from almondfield_daemon.forwarding import AnswerMarks, CallerMarks
from almondfield_daemon.router.calls import AnswerCutError, CallFailure

EVENTS = 6
CUT_AFTER_EVENTS = 3
SILENCE_S = 1000.0


def event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


class FakeCodec:
    """Headers with short names."""

    def read_request(self, headers):
        """Return marks without content."""
        return Ok(CallerMarks("r"))

    def call_headers(self, headers, marks):
        """Return the marks as headers."""
        return (
            (b"left", b"%f" % marks.deadline_s),
            (b"after", marks.last_event_id.encode()),
        )

    def read_answer(self, headers):
        """Return the marks that the fake answer has as a header."""
        return dict(headers)[b"marks"]

    def problem_headers(self, problem):
        """Return nothing."""
        return ()


class FakeAnswer:
    """An answer that may be cut."""

    def __init__(self, status, marks, chunks, is_cut, server, silence_s=0.0):
        self._silence_s = silence_s
        self.status = status
        self.headers = ((b"marks", marks), (b"content-type", b"text/event-stream"))
        self._chunks = chunks
        self._is_cut = is_cut
        self._server = server

    async def chunks(self):
        """Return the body."""
        for chunk in self._chunks:
            await asyncio.sleep(0.001)
            yield chunk
        await asyncio.sleep(self._silence_s)
        if self._is_cut:
            raise AnswerCutError(ServerFailure.STREAM, "cut")

    def close(self):
        """Note when the answer was given up."""
        self._server.given_up_s = asyncio.get_running_loop().time()


@dataclass(frozen=True)
class Seen:
    """A request as a server got it."""

    left_s: float
    after: str


class FakeServer:
    """A server with one way to fail."""

    def __init__(self, name):
        self.name = name
        self.how = ""
        self.seen = []
        self.given_up_s = None

    async def answer(self, call, request_id):
        """Return the outcome of one call."""
        if self.how == "refuses the connection":
            self.seen.append(None)
            return Err(CallFailure(ServerFailure.CONNECT, False, "refused"))
        headers = dict(call.headers)
        after = headers[b"after"].decode()
        self.seen.append(Seen(float(headers[b"left"]), after))
        marks = AnswerMarks(request_id, is_signed=True)
        first = int(after or 0) + 1
        events = [event(number) for number in range(first, EVENTS + 1)]
        match self.how:
            case "says that it did not run it":
                not_run = AnswerMarks(request_id, was_not_run=True)
                return Ok(FakeAnswer(503, not_run, [], False, self))
            case "has its address taken":
                return Ok(FakeAnswer(421, marks, [], False, self))
            case "loses its answer":
                return Err(CallFailure(ServerFailure.FIRST_BYTE, True, "reset"))
            case "answers without signature":
                unsigned = AnswerMarks(request_id)
                return Ok(FakeAnswer(200, unsigned, events, False, self))
            case "answers another request":
                other = AnswerMarks("other", is_signed=True)
                return Ok(FakeAnswer(200, other, events, False, self))
            case "cuts its answer":
                part = [*events[:CUT_AFTER_EVENTS], b"id: 4\nda"]
                return Ok(FakeAnswer(200, marks, part, True, self))
            case "falls silent":
                part = events[:CUT_AFTER_EVENTS]
                silence_s = call.timeouts.chunk_s
                return Ok(FakeAnswer(200, marks, part, True, self, silence_s))
            case "fails with 500":
                return Ok(FakeAnswer(500, marks, [b"failed"], False, self))
            case "is silent":
                return await self._be_silent(call)
            case _:
                return Ok(FakeAnswer(200, marks, events, False, self))

    async def _be_silent(self, call):
        try:
            async with asyncio.timeout(call.timeouts.first_byte_s):
                await asyncio.sleep(SILENCE_S)
        except TimeoutError:
            return Err(CallFailure(ServerFailure.FIRST_BYTE, True, "no answer"))
        except asyncio.CancelledError:
            self.given_up_s = asyncio.get_running_loop().time()
            raise


class FakeBackends:
    """The ``Backends`` port over fake servers, found by address."""

    def __init__(self, servers):
        self.server_by_address = {f"{server.name}:1": server for server in servers}
        self.request_id = "r"

    async def send(self, call):
        """Hand a call to its server."""
        server = self.server_by_address[call.address]
        return await server.answer(call, self.request_id)


class FakeSink:
    """What the caller gets."""

    def __init__(self):
        self.status = 0
        self.body = b""
        self.is_whole = False

    async def start(self, status, headers):
        """Take the status."""
        self.status = status

    async def send(self, chunk):
        """Take a part of the body."""
        self.body += chunk

    async def finish(self):
        """Take the end."""
        self.is_whole = True


class FakeEngines:
    """No scheduler of model engines, but the questions to one."""

    def __init__(self):
        self.asked = []

    async def ask(self, pool, request):
        """Note a question."""
        self.asked.append(request)

    def remember(self, prompt, server):
        """Forget it."""

    def place(self, pool, server, unread_tokens):
        """Return no place."""

    def remembered(self, prompt):
        """Return nothing."""
        return ""


class FakeView:
    """Servers that are known."""

    def __init__(self, servers, routers):
        self._servers = servers
        self._routers = routers

    def routers(self):
        """Return how many routers there are."""
        return self._routers()

    def servers(self, pool):
        """Return all of them."""
        return self._servers

    def unusable_servers(self, pool):
        """Return none."""
        return frozenset()

    def silent_servers(self):
        """Return none."""
        return frozenset()
