"""Validates announcements of backend servers."""

from almondfield_core.findings import Finding, check_address
from almondfield_core.messages import ServerAnnouncement

__all__ = ["check_announcement"]

MAX_NAME_CHARACTERS = 255
MAX_SLOTS = 100_000


def check_announcement(announcement: ServerAnnouncement) -> tuple[Finding, ...]:
    """Return a finding for each invalid value of an announcement.

    :param announcement: the decoded announcement.
    """
    findings = [
        *_check_name("name", announcement.name),
        *_check_name("data_centre", announcement.data_centre),
        *check_address("address", announcement.address),
        *_check_count("slots", announcement.slots, 1, MAX_SLOTS),
        *_check_count("busy", announcement.busy, 0, MAX_SLOTS),
    ]
    if announcement.incarnation < 0:
        problem = f"{announcement.incarnation}"
        findings.append(Finding("incarnation", problem, "0 or more"))
    return tuple(findings)


def _check_name(field: str, name: str) -> list[Finding]:
    if 0 < len(name) <= MAX_NAME_CHARACTERS and name.isprintable():
        return []
    allowed = f"1 to {MAX_NAME_CHARACTERS} printable characters"
    return [Finding(field, f"{name[:MAX_NAME_CHARACTERS]!r}", allowed)]


def _check_count(field: str, count: int, minimum: int, maximum: int) -> list[Finding]:
    if minimum <= count <= maximum:
        return []
    return [Finding(field, f"{count}", f"{minimum} to {maximum}")]
