"""Steps of peers.feature about a host that handles frames late."""

import asyncio
import math

from behave import given, then, when

from almondfield_core.clock import now
from almondfield_daemon.peers.tests.fakes import report
from almondfield_testing import run


@when('"{target}" handles at most {count:g} frames of "{source}" a second')
@given('"{target}" handles at most {count:g} frames of "{source}" a second')
def step_impl(context, target, count, source):
    context.network.frames_per_s_by_path[source, target] = count


@when('"{source}" sends {rate:d} requests a second to "{target}" for {seconds:d} s')
def step_impl(context, source, rate, target, seconds):
    context.reply_times_s = []
    peers = context.nodes[source].peers

    async def request(number):
        sent_s = now()
        reply = await peers.request(target, report(number), 4.0)
        is_answered = reply.is_ok()
        context.reply_times_s.append(
            (sent_s, now() - sent_s if is_answered else math.inf)
        )

    async def send():
        tasks = []
        for number in range(rate * seconds):
            tasks.append(asyncio.ensure_future(request(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    run(context, send())


@then(
    "at least {share:g} of the requests of the last {last_s:g} s were answered within"
    " {limit_s:g} s"
)
def step_impl(context, share, last_s, limit_s):
    since_s = max(sent_s for sent_s, _ in context.reply_times_s) - last_s
    times_s = [time_s for sent_s, time_s in context.reply_times_s if sent_s >= since_s]
    in_time = sum(time_s <= limit_s for time_s in times_s)
    assert in_time >= share * len(times_s), sorted(times_s)[:: len(times_s) // 10]
