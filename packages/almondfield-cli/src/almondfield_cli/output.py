"""Prints results as text or as JSON."""

import os
import sys
from collections.abc import Iterable
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import msgspec

from almondfield_cli.client import (
    HostsUnavailable,
    NotAllowed,
    UnexpectedResponse,
    UnknownOutcome,
)
from almondfield_cli.exit_codes import ExitCode
from almondfield_core.findings import Finding
from almondfield_core.messages import (
    AuditRecord,
    ChangeAccepted,
    ChangeConflict,
    ChangeRefused,
    ControlUnavailable,
    DrainStarted,
    EvacuationChanged,
    EvacuationList,
    FleetStatus,
    InForce,
    OperatorError,
    VoterChangeFailed,
    VotersChanged,
)

__all__ = ["OutputFormat", "Printer", "describe", "exit_code_of"]


class OutputFormat(StrEnum):
    """Format of the output."""

    TEXT = "text"
    JSON = "json"


class Printer:
    """Prints results to standard output and failures to standard error.

    :param output_format: format of both.
    """

    def __init__(self, output_format: OutputFormat) -> None:
        self._output_format = output_format

    def show(self, result: Any, text: str | None = None) -> ExitCode:
        """Print a result and return the exit code for success.

        :param result: a data class or plain value.
        :param text: text to print, if not that of :func:`describe`.
        """
        shown_text = describe(result) if text is None else text
        self._print(result, shown_text, sys.stdout)
        return ExitCode.DONE

    def fail(self, failure: Any) -> ExitCode:
        """Print a failure and return its exit code.

        :param failure: a client failure, or findings.
        """
        body = {"findings": failure} if isinstance(failure, tuple) else failure
        self._print(body, describe(failure), sys.stderr)
        return exit_code_of(failure)

    def _print(self, result: Any, text: str, stream: Any) -> None:
        if self._output_format is OutputFormat.JSON:
            text = msgspec.json.encode(result).decode()
        try:
            print(text.rstrip("\n"), file=stream, flush=True)
        except BrokenPipeError:
            # The reader closed the pipe; the command goes on with the same exit code.
            _discard(stream)


def _discard(stream: Any) -> None:
    """Redirect a stream, with what it has buffered, to the null device."""
    null_device = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_device, stream.fileno())
    os.close(null_device)


def exit_code_of(failure: Any) -> ExitCode:
    """Return the exit code of a failure.

    :param failure: a client failure, or findings.
    """
    match failure:
        case ChangeConflict():
            return ExitCode.CONFLICT
        case ChangeRefused() | OperatorError() | tuple():
            return ExitCode.FINDINGS
        case HostsUnavailable() | ControlUnavailable() | UnknownOutcome():
            return ExitCode.UNAVAILABLE
        case InForce():
            return ExitCode.NOT_IN_FORCE
        case NotAllowed():
            return ExitCode.NOT_ALLOWED
        case _:
            return ExitCode.FAILED


def describe(value: Any) -> str:
    """Return a result or failure as text.

    :param value: the result or failure.
    """
    match value:
        case ChangeAccepted():
            state = ", in force" if value.in_force else ""
            return (
                f"change {value.change_id} accepted at revision {value.revision}{state}"
            )
        case InForce(in_force=True):
            return f"revision {value.revision} in force"
        case InForce():
            return f"revision {value.revision} is accepted but not yet in force"
        case ChangeConflict():
            return _describe_conflict(value)
        case ChangeRefused() | OperatorError():
            return describe(value.findings)
        case ControlUnavailable():
            return f"no quorum: {value.reason}"
        case HostsUnavailable():
            lines = [f"{attempt.host}: {attempt.reason}" for attempt in value.attempts]
            return "\n".join([*lines, "no host could answer"])
        case UnknownOutcome():
            return _describe_unknown_outcome(value)
        case NotAllowed():
            return f"{value.host}: the token is not valid"
        case UnexpectedResponse():
            return f"{value.host}: HTTP status {value.status}: {value.reason}"
        case FleetStatus():
            return "\n".join(_describe_status(value))
        case DrainStarted():
            return f"{value.host} finishes its running requests and stops"
        case EvacuationList(evacuations=()):
            return "no data centre is evacuated"
        case EvacuationList():
            return "\n".join(_describe_evacuations(value))
        case EvacuationChanged(in_force=True):
            return (
                f"{value.data_centre} is evacuated since "
                f"{_format_time(value.changed_unix_s)}"
            )
        case EvacuationChanged():
            return f"{value.data_centre} is not evacuated"
        case VoterChangeFailed():
            return f"{value.host}: {value.reason}; run `status` to see the voters"
        case VotersChanged(votes=True):
            return f"{value.host} votes in the control group"
        case VotersChanged():
            return f"{value.host} is not a member of the control group"
        case AuditRecord():
            return "\n".join(_describe_record(value))
        case Finding() | str():
            return str(value)
        case tuple() | list():
            return "\n".join(describe(item) for item in value)
        case _:
            return msgspec.json.format(msgspec.json.encode(value)).decode()


def _describe_unknown_outcome(unknown: UnknownOutcome) -> str:
    match unknown.failure:
        case ControlUnavailable(certainly_not_done=True):
            effect = "the change was not accepted"
        case _:
            effect = "the change may have been accepted"
    return (
        f"{describe(unknown.failure)}\n{effect}; to send it again, add "
        f"--change-id {unknown.change_id} --expect-revision {unknown.expect_revision}"
    )


def _describe_conflict(conflict: ChangeConflict) -> str:
    winner = conflict.winner_change_id or "another change"
    author = f" by {conflict.winner_author}" if conflict.winner_author else ""
    return (
        f"change {conflict.change_id} conflicts with {winner}{author}; "
        f"the tables are at revision {conflict.revision}"
    )


def _describe_status(status: FleetStatus) -> Iterable[str]:
    leader = status.leader or "none"
    yield f"leader    {leader} (term {status.term})"
    state = "in force" if status.in_force else "not yet in force"
    yield f"revision  {status.revision} ({state})"
    yield f"voters    {status.losses_tolerated} more may be lost"
    for voter in status.voters:
        reachability = "reachable" if voter.reachable else "NOT REACHABLE"
        yield (
            f"  {voter.host}  {voter.role}  {reachability}  entry {voter.match_index}  "
            f"id {voter.voter_id}"
        )
    yield f"hosts     {' '.join(status.hosts) or 'none'}"
    for lease in status.pool_leases:
        yield f"pool      {lease.pool} scheduled by {lease.host} (epoch {lease.epoch})"
    for finding in status.findings:
        yield f"finding   {finding}"


def _describe_evacuations(listed: EvacuationList) -> Iterable[str]:
    for item in listed.evacuations:
        since = _format_time(item.since_unix_s)
        yield f"{item.data_centre}  since {since}  requested by {item.requested_by}"


def _format_time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")


def _describe_record(record: AuditRecord) -> Iterable[str]:
    when = _format_time(record.unix_s)
    yield f"{record.revision}  {when}  {record.author}  {record.change_id}"
    for line in record.difference:
        yield f"    {line}"
