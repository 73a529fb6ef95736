"""Steps of lingering.feature."""

from behave import given, then, when
from starlette.responses import PlainTextResponse

from almondfield_daemon.edge.bodies import read_body
from almondfield_daemon.serving import HeadRefusal, HttpListener, bind
from almondfield_daemon.serving.tests.callers import send_request

LOCALHOST = "127.0.0.1"
MAX_HEAD_BYTES = 1024
MAX_BODY_BYTES = 10_000
CLOSE = {"connection": "close"}
START_BY_REQUEST = {
    "a body that is too long": b"POST /long HTTP/1.1\r\nhost: a\r\n",
    "a body without memory": b"POST /memory HTTP/1.1\r\nhost: a\r\n",
    "a long body that is refused": b"POST /no/ HTTP/1.1\r\nhost: a\r\n",
    "a malformed head": b"POST / HTTP/1.1\r\nno colon\r\nhost: a\r\n",
    "an oversized head": b"POST / HTTP/1.1\r\nx: %b\r\nhost: a\r\n"
    % (b"y" * 1_000_000),
    "a body that nobody reads": b"POST / HTTP/1.1\r\nconnection: close\r\n",
}


class PathGate:
    """A gate that refuses paths below /no/."""

    def check(self, head):
        if not head.path.startswith(b"/no/"):
            return None
        answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
        return HeadRefusal(answer, False, MAX_BODY_BYTES)


async def answer_early(scope, receive, send):
    """Answer before the body is read to its end, if it is long."""
    if scope["path"] in ("/long", "/memory"):
        has_memory = scope["path"] != "/memory"
        body = await read_body(receive, 0, MAX_BODY_BYTES, lambda _: has_memory)
        problem = body.unwrap_err()
        answer = PlainTextResponse(problem.detail, problem.status, headers=CLOSE)
    else:
        answer = PlainTextResponse("not found", 404)
    await answer(scope, receive, send)


@given("a listener that answers some requests before it has read them")
def step_impl(context):
    listener = bind(LOCALHOST, 0)
    context.address = listener.getsockname()
    context.listener = HttpListener(answer_early, listener, MAX_HEAD_BYTES, PathGate())
    run = context.loop.run_until_complete
    run(context.listener.start())
    context.add_cleanup(lambda: run(context.listener.stop()))


@when("a caller sends {request} and writes {way}")
def step_impl(context, request, way):
    caller = send_request(context.address, START_BY_REQUEST[request], way)
    context.answer = context.loop.run_until_complete(caller)


@then("it gets the whole answer {status:d} after it has written everything")
def step_impl(context, status):
    assert context.answer.status == status, context.answer
    assert context.answer.is_good, context.answer
