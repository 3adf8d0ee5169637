"""Header fields as a flat list: names and values alternate."""

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
# reach another host, or its end would be found differently.
_END_TO_END: Final = frozenset((b'host', b'content-length'))
_LINE_BREAKS: Final = re.compile(rb'[\r\n\0]')
CONTROL_PREFIX: Final = b'cornelbeam-'
DEADLINE: Final = b'cornelbeam-deadline-ms'
HOPS: Final = b'cornelbeam-hops'
REQUEST_ID: Final = b'cornelbeam-request-id'


def find(headers: list[bytes], name: bytes) -> bytes | None:
    """Give the first value of a field; names are lower case."""
    for index in range(0, len(headers), 2):
        if headers[index] == name:
            return headers[index + 1]
    return None


@final
class HeaderView(Mapping[str, str]):
    """Looks up fields of a flat list by text, without converting the rest."""

    __slots__ = ('_headers',)

    def __init__(self, headers: list[bytes]) -> None:
        """View the list; names in it are lower case."""
        self._headers = headers

    def __getitem__(self, name: str) -> str:
        """Give the first value of a field."""
        found = find(self._headers, name.encode('latin-1'))
        if found is None:
            raise KeyError(name)
        return found.decode('latin-1')

    def __iter__(self) -> Iterator[str]:
        """Give the names."""
        return (name.decode('latin-1') for name in self._headers[::2])

    def __len__(self) -> int:
        """Count the fields."""
        return len(self._headers) // 2


def strip(headers: list[bytes]) -> list[bytes]:
    """Drop hop-by-hop fields and the control fields of cornelbeam.

    The fields that ``Connection`` names are hop-by-hop too. Callers must not
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
    """Tell whether fields and other parts of a head form the head they seem.

    They come from another daemon; a line end in one of them would add fields
    or a whole message, and another length would shift the next message.
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
