"""Placement of each router's slots on servers."""

from almondfield_fairshare.placement.core import place_slots

__all__ = ["place_slots"]
