"""Steps of cli.feature."""

import asyncio
import contextlib
import io
import os
import shlex
import socket
import tempfile
from dataclasses import replace
from pathlib import Path
from unittest import mock

import msgspec
import uvicorn
from behave import given, then, when
from result import Err, Ok

from almondfield_cli import ExitCode, run_command
from almondfield_cli.transport import FailedAttempt, HttpResponse
from almondfield_core.clock import now
from almondfield_core.messages import ControlUnavailable, RowChange
from almondfield_core.tables import Pool, Route, Tables, dump_tables
from almondfield_daemon.operator import build_operator_app
from almondfield_testing import run
from almondfield_testing.operators import (
    OPERATOR_TOKEN,
    FakeControl,
    call_app,
    make_node,
)

TABLES = Tables(pools=(Pool("p"),), routes=(Route("t", "/", "p"),))
REWEIGHTED = Tables(pools=(Pool("p"),), routes=(Route("t", "/", "p", weight=2.0),))
INVALID = Tables(routes=(Route("t", "/", "none"),))
FILES = {
    "tables.toml": dump_tables(TABLES).replace("revision = 0\n", ""),
    "reweighted.toml": dump_tables(REWEIGHTED).replace("revision = 0\n", ""),
    "exported.toml": dump_tables(replace(TABLES, revision=3)),
    "invalid.toml": dump_tables(INVALID),
    "operator.token": OPERATOR_TOKEN,
    "bad.token": "not-the-right-token",
    "team.key": "key-of-the-foals-team\n",
}


class FakeTransport:
    """Passes requests to applications in memory.

    :param apps: application of each host, by ``address:port``.
    """

    def __init__(self, apps):
        self.apps = apps
        self.unresponsive = set()
        self.loses_responses = set()
        self.token = ""
        self.requests = []

    def with_token(self, token):
        """Store the token and return the transport, in place of the constructor."""
        self.token = token
        return self

    async def send(self, host, request):
        """Return the response of a host."""
        if host in self.unresponsive or host not in self.apps:
            return Err(FailedAttempt(host, "unresponsive"))
        self.requests.append(request)
        headers = {"authorization": f"Bearer {self.token}"}
        response = await call_app(
            self.apps[host], request.method, request.path, request.body, headers
        )
        if host in self.loses_responses:
            return Err(FailedAttempt(host, "unresponsive"))
        return Ok(HttpResponse(host, response.status, response.body))


class ControlWithoutQuorum(FakeControl):
    """A control group without a quorum."""

    def __init__(self):
        super().__init__()
        self.unavailable = ControlUnavailable("no leader", True)


@contextlib.contextmanager
def files_in_folder():
    before = Path.cwd()
    with tempfile.TemporaryDirectory() as folder:
        for name, text in FILES.items():
            (Path(folder) / name).write_text(text)
        os.chdir(folder)
        try:
            yield
        finally:
            os.chdir(before)


