"""Frames: a 4-byte big-endian length and one thrift ``Frame`` struct."""

from collections.abc import Iterator
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from thrift.protocol import fastbinary
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from cornelbeam_wire.gen.messages import Frame

MAX_FRAME_BYTES: Final = 256 * 1024
LENGTH_BYTES: Final = 4
_TYPE_ARGUMENTS: Final = [Frame, Frame.thrift_spec]


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length.

    >>> len(encode_frame(Frame(stream_id=1)))
    12
    """
    payload: bytes = fastbinary.encode_binary(frame, _TYPE_ARGUMENTS)
    return len(payload).to_bytes(LENGTH_BYTES, 'big') + payload


def decode_frame(payload: bytes) -> Frame:
    """Decode a frame without its length.

    Raises ``CornelbeamError`` with ``protocol_violation`` when the bytes are
    not a frame or a required field is missing.
    """
    protocol = TBinaryProtocolAccelerated(
        TMemoryBuffer(payload),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_FRAME_BYTES,
    )
    frame = Frame()
    try:
        fastbinary.decode_binary(frame, protocol, _TYPE_ARGUMENTS)
        frame.validate()
    except Exception as error:
        # The C decoder raises several unrelated exception types.
        raise violation(f'undecodable frame: {error}') from error
    return frame


def violation(detail: str) -> CornelbeamError:
    """Make the error that closes a connection."""
    return CornelbeamError(
        ErrorCode.PROTOCOL_VIOLATION,
        'peer protocol',
        detail=detail,
        run_state=RunState.UNKNOWN,
    )


@final
class FrameDecoder:
    """Cuts a byte stream into frames; keeps an incomplete frame."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Yield each frame that is complete.

        Raises ``CornelbeamError`` with ``protocol_violation`` for a frame
        that is larger than allowed or cannot be decoded.
        """
        buffer = self._buffer
        buffer += received
        offset = 0
        try:
            while len(buffer) - offset >= LENGTH_BYTES:
                start = offset + LENGTH_BYTES
                size = int.from_bytes(buffer[offset:start], 'big')
                if size > MAX_FRAME_BYTES:
                    raise violation(f'frame of {size} bytes')
                if len(buffer) - start < size:
                    return
                offset = start + size
                yield decode_frame(bytes(buffer[start:offset]))
        finally:
            del buffer[:offset]  # noqa: WPS420
