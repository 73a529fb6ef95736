"""What the operator interface needs of the daemon."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

from almondfield_core.ports import Control, TableView
from almondfield_core.settings import DaemonSettings

__all__ = ["AddressSource", "ControlPart", "OperatorNode"]


class ControlPart(Protocol):
    """The part of the daemon that takes part in the control group."""

    @property
    def control(self) -> Control:
        """Return the control group."""

    @property
    def view(self) -> TableView:
        """Return the tables as this host knows them."""

    async def admit_voter(self, host: str) -> Result[str, str]:
        """Return the host once it votes; the error says why it does not.

        :param host: name of a host whose member is a learner.
        """

    async def remove_voter(self, host: str) -> Result[str, str]:
        """Return the host once it is no member; the error says why it still is.

        :param host: name of a host that is a member.
        """


class AddressSource(Protocol):
    """Tells callers which hosts to use."""

    def addresses(self) -> Any:
        """Return the answer that callers get to GET /addresses."""


@dataclass(frozen=True)
class OperatorNode:
    """One daemon as its operators see it.

    :ivar settings: settings of the daemon.
    :ivar control: its part in the control group.
    :ivar membership: tells callers which hosts to use.
    :ivar stats: returns the counts of each part by the part's name.
    :ivar drain: starts the graceful shutdown; may be called again.
    :ivar is_draining: returns whether the graceful shutdown has begun.
    """

    settings: DaemonSettings
    control: ControlPart
    membership: AddressSource
    stats: Callable[[], Mapping[str, Any]]
    drain: Callable[[], None]
    is_draining: Callable[[], bool] = lambda: False
