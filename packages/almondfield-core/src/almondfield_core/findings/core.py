"""A finding, and the exception that holds several findings."""

from dataclasses import dataclass, replace

__all__ = ["AlmondfieldError", "Finding", "FindingsError"]


class AlmondfieldError(Exception):
    """Base class of the exceptions that almondfield raises."""


@dataclass(frozen=True)
class Finding:
    """One problem found in an input.

    :ivar place: file and path of the item, such as ``tables.toml: routes[3].pool``.
    :ivar problem: what is wrong, with the value that was given.
    :ivar allowed: the allowed values; empty if there is nothing to suggest.
    """

    place: str
    problem: str
    allowed: str = ""

    def within(self, place: str) -> "Finding":
        """Return the finding with its place prefixed by an enclosing place.

        :param place: the enclosing place, such as a file.
        """
        return replace(self, place=f"{place}: {self.place}")

    def __str__(self) -> str:
        """Return the finding on one line."""
        allowed = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{self.place}: {self.problem}{allowed}"


class FindingsError(AlmondfieldError):
    """Raised if an input has findings and the program cannot continue without it.

    :param findings: every finding of the input, at least one.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
