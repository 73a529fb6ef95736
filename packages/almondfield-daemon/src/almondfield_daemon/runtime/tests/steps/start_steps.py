"""Steps of start.feature."""

import contextlib
import io
import socket

import tomlkit
from behave import given, then, when

from almondfield_daemon.main import serve

LOCALHOST = "127.0.0.1"


def unused_ports(count):
    """Return ports that are unused for now; another process may take them."""
    sockets = [socket.socket() for _ in range(count)]
    for reserved in sockets:
        reserved.bind((LOCALHOST, 0))
    ports = [reserved.getsockname()[1] for reserved in sockets]
    for reserved in sockets:
        reserved.close()
    return ports


def set_unused_ports(context):
    """Set the ports of the host to unused ones, so that the daemon can listen."""
    host = context.settings["hosts"][0]
    ports = unused_ports(3)
    host["caller_port"], host["operator_port"], host["peer_port"] = ports


def reserve_port(context):
    """Return a port that is in use until the scenario ends."""
    reserved = socket.socket()
    context.add_cleanup(reserved.close)
    reserved.bind((LOCALHOST, 0))
    return reserved.getsockname()[1]


@given("settings of a voter")
def step_impl(context):
    folder = context.folder
    for name in ("operator.token", "backend.token", "fleet.secret"):
        (folder / name).write_text("a-secret-for-this-scenario\n")
    (folder / "data").mkdir()
    host = {"name": "entry-1", "data_centre": "dc1", "address": LOCALHOST}
    host |= {"voter": True, "caller_port": 1024, "operator_port": 1025}
    host |= {"peer_port": 1026}
    context.settings = {
        "host": "entry-1",
        "data_folder": str(folder / "data"),
        "log_file": str(folder / "daemon.log"),
        "security": {
            "operator_token_file": str(folder / "operator.token"),
            "backend_token_file": str(folder / "backend.token"),
            "fleet_secret_file": str(folder / "fleet.secret"),
        },
        "hosts": [host],
    }


@given("its data folder is missing")
def step_impl(context):
    context.settings["data_folder"] = str(context.folder / "missing")
    set_unused_ports(context)


@given("its data folder holds a journal of another version")
def step_impl(context):
    journal = context.folder / "data" / "journal-0000000000000001"
    journal.write_bytes(b"afj1" + bytes(64))
    set_unused_ports(context)


@given("its caller port is in use")
def step_impl(context):
    context.settings["hosts"][0]["caller_port"] = reserve_port(context)


@given("its operator token file is missing")
def step_impl(context):
    (context.folder / "operator.token").unlink()


@given("its log file is in a missing folder")
def step_impl(context):
    context.settings["log_file"] = str(context.folder / "missing" / "daemon.log")


def run(context, check):
    path = context.folder / "almondfieldd.toml"
    path.write_text(tomlkit.dumps(context.settings))
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors), contextlib.redirect_stdout(io.StringIO()):
        context.code = serve(settings=path, check=check)
    context.lines = errors.getvalue().splitlines()


@when("the daemon starts")
def step_impl(context):
    run(context, check=False)


@when("the settings are checked")
def step_impl(context):
    run(context, check=True)


@then('it exits with code {code:d} and one error line that contains "{text}"')
def step_impl(context, code, text):
    assert context.code == code, (context.code, context.lines)
    assert len(context.lines) == 1, context.lines
    assert text in context.lines[0], context.lines


@then("it exits with code {code:d} and no error line")
def step_impl(context, code):
    assert (context.code, context.lines) == (code, [])
