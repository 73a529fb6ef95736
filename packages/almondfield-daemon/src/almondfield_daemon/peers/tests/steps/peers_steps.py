"""Steps of peers.feature."""

import asyncio
import itertools

import eliot
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from almondfield_core.messages import AnnouncementRelay, DemandReport
from almondfield_core.settings import HostSettings
from almondfield_daemon.peers import Frame
from almondfield_daemon.peers.frames import FrameSeal
from almondfield_daemon.peers.tests.fakes import (
    BEYOND_64_BITS,
    SECRET,
    MemoryNetwork,
    Node,
    report,
)
from almondfield_testing import run


def start(context, name, host_names=("a", "b"), incarnation=1):
    node = Node(context.network, name, host_names, incarnation)

    async def begin():
        node.peers.register_handler(DemandReport, node.handle)
        node.task = asyncio.ensure_future(node.peers.run())
        await asyncio.sleep(0.01)

    run(context, begin())
    context.nodes[name] = node
    return node


def request_reply(context, name, target, number, timeout_s=1.0):
    return run(
        context, context.nodes[name].peers.request(target, report(number), timeout_s)
    )


def stats(context, name):
    async def read():
        return context.nodes[name].peers.stats()

    return run(context, read())


def drop_counts(context, name):
    return stats(context, name).dropped_by_reason


def sent_frames(context, source, target):
    return context.network.frames_by_path.get((source, target), [])


def deliver_to_b(context, frame):
    async def deliver():
        context.network.on_frame_by_host["b"](frame)
        await asyncio.sleep(0.01)

    run(context, deliver())


@given('hosts "a" and "b" connected in memory')
def step_impl(context):
    context.network = MemoryNetwork()
    context.nodes = {}
    start(context, "a")
    start(context, "b")


@given('"a" and "b" have been connected for {seconds:f} s')
def step_impl(context, seconds):
    request_reply(context, "a", "b", 1)
    run(context, asyncio.sleep(seconds))


@given('a host "new" whose settings name only itself and "b"')
def step_impl(context):
    start(context, "new", ("new", "b"))


@given("connections accept no frames")
def step_impl(context):
    context.network.rejects_frames = True


@given('the handler of "b" fails for report {number:d}')
def step_impl(context, number):
    context.nodes["b"].failing_reports.add(number)


@given('the handler of "b" replies to report {number:d} with a number beyond 64 bits')
def step_impl(context, number):
    context.nodes["b"].oversized_replies.add(number)


@when(
    '"{name}" sends a report with a number beyond 64 bits to "{target}" and awaits '
    "the reply"
)
def step_impl(context, name, target):
    context.reply = request_reply(context, name, target, BEYOND_64_BITS)


@when('"{name}" sends a report with a number beyond 64 bits to "{target}"')
def step_impl(context, name, target):
    async def send():
        context.nodes[name].peers.send(target, report(BEYOND_64_BITS))

    run(context, send())


@given('connections to "{target}" raise an error')
def step_impl(context, target):
    context.network.invalid_targets.add(target)


@when('"{name}" hears of a host "{target}" and sends it a report')
def step_impl(context, name, target):
    async def send():
        peers = context.nodes[name].peers
        peers.add_host(HostSettings(target, "dc", target))
        peers.send(target, report(1))

    run(context, send())


def restart(context, name, step):
    old = context.nodes[name]

    async def end():
        old.task.cancel()
        await asyncio.gather(old.task, return_exceptions=True)

    run(context, end())
    start(context, name, incarnation=old.incarnation + step)


@given('"{name}" restarts with the next incarnation')
@when('"{name}" restarts with the next incarnation')
def step_impl(context, name):
    restart(context, name, 1)


@when('"{name}" restarts with an earlier incarnation')
def step_impl(context, name):
    restart(context, name, -1)


@when('"{name}" sends report {number:d} to "{target}" and awaits the reply')
def step_impl(context, name, target, number):
    context.reply = request_reply(context, name, target, number)


