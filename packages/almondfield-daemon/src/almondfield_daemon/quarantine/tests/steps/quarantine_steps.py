"""Steps of quarantine.feature, on a paused clock and a network in memory."""

import asyncio
import re
from itertools import count

from behave import given, then, when

from almondfield_core.routing import Prompt, PromptPart
from almondfield_daemon.quarantine import (
    Quarantine,
    QuarantineTable,
    request_digests,
)
from almondfield_daemon.quarantine.parts import SoundParts, shared_parts
from almondfield_daemon.quarantine.tests.fleet import CONTROL_HOSTS, Fleet
from almondfield_daemon.server_notices import ServerStart
from almondfield_testing import run

ROUTERS = ("r1", "r2", "r3")


def prompt(text):
    """Return a prompt from its parts."""
    parts = tuple(PromptPart(part, 10) for part in text.split())
    return Prompt("m", 10 * len(parts), 5, parts)


def parts_of(text):
    """Return the parts of a request like "@path a b own", or those of a prompt."""
    if not text.startswith("@"):
        return shared_parts(prompt(text))
    path, _, rest = text.partition(" ")
    item = prompt(rest) if rest else None
    return shared_parts(item) + request_digests(
        "GET", "d", path.encode(), "", b"", item
    )


def read_places(text):
    """Return prompts and routers of a text like '"a b" at r1 and "c" at r2'."""
    return re.findall(r'"([^"]*)" at (r\d)', text)


def address_of(start):
    """Return the address of a server."""
    return f"{start.name}:80"


@given("control hosts c1 to c3 and routers r1 to r3")
def step_impl(context):
    async def start():
        context.fleet = Fleet()
        context.server_numbers = count()
        context.state = ""
        for name in (*CONTROL_HOSTS, *ROUTERS):
            context.fleet.start(name)
        await asyncio.sleep(2.5)

    run(context, start())


def client(context, router):
    return context.fleet.host_by_name[router].quarantine


@given('request "{text}" was answered soundly at router {router}')
@when('request "{text}" is answered soundly at router {router}')
@given('prompt "{text}" was answered soundly at router {router}')
@when('prompt "{text}" is answered soundly at router {router}')
def step_impl(context, text, router):
    async def record():
        client(context, router).record_sound(parts_of(text))

    run(context, record())


@when("servers end {gap_s:g} s apart under {places}")
def step_impl(context, gap_s, places):
    async def end():
        for text, router in read_places(places):
            start = ServerStart(f"server-{next(context.server_numbers)}", 1)
            client(context, router).record_crash(
                start, address_of(start), parts_of(text), 0.0
            )
            await asyncio.sleep(gap_s)

    run(context, end())


@when(
    "servers end {gap_s:g} s apart, {ran_s:g} s after they were chosen, under {places}"
)
def step_impl(context, gap_s, ran_s, places):
    async def end():
        for text, router in read_places(places):
            start = ServerStart(f"server-{next(context.server_numbers)}", 1)
            client(context, router).record_crash(
                start, address_of(start), parts_of(text), ran_s
            )
            await asyncio.sleep(gap_s)

    run(context, end())


@given("servers that cut connections and {state}")
def step_impl(context, state):
    context.state = state


@when(
    "connections are cut {gap_s:g} s apart, {ran_s:g} s after servers were chosen, "
    "under {places}"
)
def step_impl(context, gap_s, ran_s, places):
    async def cut():
        starts = []
        for text, router in read_places(places):
            start = ServerStart(f"server-{next(context.server_numbers)}", 1)
            starts.append(start)
            address = address_of(start)
            if context.state == "accept no connection":
                context.fleet.gone_addresses.add(address)
            client(context, router).record_doubtful_cut(
                start, address, parts_of(text), ran_s
            )
            await asyncio.sleep(gap_s)
        # One request meets all of them at once.
        for start in starts:
            if context.state == "are found gone at router r3":
                client(context, "r3").record_refused(start)
            elif context.state == "go on":
                client(context, "r1").record_alive(start)

    run(context, cut())


