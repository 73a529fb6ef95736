"""Steps of sockets.feature."""

import asyncio
import socket

from behave import given, then, when

from almondfield_core.messages import DemandReport, SlotGrant
from almondfield_core.settings import DaemonSettings, HostSettings
from almondfield_daemon.peers import PynngPeers
from almondfield_daemon.peers.tests.fakes import NO_SECRETS, SECRET
from almondfield_daemon.peers.tests.relay import Relay
from almondfield_testing import run


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def host(name, port):
    return HostSettings(name, "dc", "127.0.0.1", peer_port=port)


def ask(context, report):
    reply = run(context, context.peers["a"].ask("b", report, 30.0))
    return reply.unwrap().number


async def handle(sender, report):
    return SlotGrant(report.pool, report.epoch, report.number, 1.0, False)


@given('hosts "a" and "b" on loopback, each behind a relay')
def step_impl(context):
    context.peers = {}
    context.relay = {name: Relay() for name in "ab"}

    async def start():
        ports = {name: free_port() for name in "ab"}
        for name in "ab":
            context.relay[name].target_port = ports[name]
            await context.relay[name].start()
        for name, other in ("ab", "ba"):
            hosts = (host(name, ports[name]), host(other, context.relay[other].port))
            peers = PynngPeers(DaemonSettings(name, hosts, NO_SECRETS), SECRET, 1)
            peers.listen(DemandReport, handle)
            context.peers[name] = peers
        context.tasks = [asyncio.ensure_future(p.run()) for p in context.peers.values()]

    run(context, start())


@given('"a" asked "b" over TCP')
def step_impl(context):
    assert ask(context, DemandReport("writing", 1, 1, 1, 0)) == 1


@when('the open connections from "a" to "b" go silent')
def step_impl(context):
    context.relay["b"].silence_open()


@when("{seconds:f} s pass over TCP")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('a stranger sends {megabytes:d} megabytes to "b"')
def step_impl(context, megabytes):
    # The header of the scalability protocols for a push socket, then a length.
    size = megabytes * 1024 * 1024
    stranger_sends(context, b"\x00SP\x00\x00\x50\x00\x00" + size.to_bytes(8, "big"))


@when('a stranger sends bytes of no protocol to "b"')
def step_impl(context):
    stranger_sends(context, b"GET / HTTP/1.1\r\n\r\n" * 10)


def stranger_sends(context, data):
    async def send():
        port = context.relay["b"].target_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        # The peer ends the connection after its own header.
        async with asyncio.timeout(20.0):
            await reader.read()
        writer.close()

    run(context, send())


@then('"a" has closed and dialled anew')
def step_impl(context):
    async def read():
        return context.peers["a"].stats().redials

    assert run(context, read()) >= 1


@then('"a" asks "b" over TCP for report {number:d} and gets grant {grant:d}')
def step_impl(context, number, grant):
    assert ask(context, DemandReport("writing", 1, 1, number, 0)) == grant


@then('"a" asks "b" over TCP about {count:d} teams and gets grant {grant:d}')
def step_impl(context, count, grant):
    waiting = {f"team-{number}": number for number in range(count)}
    report = DemandReport("writing", 1, 1, 1, 0, waiting_by_team=waiting)
    assert ask(context, report) == grant
