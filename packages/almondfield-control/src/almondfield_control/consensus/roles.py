"""Roles of a member and the transitions between them."""

import logging
from enum import StrEnum

from transitions import Machine

__all__ = ["Role", "RoleMachine"]

# Logs go through eliot; the library's own log of each transition adds nothing.
logging.getLogger("transitions").setLevel(logging.WARNING)


class Role(StrEnum):
    """Role of a member of the control group."""

    UNFORMED = "unformed"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleMachine:
    """Role of one member; only the listed transitions are possible."""

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=Role,
            initial=Role.UNFORMED,
            auto_transitions=False,
            model_attribute="role",
        )
        member = [Role.LEARNER, Role.FOLLOWER, Role.CANDIDATE, Role.LEADER]
        add = self._machine.add_transition
        add("become_learner", [Role.UNFORMED, *member], Role.LEARNER)
        add("become_follower", [Role.UNFORMED, *member], Role.FOLLOWER)
        add("become_candidate", [Role.FOLLOWER, Role.CANDIDATE], Role.CANDIDATE)
        add("become_leader", Role.CANDIDATE, Role.LEADER)