@when("server {name} cuts the connections of {places}")
def step_impl(context, name, places):
    async def cut():
        start = ServerStart(name, 1)
        context.fleet.gone_addresses.add(address_of(start))
        for text, router in read_places(places):
            client(context, router).record_doubtful_cut(
                start, address_of(start), parts_of(text), 0.05
            )

    run(context, cut())


@then("after {seconds:g} s it was tried to connect to {name} once")
def step_impl(context, seconds, name):
    run(context, asyncio.sleep(seconds))
    tried = context.fleet.tried_addresses
    assert tried == [address_of(ServerStart(name, 1))], tried


@when("server {name} ends under {places}")
def step_impl(context, name, places):
    async def end():
        for text, router in read_places(places):
            start = ServerStart(name, 1)
            if context.state == "accept no connection":
                context.fleet.gone_addresses.add(address_of(start))
            client(context, router).record_crash(
                start, address_of(start), parts_of(text), 0.0
            )

    run(context, end())


@when(
    'an answer on "{text}" at {router} by server {name} ends with its connection, and '
    "{same} answers {seconds:g} s later"
)
def step_impl(context, text, router, name, same, seconds):
    async def answer():
        start = ServerStart(name, 1)
        client(context, router).record_unproven(start, parts_of(text), 0.0)
        await asyncio.sleep(seconds)
        client(context, router).record_alive(start)

    run(context, answer())


@when(
    'an answer on "{text}" at {router} by server {name} ends with its connection, and '
    "{same} ends {seconds:g} s later"
)
def step_impl(context, text, router, name, same, seconds):
    async def answer():
        start = ServerStart(name, 1)
        client(context, router).record_unproven(start, parts_of(text), 0.0)
        await asyncio.sleep(seconds)
        client(context, router).record_crash(
            start, address_of(start), parts_of("other"), 0.0
        )
        await asyncio.sleep(0.2)

    run(context, answer())


@when(
    'an answer on "{text}" at {router} by server {name} ends with its connection, and '
    "{same} is gone {seconds:g} s later"
)
def step_impl(context, text, router, name, same, seconds):
    async def answer():
        start = ServerStart(name, 1)
        client(context, router).record_unproven(start, parts_of(text), 0.0)
        await asyncio.sleep(seconds)
        client(context, router).record_refused(start)

    run(context, answer())


@when(
    'an answer on "{text}" at {router} by server {name} looks whole, and {same} {end} '
    "at {other}"
)
def step_impl(context, text, router, name, same, end, other):
    async def answer():
        start = ServerStart(name, 1)
        client(context, router).record_unproven(start, parts_of(text), 0.0)
        await asyncio.sleep(0.1)
        match end:
            case "ended":
                parts = parts_of(f"c {name} own")
                client(context, other).record_crash(
                    start, address_of(start), parts, 0.0
                )
            case "is gone":
                client(context, other).record_refused(start)
        await asyncio.sleep(0.2)

    run(context, answer())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when('hosts "{names}" restart')
def step_impl(context, names):
    run(context, context.fleet.restart(names.split()))


@given("router {name} is cut off")
def step_impl(context, name):
    context.fleet.network.isolate(name)


@when("the cut heals")
def step_impl(context):
    context.fleet.network.heal()


async def left_s(context, router, text):
    return client(context, router).left_s(parts_of(text))


@then('after {seconds:g} s all routers refuse "{text}" for {least_s:g} to {most_s:g} s')
def step_impl(context, seconds, text, least_s, most_s):
    run(context, asyncio.sleep(seconds))
    for router in ROUTERS:
        seen_s = run(context, left_s(context, router, text))
        assert least_s <= seen_s <= most_s, (router, seen_s)


def check_accepted(context, texts):
    for text in re.findall(r'"([^"]*)"', texts):
        for router in ROUTERS:
            seen_s = run(context, left_s(context, router, text))
            assert seen_s == 0, (router, text, seen_s)


@then('after {seconds:g} s all routers refuse "{text}"')
def step_impl(context, seconds, text):
    run(context, asyncio.sleep(seconds))
    for router in ROUTERS:
        assert run(context, left_s(context, router, text)) > 0, router


@then("after {seconds:g} s all routers accept {texts}")
def step_impl(context, seconds, texts):
    run(context, asyncio.sleep(seconds))
    check_accepted(context, texts)


