"""Steps of logs.feature."""

import asyncio
import json
import logging
import os

import eliot
from behave import given, then, when

from almondfield_daemon.logs import LineLog, capture_library_logs
from almondfield_testing import run

READ_BYTES = 1 << 20


def read_available(context):
    try:
        while part := os.read(context.reader, READ_BYTES):
            context.output += part
    except BlockingIOError:
        pass


def read_lines(context):
    read_available(context)
    return [json.loads(line) for line in context.output.splitlines()]


@given("a log to a pipe")
@given("a log to a pipe that is read")
def step_impl(context):
    context.reader, context.writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.output = b""
    context.log = LineLog(context.writer, "h1")
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, context.writer)


@when('a message of kind "{kind}" with status {status:d} is logged')
def step_impl(context, kind, status):
    async def log():
        context.log({"message_type": kind, "status": status, "task_uuid": "x"})
        await asyncio.sleep(0)

    run(context, log())


@when('{count:d} messages of kind "{kind}" are logged in {seconds:g} s')
def step_impl(context, count, kind, seconds):
    async def log():
        for _ in range(count):
            context.log({"message_type": kind})
            await asyncio.sleep(seconds / count)
            read_available(context)

    run(context, log())


@when("{seconds:g} s pass")
def step_impl(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("{count:d} messages of {size:d} bytes are logged")
def step_impl(context, count, size):
    async def log():
        for _ in range(count):
            context.log({"message_type": "large", "text": "x" * size})
            await asyncio.sleep(0)

    run(context, log())


@then('the pipe has 1 line of kind "{kind}" with status {status:d} and host "{host}"')
def step_impl(context, kind, status, host):
    (line,) = read_lines(context)
    found = (line["message_type"], line["status"], line["host"])
    assert found == (kind, status, host), line


@then('between {least:d} and {most:d} lines of kind "{kind}" were written')
def step_impl(context, least, most, kind):
    count = sum(line["message_type"] == kind for line in read_lines(context))
    assert least <= count <= most, count


@then('a line reports how many of kind "{kind}" were omitted')
def step_impl(context, kind):
    written = read_lines(context)
    omitted = sum(
        line["count_by_kind"].get(kind, 0)
        for line in written
        if line["message_type"] == "log:omitted"
    )
    kept = sum(line["message_type"] == kind for line in written)
    assert omitted + kept == 3000, (omitted, kept)


@then("logging never blocked")
def step_impl(context):
    # A blocking write to a full pipe would have hung the previous step.
    assert not os.get_blocking(context.writer)


@then("at most {kilobytes:d} kilobytes are pending in memory")
def step_impl(context, kilobytes):
    assert len(context.log._pending) <= kilobytes * 1024


@given("library messages are captured")
def step_impl(context):
    eliot.add_destinations(context.log)
    context.add_cleanup(eliot.remove_destination, context.log)
    handler = capture_library_logs()
    context.add_cleanup(logging.getLogger().removeHandler, handler)


@when('library "{logger}" logs the error "{text}"')
def step_impl(context, logger, text):
    context.library_text = text

    async def log():
        logging.getLogger(logger).error(text)
        await asyncio.sleep(0)

    run(context, log())


@then('the pipe has 1 line of logger "{logger}" with that message')
def step_impl(context, logger):
    (line,) = read_lines(context)
    assert (line["logger"], line["message"]) == (logger, context.library_text), line


@then("the pipe has no line")
def step_impl(context):
    assert read_lines(context) == []
