"""State that every voter derives from the log in the same way."""

from almondfield_control.state.claims import ClaimTable
from almondfield_control.state.core import ControlState

__all__ = ["ClaimTable", "ControlState"]
