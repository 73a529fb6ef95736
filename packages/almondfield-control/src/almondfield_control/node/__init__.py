"""The control group as one host runs and reaches it."""

from almondfield_control.node.core import ControlNode, ControlStats

__all__ = ["ControlNode", "ControlStats"]
