"""Ports: interfaces of the decision logic to its environment and among its parts."""

from almondfield_core.ports.core import (
    Control,
    LinkFailure,
    Peers,
    Slot,
    SlotSource,
    TableView,
)

__all__ = ["Control", "LinkFailure", "Peers", "Slot", "SlotSource", "TableView"]
