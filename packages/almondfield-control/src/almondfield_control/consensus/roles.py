"""Roles of a member and the changes between them."""

import logging
from enum import StrEnum

from transitions import Machine

__all__ = ["Role", "RoleMachine"]

# Logs go through eliot; the library's own notes of each change add nothing.
logging.getLogger("transitions").setLevel(logging.WARNING)


class Role(StrEnum):
    """What a member of the control group does."""

    UNFORMED = "unformed"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleMachine:
    """The role of one member; only the listed changes are possible."""

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
        add("learn", [Role.UNFORMED, *member], Role.LEARNER)
        add("follow", [Role.UNFORMED, *member], Role.FOLLOWER)
        add("stand", [Role.FOLLOWER, Role.CANDIDATE], Role.CANDIDATE)
        add("win", Role.CANDIDATE, Role.LEADER)
