"""Steps of crashes.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from result import Err, Ok

from almondfield_core.messages import ServerFailure
from almondfield_core.routing import Prompt, PromptPart
from almondfield_daemon.forwarding import AnswerMetadata
from almondfield_daemon.forwarding.tests.fakes import FakeAnswer, event
from almondfield_daemon.forwarding.tests.requests import serve
from almondfield_daemon.router.calls import AnswerCutError, CallFailure, Framing
from almondfield_testing import run

PROMPT = Prompt("m", 20, 5, (PromptPart("s", 10), PromptPart("o", 10)))


class RecordingQuarantine:
    """The ``PromptQuarantine`` port, with what it was told."""

    def __init__(self):
        self.seconds = 0.0
        self.crashes = []
        self.sound = []
        self.unproven = []
        self.gone = []
        self.on_crash = lambda: None

    def left_s(self, prompt):
        """Return the same time for all prompts."""
        return self.seconds if prompt is not None else 0.0

    def record_crash(self, start, prompt):
        """Record a crash."""
        self.crashes.append((start, prompt))
        self.on_crash()

    def record_sound(self, prompt):
        """Record a sound answer."""
        self.sound.append(prompt)

    def record_unproven(self, start, prompt):
        """Record an answer that ended with its connection."""
        self.unproven.append(prompt)

    def record_alive(self, start):
        """Do nothing."""

    def record_gone(self, start):
        """Record a server that accepts no connection."""
        self.gone.append(start.name)


class TimedAnswer(FakeAnswer):
    """An answer whose last event comes later, or that is cut instead."""

    def __init__(self, metadata, server, chunks, status=200, gap_s=0.0, error=None):
        super().__init__(status, metadata, chunks, False, server)
        self._gap_s = gap_s
        self._error = error

    async def chunks(self):
        """Yield all chunks, the last one or the cut after the gap."""
        last = len(self._chunks) - 1
        for number, chunk in enumerate(self._chunks):
            if number == last and self._error is None:
                await asyncio.sleep(self._gap_s)
            yield chunk
        if self._error is not None:
            if self._chunks:
                await asyncio.sleep(self._gap_s / 2)
                yield event(len(self._chunks) + 1)
                await asyncio.sleep(self._gap_s / 2)
            raise self._error


def make_answer(behaviour, request_id, server):
    """Return the outcome of a call to a server with some behaviour."""
    metadata = AnswerMetadata(request_id, is_signed=True)
    events = [event(1), event(2)]
    cut = AnswerCutError(ServerFailure.STREAM, "cut", is_cut=True)
    silent = AnswerCutError(ServerFailure.STREAM, "silent", timed_out=True)
    match behaviour:
        case "answers whole":
            return Ok(TimedAnswer(metadata, server, events))
        case "ends before the head":
            return Err(CallFailure(ServerFailure.FIRST_BYTE, True, "cut", is_cut=True))
        case "ends before the first event":
            return Ok(TimedAnswer(metadata, server, [], error=cut))
        case "ends 0.5 s after the first event":
            return Ok(TimedAnswer(metadata, server, events[:1], gap_s=0.5, error=cut))
        case "ends 1.5 s after the first event":
            answer = TimedAnswer(metadata, server, events[:1], gap_s=2.2, error=cut)
            return Ok(answer)
        case "times out before the head":
            failure = ServerFailure.FIRST_BYTE
            return Err(CallFailure(failure, True, "silent", timed_out=True))
        case "times out 0.5 s after the first event":
            answer = TimedAnswer(metadata, server, events[:1], gap_s=0.5, error=silent)
            return Ok(answer)
        case "answers whole, framed by the connection":
            answer = TimedAnswer(metadata, server, events)
            answer.framing = Framing.CONNECTION
            return Ok(answer)
        case "answers for 1.5 s, framed by the connection":
            answer = TimedAnswer(metadata, server, events, gap_s=1.5)
            answer.framing = Framing.CONNECTION
            return Ok(answer)
        case "answers whole, with status 500":
            return Ok(TimedAnswer(metadata, server, events, status=500))
        case "answers whole, without an event":
            return Ok(TimedAnswer(metadata, server, []))
        case "accepts no connection":
            return Err(CallFailure(ServerFailure.CONNECT, False, "refused"))
        case "times out at its connection":
            failure = ServerFailure.CONNECT
            return Err(CallFailure(failure, False, "late", timed_out=True))
        case "refuses":
            not_run = replace(metadata, is_signed=False, was_not_run=True)
            return Ok(TimedAnswer(not_run, server, [], status=503))
    raise ValueError(f"behaviour {behaviour!r}")


@given("a record of crashes and sound answers")
def step_impl(context):
    context.quarantine = RecordingQuarantine()
    context.forwarder._servers._quarantine = context.quarantine


@given("the only server {behaviour}")
def step_impl(context, behaviour):
    context.calls = []
    for server in context.servers:

        async def answer(call, request_id, server=server):
            context.calls.append(server.name)
            return make_answer(behaviour, request_id, server)

        server.answer = answer


@given("the prompt is quarantined for {seconds:g} s")
def step_impl(context, seconds):
    context.quarantine.seconds = seconds


@given("the prompt is quarantined for {seconds:g} s while the scheduler decides")
def step_impl(context, seconds):
    def quarantine():
        context.quarantine.seconds = seconds

    context.engines.on_request = quarantine


@given("the prompt is quarantined for {seconds:g} s by the first crash")
def step_impl(context, seconds):
    def quarantine():
        context.quarantine.seconds = seconds

    context.quarantine.on_crash = quarantine


@when("a prompt is served")
def step_impl(context):
    context.route = replace(context.route, has_prompt=True)
    context.served = run(context, serve(context, prompt=PROMPT))


@when("a taken-up prompt is served")
def step_impl(context):
    context.route = replace(context.route, has_prompt=True)
    taken_up = serve(context, prompt=PROMPT, last_event_id="2")
    context.served = run(context, taken_up)


@then("{crashes:d} crashes and {sound:d} sound answers are recorded")
def step_impl(context, crashes, sound):
    quarantine = context.quarantine
    assert len(quarantine.crashes) == crashes, quarantine.crashes
    assert len(quarantine.sound) == sound, quarantine.sound
    recorded = [*quarantine.sound, *(prompt for _, prompt in quarantine.crashes)]
    assert all(prompt is PROMPT for prompt in recorded), recorded


@then("{count:d} servers are recorded as gone")
def step_impl(context, count):
    assert len(set(context.quarantine.gone)) == count, context.quarantine.gone


@then("{count:d} unproven answers are recorded")
def step_impl(context, count):
    assert len(context.quarantine.unproven) == count, context.quarantine.unproven


@then("neither the scheduler nor a server was asked")
def step_impl(context):
    assert not context.engines.requests, context.engines.requests
    check_no_server_asked(context)


@then("no server was asked")
def step_impl(context):
    check_no_server_asked(context)


def check_no_server_asked(context):
    received = [call for server in context.servers for call in server.received]
    assert not received, received


@then("{count:d} attempts were made in all")
def step_impl(context, count):
    assert len(context.calls) == count, context.calls
