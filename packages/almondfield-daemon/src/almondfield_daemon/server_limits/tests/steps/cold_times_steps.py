"""Steps of cold_times.feature."""

import asyncio

from behave import then, when

from almondfield_core.clock import now
from almondfield_core.routing import ServerPool
from almondfield_daemon.fleet import FleetServer
from almondfield_daemon.fleet.registry import ServerRegistry
from almondfield_daemon.server_notices import ServerStart
from almondfield_testing import run

POOL = ServerPool("p", 1, cold_start_s=8.0, warmup_per_s=5.2)


async def hear(context, kind, value, age_s):
    start = ServerStart("s", context.born_ms)
    if kind == "wait":
        await asyncio.sleep(value)
    elif kind == "evacuated":
        context.registry.cold.count_as_cold(["z"])
    elif kind == "answer":
        context.registry.cold.record_answer(start, value, now() - age_s)
    else:
        is_start = kind in ("start", "restart")
        context.born_ms += kind == "restart"
        context.sequence = 1 if is_start else context.sequence + 1
        server = FleetServer(
            "s",
            "p",
            "127.0.0.1:1",
            "z",
            1,
            born_ms=context.born_ms,
            sequence=context.sequence,
            cold_left_s=value,
            has_cold_time=kind != "invalid",
            cold_age_s=age_s,
        )
        context.registry.merge([server])


@when("a control host hears {events}")
def step_impl(context, events):
    context.registry = ServerRegistry(hears_all=True)
    context.registry.cold.pool_of = {"p": POOL}.get
    context.born_ms, context.sequence = 1, 10

    async def hear_all():
        for event in events.split(", "):
            words = [*event.split(), "0", "age", "0"]
            kind, value = words[:2]
            age_s = words[3] if "age " in event else "0"
            await hear(context, kind, float(value), float(age_s))

    run(context, hear_all())


@then("the server stays cold for {seconds:g} s")
def step_impl(context, seconds):
    async def left_s():
        return context.registry.cold.left_s("s")

    left_s = run(context, left_s())
    assert abs(left_s - seconds) < 0.01, left_s
