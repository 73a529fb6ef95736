"""The secrets of one daemon, read from the files that its settings name."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from almondfield_core.findings import Finding
from almondfield_core.settings import SecuritySettings, read_secret

__all__ = ["Secrets", "load_secrets"]


@dataclass(frozen=True)
class Secrets:
    """Secrets of a daemon, omitted from its ``repr``.

    :ivar operator_token: token that operators authenticate with.
    :ivar backend_token: token that backend servers authenticate with.
    :ivar fleet_secret: secret shared by all hosts.
    """

    operator_token: str = field(repr=False)
    backend_token: str = field(repr=False)
    fleet_secret: bytes = field(repr=False)


def load_secrets(settings: SecuritySettings) -> Result[Secrets, tuple[Finding, ...]]:
    """Return the secrets, or a finding for each file that cannot be used.

    :param settings: security settings with the paths of the files.
    """
    paths = (
        settings.operator_token_file,
        settings.backend_token_file,
        settings.fleet_secret_file,
    )
    results = [read_secret(path) for path in paths]
    findings = tuple(result.err_value for result in results if result.is_err())
    if findings:
        return Err(findings)
    operator_token, backend_token, fleet_secret = (r.ok_value for r in results)
    return Ok(Secrets(operator_token, backend_token, fleet_secret.encode()))
