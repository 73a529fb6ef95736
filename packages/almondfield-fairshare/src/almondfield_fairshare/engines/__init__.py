"""Which model engine runs a prompt, and whether it may start now."""

from almondfield_fairshare.engines.core import EngineScheduler
from almondfield_fairshare.engines.engine import Engine
from almondfield_fairshare.engines.load import EngineLoad
from almondfield_fairshare.engines.prefix_cache import KeptParts
from almondfield_fairshare.engines.requests import (
    Admitted,
    Decision,
    EngineServer,
    PromptRequest,
    Refused,
    TicketId,
)
from almondfield_fairshare.engines.shares import TeamShares

__all__ = [
    "Admitted",
    "Decision",
    "Engine",
    "EngineLoad",
    "EngineScheduler",
    "EngineServer",
    "KeptParts",
    "PromptRequest",
    "Refused",
    "TeamShares",
    "TicketId",
]
