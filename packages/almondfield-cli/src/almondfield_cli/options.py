"""Options that several commands share."""

import getpass
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from almondfield_cli.client import OperatorClient
from almondfield_cli.output import OutputFormat, Printer
from almondfield_cli.transport import AiosonicTransport
from almondfield_core.findings import Finding, format_value
from almondfield_core.settings import read_secret

__all__ = [
    "DEFAULT_CONNECTION",
    "DEFAULT_OUTPUT",
    "ConnectionOptions",
    "OutputOptions",
    "current_user_name",
]

DEFAULT_HOST = "127.0.0.1:8081"
# Longer than the time for which a host tries to reach a quorum for a change.
DEFAULT_TIMEOUT_S = 12.0
ENDPOINT_PATTERN = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z.-]+):([0-9]{1,5})")


@Parameter(name="*")
@dataclass(frozen=True)
class OutputOptions:
    """Options for the output."""

    output: Annotated[OutputFormat, Parameter(help="Output format.")] = (
        OutputFormat.TEXT
    )

    @property
    def printer(self) -> Printer:
        """Return the printer for this output format."""
        return Printer(self.output)


@Parameter(name="*")
@dataclass(frozen=True)
class ConnectionOptions(OutputOptions):
    """Options for the connection to the operator interface."""

    host: Annotated[
        tuple[str, ...],
        Parameter(
            help="ADDRESS:PORT of an operator interface. May be repeated: the next one "
            "is tried if one does not respond or cannot reach a quorum.",
            negative=(),
        ),
    ] = (DEFAULT_HOST,)
    token_file: Annotated[
        Path | None, Parameter(help="File with the operators' token.")
    ] = None
    timeout: Annotated[
        float, Parameter(help="Seconds to wait for the response of one host.")
    ] = DEFAULT_TIMEOUT_S

    def connect(
        self, needs_token: bool = True
    ) -> Result[OperatorClient, tuple[Finding, ...]]:
        """Return a client, or the findings of all invalid options.

        :param needs_token: whether the token may not be omitted.
        """
        findings = [
            Finding("--host", f"is {format_value(host)}", "ADDRESS:PORT")
            for host in self.host
            if not ENDPOINT_PATTERN.fullmatch(host)
        ]
        if not 0 < self.timeout < 3600:
            findings.append(Finding("--timeout", f"is {self.timeout}", "above 0"))
        token = self._read_token(needs_token)
        if isinstance(token, Err):
            findings.append(token.err_value)
        if findings:
            return Err(tuple(findings))
        transport = AiosonicTransport(token.unwrap())
        return Ok(OperatorClient(transport, self.host, self.timeout))

    def _read_token(self, is_needed: bool) -> Result[str, Finding]:
        if self.token_file is None:
            if not is_needed:
                return Ok("")
            return Err(Finding("--token-file", "is missing", "the name of a file"))
        return read_secret(self.token_file)


DEFAULT_OUTPUT = OutputOptions()
DEFAULT_CONNECTION = ConnectionOptions()


def current_user_name() -> str:
    """Return the name of the user who runs the command, or ``unknown``."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
