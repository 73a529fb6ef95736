"""Selection of backend servers by pools."""

from almondfield_core.messages import ServerAnnouncement
from almondfield_core.tables import Pool

__all__ = ["selects_server"]


def selects_server(pool: Pool, announcement: ServerAnnouncement) -> bool:
    """Return whether a pool selects a server.

    :param pool: row of the pools table.
    :param announcement: announcement of the server.
    """
    selector = pool.selects
    if pool.kind is not announcement.kind:
        return False
    if selector.model and selector.model != announcement.model:
        return False
    if selector.version and selector.version != announcement.version:
        return False
    if not set(selector.adapters) <= set(announcement.adapters):
        return False
    return selector.label_by_name.items() <= announcement.label_by_name.items()
