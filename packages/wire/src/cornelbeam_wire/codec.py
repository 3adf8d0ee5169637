"""Codec of frames: a 4-byte big-endian length and a thrift ``Frame``."""

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


def _holds_structs(entry: tuple[Any, ...]) -> bool:
    """Return whether an entry of a ``thrift_spec`` is of structs.

    It holds the id, type, name and type arguments of a field. Those of a list
    start with the type of its items.
    """
    field_type = entry[1]
    if field_type == TType.LIST:
        field_type = entry[3][0]
    return bool(field_type == TType.STRUCT)


# For each message, the names of its fields that hold structs.
_NESTED_FIELDS: Final = {
    message[2]: tuple(
        each[2]
        for each in message[3][0].thrift_spec
        if each and _holds_structs(each)
    )
    for message in Frame.thrift_spec
    if message and message[1] == TType.STRUCT
}
_get_messages: Final = attrgetter(*_NESTED_FIELDS)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length.

    Raise ``CornelbeamError`` with ``protocol_violation`` when the frame is
    larger than the peer accepts: the peer would close the connection, and
    all other streams with it.

    >>> len(encode_frame(Frame(stream_id=1)))
    12
    """
    payload: bytes = fastbinary.encode_binary(frame, _TYPE_ARGUMENTS)
    if len(payload) > MAX_FRAME_BYTES:
        raise protocol_error(f'frame of {len(payload)} bytes')
    return len(payload).to_bytes(LENGTH_BYTES, 'big') + payload


def decode_frame(payload: bytes) -> Frame:
    """Decode a frame without its length.

    Raise ``CornelbeamError`` with ``protocol_violation`` when the bytes are
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
    """Check required fields at all levels; generated code checks only one."""
    frame.validate()
    for message, names in zip(_get_messages(frame), _NESTED_FIELDS.values()):
        if message is None:
            continue
        message.validate()
        for nested in _iter_nested(message, names):
            nested.validate()


def _iter_nested(message: Any, names: tuple[str, ...]) -> Iterator[Any]:
    for name in names:
        nested = getattr(message, name)
        if isinstance(nested, list):
            yield from nested
        elif nested is not None:
            yield nested


def protocol_error(detail: str) -> CornelbeamError:
    """Return the error that closes a connection."""
    return CornelbeamError(
        ErrorCode.PROTOCOL_VIOLATION,
        'peer protocol',
        detail=detail,
        run_state=RunState.UNKNOWN,
    )


@final
class FrameDecoder:
    """Splits a byte stream into frames and buffers an incomplete one."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Yield each complete frame.

        Raise ``CornelbeamError`` with ``protocol_violation`` for a frame that
        is larger than allowed or cannot be decoded.
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
