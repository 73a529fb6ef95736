"""Steps of levels.feature."""

import asyncio
import random
from dataclasses import replace

import eliot
from behave import given, then, when

from almondfield_daemon.fleet import RouterDirectory
from almondfield_daemon.router_addresses import RouterLoad
from almondfield_daemon.router_addresses.tests.callers_model import (
    DATA_CENTRE,
    make_hello,
)
from almondfield_testing import run

USUAL = RouterLoad(cores=0.5, connections=40, running=20)


def pass_time(context, seconds, load_by_host=None):
    async def report():
        for _ in range(seconds):
            for host in context.hosts:
                load = (load_by_host or {}).get(host, USUAL)
                context.directory.record(host, make_hello(host, load))
            await asyncio.sleep(1.0)

    run(context, report())


def get_answers(context, count=400):
    async def ask():
        names = (f"caller-{number}" for number in range(count))
        ask = context.directory.addresses
        return [ask("region", DATA_CENTRE, name) for name in names]

    return run(context, ask())


def find_lines(context, kind):
    return [line for line in context.lines if line["message_type"] == kind]


@given("{count:d} equal routers with 40 connections each")
def step_impl(context, count):
    context.hosts = [f"r{number}" for number in range(count)]
    context.directory = RouterDirectory(random.Random(1))
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.add_cleanup(eliot.remove_destination, context.lines.append)
    pass_time(context, 2)


@given('"{host}" is {delay_s:g} s late for {seconds:d} s')
@when('"{host}" is {delay_s:g} s late for {seconds:d} s')
def step_impl(context, host, delay_s, seconds):
    pass_time(context, seconds, {host: replace(USUAL, loop_delay_s=delay_s)})


@when("all routers are {delay_s:g} s late for {seconds:d} s")
def step_impl(context, delay_s, seconds):
    late = replace(USUAL, loop_delay_s=delay_s)
    pass_time(context, seconds, dict.fromkeys(context.hosts, late))


@when('"r1" to "r9" are {delay_s:g} s late for {seconds:d} s')
def step_impl(context, delay_s, seconds):
    late = replace(USUAL, loop_delay_s=delay_s)
    pass_time(context, seconds, dict.fromkeys(context.hosts[1:10], late))


@given('"{host}" has {count:d} connections for {seconds:d} s')
def step_impl(context, host, count, seconds):
    pass_time(context, seconds, {host: replace(USUAL, connections=count, running=99)})


@when("{seconds:d} s pass with usual load")
def step_impl(context, seconds):
    pass_time(context, seconds)


@when('{seconds:d} s pass with {count:d} idle connections at "{host}"')
def step_impl(context, seconds, count, host):
    pass_time(context, seconds, {host: RouterLoad(0.5, count)})


@when('"{host}" reports {item} {value:g} for {seconds:d} s')
def step_impl(context, host, item, value, seconds):
    value = int(value) if item == "connections" else value
    pass_time(context, seconds, {host: replace(USUAL, **{item: value})})


@then("answers name {count:d} routers")
def step_impl(context, count):
    counts = {len(answer) for answer in get_answers(context)}
    assert counts == {count}, counts


@then('answers name {count:d} routers, not "{host}"')
def step_impl(context, count, host):
    answers = get_answers(context)
    assert {len(answer) for answer in answers} == {count}, answers
    assert not any(f"{host}:80" in answer for answer in answers), answers


@then('"{host}" is in {least:g} to {most:g} of the answers')
def step_impl(context, host, least, most):
    answers = get_answers(context)
    part = sum(f"{host}:80" in answer for answer in answers) / len(answers)
    assert least <= part <= most, part


@then('a line tells that "{host}" was left out')
def step_impl(context, host):
    lines = find_lines(context, "router:left-out")
    assert [line["router"] for line in lines] == [host], lines


@then('a line tells that "{host}" returned')
def step_impl(context, host):
    lines = find_lines(context, "router:returned")
    assert [line["router"] for line in lines] == [host], lines


@then('one line names "{item}" of "{host}"')
def step_impl(context, item, host):
    lines = find_lines(context, "router:odd-report")
    assert [(line["router"], *line["values"]) for line in lines] == [(host, item)]
