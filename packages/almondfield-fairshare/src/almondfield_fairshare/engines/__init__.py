"""Admission of prompts to model engines, and the choice of the engine."""

from almondfield_fairshare.engines.core import EngineScheduler
from almondfield_fairshare.engines.decision_limit import DecisionLimit
from almondfield_fairshare.engines.engine import Engine
from almondfield_fairshare.engines.intake_shares import IntakeShares
from almondfield_fairshare.engines.load import EngineLoad, TeamLoad
from almondfield_fairshare.engines.prefix_cache import PrefixCache
from almondfield_fairshare.engines.requests import (
    Admitted,
    AttemptId,
    AttemptSnapshot,
    Decision,
    EngineServer,
    PromptRequest,
    PromptShares,
    Refused,
    SentPrefix,
)
from almondfield_fairshare.engines.shares import TeamShares
from almondfield_fairshare.engines.team_pace import TeamPace
from almondfield_fairshare.engines.unscheduled_limit import UnscheduledLimit

__all__ = [
    "Admitted",
    "AttemptId",
    "AttemptSnapshot",
    "Decision",
    "DecisionLimit",
    "Engine",
    "EngineLoad",
    "EngineScheduler",
    "EngineServer",
    "IntakeShares",
    "PrefixCache",
    "PromptRequest",
    "PromptShares",
    "Refused",
    "SentPrefix",
    "TeamLoad",
    "TeamPace",
    "TeamShares",
    "UnscheduledLimit",
]
