"""Steps of pacing.feature."""

import asyncio

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_core.settings import AnswerSettings
from almondfield_daemon.forwarding.pacing import StreamPace, StreamPacing
from almondfield_testing import run

PIECE_BYTES = 100


@given(
    "streams with a burst of {burst:d} bytes, {event:d} bytes for each event, {one:d} "
    "bytes/s for one and {all_streams:d} bytes/s for all"
)
def step_impl(context, burst, event, one, all_streams):
    context.pacing = StreamPacing(
        AnswerSettings(
            stream_burst_bytes=burst,
            event_bytes=event,
            slowed_stream_bytes_per_s=one,
            slowed_streams_bytes_per_s=all_streams,
        )
    )
    context.pace = None
    context.slept_s = 0.0


@when("one stream sends {times:d} times {count:d} events of {size:d} bytes together")
def step_impl(context, times, count, size):
    async def send():
        if context.pace is None:
            context.pace = StreamPace(context.pacing)
        for _ in range(times):
            await context.pace.spend(size, count)

    run(context, send())


@when("it pauses for {duration:g} s")
def step_impl(context, duration):
    run(context, asyncio.sleep(duration))


@then("it has waited {duration:g} s in all")
def step_impl(context, duration):
    assert abs(context.pace.waited_s - duration) < 0.01, context.pace.waited_s


@when("{count:d} streams send {size:d} bytes each")
def step_impl(context, count, size):
    async def send():
        pace = StreamPace(context.pacing)
        for _ in range(size // PIECE_BYTES):
            await pace.spend(PIECE_BYTES, 0)

    async def send_all():
        began_s = now()
        await asyncio.gather(*(send() for _ in range(count)))
        return now() - began_s

    context.duration_s = run(context, send_all())


@then("all of them have ended after {duration:g} s, within {share:d} %")
def step_impl(context, duration, share):
    allowed_s = duration * share / 100
    assert abs(context.duration_s - duration) <= allowed_s, context.duration_s
