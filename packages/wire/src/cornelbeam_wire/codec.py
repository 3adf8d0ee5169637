"""Frames: a 4-byte big-endian length and one thrift ``Frame`` struct."""

from collections.abc import Iterator
from operator import attrgetter
from typing import Any, Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from thrift.protocol import fastbinary
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from cornelbeam_wire.gen.messages import Frame

MAX_FRAME_BYTES: Final = 256 * 1024
LENGTH_BYTES: Final = 4
_TYPE_ARGUMENTS: Final = [Frame, Frame.thrift_spec]
_STRUCTURES: Final = frozenset((TType.STRUCT, TType.LIST))
# Names of the fields of each message that hold other structures.
_NESTED: Final = {
    message[2]: tuple(
        each[2]
        for each in message[3][0].thrift_spec
        if each and each[1] in _STRUCTURES and each[2] != 'headers'
    )
    for message in Frame.thrift_spec
    if message and message[1] == TType.STRUCT
}
_messages_of: Final = attrgetter(*_NESTED)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length.

    Raises ``CornelbeamError`` with ``protocol_violation`` when the frame is
    larger than the peer accepts: it would close the connection, and all
    other streams with it.

    >>> len(encode_frame(Frame(stream_id=1)))
    12
    """
    payload: bytes = fastbinary.encode_binary(frame, _TYPE_ARGUMENTS)
    if len(payload) > MAX_FRAME_BYTES:
        raise protocol_error(f'frame of {len(payload)} bytes')
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
        _validate(frame)
    except Exception as error:
        # The C decoder raises several unrelated exception types.
        raise protocol_error(f'undecodable frame: {error}') from error
    return frame


def _validate(frame: Frame) -> None:
    """Check required fields; the generated code checks one level only."""
    frame.validate()
    for message, names in zip(_messages_of(frame), _NESTED.values()):
        if message is None:
            continue
        message.validate()
        for nested in _nested_of(message, names):
            nested.validate()


def _nested_of(message: Any, names: tuple[str, ...]) -> Iterator[Any]:
    for name in names:
        nested = getattr(message, name)
        if isinstance(nested, list):
            yield from nested
        elif nested is not None:
            yield nested


def protocol_error(detail: str) -> CornelbeamError:
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
                    raise protocol_error(f'frame of {size} bytes')
                if len(buffer) - start < size:
                    return
                offset = start + size
                yield decode_frame(bytes(buffer[start:offset]))
        finally:
            del buffer[:offset]  # noqa: WPS420
