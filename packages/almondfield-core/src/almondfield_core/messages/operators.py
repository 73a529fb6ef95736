"""Bodies of the operator interface, except for the outcomes of changes."""

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

    :ivar revision: the requested revision.
    :ivar in_force: whether it came into force within the wait limit.
    """

    revision: int
    in_force: bool


@dataclass(frozen=True)
class DrainRequest:
    """Request that a host finish its running requests and stop.

    :ivar host: name of the host; must be the host that receives the request.
    """

    host: str


@dataclass(frozen=True)
class DrainStarted:
    """The host accepts no new requests and stops once the running ones are done.

    :ivar host: name of the host.
    """

    host: str


@dataclass(frozen=True)
class VoterChange:
    """Request to admit or remove a member of the control group.

    :ivar host: name of the member's host.
    """

    host: str


@dataclass(frozen=True)
class VotersChanged:
    """The requested change of the control group's members is done.

    :ivar host: name of the member's host.
    :ivar votes: whether it is a voter now; otherwise it is no longer a member.
    """

    host: str
    votes: bool


@dataclass(frozen=True)
class VoterChangeFailed:
    """The control group did not confirm a change of its members.

    :ivar host: name of the member's host.
    :ivar reason: why; if no answer came, the change may still happen.
    """

    host: str
    reason: str


@dataclass(frozen=True)
class OperatorError:
    """A request that was refused and had no effect.

    :ivar findings: a finding for each problem with the request.
    """

    findings: tuple[Finding, ...]