@then("all routers accept {texts}")
def step_impl(context, texts):
    check_accepted(context, texts)


@then('router {router} refuses "{text}"')
def step_impl(context, router, text):
    assert run(context, left_s(context, router, text)) > 0


@then('router {router} accepts "{text}"')
def step_impl(context, router, text):
    assert run(context, left_s(context, router, text)) == 0


@then(
    'a table with the quarantines "{one}" and "{two}" that learns of a sound "{text}" '
    'keeps "{rest}"'
)
def step_impl(context, one, two, text, rest):
    async def learn():
        table = QuarantineTable()
        for parts in (one, two):
            table.merge([Quarantine(tuple(parts.split()), 300.0, 1, 3)])
        table.record_sound(shared_parts(prompt(text)))
        return [" ".join(item.parts) for item in table.quarantines()]

    kept = run(context, learn())
    assert kept == [rest], kept


@then(
    "a table of {suspected:d} suspected, {sound:d} sound and {quarantined:d} "
    "quarantined parts keeps {most_suspected:d}, {most_sound:d} and "
    "{most_quarantined:d}"
)
def step_impl(
    context, suspected, sound, quarantined, most_suspected, most_sound, most_quarantined
):
    async def fill():
        table = QuarantineTable()
        start = ServerStart("s", 1)
        table.record_crash(start, [f"suspect-{n}" for n in range(suspected)])
        table.record_sound([f"sound-{n}" for n in range(sound)])
        for number in range(quarantined):
            table.merge([Quarantine((f"bad-{number}",), 300.0, 1, 3)])
        newest = table.left_s([f"bad-{quarantined - 1}"])
        counts = (table.suspect_count, table.sound_count, table.quarantined_count())
        return counts, newest

    counts, newest = run(context, fill())
    assert counts == (most_suspected, most_sound, most_quarantined), counts
    assert newest > 0, newest


@then("parts of {length:d} characters are kept in at most {most:d}")
def step_impl(context, length, most):
    kept = shared_parts(prompt(f"{'a' * length} {'b' * length} {'a' * length}b own"))
    assert len(kept) == 3, kept
    assert max(len(part) for part in kept) <= most, kept


@then(
    "a table of {parts:d} sound parts and {requests:d} sound requests keeps all parts "
    "and {least:d} to {most:d} requests"
)
def step_impl(context, parts, requests, least, most):
    async def fill():
        sound = SoundParts()
        names = [f"part-{number}" for number in range(parts)]
        sound.record(names)
        for number in range(requests):
            sound.record(parts_of(f"@{number}"))
        return all(name in sound for name in names), len(sound) - parts

    keeps_all, count = run(context, fill())
    assert keeps_all
    assert least <= count <= most, count


@then(
    "a table remembers a sound request after {known_s:g} s, beside others, but not "
    "after {forgotten_s:g} s"
)
def step_impl(context, known_s, forgotten_s):
    async def remember():
        sound = SoundParts()
        digest = parts_of("@x")
        await asyncio.sleep(20.0)
        sound.record(parts_of("@y"))
        await asyncio.sleep(10.0)
        sound.record(digest)
        await asyncio.sleep(known_s)
        sound.record(parts_of("@z"))
        is_known = digest[0] in sound
        await asyncio.sleep(forgotten_s - known_s)
        return is_known, digest[0] in sound

    assert run(context, remember()) == (True, False)


def check_restart_known(context, seconds, name, is_known):
    async def ask():
        await asyncio.sleep(seconds)
        start = ServerStart(name, 1)
        return {
            router: client(context, router).has_refused(start) for router in ROUTERS
        }

    known_by_router = run(context, ask())
    assert set(known_by_router.values()) == {is_known}, known_by_router


@when("server {name} refuses a connection at {router}")
def step_impl(context, name, router):
    async def refuse():
        client(context, router).record_refused(ServerStart(name, 1))

    run(context, refuse())


@then("after {seconds:g} s all routers know that {name} may have restarted")
def step_impl(context, seconds, name):
    check_restart_known(context, seconds, name, True)


@then("after {seconds:g} s no router knows that {name} may have restarted")
def step_impl(context, seconds, name):
    check_restart_known(context, seconds, name, False)