async def run_command_line(line, hosts, out=None):
    words = shlex.split(line)
    contacts_host = words[0] not in {"check", "settings", "key", "unknown"}
    if contacts_host:
        for option, values in (("--host", hosts), ("--token-file", ["operator.token"])):
            if option not in words:
                words += [word for value in values for word in (option, value)]
    out, err = out or io.StringIO(), io.StringIO()
    with (
        files_in_folder(),
        mock.patch.dict(os.environ, COLUMNS="200"),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        code = await run_command(words)
    printed = out.getvalue() if isinstance(out, io.StringIO) else ""
    return code, printed, err.getvalue()


@then('"{path}" was requested with {count:d} row')
def step_impl(context, path, count):
    requests = [item for item in context.transport.requests if item.path == path]
    change = msgspec.json.decode(requests[-1].body, type=RowChange)
    assert len(change.rows) == count, change


@given('hosts "{names}" that respond')
def step_impl(context, names):
    context.hosts = [f"{name}:8081" for name in names.split()]
    context.control = FakeControl()
    app = build_operator_app(make_node(context.control), OPERATOR_TOKEN)
    context.transport = FakeTransport(dict.fromkeys(context.hosts, app))
    context.transport.apps["127.0.0.1:8081"] = app


@given('host "{name}" is unresponsive')
def step_impl(context, name):
    context.transport.unresponsive.add(f"{name}:8081")


@given('responses of host "{name}" are lost')
def step_impl(context, name):
    context.transport.loses_responses.add(f"{name}:8081")


@given('responses of host "{name}" arrive again')
def step_impl(context, name):
    context.transport.loses_responses.clear()


@given('host "{name}" cannot reach a quorum')
def step_impl(context, name):
    app = build_operator_app(make_node(ControlWithoutQuorum()), OPERATOR_TOKEN)
    context.transport.apps[f"{name}:8081"] = app


class InterruptedControl(FakeControl):
    """A control group without a quorum for some seconds after each change."""

    def __init__(self, outage_s):
        super().__init__()
        self.outage_s = outage_s
        self.outage_end_s = 0.0

    async def apply(self, change):
        """Return the outcome of a change."""
        self.outage_end_s = now() + self.outage_s
        return await super().apply(change)

    async def wait_in_force(self, revision, timeout_s):
        """Return whether a revision came into force in time."""
        if now() < self.outage_end_s:
            return Err(ControlUnavailable("no leader"))
        return await super().wait_in_force(revision, timeout_s)


@given('host "{name}" cannot reach a quorum for {s:d} seconds after the change')
def step_impl(context, name, s):
    context.control = InterruptedControl(s)
    app = build_operator_app(make_node(context.control), OPERATOR_TOKEN)
    context.transport.apps[f"{name}:8081"] = app


@given('host "{name}" has tables that are out of date')
def step_impl(context, name):
    control = FakeControl()
    control.freshness_s = 0.0
    control.tables = replace(TABLES, revision=4)
    app = build_operator_app(make_node(control), OPERATOR_TOKEN)
    context.transport.apps[f"{name}:8081"] = app


@then("{seconds:d} seconds have passed")
def step_impl(context, seconds):
    assert context.loop.time() >= seconds, context.loop.time()


@given("changes do not come into force")
def step_impl(context):
    context.control.in_force = False


@when('the command "{line}" runs')
def step_impl(context, line):
    with mock.patch(
        "almondfield_cli.options.AiosonicTransport", context.transport.with_token
    ):
        call = run_command_line(line, context.hosts)
        context.code, context.out, context.err = run(context, call)


@when('the command "{line}" runs with a closed output pipe')
def step_impl(context, line):
    reader, writer = os.pipe()
    os.close(reader)
    with (
        mock.patch(
            "almondfield_cli.options.AiosonicTransport", context.transport.with_token
        ),
        os.fdopen(writer, "w") as closed_pipe,
    ):
        call = run_command_line(line, context.hosts, closed_pipe)
        context.code, _, context.err = run(context, call)


@then("it ends with {code:w}")
def step_impl(context, code):
    assert context.code.name == code, (context.code, context.err)


@then("it ends with {code} and prints")
def step_impl(context, code):
    assert (context.code.name, context.out.strip()) == (code, context.text), (
        context.code,
        context.out,
        context.err,
    )


@then('it ends with {code} and prints "{words}"')
def step_impl(context, code, words):
    assert context.code.name == code, (context.code, context.out, context.err)
    assert words in context.out, context.out


@then('it ends with {code} and reports "{words}"')
def step_impl(context, code, words):
    assert context.code.name == code, (context.code, context.out, context.err)
    assert words.replace('\\"', '"') in context.err, context.err
    assert OPERATOR_TOKEN not in context.out + context.err


@then("the tables are at revision {revision:d}")
def step_impl(context, revision):
    assert context.control.tables.revision == revision


@given("a daemon's operator interface on a free port")
def step_impl(context):
    context.app = build_operator_app(make_node(FakeControl()), OPERATOR_TOKEN)


async def run_against_daemon(app):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        config = uvicorn.Config(app, loop="asyncio", log_level="error", lifespan="off")
        server = uvicorn.Server(config)
        serving = asyncio.ensure_future(server.serve(sockets=[listener]))
        host = f"127.0.0.1:{port}"
        applied = await run_command_line("apply tables.toml --change-id c1", [host])
        shown = await run_command_line("status", [host])
        server.should_exit = True
        await serving
    failed = await run_command_line("status", [host])
    return applied, shown, failed


@when("a change and a status are requested over HTTP")
def step_impl(context):
    context.outcomes = asyncio.run(run_against_daemon(context.app))


@then("both end with DONE")
def step_impl(context):
    for code, out, err in context.outcomes[:2]:
        assert code is ExitCode.DONE, (out, err)


@then("a port without a listener ends with UNAVAILABLE")
def step_impl(context):
    code, out, err = context.outcomes[2]
    assert code is ExitCode.UNAVAILABLE, (out, err)


async def run_against_faulty_host(line, response):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        return await run_command_line(line, [f"127.0.0.1:{port}"])


LINE_BY_REQUEST = {
    "status": "status",
    "change": "apply tables.toml --change-id c1 --expect-revision 0",
}


@when('a host responds to a {request:w} over HTTP with "{response}" and closes')
def step_impl(context, request, response):
    content = response.encode().decode("unicode_escape").encode()
    call = run_against_faulty_host(LINE_BY_REQUEST[request], content)
    context.code, context.out, context.err = asyncio.run(call)
