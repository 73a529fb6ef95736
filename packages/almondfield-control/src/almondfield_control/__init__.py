"""Replicated control state of the almondfield router fleet."""

from almondfield_control.node import ControlNode, ControlStats

__all__ = ["ControlNode", "ControlStats"]
