"""Decoding of JSON with comments that records the line of each value."""

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from json import JSONDecodeError, JSONDecoder, decoder, scanner
from typing import Any, Final, TypeAlias, final

import jsonc

KeyPath: TypeAlias = tuple[str | int, ...]
_Scan: TypeAlias = Callable[[str, int], tuple[Any, int]]

# The names used from these modules are public but untyped.
_STANDARD_DECODER: Final[Any] = decoder
_STANDARD_SCANNER: Final[Any] = scanner
# jsonc drops the line breaks inside comments and after trailing commas, which
# would shift the line numbers of all later keys. Comments and trailing commas
# are therefore replaced beforehand by text that keeps the line breaks. Strings
# are matched too, so that their content is not taken for a comment.
_IGNORED_SYNTAX: Final = re.compile(
    r'(?P<text>"(?:\\.|[^"\\])*")'
    r'|(?P<comment>//[^\n]*|/\*.*?\*/)'
    r'|,(?=(?:\s|//[^\n]*\n|/\*.*?\*/)*[\]}])',
    re.DOTALL,
)


@final
class DocumentError(Exception):
    """The text is not valid JSON with comments; ``line`` is one-based."""

    def __init__(self, line: int, message: str) -> None:
        """Initialize with the line of the fault and the decoder's message."""
        self.line = line
        super().__init__(message)


@final
@dataclass(frozen=True, slots=True)
class Document:
    """Plain content of a file and the line number of each value.

    ``lines`` maps the path of a value to its one-based line. A path consists
    of object keys and array indexes; the path of the whole content is empty.
    """

    content: Any
    lines: dict[KeyPath, int]

    def line_of(self, path: KeyPath) -> int:
        """Return the line of a value, or that of its closest known ancestor.

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

    Raise ``DocumentError`` if the text is malformed or if a key appears
    twice in one object.
    """
    try:
        content = jsonc.loads(_strip_comments(text), cls=_LineDecoder)
    except JSONDecodeError as error:
        # jsonc appends a line break to a text that lacks one.
        line = min(error.lineno, text.count('\n') + 1)
        raise DocumentError(line, error.msg) from None
    lines: dict[KeyPath, int] = {(): 1}
    return Document(_to_plain(content, (), lines), lines)


def _strip_comments(text: str) -> str:
    return _IGNORED_SYNTAX.sub(_blank_out, text)


def _blank_out(match: re.Match[str]) -> str:
    if match.lastgroup == 'text':
        return match.group()
    # The space separates the tokens on both sides.
    return ' {0}'.format('\n' * match.group().count('\n'))


def _to_plain(content: Any, path: KeyPath, lines: dict[KeyPath, int]) -> Any:
    """Convert containers to plain values and record their lines."""
    if not isinstance(content, _Container):
        return content
    plain: dict[str | int, Any] = {}
    for key, element, line in content.entries:
        child = (*path, key)
        lines[child] = line
        plain[key] = _to_plain(element, child, lines)
    return plain if content.is_object else list(plain.values())


@final
@dataclass(slots=True)
class _Container:
    """An object or array with the line of each entry."""

    is_object: bool
    entries: Sequence[tuple[str | int, Any, int]]


@final
class _LineDecoder(JSONDecoder):
    """JSON decoder that records the line of each value in a container.

    The decoder of the standard library passes each value to a scan function.
    Wrapping that function yields the positions without a separate parser.
    """

    def __init__(self, **options: Any) -> None:
        """Replace the functions that decode objects and arrays."""
        super().__init__(**options)
        self._parse_object = _STANDARD_DECODER.JSONObject
        self._parse_array = _STANDARD_DECODER.JSONArray
        self.parse_object = self._decode_object
        self.parse_array = self._decode_array
        # The C scanner ignores replaced functions; the Python one uses them.
        self.scan_once = _STANDARD_SCANNER.py_make_scanner(self)

    def _decode_object(
        self,
        start: tuple[str, int],
        strict: bool,
        scan_once: _Scan,
        *_unused: Any,
    ) -> tuple[_Container, int]:
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
        container = _Container(is_object=True, entries=list(seen.values()))
        return container, end

    def _decode_array(
        self,
        start: tuple[str, int],
        scan_once: _Scan,
        *_unused: Any,
    ) -> tuple[_Container, int]:
        lines: list[int] = []
        elements, end = self._parse_array(
            start,
            _record_lines(scan_once, lines),
        )
        indexes = range(len(lines))
        entries = list(zip(indexes, elements, lines, strict=True))
        return _Container(is_object=False, entries=entries), end


def _record_lines(scan_once: _Scan, lines: list[int]) -> _Scan:
    # The closure collects the lines of one object or array.
    def scan(text: str, start: int) -> tuple[Any, int]:  # noqa: WPS430
        lines.append(text.count('\n', 0, start) + 1)
        return scan_once(text, start)

    return scan
