"""The secrets of one daemon, read from the files that its settings name."""

from dataclasses import dataclass, field
from pathlib import Path

from almondfield_core.findings import Finding
from almondfield_core.settings import SecuritySettings
from result import Err, Ok, Result

__all__ = ["Secrets", "load_secrets"]

MIN_SECRET_BYTES = 16


@dataclass(frozen=True)
class Secrets:
    """Secrets, kept out of every representation.

    :ivar operator_token: token that operators present.
    :ivar backend_token: token that backend servers present.
    :ivar fleet_secret: secret that all hosts share.
    """

    operator_token: str = field(repr=False)
    backend_token: str = field(repr=False)
    fleet_secret: bytes = field(repr=False)


def load_secrets(settings: SecuritySettings) -> Result[Secrets, tuple[Finding, ...]]:
    """Return the secrets, or a finding for each file that cannot be used.

    :param settings: names of the files.
    """
    path_by_item = {
        "security.operator_token_file": settings.operator_token_file,
        "security.backend_token_file": settings.backend_token_file,
        "security.fleet_secret_file": settings.fleet_secret_file,
    }
    results = [_read(item, path) for item, path in path_by_item.items()]
    findings = tuple(result.err_value for result in results if result.is_err())
    if findings:
        return Err(findings)
    operator_token, backend_token, fleet_secret = (r.ok_value for r in results)
    return Ok(Secrets(operator_token, backend_token, fleet_secret.encode()))


def _read(item: str, path: str) -> Result[str, Finding]:
    try:
        text = Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not text"
        return Err(Finding(item, f"cannot read {path!r}: {reason}", "a readable file"))
    if len(text.encode()) < MIN_SECRET_BYTES:
        allowed = f"at least {MIN_SECRET_BYTES} bytes"
        return Err(Finding(item, f"{path!r} holds {len(text.encode())} bytes", allowed))
    return Ok(text)
