"""Records what a failed attempt shows about its server."""

from almondfield_daemon.forwarding.outcomes import (
    AnswerLost,
    FailedAttempt,
    Misdirected,
    Unsent,
)
from almondfield_daemon.forwarding.selected_server import SelectedServer
from almondfield_daemon.forwarding.servers import ServerSelector

__all__ = ["record_failed"]


def record_failed(
    servers: ServerSelector, selected: SelectedServer, outcome: FailedAttempt
) -> None:
    """Record what a failed attempt shows about its server.

    :param servers: chooses servers.
    :param selected: the server.
    :param outcome: outcome of the attempt.
    """
    match outcome:
        case Unsent(reason, timed_out, is_refused):
            selected.record_failure(reason, timed_out)
            if is_refused:
                selected.record_refused()
        case Misdirected():
            servers.exclude_misdirected(selected)
        case AnswerLost():
            if outcome.is_cut or outcome.is_idle_cut:
                selected.record_cut(outcome.is_idle_cut)
            selected.record_failure(outcome.reason, outcome.timed_out)
