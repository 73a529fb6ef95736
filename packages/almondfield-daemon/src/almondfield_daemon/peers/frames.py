"""Frames: what one send on a connection carries, sealed under the fleet secret."""

import hashlib
import hmac
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec
from result import Err, Ok, Result

from almondfield_core.findings import AlmondfieldError
from almondfield_core.settings import HostSettings

__all__ = ["Envelope", "Frame", "FrameError", "FrameSeal", "Purpose"]

SEAL_BYTES = 16
# Window and memory level that make a small compressor: most frames are under 2 KB.
WINDOW_BITS = -11
MEMORY_LEVEL = 3
COMPRESSION_LEVEL = 1
MAX_PAYLOAD_BYTES = 32 * 1024 * 1024
# Names that most frames hold. Both ends need the same bytes: a change of them is a
# change of the protocol.
DICTIONARY = (
    b"weight_by_teamservice_by_teamfailures_by_serverfinishedincarnationnumber"
    b"grant_numberwaiting_by_teamin_flightserverteamcountpoolepochlifetime_s"
    b"backloggedserversnameaddressslotsresumes_streamscounter_by_teamreport_window_s"
    b"announcementsage_sdata_centrekindstateservingbusymodelversionadapters"
    b"label_by_nametermleaderentriescommitfreshness_left_s"
    b"senderreceiverincarnationsequencewants_echoecho_incarnationecho_sequence"
    b"introductionenvelopesdemand-reportslot-grantkindbodypurposetag"
)


class FrameError(AlmondfieldError):
    """Raised for a frame with a wrong seal or a malformed payload."""


class Purpose(IntEnum):
    """What an envelope is for."""

    ONE_WAY = 0
    ASK = 1
    REPLY = 2


@dataclass(frozen=True)
class Envelope:
    """One message within a frame.

    :ivar kind: registered kind of the message.
    :ivar body: the message as MessagePack; the message itself on its way to the
        sending host.
    :ivar purpose: whether it wants a reply or is one.
    :ivar tag: number that ties a reply to its question.
    """

    kind: str
    body: Any
    purpose: Purpose = Purpose.ONE_WAY
    tag: int = 0


@dataclass(frozen=True)
class Frame:
    """What one send carries; one without envelopes is a heartbeat.

    :ivar sender: name of the sending host.
    :ivar receiver: name of the host that it is meant for.
    :ivar incarnation: number that grows with each start of the sender.
    :ivar sequence: number of the frame, growing on the path within the incarnation.
    :ivar wants_echo: whether the sender uses the path and wants heartbeats back.
    :ivar echo_incarnation: incarnation of the receiver that the sender hears; 0 where
        it has heard none.
    :ivar echo_sequence: highest sequence that the sender has from that incarnation.
    :ivar introduction: how to reach the sender, until the path back has been seen.
    :ivar envelopes: the messages, in order.
    """

    sender: str
    receiver: str
    incarnation: int
    sequence: int
    wants_echo: bool = False
    echo_incarnation: int = 0
    echo_sequence: int = 0
    introduction: HostSettings | None = None
    envelopes: tuple[Envelope, ...] = ()


class FrameSeal:
    """Codes frames and seals them with a keyed hash.

    :param secret: the secret that all hosts of the fleet share.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.sha256(secret).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Frame)

    def seal(self, frame: Frame) -> bytes:
        """Return the bytes of a frame, its seal first.

        :param frame: the frame.
        """
        payload = _compress(self._encoder.encode(frame))
        return self._digest(payload) + payload

    def open(self, sealed: bytes) -> Result[Frame, FrameError]:
        """Return the frame, or why the bytes are none of this fleet's.

        :param sealed: the bytes as received.
        """
        seal, payload = sealed[:SEAL_BYTES], sealed[SEAL_BYTES:]
        if not hmac.compare_digest(seal, self._digest(payload)):
            return Err(FrameError("the frame is not sealed with the fleet secret"))
        try:
            return Ok(self._decoder.decode(_decompress(payload)))
        except (msgspec.DecodeError, msgspec.ValidationError, zlib.error) as error:
            return Err(FrameError(f"malformed frame: {error}"))

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=SEAL_BYTES).digest()


def _compress(payload: bytes) -> bytes:
    compressor = zlib.compressobj(
        COMPRESSION_LEVEL,
        zlib.DEFLATED,
        WINDOW_BITS,
        MEMORY_LEVEL,
        zlib.Z_DEFAULT_STRATEGY,
        DICTIONARY,
    )
    return compressor.compress(payload) + compressor.flush()


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj(WINDOW_BITS, DICTIONARY)
    return decompressor.decompress(payload, MAX_PAYLOAD_BYTES)
