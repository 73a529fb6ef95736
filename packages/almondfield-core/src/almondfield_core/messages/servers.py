"""Announcements of backend servers, and their relay between hosts."""

from dataclasses import dataclass, field
from enum import StrEnum

from almondfield_core.tables import PoolKind
from almondfield_core.wire import wire_message

__all__ = ["AnnouncementRelay", "ServerAnnouncement", "ServerState"]


class ServerState(StrEnum):
    """Whether a backend server accepts new requests."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ServerAnnouncement:
    """State of a backend server, announced by the server about once a second.

    :ivar name: name of the server, unique in the deployment.
    :ivar incarnation: number that increases with each start of the server.
    :ivar address: ``host:port`` where it takes requests.
    :ivar data_centre: data centre of the server.
    :ivar kind: what it runs.
    :ivar slots: most requests that it runs concurrently.
    :ivar busy: requests that were running at its last count; may be out of date.
    :ivar state: whether it accepts new requests.
    :ivar model: name of the loaded model; empty for plain services.
    :ivar version: version of that model.
    :ivar adapters: loaded adapters.
    :ivar label_by_name: further labels for the selectors of pools.
    :ivar checks_fencing: whether it refuses orders with an outdated fencing number.
    :ivar resumes_streams: whether it can resume a stream after ``last-event-id``.
    """

    name: str
    incarnation: int
    address: str
    data_centre: str
    kind: PoolKind
    slots: int
    busy: int = 0
    state: ServerState = ServerState.SERVING
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    label_by_name: dict[str, str] = field(default_factory=dict)
    checks_fencing: bool = False
    resumes_streams: bool = False


@wire_message("announcement-relay")
@dataclass(frozen=True)
class AnnouncementRelay:
    """Announcements that a host relays to a scheduler.

    :ivar pool: name of the pool that selects the servers.
    :ivar announcements: newest announcement of each server.
    :ivar age_s: age of each announcement in seconds, in the same order.
    """

    pool: str
    announcements: tuple[ServerAnnouncement, ...]
    age_s: tuple[float, ...]
