"""Messages between hosts over pynng."""

from almondfield_daemon.peers.core import PynngPeers
from almondfield_daemon.peers.frames import Envelope, Frame, FrameError, Purpose
from almondfield_daemon.peers.message_counters import KindStats, PeerStats
from almondfield_daemon.peers.sockets import FrameSink, Sockets

__all__ = [
    "Envelope",
    "Frame",
    "FrameError",
    "FrameSink",
    "KindStats",
    "PeerStats",
    "Purpose",
    "PynngPeers",
    "Sockets",
]
