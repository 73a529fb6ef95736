"""Settings of one daemon."""

from almondfield_core.settings.checking import check_settings
from almondfield_core.settings.core import (
    AnswerSettings,
    DaemonSettings,
    HostSettings,
    LimitSettings,
    OrderSettings,
    SecuritySettings,
    SharingPolicy,
    TimingSettings,
)
from almondfield_core.settings.fleet import (
    FLEET_TIMING,
    FleetRole,
    FleetSettings,
    load_fleet_settings,
)
from almondfield_core.settings.listing import ItemDescription, list_items
from almondfield_core.settings.loading import load_settings
from almondfield_core.settings.secrets import read_secret

__all__ = [
    "FLEET_TIMING",
    "AnswerSettings",
    "DaemonSettings",
    "FleetRole",
    "FleetSettings",
    "HostSettings",
    "ItemDescription",
    "LimitSettings",
    "OrderSettings",
    "SecuritySettings",
    "SharingPolicy",
    "TimingSettings",
    "check_settings",
    "list_items",
    "load_fleet_settings",
    "load_settings",
    "read_secret",
]
