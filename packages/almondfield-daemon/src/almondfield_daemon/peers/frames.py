"""Frames, the units sent on a connection, authenticated with the fleet secret."""

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

__all__ = [
    "FRAME_OVERHEAD_BYTES",
    "MAX_MESSAGE_BYTES",
    "MAX_PAYLOAD_BYTES",
    "Envelope",
    "Frame",
    "FrameError",
    "FrameSeal",
    "Purpose",
]

SEAL_BYTES = 16
# Most frames are under 2 KB, so a small window and memory level are enough.
WINDOW_BITS = -11
MEMORY_LEVEL = 3
COMPRESSION_LEVEL = 1
MAX_PAYLOAD_BYTES = 32 * 1024 * 1024
FRAME_OVERHEAD_BYTES = 1024 * 1024  # beside the largest message of a frame
MAX_MESSAGE_BYTES = MAX_PAYLOAD_BYTES - FRAME_OVERHEAD_BYTES
# Names that occur in most frames. Both ends need the same bytes, so changing them
# changes the protocol.
COMPRESSION_DICTIONARY = (
    b"weight_by_teamservice_by_teamfailures_by_serverfinishedincarnationnumber"
    b"grant_numberwaiting_by_teamin_flightserverteamcountpoolepochlifetime_s"
    b"backloggedserversnameaddressslotsresumes_streamscounter_by_teamreport_window_s"
    b"announcementsage_sdata_centrekindstateservingbusymodelversionadapters"
    b"label_by_nametermleaderentriescommitfreshness_left_s"
    b"senderreceiverincarnationsequencewants_echoecho_incarnationecho_sequence"
    b"introductionenvelopesdemand-reportslot-grantkindbodypurposetag"
)


class FrameError(AlmondfieldError):
    """Raised for a frame with an invalid seal or a malformed payload.

    :param text: what is wrong.
    :param is_sealed: whether the seal is valid.
    """

    def __init__(self, text: str, is_sealed: bool = True) -> None:
        super().__init__(text)
        self.is_sealed = is_sealed


class Purpose(IntEnum):
    """Whether an envelope is one-way, a request or a reply."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


@dataclass(frozen=True)
class Envelope:
    """One message within a frame.

    :ivar kind: registered kind of the message.
    :ivar body: the message as MessagePack; the message object itself where the host
        sends to itself.
    :ivar purpose: whether the message is one-way, a request or a reply.
    :ivar tag: number that matches a reply to its request; 0 for one-way messages.
    """

    kind: str
    body: Any
    purpose: Purpose = Purpose.ONE_WAY
    tag: int = 0


@dataclass(frozen=True)
class Frame:
    """Unit of sending on a connection; a frame without envelopes is a heartbeat.

    :ivar sender: name of the sending host.
    :ivar receiver: name of the receiving host.
    :ivar incarnation: incarnation of the sender; it increases with each start.
    :ivar sequence: number of the frame; it increases on the path within an
        incarnation.
    :ivar wants_echo: whether the sender uses the path and needs heartbeats back.
    :ivar echo_incarnation: incarnation of the receiver in the latest frame that the
        sender received from it; 0 if there was none.
    :ivar echo_sequence: highest sequence received from that incarnation.
    :ivar introduction: settings of the sender; sent while its frames are not echoed.
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
    """Encodes frames and authenticates them with a keyed hash.

    :param secret: the secret that all hosts of the fleet share.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.sha256(secret).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Frame)

    def seal(self, frame: Frame) -> bytes:
        """Return the encoded frame, preceded by its seal.

        :param frame: the frame.
        """
        payload = _compress(self._encoder.encode(frame))
        return self._digest(payload) + payload

    def open(self, sealed: bytes) -> Result[Frame, FrameError]:
        """Return the decoded frame, or why its seal or payload is invalid.

        :param sealed: the bytes as received.
        """
        seal, payload = sealed[:SEAL_BYTES], sealed[SEAL_BYTES:]
        if not hmac.compare_digest(seal, self._digest(payload)):
            text = "the frame is not sealed with the fleet secret"
            return Err(FrameError(text, is_sealed=False))
        try:
            content = _decompress(payload)
            if len(content) > MAX_PAYLOAD_BYTES:
                return Err(
                    FrameError(f"frame too large: over {MAX_PAYLOAD_BYTES} bytes")
                )
            return Ok(self._decoder.decode(content))
        except (
            msgspec.DecodeError,
            RecursionError,
            UnicodeDecodeError,
            zlib.error,
        ) as error:
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
        COMPRESSION_DICTIONARY,
    )
    return compressor.compress(payload) + compressor.flush()


def _decompress(payload: bytes) -> bytes:
    """Return the content of a payload; more than the limit if it is larger."""
    decompressor = zlib.decompressobj(WINDOW_BITS, COMPRESSION_DICTIONARY)
    return decompressor.decompress(payload, MAX_PAYLOAD_BYTES + 1)
