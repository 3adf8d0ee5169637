"""Checks of request heads that parsers may read differently."""

from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.http_message import HttpRequest, malformed, read_number

# The longest number that a length is written with.
_MAX_DIGITS: Final = 18
_VERSIONS: Final = frozenset(('1.0', '1.1'))


@final
class InputLimits:
    """Limits of heads and bodies, which may change while callers connect."""

    __slots__ = ('body_bytes', 'head_bytes')

    def __init__(self, head_bytes: int, body_bytes: int) -> None:
        """Start with these limits."""
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes

    def check_announced(self, headers: list[bytes]) -> None:
        """Raise ``body_too_large`` for an announced body above the limit."""
        size_bytes = read_number(headers, b'content-length', 0, _MAX_DIGITS)
        if size_bytes > self.body_bytes:
            raise CornelbeamError(
                ErrorCode.BODY_TOO_LARGE,
                'request head',
                detail=f'more than {self.body_bytes} bytes',
            )


def check_head(request: HttpRequest, *, is_upgrade: bool) -> None:
    """Refuse ambiguous heads (RFC 9112, sections 3.2 and 6.1).

    Another parser could read them as a different request.
    """
    headers = request.headers
    if request.version not in _VERSIONS:
        raise malformed(f'HTTP/{request.version} is not supported')
    if headers[::2].count(b'host') > 1:
        raise malformed('there are several Host headers')
    encoding = fields.find(headers, b'transfer-encoding')
    if encoding is not None and encoding.strip().lower() != b'chunked':
        raise malformed('chunked is the only supported transfer coding')
    if encoding is not None and request.version != '1.1':
        raise malformed('HTTP/1.0 has no transfer codings')
    length = fields.find(headers, b'content-length') or b'0'
    if is_upgrade and (encoding is not None or length.strip(b'0')):
        # The parser reports no body for a request with an upgrade.
        raise malformed('a request with an upgrade must not have a body')


def is_awaiting_continue(request: HttpRequest) -> bool:
    """Return whether the caller waits for leave to send the body."""
    return (
        fields.find(request.headers, b'expect') is not None
        and request.version == '1.1'
        and not request.body.is_complete
        and not request.body.size_bytes
    )
