"""A fake view of the tables, and settings for tests."""

from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_core.tables import Tables

NO_SECRETS = SecuritySettings("", "", "")


class FakeView:
    """The part of the ``TableView`` port that membership uses."""

    def __init__(self, tables=None, lease_by_pool=None):
        self.tables = tables or Tables()
        self.lease_by_pool = lease_by_pool or {}
        self.fresh = True

    def freshness_left_s(self):
        return 3.0 if self.fresh else 0.0


def host_settings(name, data_centre):
    return HostSettings(name, data_centre, "127.0.0.1", region=data_centre)


def daemon_settings(name, hosts):
    return DaemonSettings(name, tuple(hosts), NO_SECRETS)
