"""Messages between routers and control hosts about parts that crash servers."""

from dataclasses import dataclass

from almondfield_core.wire import wire_message

__all__ = [
    "CrashReport",
    "Quarantine",
    "QuarantineSync",
    "QuarantineUpdate",
    "ServerEndReport",
    "SoundReport",
]


@dataclass(frozen=True)
class Quarantine:
    """Parts of requests, which are refused where a request holds all of them.

    There are several as long as no crash and no sound answer has told them apart.

    :ivar parts: the parts, sorted.
    :ivar left_s: seconds until it ends; 0 once it is over and the parts are on
        probation.
    :ivar number: how often the parts have been quarantined.
    :ivar crashes: starts of servers that ended under the parts, as far as known.
    """

    parts: tuple[str, ...]
    left_s: float
    number: int
    crashes: int


@wire_message("crash-report")
@dataclass(frozen=True)
class CrashReport:
    """A server that ended under a request, told by a router.

    :ivar server: name of the server.
    :ivar born_ms: its start, in milliseconds since 1970.
    :ivar parts: parts of the request, without those known as sound: all parts of its
        prompt but the last, and digests of the whole request.
    :ivar ran_s: seconds from the choice of the server to its end.
    :ivar ago_s: seconds since then.
    """

    server: str
    born_ms: int
    parts: tuple[str, ...]
    ran_s: float = 0.0
    ago_s: float = 0.0


@wire_message("server-end-report")
@dataclass(frozen=True)
class ServerEndReport:
    """A server that has ended, told by a router, and by a control host to all routers.

    :ivar server: name of the server.
    :ivar born_ms: its start, in milliseconds since 1970.
    :ivar is_refused: whether it refused a connection; a request that was cut shows
        less.
    """

    server: str
    born_ms: int
    is_refused: bool = False


@wire_message("sound-report")
@dataclass(frozen=True)
class SoundReport:
    """Parts of a request that was answered soundly, told by a router.

    :ivar parts: the parts.
    """

    parts: tuple[str, ...]


@wire_message("quarantine-update")
@dataclass(frozen=True)
class QuarantineUpdate:
    """What a host has learned about quarantined parts.

    :ivar quarantines: quarantines, new ones or all.
    :ivar sound_parts: parts that were found to be sound.
    """

    quarantines: tuple[Quarantine, ...] = ()
    sound_parts: tuple[str, ...] = ()


@wire_message("quarantine-sync")
@dataclass(frozen=True)
class QuarantineSync:
    """All quarantines of a router; the reply is those of the control host.

    :ivar quarantines: the quarantines.
    """

    quarantines: tuple[Quarantine, ...]
