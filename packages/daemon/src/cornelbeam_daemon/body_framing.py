"""Framing of the request body of a call to the backend server."""

from typing import Final, final

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.bodies import BodyReader
from cornelbeam_daemon.calls import Call

_BODY_METHODS: Final = frozenset((b'POST', b'PUT', b'PATCH'))


@final
class BodyFraming:
    """First available part of a body and the header fields that frame it.

    ``fields`` are sent in addition to those of the caller. ``length_bytes`` is
    the length that the caller announced, or None.
    """

    __slots__ = (
        'fields',
        'first_part',
        'is_chunked',
        'is_whole',
        'length_bytes',
        'reader',
    )

    def __init__(self, call: Call) -> None:
        """Take the available part of the body of ``call``, from its start."""
        self.reader: BodyReader = call.body.reader()
        first_part, is_whole = self.reader.take_first()
        self.first_part = first_part
        self.is_whole = is_whole
        length = fields.find(call.headers, b'content-length')
        self.length_bytes = None if length is None else int(length)
        self.is_chunked = length is None and not self.is_whole
        self.fields: list[bytes] = []
        if self.is_chunked:
            self.fields += (b'transfer-encoding', b'chunked')
        elif length is None and (
            self.first_part or call.method in _BODY_METHODS
        ):
            size = str(len(self.first_part)).encode()
            self.fields += (b'content-length', size)
