"""Steps of peers.feature."""

import asyncio

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from almondfield_core.messages import AnnouncementRelay, DemandReport
from almondfield_daemon.peers import Frame
from almondfield_daemon.peers.frames import FrameSeal
from almondfield_daemon.peers.tests.fakes import SECRET, MemoryNetwork, Node
from almondfield_testing import run


def report(number):
    return DemandReport("writing", 1, 1, number, 0)


def start(context, name, known=("a", "b"), incarnation=1):
    node = Node(context.network, name, known, incarnation)

    async def begin():
        node.peers.listen(DemandReport, node.handle)
        node.task = asyncio.ensure_future(node.peers.run())
        await asyncio.sleep(0.01)

    run(context, begin())
    context.nodes[name] = node
    return node


def ask(context, name, target, number, timeout_s=1.0):
    return run(
        context, context.nodes[name].peers.ask(target, report(number), timeout_s)
    )


def stats(context, name):
    async def read():
        return context.nodes[name].peers.stats()

    return run(context, read())


def drops(context, name):
    return stats(context, name).dropped_by_reason


def sent_frames(context, source, target):
    return context.network.frames_by_path.get((source, target), [])


def arrive(context, frame):
    async def hand_over():
        context.network.on_frame_by_host["b"](frame)
        await asyncio.sleep(0.01)

    run(context, hand_over())


@given('hosts "a" and "b" that talk over connections in memory')
def step_impl(context):
    context.network = MemoryNetwork()
    context.nodes = {}
    start(context, "a")
    start(context, "b")


@given('"a" and "b" have talked for {seconds:f} s')
def step_impl(context, seconds):
    ask(context, "a", "b", 1)
    run(context, asyncio.sleep(seconds))


@given('a host "new" that only knows of "b"')
def step_impl(context):
    start(context, "new", ("new", "b"))


@given('nothing gets from "a" to "b" any more and nothing is taken')
def step_impl(context):
    context.network.refuses_all = True


@given('the handler of "b" fails for report {number:d}')
def step_impl(context, number):
    context.nodes["b"].failing.add(number)


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


@when('"{name}" asks "{target}" for report {number:d}')
def step_impl(context, name, target, number):
    context.reply = ask(context, name, target, number)


@when('"a" asks "b" for report {number:d} in the background')
def step_impl(context, number):
    async def begin():
        question = context.nodes["a"].peers.ask("b", report(number), 60.0)
        context.question = asyncio.ensure_future(question)
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


@when('every open connection from "a" to "b" goes silent')
def step_impl(context):
    for connection in context.network.connections:
        if connection.path == ("a", "b"):
            connection.silent = True


@when('nothing gets from "b" to "a" any more')
def step_impl(context):
    context.network.dead_paths.add(("b", "a"))


@when("the network is whole again")
def step_impl(context):
    context.network.dead_paths.clear()


@when('every frame from "a" to "b" arrives a second time')
def step_impl(context):
    for frame in list(sent_frames(context, "a", "b")):
        arrive(context, frame)


@when('frames with a wrong secret, cut short, damaged and for "c" reach "b"')
def step_impl(context):
    genuine = sent_frames(context, "a", "b")[0]
    arrive(context, FrameSeal(b"other").seal(Frame("a", "b", 9, 99)))
    arrive(context, genuine[:-1])
    arrive(context, genuine[:-1] + bytes([genuine[-1] ^ 1]))
    arrive(context, b"")
    arrive(context, FrameSeal(SECRET).seal(Frame("a", "c", 9, 99)))


@when('hypothesis offers sealed payloads and bare bytes to "b"')
def step_impl(context):
    seal = FrameSeal(SECRET)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @for_all(strategies.binary(max_size=64))
    def offer(payload):
        arrive(context, payload)
        arrive(context, seal._digest(payload) + payload)

    offer()


@then("the reply is grant {number:d}")
def step_impl(context, number):
    assert context.reply.unwrap().number == number, context.reply


@then("there is no reply")
def step_impl(context):
    assert context.reply.is_err(), context.reply


@then('"{name}" asks "{target}" for report {number:d} and gets grant {grant:d}')
def step_impl(context, name, target, number, grant):
    reply = ask(context, name, target, number)
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


@then('"a" sent them in at most {most:d} frames')
def step_impl(context, most):
    assert len(sent_frames(context, "a", "b")) - context.frames_before <= most


@then('"a" has dialled "b" anew')
def step_impl(context):
    assert stats(context, "a").redials >= 1


@then('"{name}" reaches "{target}"')
def step_impl(context, name, target):
    assert run(context, reaches(context, name, target))


@then('"{name}" does not reach "{target}"')
def step_impl(context, name, target):
    assert not run(context, reaches(context, name, target))


async def reaches(context, name, target):
    return context.nodes[name].peers.is_reachable(target)


@then('"b" counts drops for "{reason}"')
def step_impl(context, reason):
    assert drops(context, "b").get(reason, 0) >= 1, drops(context, "b")


@then('"a" holds at most {most:d} messages for "b", the question among them')
def step_impl(context, most):
    assert drops(context, "a")["queue full"] >= 5000 - most
    context.network.refuses_all = False
    assert run(context, context.question).unwrap().number == 1


@then("no frame is sent for {seconds:f} s")
def step_impl(context, seconds):
    before = sum(map(len, context.network.frames_by_path.values()))
    run(context, asyncio.sleep(seconds))
    assert sum(map(len, context.network.frames_by_path.values())) == before


@then('at most {most:d} frames go from "a" to "b" in {seconds:f} s')
def step_impl(context, most, seconds):
    before = len(sent_frames(context, "a", "b"))
    run(context, asyncio.sleep(seconds))
    assert 1 <= len(sent_frames(context, "a", "b")) - before <= most


@given('the handler of relays at "b" waits for {seconds:f} s')
def step_impl(context, seconds):
    async def wait(sender, message):
        await asyncio.sleep(seconds)

    context.nodes["b"].peers.listen(AnnouncementRelay, wait, waits=True)


@when('"a" asks "b" to take a relay')
def step_impl(context):
    async def send():
        context.nodes["a"].peers.send("b", AnnouncementRelay("writing", (), ()))
        await asyncio.sleep(0.1)

    run(context, send())
