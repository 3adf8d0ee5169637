"""Kinds of configuration objects and the validation of their specs.

Each kind is a class, registered under the name that the Object API uses.
Adding a kind takes one decorated class.

>>> parse_spec('failure-domain', {'is_in_service': False}).is_in_service
False
"""

import difflib
import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import (
    Annotated,
    Any,
    Final,
    TypeAlias,
    TypeVar,
    final,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.requests import RepeatRule
from cornelbeam_core.selectors import ANY_SERVICE, SelectorSpec

# One day.
_MAX_TIMEOUT_MS: Final = 86_400_000
_MAX_PRIORITY: Final = 1_000_000
_MAX_PORT: Final = 65_535
# Names are used in URL paths and log lines, so they need no quoting there.
_NAME: Final = re.compile('[A-Za-z0-9]([A-Za-z0-9._-]{0,125}[A-Za-z0-9])?')
# The name of a service is a label of a Host header (RFC 1123, section 2.1).
_SERVICE: Final = re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
_INDEX: Final = re.compile(r'\[(\d+)\]')

SpecPath: TypeAlias = tuple[str | int, ...]
PathAndMessage: TypeAlias = tuple[SpecPath, str]
_Timeout: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_TIMEOUT_MS)]
_Method: TypeAlias = Annotated[str, msgspec.Meta(pattern=r'^[A-Z]+\Z')]
_Header: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=r"^[a-z0-9!#$%&'*+.^_`|~-]+\Z"),
]
_Label: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._/-]*\Z', max_length=128),
]
_Texts: TypeAlias = Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all specs, which are immutable and reject unknown keys."""

    def find_problems(self) -> Iterable[PathAndMessage]:
        """Return problems that the types do not express; none by default."""
        return ()


_SpecClass: TypeAlias = type[Spec]
_SpecType = TypeVar('_SpecType', bound=type[Spec])

#: Spec class of each kind.
KINDS: Final[dict[str, _SpecClass]] = {}


@final
@dataclass(frozen=True, slots=True)
class SpecProblem:
    """One problem of a spec: the path of the field and what is wrong."""

    path: SpecPath
    message: str

    def __str__(self) -> str:
        """Return ``field: message``."""
        field = '.'.join(map(str, self.path))
        return f'{field}: {self.message}' if field else self.message


@final
class SpecError(CornelbeamError):
    """Raised for an invalid object; lists all of its problems."""

    def __init__(
        self,
        kind_name: str,
        problems: tuple[SpecProblem, ...],
    ) -> None:
        """Keep the problems; the error code is ``settings_invalid``."""
        super().__init__(
            ErrorCode.SETTINGS_INVALID,
            f'check of {kind_name}',
            detail='; '.join(map(str, problems)),
        )
        self.problems = problems


def register_kind(kind_name: str) -> Callable[[_SpecType], _SpecType]:
    """Register a spec class under the name of its kind."""

    def register(spec_type: _SpecType) -> _SpecType:  # noqa: WPS430 - decorator
        KINDS[kind_name] = spec_type
        return spec_type

    return register


@final
@register_kind('service')
class ServiceSpec(Spec, frozen=True):
    """A service that callers may request.

    ``timeout_ms`` applies to requests for which neither the caller nor a
    selector sets a timeout; without it, the daemon's default applies.
    """

    timeout_ms: _Timeout | None = None


@final
@register_kind('selector')
class SelectorObjectSpec(Spec, frozen=True):
    """A selector as operators write it; see ``SelectorSpec``."""

    priority: Annotated[
        int, msgspec.Meta(ge=-_MAX_PRIORITY, le=_MAX_PRIORITY)
    ] = 0
    service: str = ANY_SERVICE
    methods: tuple[_Method, ...] = ()
    path_prefix: Annotated[str, msgspec.Meta(pattern=r'^(/[^?#]*)?\Z')] = ''
    header_equals: dict[_Header, str] = msgspec.field(default_factory=dict)
    target_labels: dict[_Label, _Texts] = msgspec.field(default_factory=dict)
    repeat: RepeatRule = RepeatRule.BY_METHOD
    timeout_ms: _Timeout | None = None

    def find_problems(self) -> Iterator[PathAndMessage]:
        """Yield a problem if the service name is invalid."""
        if self.service != ANY_SERVICE and not is_service_name(self.service):
            yield ('service',), f'"{self.service}" is not a valid service name'

    def to_selector(self, name: str) -> SelectorSpec:
        """Return the selector in the form that routing uses."""
        return SelectorSpec(name=name, **msgspec.structs.asdict(self))


@final
@register_kind('labels')
class LabelsSpec(Spec, frozen=True):
    """All labels of the target that the object is named after."""

    labels: dict[_Label, str]


@final
@register_kind('failure-domain')
class FailureDomainSpec(Spec, frozen=True):
    """Whether the failure domain named by the object accepts new work."""

    is_in_service: bool


@final
@register_kind('introducers')
class IntroducersSpec(Spec, frozen=True):
    """Addresses (``ip:port``) of daemons to contact in a failure domain.

    Daemons write this kind; operators do not need to.
    """

    # The maximum is MAX_INTRODUCER_COUNT of cornelbeam_core.introducers.
    addresses: Annotated[tuple[str, ...], msgspec.Meta(max_length=6)]

    def find_problems(self) -> Iterator[PathAndMessage]:
        """Yield a problem for each address without an IP address and a port."""
        for index, address in enumerate(self.addresses):
            if not is_address(address):
                yield ('addresses', index), f'"{address}" is not ip:port'


def parse_spec(kind_name: str, raw: Any) -> Spec:
    """Validate a spec as decoded from JSON.

    Raise ``SpecError`` with all problems, also for an unknown kind.
    """
    spec_type = KINDS.get(kind_name)
    if spec_type is None:
        message = _suggest(kind_name, KINDS, 'kind')
        raise SpecError(kind_name, (SpecProblem((), message),))
    try:
        spec = msgspec.convert(raw, spec_type)
    except msgspec.ValidationError as error:
        # msgspec reports the first problem only. Looking for all of them costs
        # about 70 us, too much for each of thousands of valid objects.
        problems = tuple(_find_problems(raw, spec_type))
        raise SpecError(kind_name, problems) from error
    problems = tuple(
        SpecProblem(path, message) for path, message in spec.find_problems()
    )
    if problems:
        raise SpecError(kind_name, problems)
    return spec


def find_name_problem(kind_name: str, name: str) -> str:
    """Return what is wrong with an object's name, empty if it is valid."""
    if kind_name == 'service' and not is_service_name(name):
        return (
            f'"{name}" is not a valid service name (a label of a Host header)'
        )
    if _NAME.fullmatch(name):
        return ''
    return (
        f'"{name}" is not a valid name: at most 127 letters, digits, ".", "_",'
        ' "-"'
    )


