"""Which servers' slots each router gets."""

from almondfield_fairshare.placement.core import place_slots

__all__ = ["place_slots"]
