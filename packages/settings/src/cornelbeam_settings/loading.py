"""Reading and validation of settings files."""

import ipaddress
import re
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any, Final, TypeAlias, get_type_hints

import msgspec

from cornelbeam_settings.documentation import (
    describe_range,
    describe_unit,
    split_annotation,
)
from cornelbeam_settings.jsonc_document import (
    Document,
    DocumentError,
    KeyPath,
    parse_document,
)
from cornelbeam_settings.model import DaemonSettings
from cornelbeam_settings.problems import (
    Problem,
    SettingsError,
    unknown_key_message,
)

_Fault: TypeAlias = tuple[KeyPath, str]
_TextCheck: TypeAlias = Callable[[str], str]
_SERVICE: Final = re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')
_MAX_PORT: Final = 65_535


def load_settings(path: str | Path) -> DaemonSettings:
    """Read a settings file in JSON with comments.

    Raise ``SettingsError`` if the file cannot be read or is invalid. The
    error lists all problems with file, line and field.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise SettingsError(
            [Problem(file, 1, '', f"can't be read: {reason}")],
        ) from None
    return parse_settings(text, file)


def parse_settings(text: str, file: str = 'settings') -> DaemonSettings:
    """Validate the text of a settings file.

    ``file`` is the file name that problems refer to. Raise ``SettingsError``
    if the text is invalid.
    """
    try:
        document = parse_document(text)
    except DocumentError as error:
        raise SettingsError(
            [Problem(file, error.line, '', str(error))],
        ) from None
    faults = list(_find_faults(document.content))
    if faults:
        raise SettingsError(_to_problems(document, file, faults))
    return msgspec.convert(document.content, DaemonSettings)


def _to_problems(
    document: Document,
    file: str,
    faults: list[_Fault],
) -> Iterator[Problem]:
    for path, message in faults:
        field = '.'.join(map(str, path))
        yield Problem(file, document.line_of(path), field, message)


def _find_faults(content: Any) -> Iterator[_Fault]:
    faults = list(_check_struct(content, DaemonSettings, ()))
    yield from faults
    if not faults:
        settings = msgspec.convert(content, DaemonSettings)
        yield from _check_related_keys(settings)


def _check_struct(
    content: Any,
    model: type[msgspec.Struct],
    path: KeyPath,
) -> Iterator[_Fault]:
    if not isinstance(content, dict):
        yield path, 'must be an object'
        return
    hints = get_type_hints(model, include_extras=True)
    for key in content:
        if key not in hints:
            yield (*path, key), unknown_key_message(key, hints)
    for field in msgspec.structs.fields(model):
        child = (*path, field.name)
        element = content.get(field.name, msgspec.UNSET)
        if element is not msgspec.UNSET:
            yield from _check_field(element, hints[field.name], child)
        elif field.required:
            yield child, 'missing, there is no default'


def _check_field(
    content: Any,
    annotation: Any,
    path: KeyPath,
) -> Iterator[_Fault]:
    plain, meta = split_annotation(annotation)
    if isinstance(plain, type) and issubclass(plain, msgspec.Struct):
        yield from _check_struct(content, plain, path)
        return
    try:
        msgspec.convert(content, annotation)
    except msgspec.ValidationError as error:
        yield path, _add_allowed_range(str(error), plain, meta)
        return
    check = _TEXT_CHECKS.get((meta.extra or {}).get('check', ''))
    elements = content if isinstance(content, list) else [content]
    for element in elements:
        fault = check(element) if check else ''
        if fault:
            yield path, fault


def _add_allowed_range(message: str, plain: Any, meta: msgspec.Meta) -> str:
    allowed = describe_range(plain, meta)
    if not allowed:
        return message
    unit = describe_unit(meta)
    return f'{message}; allowed: {allowed} {unit}'.rstrip()


def _check_ip(host: str) -> str:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return f'"{host}" is not an IP address'
    return ''


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        return f'"{address}" is not ip:port'
    return _check_ip(host.strip('[]'))


def _check_service(service: str) -> str:
    if _SERVICE.fullmatch(service):
        return ''
    return f'"{service}" is not a valid service name'


_TEXT_CHECKS: Final[Mapping[str, _TextCheck]] = {
    'ip': _check_ip,
    'address': _check_address,
    'service': _check_service,
}


def _check_related_keys(settings: DaemonSettings) -> Iterator[_Fault]:
    server, limits = settings.backend_server, settings.limits
    if server.cold_slot_count > server.slot_count:
        yield (
            ('backend_server', 'cold_slot_count'),
            f'{server.cold_slot_count} is more than slot_count'
            f' ({server.slot_count})',
        )
    fleet = settings.fleet
    if fleet.suspicion_ms < fleet.ping_period_ms:
        yield (
            ('fleet', 'suspicion_ms'),
            f'{fleet.suspicion_ms} ms is less than ping_period_ms'
            f' ({fleet.ping_period_ms} ms)',
        )
    if limits.queue_ms > limits.default_timeout_ms:
        yield (
            ('limits', 'queue_ms'),
            f'{limits.queue_ms} ms is more than default_timeout_ms'
            f' ({limits.default_timeout_ms} ms)',
        )
    if ipaddress.ip_address(settings.peer_listener.host).is_unspecified:
        yield (
            ('peer_listener', 'host'),
            'must not be the unspecified address, since it is announced to'
            ' other daemons',
        )
