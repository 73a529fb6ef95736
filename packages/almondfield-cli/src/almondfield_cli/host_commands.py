"""Commands that act on one host."""

from result import Err, Ok

from almondfield_cli.exit_codes import ExitCode
from almondfield_cli.options import DEFAULT_CONNECTION, Connection
from almondfield_cli.query_commands import show_outcome
from almondfield_core.findings import Finding

__all__ = ["admit", "drain", "remove"]


async def drain(
    host_name: str, /, *, connection: Connection = DEFAULT_CONNECTION
) -> ExitCode:
    """Let a host finish what it runs and stop.

    :param host_name: name of the host.
    """
    printer = connection.printer
    match connection.connect():
        case Ok(client):
            known = await client.hosts()
        case Err(findings):
            return printer.fail(findings)
    if isinstance(known, Err):
        return printer.fail(known.err_value)
    host_by_name = {host.name: host for host in known.ok_value}
    if host_name not in host_by_name:
        allowed = ", ".join(host_by_name)
        finding = Finding("HOST", f"no host {host_name!r}", allowed)
        return printer.fail((finding,))
    return show_outcome(printer, await client.drain(host_by_name[host_name]))


async def admit(host_name: str, /, *, connection: Connection = DEFAULT_CONNECTION):
    """Let a host vote whose member of the control group has caught up.

    :param host_name: name of the host.
    """
    return await _change_voters(host_name, True, connection)


async def remove(host_name: str, /, *, connection: Connection = DEFAULT_CONNECTION):
    """Remove a host's member from the control group.

    :param host_name: name of the host.
    """
    return await _change_voters(host_name, False, connection)


async def _change_voters(
    host_name: str, admit: bool, connection: Connection
) -> ExitCode:
    match connection.connect():
        case Ok(client):
            outcome = await client.change_voters(host_name, admit)
            return show_outcome(connection.printer, outcome)
        case Err(findings):
            return connection.printer.fail(findings)
