"""Reference documentation of all settings keys, derived from the model."""

import types
from collections.abc import Iterator
from dataclasses import dataclass
from typing import (
    Annotated,
    Any,
    Literal,
    final,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from cornelbeam_settings.model import DaemonSettings


@final
@dataclass(frozen=True, slots=True)
class KeyDocument:
    """Documentation of one settings key; every field is display text."""

    section: str
    key: str
    type_name: str
    unit: str
    default: str
    range: str
    description: str


def describe_keys() -> Iterator[KeyDocument]:
    """Yield the documentation of all keys in the order of the model."""
    sections = get_type_hints(DaemonSettings, include_extras=True)
    for section, annotation in sections.items():
        model, meta = split_annotation(annotation)
        yield from _describe_section(section, model, meta.description or '')


def documentation_table() -> str:
    """Return all keys as a Markdown table that ends in a line break."""
    rows = [
        '| key | type | unit | default | range | meaning |',
        '|---|---|---|---|---|---|',
    ]
    rows.extend(
        f'| `{entry.section}.{entry.key}` | {entry.type_name}'
        f' | {entry.unit} | {entry.default} | {entry.range}'
        f' | {entry.description} |'
        for entry in describe_keys()
    )
    return '\n'.join((*rows, ''))


def split_annotation(annotation: Any) -> tuple[Any, msgspec.Meta]:
    """Return the plain type of a field and its metadata."""
    if get_origin(annotation) is not Annotated:
        return annotation, msgspec.Meta()
    plain, meta = get_args(annotation)
    return plain, meta


def describe_range(plain: Any, meta: msgspec.Meta) -> str:
    """Return the allowed values as text, empty if all are allowed."""
    if get_origin(plain) is Literal:
        return ', '.join(map(str, get_args(plain)))
    if meta.ge is not None:
        return f'{meta.ge:g} to {meta.le:.10g}'
    allowed = (meta.extra or {}).get('range', '')
    return f'{allowed}'.replace('|', r'\|')


def describe_unit(meta: msgspec.Meta) -> str:
    """Return the unit, empty if the field has none."""
    return str((meta.extra or {}).get('unit', ''))


def _describe_section(
    section: str,
    model: type[msgspec.Struct],
    section_description: str,
) -> Iterator[KeyDocument]:
    hints = get_type_hints(model, include_extras=True)
    for field in msgspec.structs.fields(model):
        plain, meta = split_annotation(hints[field.name])
        yield KeyDocument(
            section=section,
            key=field.name,
            type_name=_type_name(plain),
            unit=describe_unit(meta),
            default=_describe_default(field),
            range=describe_range(plain, meta),
            description=(
                f'{meta.description or ""} {section_description}'.strip()
            ),
        )


def _type_name(plain: Any) -> str:
    if get_origin(plain) is Literal:
        return 'text'
    names = {
        str: 'text',
        int: 'integer',
        float: 'number',
        bool: 'true or false',
        list[str]: 'list of texts',
        dict[str, str]: 'map of texts',
    }
    return names.get(plain, str(plain))


def _describe_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    value = field.default
    if isinstance(field.default_factory, types.FunctionType | type):
        value = field.default_factory()
    encoded = msgspec.json.encode(value).decode()
    return f'`{encoded}`'
