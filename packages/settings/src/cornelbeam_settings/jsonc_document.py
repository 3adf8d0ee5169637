"""JSON with comments whose values remember the lines they stand on."""

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from json import JSONDecodeError, JSONDecoder, decoder, scanner
from typing import Any, Final, TypeAlias, final

import jsonc

KeyPath: TypeAlias = tuple[str | int, ...]
_Scan: TypeAlias = Callable[[str, int], tuple[Any, int]]

# Their classes and functions used here are public but not typed.
_STANDARD_DECODER: Final[Any] = decoder
_STANDARD_SCANNER: Final[Any] = scanner
# jsonc drops the line breaks inside comments and after trailing commas, which
# would shift the lines of all later keys; this keeps them in place.
_REMOVABLE: Final = re.compile(
    r'(?P<text>"(?:\\.|[^"\\])*")'
    r'|(?P<comment>//[^\n]*|/\*.*?\*/)'
    r'|,(?=(?:\s|//[^\n]*\n|/\*.*?\*/)*[\]}])',
    re.DOTALL,
)


@final
class DocumentError(Exception):
    """Raised when a text is not JSON with comments; ``line`` is one-based."""

    def __init__(self, line: int, message: str) -> None:
        """Keep the line and the message of the decoder."""
        self.line = line
        super().__init__(message)


@final
@dataclass(frozen=True, slots=True)
class Document:
    """Plain content of a file and the line of each value in it.

    ``lines`` maps the path of a value, keys and positions, to a one-based
    line; the path of the whole content is empty.
    """

    content: Any
    lines: dict[KeyPath, int]

    def line_of(self, path: KeyPath) -> int:
        """Give the line of a value, or that of its nearest known parent.

        >>> parse_document('{"a": 1}').line_of(('a', 'missing'))
        1
        """
        for length in range(len(path), 0, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return self.lines.get((), 1)


def parse_document(text: str) -> Document:
    """Decode JSON with comments and trailing commas.

    Raises ``DocumentError`` for malformed text and for a key that appears
    twice in one object.
    """
    try:
        content = jsonc.loads(_keep_lines(text), cls=_LineDecoder)
    except JSONDecodeError as error:
        # jsonc appends a line break to a text that lacks one.
        line = min(error.lineno, text.count('\n') + 1)
        raise DocumentError(line, error.msg) from None
    lines: dict[KeyPath, int] = {(): 1}
    return Document(_collect(content, (), lines), lines)


def _keep_lines(text: str) -> str:
    return _REMOVABLE.sub(_replace_removable, text)


def _replace_removable(match: re.Match[str]) -> str:
    if match.lastgroup == 'text':
        return match.group()
    # The blank keeps the tokens on both sides apart.
    return ' {0}'.format('\n' * match.group().count('\n'))


def _collect(content: Any, path: KeyPath, lines: dict[KeyPath, int]) -> Any:
    if not isinstance(content, _Located):
        return content
    plain: dict[str | int, Any] = {}
    for key, element, line in content.entries:
        child = (*path, key)
        lines[child] = line
        plain[key] = _collect(element, child, lines)
    return plain if content.is_object else list(plain.values())


@final
@dataclass(slots=True)
class _Located:
    """An object or array with the line of each entry."""

    is_object: bool
    entries: Sequence[tuple[str | int, Any, int]]


@final
class _LineDecoder(JSONDecoder):
    """Records where the values of objects and arrays begin.

    The decoder of the standard library hands each value to a scan function;
    wrapping that function gives the positions without another parser.
    """

    def __init__(self, **options: Any) -> None:
        """Replace the functions for objects and arrays."""
        super().__init__(**options)
        self._parse_object = _STANDARD_DECODER.JSONObject
        self._parse_array = _STANDARD_DECODER.JSONArray
        self.parse_object = self._locate_object
        self.parse_array = self._locate_array
        # The scanner in C ignores replaced functions.
        self.scan_once = _STANDARD_SCANNER.py_make_scanner(self)

    def _locate_object(
        self,
        start: tuple[str, int],
        strict: bool,
        scan_once: _Scan,
        *_unused: Any,
    ) -> tuple[_Located, int]:
        lines: list[int] = []
        pairs, end = self._parse_object(
            start,
            strict,
            _record_lines(scan_once, lines),
            None,
            list,
        )
        seen: dict[str, tuple[str | int, Any, int]] = {}
        for (key, element), line in zip(pairs, lines, strict=True):
            if key in seen:
                raise DocumentError(line, f'"{key}" appears twice')
            seen[key] = (key, element, line)
        located = _Located(is_object=True, entries=list(seen.values()))
        return located, end

    def _locate_array(
        self,
        start: tuple[str, int],
        scan_once: _Scan,
        *_unused: Any,
    ) -> tuple[_Located, int]:
        lines: list[int] = []
        elements, end = self._parse_array(
            start,
            _record_lines(scan_once, lines),
        )
        places = range(len(lines))
        entries = list(zip(places, elements, lines, strict=True))
        return _Located(is_object=False, entries=entries), end


def _record_lines(scan_once: _Scan, lines: list[int]) -> _Scan:
    # Closes over the lines of one object or array.
    def scan(text: str, start: int) -> tuple[Any, int]:  # noqa: WPS430
        lines.append(text.count('\n', 0, start) + 1)
        return scan_once(text, start)

    return scan
