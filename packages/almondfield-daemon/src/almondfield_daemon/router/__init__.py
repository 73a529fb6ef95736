"""Takes a caller's request to a backend server and brings its answer back."""

from almondfield_daemon.router.calls import (
    AnswerCutError,
    BackendAnswer,
    BackendCall,
    Backends,
    CallFailure,
    Header,
)
from almondfield_daemon.router.core import RoutedAnswer, Router
from almondfield_daemon.router.plans import CallerRequest, Plan, PlanIndex
from almondfield_daemon.router.problems import Outcome, Problem

__all__ = [
    "AnswerCutError",
    "BackendAnswer",
    "BackendCall",
    "Backends",
    "CallFailure",
    "CallerRequest",
    "Header",
    "Outcome",
    "Plan",
    "PlanIndex",
    "Problem",
    "RoutedAnswer",
    "Router",
]
