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


def request_grant(context, report):
    reply = run(context, context.peers["a"].request("b", report, 30.0))
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
            peers.register_handler(DemandReport, handle)
            context.peers[name] = peers
        context.tasks = [asyncio.ensure_future(p.run()) for p in context.peers.values()]

    run(context, start())


@given('"a" has sent a report to "b" over TCP')
def step_impl(context):
    assert request_grant(context, DemandReport("writing", 1, 1, 1, 0)) == 1


@when('the open connections from "a" to "b" stall')
def step_impl(context):
    context.relay["b"].stall_open()


@when("{seconds:f} s pass over TCP")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('another client sends {megabytes:d} megabytes to "b"')
def step_impl(context, megabytes):
    # The Scalability Protocols header of a push socket, then a message length.
    size = megabytes * 1024 * 1024
    send_as_other_client(
        context, b"\x00SP\x00\x00\x50\x00\x00" + size.to_bytes(8, "big")
    )


@when('another client sends bytes of another protocol to "b"')
def step_impl(context):
    send_as_other_client(context, b"GET / HTTP/1.1\r\n\r\n" * 10)


def send_as_other_client(context, data):
    async def send():
        port = context.relay["b"].target_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        # The peer sends its own header and then closes the connection.
        async with asyncio.timeout(20.0):
            await reader.read()
        writer.close()

    run(context, send())


@then('"a" has replaced its connection')
def step_impl(context):
    async def read():
        return context.peers["a"].stats().redials

    assert run(context, read()) >= 1


@then('"a" sends report {number:d} to "b" over TCP and gets grant {grant:d}')
def step_impl(context, number, grant):
    assert request_grant(context, DemandReport("writing", 1, 1, number, 0)) == grant


@then('"a" sends a report on {count:d} teams to "b" over TCP and gets grant {grant:d}')
def step_impl(context, count, grant):
    waiting = {f"team-{number}": number for number in range(count)}
    report = DemandReport("writing", 1, 1, 1, 0, waiting_by_team=waiting)
    assert request_grant(context, report) == grant
