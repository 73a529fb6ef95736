"""The exception hierarchy of the control group."""

from almondfield_core.findings import AlmondfieldError, FindingsError

__all__ = ["ControlError", "DamageError", "StorageError"]


class ControlError(AlmondfieldError):
    """Base of the control group's exceptions."""


class StorageError(ControlError):
    """Raised if a write could not be made durable."""


class DamageError(ControlError, FindingsError):
    """Raised if the data folder holds damaged records."""
