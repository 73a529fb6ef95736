"""Exceptions of the control group."""

from almondfield_control.errors.core import ControlError, DamageError, StorageError

__all__ = ["ControlError", "DamageError", "StorageError"]
