"""Steps of many_senders.feature."""

import asyncio
from collections import deque

from behave import given, then, when

from almondfield_core.messages import AnnouncementRelay, DemandReport, SlotGrant
from almondfield_daemon.peers.tests.fakes import MemoryNetwork, Node, report
from almondfield_daemon.peers.turns import HandlingTurns
from almondfield_testing import run

SETTLING_S = 1.0


class Receiver:
    """What the host that all others send to has handled so far.

    :ivar handled: senders and numbers of the reports, in order.
    :ivar waited_s: how long each report waited for its handler, in seconds.
    :ivar handling_s: time that each report takes, in seconds.
    :ivar most_at_once: most reports that were handled between two runs of another
        task that is always ready.
    """

    def __init__(self):
        self.peers = None
        self.handled = []
        self.waited_s = []
        self.handling_s = 0.0
        self.handled_at_reply = None
        self.handled_at_relay = None
        self.most_at_once = 0
        self._at_once = 0

    async def handle(self, sender, message):
        """Record a report."""
        self.handled.append((sender, message.number))
        self.waited_s.append(self.peers.handling_delay_s)
        if not self._at_once:
            asyncio.get_running_loop().call_soon(self._run_other)
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        if self.handling_s:
            await asyncio.sleep(self.handling_s)

    def _run_other(self):
        self._at_once = 0

    async def handle_relay(self, sender, message):
        """Record how many reports were handled before a relay."""
        self.handled_at_relay = len(self.handled)


@given('"b" and a voter are connected, and {count:d} other hosts to "b"')
def step_impl(context, count):
    network = MemoryNetwork()
    context.others = [f"other-{number}" for number in range(count)]
    names = ("b", "voter", *context.others)
    receiver = context.receiver = Receiver()

    async def connect():
        context.answer_due = asyncio.Event()

        async def answer(sender, message):
            await context.answer_due.wait()
            return SlotGrant(message.pool, message.epoch, message.number, 1.0, False)

        context.peers = {
            name: Node(network, name, names if name == "b" else (name, "b")).peers
            for name in names
        }
        peers = receiver.peers = context.peers["b"]
        peers.register_handler(DemandReport, receiver.handle)
        peers.register_handler(
            AnnouncementRelay, receiver.handle_relay, concurrent=True
        )
        context.peers["voter"].register_handler(DemandReport, answer)
        context.tasks = [
            asyncio.ensure_future(item.run()) for item in context.peers.values()
        ]
        await asyncio.sleep(SETTLING_S / 10)
        for name in names[1:]:
            context.peers[name].send("b", report(0))
        peers.send("voter", AnnouncementRelay("writing", (), ()))
        await asyncio.sleep(SETTLING_S)
        receiver.handled.clear()
        receiver.waited_s.clear()
        receiver.most_at_once = 0

    run(context, connect())


def send_at_once(context, count_by_host, and_then=lambda: None):
    """Let hosts send reports, and then the voter a message, at the same time."""

    async def ask():
        await context.peers["b"].request("voter", report(1), 2 * SETTLING_S)
        context.receiver.handled_at_reply = len(context.receiver.handled)

    async def send():
        asked = asyncio.ensure_future(ask())
        await asyncio.sleep(SETTLING_S / 10)
        for host, count in count_by_host.items():
            for number in range(1, count + 1):
                context.peers[host].send("b", report(number))
        and_then()
        await asyncio.sleep(SETTLING_S)
        context.answer_due.set()
        await asked

    run(context, send())


@given('each report takes "b" {seconds:g} s')
def step_impl(context, seconds):
    context.receiver.handling_s = seconds


@when('each of the others sends {count:d} reports to "b" at once')
def step_impl(context, count):
    send_at_once(context, dict.fromkeys(context.others, count))


@when(
    'each of the others sends {count:d} reports to "b" at once, and then the voter '
    "replies"
)
def step_impl(context, count):
    counts = dict.fromkeys(context.others, count)
    send_at_once(context, counts, context.answer_due.set)


@when(
    'each of the others sends {count:d} reports to "b" at once, and then the voter '
    "sends a relay"
)
def step_impl(context, count):
    def send_relay():
        context.peers["voter"].send("b", AnnouncementRelay("writing", (), ()))

    send_at_once(context, dict.fromkeys(context.others, count), send_relay)


@when(
    'the first of the others sends {count:d} reports to "b" at once, and then the '
    "others {rest_count:w}"
)
def step_impl(context, count, rest_count):
    first, *rest = context.others
    rest_count = {"none": 0, "one": 1}[rest_count]
    send_at_once(context, {first: count} | dict.fromkeys(rest, rest_count))


@then('"b" has handled {count:d} reports, those of each sender in order')
def step_impl(context, count):
    handled = context.receiver.handled
    assert len(handled) == count, len(handled)
    for host in context.others:
        numbers = [number for sender, number in handled if sender == host]
        assert numbers == sorted(numbers), (host, numbers)


@then("at most {count:d} of them between two runs of another task")
def step_impl(context, count):
    assert 0 < context.receiver.most_at_once <= count, context.receiver.most_at_once


@then('"b" got the reply before it had handled {count:d} of the reports')
def step_impl(context, count):
    assert context.receiver.handled_at_reply < count, context.receiver.handled_at_reply


@then('"b" began the relay before it had handled {count:d} of the reports')
def step_impl(context, count):
    assert context.receiver.handled_at_relay < count, context.receiver.handled_at_relay


@then('"b" handled the other hosts\' reports before it had handled {count:d}')
def step_impl(context, count):
    senders = [sender for sender, _ in context.receiver.handled[: count - 1]]
    assert set(context.others) <= set(senders), len(set(senders))


@then("the reports waited {first:g}, {second:g} and {third:g} s")
def step_impl(context, first, second, third):
    waited_s = [round(seconds, 2) for seconds in context.receiver.waited_s]
    assert waited_s == [first, second, third], waited_s


@given(
    "{count:d} messages of one sender that came {seconds:g} s before those of "
    "{others:d} others"
)
def step_impl(context, count, seconds, others):
    context.received_s_by_sender = {
        "busy": [0.0] * count,
        **{f"other-{number}": [seconds] for number in range(others)},
    }


@when("all of them take turns")
def step_impl(context):
    context.order = []

    async def take_all():
        turns = HandlingTurns()

        async def take(sender, received_s):
            queue = deque((sender, item) for item in received_s)
            count = 0
            while queue:
                count = count or await turns.take(queue)
                count -= 1
                context.order.append(queue.popleft()[0])

        senders = context.received_s_by_sender.items()
        await asyncio.gather(*(take(*item) for item in reversed(list(senders))))

    run(context, take_all())


@then("the {count:d} take theirs before {others:d} of the others")
def step_impl(context, count, others):
    expected = sum(map(len, context.received_s_by_sender.values()))
    assert len(context.order) == expected, len(context.order)
    last = [i for i, sender in enumerate(context.order) if sender == "busy"][-1]
    assert last + 1 - count < others, last
