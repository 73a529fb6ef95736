"""What backend servers announce, and how hosts pass it on."""

from dataclasses import dataclass, field
from enum import StrEnum

from almondfield_core.tables import PoolKind
from almondfield_core.wire import wire_message

__all__ = ["AnnouncementRelay", "ServerAnnouncement", "ServerState"]


class ServerState(StrEnum):
    """Whether a backend server takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ServerAnnouncement:
    """What a backend server says of itself, about once a second.

    :ivar name: name of the server, unique in the deployment.
    :ivar incarnation: number that grows with each start of the server.
    :ivar address: ``host:port`` where it takes requests.
    :ivar data_centre: data centre that it stands in.
    :ivar kind: what it runs.
    :ivar slots: requests that it runs at a time.
    :ivar busy: requests that it ran when it last counted; lags.
    :ivar state: whether it takes new work.
    :ivar model: name of the loaded model; empty for plain services.
    :ivar version: version of that model.
    :ivar adapters: adapters that are loaded.
    :ivar label_by_name: further labels that pools may select by.
    :ivar checks_fencing: whether it refuses orders with an old fencing number.
    :ivar resumes_streams: whether it resumes a stream after ``last-event-id``.
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
    """Announcements that a host passes on to a scheduler.

    :ivar pool: pool that selects the servers.
    :ivar announcements: newest announcement of each server.
    :ivar age_s: age of each announcement in seconds, in the same order.
    """

    pool: str
    announcements: tuple[ServerAnnouncement, ...]
    age_s: tuple[float, ...]