def is_service_name(text: str) -> bool:
    """Return whether a text can be the first label of a Host header."""
    return _SERVICE.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port.

    >>> is_address('10.1.0.7:7000'), is_address('yard:7000')
    (True, False)
    """
    host, _, port = text.rpartition(':')
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return True


def _find_problems(raw: Any, spec_type: type[Spec]) -> Iterator[SpecProblem]:
    if not isinstance(raw, dict):
        yield SpecProblem((), 'must be an object')
        return
    hints = get_type_hints(spec_type, include_extras=True)
    for key in raw:
        if key not in hints:
            yield SpecProblem((key,), _suggest(key, hints, 'key'))
    for field in msgspec.structs.fields(spec_type):
        element = raw.get(field.name, msgspec.UNSET)
        if element is not msgspec.UNSET:
            yield from _check_field(field.name, element, hints[field.name])
        elif field.required:
            yield SpecProblem((field.name,), 'missing, there is no default')


def _check_field(
    name: str,
    element: Any,
    annotation: Any,
) -> Iterator[SpecProblem]:
    # Elements of a map are checked one by one, because msgspec does not report
    # which of them is invalid.
    if isinstance(element, dict) and get_origin(annotation) is dict:
        key_type, element_type = get_args(annotation)
        for key, child in element.items():
            yield from _check_element((name, key), key, key_type)
            yield from _check_element((name, key), child, element_type)
        return
    yield from _check_element((name,), element, annotation)


def _check_element(
    path: SpecPath,
    element: Any,
    annotation: Any,
) -> Iterator[SpecProblem]:
    try:
        msgspec.convert(element, annotation)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(' - at ')
        indexes = map(int, _INDEX.findall(location))
        yield SpecProblem((*path, *indexes), message)


def _suggest(text: str, known: Mapping[str, object], noun: str) -> str:
    nearest = difflib.get_close_matches(text, known, n=1)
    if nearest:
        return f'unknown {noun} "{text}", did you mean "{nearest[0]}"?'
    names = ', '.join(sorted(known))
    return f'unknown {noun} "{text}", known are: {names}'
