"""Commands that act on one host."""

from result import Err, Ok

from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import DEFAULT_CONNECTION, ConnectionOptions
from almondfield_cli.query_commands import show_outcome
from almondfield_core.findings import Finding

__all__ = ["admit", "drain", "remove"]


async def drain(
    host_name: str, /, *, connection: ConnectionOptions = DEFAULT_CONNECTION
) -> ExitCode:
    """Let a host finish its running requests and stop.

    :param host_name: name of the host.
    """
    printer = connection.printer
    match connection.connect():
        case Ok(client):
            listed = await client.hosts()
        case Err(findings):
            return printer.fail(findings)
    if isinstance(listed, Err):
        return printer.fail(listed.err_value)
    host_by_name = {host.name: host for host in listed.ok_value}
    if host_name not in host_by_name:
        allowed = ", ".join(host_by_name)
        finding = Finding("HOST", f"no host {host_name!r}", allowed)
        return printer.fail((finding,))
    return show_outcome(printer, await client.drain(host_by_name[host_name]))


async def admit(
    host_name: str, /, *, connection: ConnectionOptions = DEFAULT_CONNECTION
):
    """Promote a learner that has caught up to a voter of the control group.

    :param host_name: name of the learner's host.
    """
    return await _change_voters(host_name, True, connection)


async def remove(
    host_name: str, /, *, connection: ConnectionOptions = DEFAULT_CONNECTION
):
    """Remove a host from the control group.

    :param host_name: name of the host.
    """
    return await _change_voters(host_name, False, connection)


async def _change_voters(
    host_name: str, admit: bool, connection: ConnectionOptions
) -> ExitCode:
    match connection.connect():
        case Ok(client):
            outcome = await client.change_voters(host_name, admit)
            return show_outcome(connection.printer, outcome)
        case Err(findings):
            return connection.printer.fail(findings)
