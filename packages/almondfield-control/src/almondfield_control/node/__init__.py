"""The components of the control group on one host, and its client."""

from almondfield_control.node.core import ControlNode, ControlStats

__all__ = ["ControlNode", "ControlStats"]
