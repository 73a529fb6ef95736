"""Bodies of the operator interface beside the outcomes of changes."""

from dataclasses import dataclass

from almondfield_core.findings import Finding

__all__ = [
    "DrainRequest",
    "DrainStarted",
    "InForce",
    "OperatorError",
    "VoterChange",
    "VoterChangeFailed",
    "VotersChanged",
]


@dataclass(frozen=True)
class InForce:
    """Whether a revision is in force at every host that may serve.

    :ivar revision: the revision that was asked for.
    :ivar in_force: whether it came in force within the time waited.
    """

    revision: int
    in_force: bool


@dataclass(frozen=True)
class DrainRequest:
    """Asks a host to finish what it runs and stop.

    :ivar host: name of the host; must be the one that is asked.
    """

    host: str


@dataclass(frozen=True)
class DrainStarted:
    """The host takes no new work and stops once it has finished.

    :ivar host: name of the host.
    """

    host: str


@dataclass(frozen=True)
class VoterChange:
    """Asks for a member of the control group to be admitted or removed.

    :ivar host: name of the member's host.
    """

    host: str


@dataclass(frozen=True)
class VotersChanged:
    """The control group has changed as it was asked to.

    :ivar host: name of the member's host.
    :ivar votes: whether it votes now; else it is no member any more.
    """

    host: str
    votes: bool


@dataclass(frozen=True)
class VoterChangeFailed:
    """The control group did not confirm a change of its members.

    :ivar host: name of the member's host.
    :ivar reason: why; where no answer came, the change may still happen.
    """

    host: str
    reason: str


@dataclass(frozen=True)
class OperatorError:
    """A request that was refused and had no effect.

    :ivar findings: everything that is wrong with the request.
    """

    findings: tuple[Finding, ...]
