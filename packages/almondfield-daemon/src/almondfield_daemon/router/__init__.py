"""Routes callers' requests to backend servers and returns their answers."""

from almondfield_daemon.router.answers import Answer
from almondfield_daemon.router.calls import (
    AnswerCutError,
    BackendAnswer,
    BackendCall,
    Backends,
    CallFailure,
    Header,
)
from almondfield_daemon.router.core import Router
from almondfield_daemon.router.plans import CallerRequest, Plan, PlanIndex
from almondfield_daemon.router.problems import Outcome, Problem
from almondfield_daemon.router.stats import RouterStats

__all__ = [
    "Answer",
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
    "Router",
    "RouterStats",
]
