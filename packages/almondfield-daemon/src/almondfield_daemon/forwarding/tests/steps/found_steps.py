"""Steps of silence.feature on data that comes as another server is found."""

import asyncio

from behave import when
from result import Ok

from almondfield_daemon.forwarding import AnswerMetadata
from almondfield_daemon.forwarding.tests.fakes import (
    EVENTS,
    FakeAnswer,
    event,
    make_assignment,
)
from almondfield_testing import run

FOUND_S = 2.0  # later than the silence that starts a search, before the deadline


class HeldAnswer(FakeAnswer):
    """An answer whose events after the third come when a future is done.

    :param server: the server.
    :param resumed: the future.
    """

    def __init__(self, server, resumed):
        metadata = AnswerMetadata("r", is_signed=True)
        events = [event(number) for number in range(1, EVENTS + 1)]
        super().__init__(200, metadata, events, False, server)
        self._resumed = resumed

    async def chunks(self):
        """Yield the events before the silence and those after it."""
        for chunk in self._chunks[:3]:
            yield chunk
        await self._resumed
        for chunk in self._chunks[3:]:
            yield chunk


@when(
    "a prompt's silent server goes on right after the scheduler has found another one"
)
def step_impl(context):
    first, engines = context.servers[0], context.engines

    async def prepare():
        loop = asyncio.get_running_loop()
        found, resumed = loop.create_future(), loop.create_future()

        async def answer(call, request_id):
            first.received.append(call)
            return Ok(HeldAnswer(first, resumed))

        async def request_engine(pool, request):
            engines.requests.append(request)
            if len(engines.requests) == 1:
                return make_assignment("s0")
            await found
            return make_assignment("s1")

        def resume():
            found.set_result(None)
            resumed.set_result(None)

        first.answer = answer
        engines.request_engine = request_engine
        loop.call_later(FOUND_S, resume)

    run(context, prepare())
    context.execute_steps("When a request with a prompt is served")
