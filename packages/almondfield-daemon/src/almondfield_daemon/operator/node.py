"""What the operator interface needs of the daemon."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

from almondfield_core.ports import Control, TableView
from almondfield_core.settings import DaemonSettings
from result import Result

__all__ = ["OperatorNode"]


@dataclass(frozen=True)
class OperatorNode:
    """One daemon as its operators see it.

    :ivar settings: settings of the daemon.
    :ivar control: the control group.
    :ivar view: the tables as this host knows them.
    :ivar addresses: returns the answer that callers get to GET /addresses.
    :ivar stats: returns the counts of each part by the part's name.
    :ivar drain: starts the graceful shutdown; may be called again.
    :ivar is_draining: returns whether the graceful shutdown has begun.
    :ivar admit_voter: admits a learner, by its voter id; None where the control
        side offers no such operation.
    :ivar remove_voter: removes a member, by its voter id; None likewise.
    """

    settings: DaemonSettings
    control: Control
    view: TableView
    addresses: Callable[[], Any]
    stats: Callable[[], Mapping[str, Any]]
    drain: Callable[[], None]
    is_draining: Callable[[], bool] = lambda: False
    admit_voter: Callable[[str], Awaitable[Result[Any, Any]]] | None = None
    remove_voter: Callable[[str], Awaitable[Result[Any, Any]]] | None = None
