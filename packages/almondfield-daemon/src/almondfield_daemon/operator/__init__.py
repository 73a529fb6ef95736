"""The HTTP interface for operators."""

from almondfield_daemon.operator.core import OperatorNode, build_operator_app

__all__ = ["OperatorNode", "build_operator_app"]
