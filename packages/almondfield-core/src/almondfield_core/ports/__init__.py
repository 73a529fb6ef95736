"""Ports: what decisions ask of the world and of each other."""

from almondfield_core.ports.core import (
    Control,
    LinkFailure,
    Peers,
    Slot,
    SlotSource,
    TableView,
)

__all__ = ["Control", "LinkFailure", "Peers", "Slot", "SlotSource", "TableView"]
