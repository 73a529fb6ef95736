"""Settings of one daemon."""

from almondfield_core.settings.core import (
    DaemonSettings,
    HostSettings,
    LimitSettings,
    SecuritySettings,
    SharingPolicy,
    TimingSettings,
)

__all__ = [
    "DaemonSettings",
    "HostSettings",
    "LimitSettings",
    "SecuritySettings",
    "SharingPolicy",
    "TimingSettings",
]
