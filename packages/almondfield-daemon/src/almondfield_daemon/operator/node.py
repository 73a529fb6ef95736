"""Interfaces of the daemon that the operator interface uses."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

from almondfield_core.ports import Control, TableView
from almondfield_core.settings import DaemonSettings

__all__ = ["AddressSource", "ControlPart", "OperatorNode"]


class ControlPart(Protocol):
    """The component of the daemon that belongs to the control group."""

    @property
    def control(self) -> Control:
        """Return the control group."""

    @property
    def view(self) -> TableView:
        """Return this host's copy of the tables."""

    async def admit_voter(self, host: str) -> Result[str, str]:
        """Return the host's name once it is a voter, or why it is not.

        :param host: name of a host whose member is a learner.
        """

    async def remove_voter(self, host: str) -> Result[str, str]:
        """Return the host's name once it is not a member, or why it still is.

        :param host: name of a host that is a member.
        """


class AddressSource(Protocol):
    """Source of the host addresses for callers."""

    def addresses(self) -> Any:
        """Return the body of the response to GET /addresses."""


@dataclass(frozen=True)
class OperatorNode:
    """The parts of a daemon that the operator interface uses.

    :ivar settings: settings of the daemon.
    :ivar control: the daemon's component of the control group.
    :ivar membership: source of the host addresses for callers.
    :ivar stats: returns the statistics of each part by its name.
    :ivar drain: starts the graceful shutdown; may be called repeatedly.
    :ivar is_draining: returns whether the graceful shutdown has begun.
    """

    settings: DaemonSettings
    control: ControlPart
    membership: AddressSource
    stats: Callable[[], Mapping[str, Any]]
    drain: Callable[[], None]
    is_draining: Callable[[], bool] = lambda: False
