"""Header fields as a flat list of alternating names and values."""

import re
from collections.abc import Iterator, Mapping
from typing import Final, final

# RFC 9110, section 7.6.1.
_HOP_BY_HOP: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
# A Connection header must not remove these: without them the request would
# reach another host, or the end of its body would be determined differently.
_END_TO_END: Final = frozenset((b'host', b'content-length'))
_LINE_BREAKS: Final = re.compile(rb'[\r\n\0]')
# RFC 9110, section 11.6.2.
AUTHORIZATION: Final = b'authorization'
CONTROL_PREFIX: Final = b'cornelbeam-'
DEADLINE: Final = b'cornelbeam-deadline-ms'
HOPS: Final = b'cornelbeam-hops'
REQUEST_ID: Final = b'cornelbeam-request-id'


def find(headers: list[bytes], name: bytes) -> bytes | None:
    """Return the first value of a field; ``name`` is lower case."""
    for index in range(0, len(headers), 2):
        if headers[index] == name:
            return headers[index + 1]
    return None


@final
class HeaderView(Mapping[str, str]):
    """Maps names to values as text, decoding only the fields looked up."""

    __slots__ = ('_headers',)

    def __init__(self, headers: list[bytes]) -> None:
        """Wrap a list whose names are lower case."""
        self._headers = headers

    def __getitem__(self, name: str) -> str:
        """Return the first value of a field."""
        found = find(self._headers, name.encode('latin-1'))
        if found is None:
            raise KeyError(name)
        return found.decode('latin-1')

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names."""
        return (name.decode('latin-1') for name in self._headers[::2])

    def __len__(self) -> int:
        """Return the number of fields."""
        return len(self._headers) // 2


def strip(headers: list[bytes]) -> list[bytes]:
    """Return the fields without hop-by-hop and cornelbeam control fields.

    Hop-by-hop fields include those that ``Connection`` names. Callers must not
    be able to forge control fields, and backend servers must not see them.
    """
    dropped = _HOP_BY_HOP
    for index in range(0, len(headers), 2):
        if headers[index] == b'connection':
            named = headers[index + 1].lower().split(b',')
            tokens = {token.strip() for token in named}
            dropped = dropped.union(tokens - _END_TO_END)
    kept: list[bytes] = []
    for index in range(0, len(headers), 2):
        name = headers[index]
        if name not in dropped and not name.startswith(CONTROL_PREFIX):
            kept += (name, headers[index + 1])
    return kept


def are_well_formed(headers: list[bytes], *others: bytes) -> bool:
    """Return whether a head received from another daemon is safe to render.

    A line break in a field or in one of ``others`` would inject fields or a
    whole message, and a wrong length would shift the start of the next one.
    """
    if len(headers) % 2 or _LINE_BREAKS.search(b''.join((*headers, *others))):
        return False
    length = find(headers, b'content-length') or b'0'
    return length.isdigit() and b'transfer-encoding' not in headers[::2]


def render(first_line: bytes, headers: list[bytes]) -> bytes:
    """Render a message head."""
    lines = [first_line]
    lines.extend(
        b'%b: %b' % (headers[index], headers[index + 1])
        for index in range(0, len(headers), 2)
    )
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)
