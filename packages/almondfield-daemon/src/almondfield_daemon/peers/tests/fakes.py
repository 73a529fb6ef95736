"""In-memory fakes of hosts, sockets and the network between them."""

import asyncio

from almondfield_core.clock import now
from almondfield_core.messages import DemandReport, SlotGrant
from almondfield_core.settings import DaemonSettings, HostSettings, SecuritySettings
from almondfield_daemon.peers import PynngPeers

NO_SECRETS = SecuritySettings("", "", "")
SECRET = b"fleet"
DELAY_S = 0.002
BEYOND_64_BITS = 2**64


def report(number):
    """Return a message that tests tell by its number."""
    return DemandReport("writing", 1, 1, number, 0)


class MemoryConnection:
    """An outbound connection that can be stalled."""

    def __init__(self, network, source, target):
        self.network = network
        self.path = (source, target)
        self.stalled = False
        self.closed = False

    def send(self, frame):
        if self.network.rejects_frames:
            return False
        self.network.frames_by_path.setdefault(self.path, []).append(frame)
        self.network.sent_s_by_path.setdefault(self.path, []).append(now())
        delay_s = self.network.delay_s + self.network.queue_s(self.path)
        asyncio.get_running_loop().call_later(delay_s, self.arrive, frame)
        return True

    def arrive(self, frame):
        is_lost = self.stalled or self.closed or self.path in self.network.broken_paths
        on_frame = self.network.on_frame_by_host.get(self.path[1])
        if on_frame is not None and not is_lost:
            on_frame(frame)

    def close(self):
        self.closed = True


class MemoryListener:
    """A listening socket."""

    def __init__(self, network, host, on_frame):
        self.network, self.host, self.on_frame = network, host, on_frame
        network.on_frame_by_host[host] = on_frame

    def close(self):
        if self.network.on_frame_by_host.get(self.host) is self.on_frame:
            del self.network.on_frame_by_host[self.host]


class MemorySockets:
    """The ``Sockets`` port of one host."""

    def __init__(self, network, host):
        self.network, self.host = network, host

    def dial(self, address):
        target = address.partition(":")[0]
        if target in self.network.invalid_targets:
            raise ValueError(f"invalid address {address!r}")
        connection = MemoryConnection(self.network, self.host, target)
        self.network.connections.append(connection)
        return connection

    def listen(self, address, on_frame):
        return MemoryListener(self.network, self.host, on_frame)


class MemoryNetwork:
    """The connections of all hosts; a host's address is its name."""

    def __init__(self):
        self.on_frame_by_host = {}
        self.frames_by_path = {}
        self.sent_s_by_path = {}
        self.connections = []
        self.broken_paths = set()
        self.invalid_targets = set()
        self.rejects_frames = False
        self.delay_s = DELAY_S
        self.frames_per_s_by_path = {}
        self.free_s_by_path = {}

    def queue_s(self, path):
        """Return how long a frame waits for those before it to be handled."""
        frames_per_s = self.frames_per_s_by_path.get(path)
        if frames_per_s is None:
            return 0.0
        at_s = now()
        free_s = max(at_s, self.free_s_by_path.get(path, 0.0)) + 1 / frames_per_s
        self.free_s_by_path[path] = free_s
        return free_s - at_s


class Node:
    """One host, whose handler replies to each report with a grant."""

    def __init__(self, network, name, host_names, incarnation=1):
        hosts = tuple(HostSettings(other, "dc", other) for other in host_names)
        settings = DaemonSettings(name, hosts, NO_SECRETS)
        sockets = MemorySockets(network, name)
        self.peers = PynngPeers(settings, SECRET, incarnation, sockets)
        self.incarnation = incarnation
        self.handled = []
        self.failing_reports = set()
        self.oversized_replies = set()
        self.task = None

    async def handle(self, sender, report):
        if report.number in self.failing_reports:
            raise RuntimeError(f"report {report.number} from {sender}")
        self.handled.append(report.number)
        if report.number in self.oversized_replies:
            return SlotGrant(report.pool, report.epoch, BEYOND_64_BITS, 1.0, False)
        return SlotGrant(report.pool, report.epoch, report.number, 1.0, False)
