"""Steps of crashes.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from result import Err, Ok

from almondfield_core.messages import ServerFailure
from almondfield_daemon.forwarding import AnswerMetadata
from almondfield_daemon.forwarding.answers import MAX_HELD_BODY_BYTES
from almondfield_daemon.forwarding.tests.fakes import FakeAnswer, event
from almondfield_daemon.forwarding.tests.requests import PROMPT, serve
from almondfield_daemon.quarantine import request_digests
from almondfield_daemon.router.calls import AnswerCutError, CallFailure, Framing
from almondfield_testing import run

SHARED_PART = "s"


class RecordingQuarantine:
    """The ``RequestQuarantine`` port, with what it was told of the shared part.

    :ivar own_crashes: digests of whole requests under which a server ended.
    :ivar own_sound: digests of whole requests that were answered soundly.
    """

    def __init__(self):
        self.seconds = 0.0
        self.crashes = []
        self.sound = []
        self.own_crashes = []
        self.own_sound = []
        self.unproven = []
        self.gone = []
        self.doubtful = []
        self.on_crash = lambda: None

    def left_s(self, parts):
        """Return the same time for all requests with the shared part."""
        return self.seconds if SHARED_PART in parts else 0.0

    def record_crash(self, start, address, parts, ran_s):
        """Record a crash."""
        self.own_crashes.append([part for part in parts if part != SHARED_PART])
        if SHARED_PART in parts:
            self.crashes.append(parts)
        self.on_crash()

    def record_doubtful_cut(self, start, address, parts, ran_s):
        """Record the end of a connection that may have been idle."""
        self.doubtful.append((address, parts))

    def record_sound(self, parts):
        """Record a sound answer."""
        own = [part for part in parts if part != SHARED_PART]
        if own:
            self.own_sound.append(own)
        if SHARED_PART in parts:
            self.sound.append(parts)

    def record_unproven(self, start, parts, ran_s):
        """Record an answer that ended with its connection."""
        if SHARED_PART in parts:
            self.unproven.append(parts)

    def record_alive(self, start):
        """Do nothing."""

    def record_refused(self, start):
        """Record a server that refuses connections."""
        self.gone.append(start.name)

    def has_refused(self, start):
        """Return whether a server has refused a connection."""
        return start.name in self.gone


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
        case "answers whole, with status 404":
            return Ok(TimedAnswer(metadata, server, events, status=404))
        case "ends late in a large answer":
            large = [b"a" * MAX_HELD_BODY_BYTES, b"a"]
            return Ok(TimedAnswer(metadata, server, large, error=cut))
        case "closes an idle connection":
            failure = ServerFailure.FIRST_BYTE
            return Err(CallFailure(failure, True, "cut", stale=True, is_idle_cut=True))
        case "answers whole, without an event":
            return Ok(TimedAnswer(metadata, server, []))
        case "accepts no connection":
            failure = ServerFailure.CONNECT
            return Err(CallFailure(failure, False, "refused", is_refused=True))
        case "can't be connected to, for a reason of the router's own":
            return Err(CallFailure(ServerFailure.CONNECT, False, "no descriptors"))
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
    context.forwarder._servers._local._quarantine = context.quarantine


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


@when("a request without a prompt is served")
def step_impl(context):
    context.served = run(context, serve(context))


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


@then(
    "{crashes:d} crashes and {sound:d} sound answers of the whole request are recorded"
)
def step_impl(context, crashes, sound):
    quarantine = context.quarantine
    assert len(quarantine.own_crashes) == crashes, quarantine.own_crashes
    assert len(quarantine.own_sound) == sound, quarantine.own_sound
    recorded = [*quarantine.own_crashes, *quarantine.own_sound]
    expected = [request_digests("POST", "d", b"/", "", b"", None)] * len(recorded)
    assert recorded == [list(item) for item in expected], recorded


@then("{count:d} doubtful cuts are recorded with all parts of the request")
def step_impl(context, count):
    digests = request_digests("POST", "d", b"/", "", b"", PROMPT)
    recorded = [set(parts) for _, parts in context.quarantine.doubtful]
    assert recorded == [{SHARED_PART, *digests}] * count, recorded


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
