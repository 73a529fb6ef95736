"""Evacuations of data centres: requested by operators, obeyed by all hosts."""

from almondfield_control.evacuations.client import EvacuationClient
from almondfield_control.evacuations.service import EvacuationService

__all__ = ["EvacuationClient", "EvacuationService"]
