"""Reads secrets from files."""

from pathlib import Path

from result import Err, Ok, Result

from almondfield_core.findings import Finding

__all__ = ["read_secret"]

MIN_SECRET_LENGTH = 16
MAX_SECRET_LENGTH = 4096


def read_secret(path: str | Path) -> Result[str, Finding]:
    """Return the secret in a file, without surrounding white space.

    A finding never contains the content of the file.

    :param path: the file.
    """
    try:
        with Path(path).open("rb") as stream:
            content = stream.read(MAX_SECRET_LENGTH + 1)
    except OSError as error:
        return Err(Finding(str(path), f"cannot be read: {error.strerror}"))
    except ValueError:
        return Err(Finding(repr(str(path)), "is not a file name"))
    try:
        secret = content.decode("ascii").strip()
    except UnicodeDecodeError:
        return Err(Finding(str(path), "holds bytes that are not ASCII", "ASCII text"))
    if not MIN_SECRET_LENGTH <= len(secret) <= MAX_SECRET_LENGTH:
        allowed = f"{MIN_SECRET_LENGTH} to {MAX_SECRET_LENGTH} characters"
        return Err(Finding(str(path), f"holds {len(secret)} characters", allowed))
    if not secret.isprintable() or " " in secret:
        problem = "holds white space or control characters"
        return Err(Finding(str(path), problem, "printable ASCII text without spaces"))
    return Ok(secret)
