"""Checks of changes against the stored objects before any write."""

import difflib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final, Self, TypeVar, final

from cornelbeam_core.contradictions import (
    Contradiction,
    find_contradictions,
)
from cornelbeam_core.selectors import ANY_SERVICE, SelectorSpec
from cornelbeam_object_api.kinds import LabelsSpec, SelectorObjectSpec, Spec

from cornelbeam_operator.planning import Change, parse_or_none
from cornelbeam_operator.store import ObjectStore, list_existing

# Daemons set these labels of each target and ignore its labels object.
IMPLICIT_LABELS: Final = frozenset(('domain', 'service'))

_Element = TypeVar('_Element')


@final
@dataclass(frozen=True, slots=True)
class Inventory:
    """Parsed selectors, labels and services by object name."""

    selectors: Mapping[str, SelectorSpec]
    labels: Mapping[str, Mapping[str, str]]
    services: frozenset[str]

    def after(self, changes: Iterable[Change]) -> Self:
        """Return the inventory as it will be after the changes."""
        selectors = dict(self.selectors)
        labels = dict(self.labels)
        services = set(self.services)
        for change in changes:
            name = change.desired.name
            spec = parse_or_none(change.desired.kind, change.desired.spec)
            if change.desired.kind == 'selector':
                _set_or_remove(selectors, name, _selector_of(name, spec))
            elif change.desired.kind == 'labels':
                _set_or_remove(labels, name, _labels_of(spec))
            elif change.desired.kind == 'service':
                services.discard(name)
                services.update((name,) if spec else ())
        return type(self)(selectors, labels, frozenset(services))


async def read_inventory(store: ObjectStore) -> Inventory:
    """Read selectors and the objects that they refer to.

    Stored objects that cannot be parsed are omitted; ``get`` shows them.
    """
    selectors: dict[str, SelectorSpec] = {}
    for selector in await list_existing(store, 'selector'):
        spec = parse_or_none('selector', selector.spec)
        _set_or_remove(
            selectors,
            selector.name,
            _selector_of(selector.name, spec),
        )
    labels: dict[str, Mapping[str, str]] = {}
    for labelled in await list_existing(store, 'labels'):
        spec = parse_or_none('labels', labelled.spec)
        _set_or_remove(labels, labelled.name, _labels_of(spec))
    services = await list_existing(store, 'service')
    names = frozenset(service.name for service in services)
    return Inventory(selectors, labels, names)


def find_new_contradictions(
    inventory: Inventory,
    changes: Iterable[Change],
) -> list[Contradiction]:
    """Return the contradictions that involve a changed selector.

    Contradictions between unchanged selectors are ignored, because the change
    may be a step towards resolving them.
    """
    written = tuple(changes)
    names = {
        change.desired.name
        for change in written
        if change.desired.kind == 'selector'
    }
    after = inventory.after(written)
    return [
        found
        for found in find_contradictions(after.selectors.values())
        if names.intersection(found.selector_names)
    ]


def find_warnings(
    inventory: Inventory,
    changes: Iterable[Change],
) -> Iterator[str]:
    """Yield warnings about values that are allowed but probably mistakes."""
    written = tuple(changes)
    after = inventory.after(written)
    known = {
        (label, text)
        for labels in after.labels.values()
        for label, text in labels.items()
    }
    for change in written:
        if change.desired.kind == 'labels':
            labels = after.labels.get(change.desired.name, {})
            yield from _warn_of_implicit_labels(
                change.desired.reference, labels
            )
        selector = after.selectors.get(change.desired.name)
        if change.desired.kind == 'selector' and selector is not None:
            yield from _warn_of_unknown_service(selector, after.services)
            yield from _warn_of_unknown_labels(selector, known)


def order_writes(
    inventory: Inventory,
    changes: Iterable[Change],
) -> tuple[list[Change], list[Contradiction]]:
    """Order the writes so that no intermediate state is contradictory.

    Objects are written one by one. Return the ordered changes and the
    contradictions in intermediate states that the order does not avoid.
    """
    pending = list(changes)
    ordered: list[Change] = []
    transient: list[Contradiction] = []
    while pending:
        chosen = pending[0]
        chosen_found = find_new_contradictions(inventory, [*ordered, chosen])
        for candidate in pending[1:]:
            if not chosen_found:
                break
            found = find_new_contradictions(inventory, [*ordered, candidate])
            if len(found) < len(chosen_found):
                chosen, chosen_found = candidate, found
        pending.remove(chosen)
        ordered.append(chosen)
        if pending:
            transient.extend(chosen_found)
    return ordered, list(dict.fromkeys(transient))


def _warn_of_unknown_service(
    selector: SelectorSpec,
    services: frozenset[str],
) -> Iterator[str]:
    service = selector.service
    if service == ANY_SERVICE or service in services:
        return
    hint = _suggest(service, services)
    yield (
        f'selector {selector.name}: there is no object for service'
        f' "{service}"{hint}'
    )


def _warn_of_unknown_labels(
    selector: SelectorSpec,
    known: set[tuple[str, str]],
) -> Iterator[str]:
    names = {label for label, _ in known}
    for label, texts in selector.target_labels.items():
        if label in IMPLICIT_LABELS:
            continue
        if label not in names:
            yield (
                f'selector {selector.name}: no labels object has label'
                f' "{label}"{_suggest(label, names)}'
            )
        elif not any((label, text) in known for text in texts):
            allowed = ', '.join(texts)
            yield (
                f'selector {selector.name}: no labels object has label'
                f' "{label}" with one of the values: {allowed}'
            )


def _warn_of_implicit_labels(
    reference: str,
    labels: Mapping[str, str],
) -> Iterator[str]:
    for label in sorted(IMPLICIT_LABELS.intersection(labels)):
        yield f'{reference}: label "{label}" has no effect, as daemons set it'


def _suggest(text: str, known: Iterable[str]) -> str:
    nearest = difflib.get_close_matches(text, known, n=1)
    return f', did you mean "{nearest[0]}"?' if nearest else ''


def _selector_of(name: str, spec: Spec | None) -> SelectorSpec | None:
    if isinstance(spec, SelectorObjectSpec):
        return spec.to_selector(name)
    return None


def _labels_of(spec: Spec | None) -> Mapping[str, str] | None:
    return spec.labels if isinstance(spec, LabelsSpec) else None


def _set_or_remove(
    elements: dict[str, _Element],
    name: str,
    element: _Element | None,
) -> None:
    elements.pop(name, None)
    if element is not None:
        elements[name] = element