@when('"a" sends report {number:d} to "b" as a request in the background')
def step_impl(context, number):
    async def begin():
        request = context.nodes["a"].peers.request("b", report(number), 60.0)
        context.request = asyncio.ensure_future(request)
        await asyncio.sleep(0)

    run(context, begin())


@when('"a" sends {count:d} reports to "b" at once')
def step_impl(context, count):
    async def send():
        context.frames_before = len(sent_frames(context, "a", "b"))
        for number in range(1, count + 1):
            context.nodes["a"].peers.send("b", report(number))

    run(context, send())


@when("{seconds:f} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("frames take longer, up to {delay_s:f} s after {seconds:d} s")
def step_impl(context, delay_s, seconds):
    steps = 10 * seconds

    async def slow_down():
        for step in range(1, steps + 1):
            context.network.delay_s = max(
                context.network.delay_s, delay_s * step / steps
            )
            await asyncio.sleep(seconds / steps)

    context.connection_count = len(context.network.connections)
    run(context, slow_down())


@then('"a" has opened no new connection to "b"')
def step_impl(context):
    assert len(context.network.connections) == context.connection_count


@when('every open connection from "a" to "b" stalls')
def step_impl(context):
    for connection in context.network.connections:
        if connection.path == ("a", "b"):
            connection.stalled = True


@when('frames from "b" to "a" are lost')
def step_impl(context):
    context.network.broken_paths.add(("b", "a"))


@when("the network recovers")
def step_impl(context):
    context.network.broken_paths.clear()


@when('every frame from "a" to "b" arrives a second time')
def step_impl(context):
    for frame in list(sent_frames(context, "a", "b")):
        deliver_to_b(context, frame)


@when('frames with a wrong secret, truncated, corrupted and for "c" reach "b"')
def step_impl(context):
    valid_frame = sent_frames(context, "a", "b")[0]
    deliver_to_b(context, FrameSeal(b"other").seal(Frame("a", "b", 9, 99)))
    deliver_to_b(context, valid_frame[:-1])
    deliver_to_b(context, valid_frame[:-1] + bytes([valid_frame[-1] ^ 1]))
    deliver_to_b(context, b"")
    deliver_to_b(context, FrameSeal(SECRET).seal(Frame("a", "c", 9, 99)))


@when('hypothesis sends arbitrary bytes, sealed and unsealed, to "b"')
def step_impl(context):
    seal = FrameSeal(SECRET)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @for_all(strategies.binary(max_size=64))
    def check(payload):
        deliver_to_b(context, payload)
        deliver_to_b(context, seal._digest(payload) + payload)

    check()


@then("the reply is grant {number:d}")
def step_impl(context, number):
    assert context.reply.unwrap().number == number, context.reply


@then("there is no reply")
def step_impl(context):
    assert context.reply.is_err(), context.reply


@then('"{name}" sends report {number:d} to "{target}" and gets grant {grant:d}')
def step_impl(context, name, target, number, grant):
    reply = request_reply(context, name, target, number)
    assert reply.unwrap().number == grant, reply


@then('"b" has handled reports 1 to {last:d} in order')
def step_impl(context, last):
    assert context.nodes["b"].handled == list(range(1, last + 1))


@then('"b" has handled no report')
def step_impl(context):
    assert context.nodes["b"].handled == []


@then('"b" handled no report twice')
def step_impl(context):
    handled = context.nodes["b"].handled
    assert handled
    assert len(handled) == len(set(handled)), handled


@then('"a" sent them in at most {maximum:d} frames')
def step_impl(context, maximum):
    assert len(sent_frames(context, "a", "b")) - context.frames_before <= maximum


@then('"a" has opened a new connection to "b"')
def step_impl(context):
    assert stats(context, "a").redials >= 1


@then('"{target}" is reachable from "{name}"')
def step_impl(context, name, target):
    assert run(context, check_reachable(context, name, target))


@then('"{target}" is not reachable from "{name}"')
def step_impl(context, name, target):
    assert not run(context, check_reachable(context, name, target))


async def check_reachable(context, name, target):
    return context.nodes[name].peers.is_reachable(target)


@then('"{name}" counts drops for "{reason}"')
def step_impl(context, name, reason):
    assert drop_counts(context, name).get(reason, 0) >= 1, drop_counts(context, name)


@then('"a" keeps at most {maximum:d} messages for "b", including the request')
def step_impl(context, maximum):
    assert drop_counts(context, "a")["queue full"] >= 5000 - maximum
    context.network.rejects_frames = False
    assert run(context, context.request).unwrap().number == 1


@then("no frame is sent for {seconds:f} s")
def step_impl(context, seconds):
    before = sum(map(len, context.network.frames_by_path.values()))
    run(context, asyncio.sleep(seconds))
    assert sum(map(len, context.network.frames_by_path.values())) == before


@then('at most {maximum:d} frames go from "a" to "b" in {seconds:f} s')
def step_impl(context, maximum, seconds):
    before = len(sent_frames(context, "a", "b"))
    run(context, asyncio.sleep(seconds))
    assert 1 <= len(sent_frames(context, "a", "b")) - before <= maximum


@given('the handler of relays at "b" waits for {seconds:f} s')
def step_impl(context, seconds):
    async def wait(sender, message):
        await asyncio.sleep(seconds)

    context.nodes["b"].peers.register_handler(AnnouncementRelay, wait, concurrent=True)


@when('"a" sends a relay to "b"')
def step_impl(context):
    async def send():
        context.nodes["a"].peers.send("b", AnnouncementRelay("writing", (), ()))
        await asyncio.sleep(0.1)

    run(context, send())


@given('the handler of "b" answers after {seconds:g} s')
def step_impl(context, seconds):
    node = context.nodes["b"]

    async def answer(sender, message):
        await asyncio.sleep(seconds)
        return await node.handle(sender, message)

    node.peers.register_handler(DemandReport, answer)


@when('"a" sends a report to "b" and waits {seconds:g} s for the reply')
def step_impl(context, seconds):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    context.add_cleanup(eliot.remove_destination, context.messages.append)
    context.late_replies = []
    peers = context.nodes["a"].peers
    on_late = context.late_replies.append
    reply = run(context, peers.request("b", report(1), seconds, on_late))
    assert reply.is_err(), reply


@then("the late reply was passed on")
def step_impl(context):
    assert len(context.late_replies) == 1, context.late_replies


@then('"a" has logged a late reply after about {seconds:g} s')
def step_impl(context, seconds):
    ages_ms = [
        message["after_ms"]
        for message in context.messages
        if message["message_type"] == "peer:late-reply"
    ]
    assert len(ages_ms) == 1, context.messages
    assert seconds <= ages_ms[0] / 1000 < seconds + 0.1, ages_ms


@when('"a" sends a report to "b" each {interval:g} s for {seconds:g} s')
def step_impl(context, interval, seconds):
    network = context.network
    network.sent_s_by_path.clear()

    async def send():
        for _ in range(round(seconds / interval)):
            await context.nodes["a"].peers.request("b", report(1), 1.0)
            await asyncio.sleep(interval)

    run(context, send())


@then('at most {count:d} frames went from "a" to "b", and as many back')
def step_impl(context, count):
    sent_s_by_path = context.network.sent_s_by_path
    counts = {path: len(times) for path, times in sent_s_by_path.items()}
    assert 0 < counts["a", "b"] <= count, counts
    assert 0 < counts["b", "a"] <= count, counts


@then('no {seconds:g} s passed without a frame from "a" to "b"')
def step_impl(context, seconds):
    sent_s = context.network.sent_s_by_path["a", "b"]
    gaps_s = [after - before for before, after in itertools.pairwise(sent_s)]
    assert max(gaps_s) <= seconds, max(gaps_s)
