"""The finding, and the exception that carries several of them."""

from dataclasses import dataclass, replace

__all__ = ["AlmondfieldError", "Finding", "FindingsError"]


class AlmondfieldError(Exception):
    """Base of every exception that almondfield raises."""


@dataclass(frozen=True)
class Finding:
    """One problem found in an input.

    :ivar place: file and path of the item, such as ``tables.toml: routes[3].pool``.
    :ivar problem: what is wrong, with the value that was given.
    :ivar allowed: what would have been allowed; empty where nothing helps.
    """

    place: str
    problem: str
    allowed: str = ""

    def within(self, place: str) -> "Finding":
        """Return the finding with its place named inside another one.

        :param place: the place around it, such as a file.
        """
        return replace(self, place=f"{place}: {self.place}")

    def __str__(self) -> str:
        """Return the finding on one line."""
        allowed = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{self.place}: {self.problem}{allowed}"


class FindingsError(AlmondfieldError):
    """Raised where an input has findings and no caller can go on without it.

    :param findings: every finding of the input, at least one.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
