"""Explanation of which backend servers a request would reach, and why."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import final

from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.selectors import (
    ANY_SERVICE,
    Route,
    SelectorIndex,
    SelectorSpec,
    has_path_prefix,
)

from cornelbeam_operator.checks import IMPLICIT_LABELS, Inventory


@final
@dataclass(frozen=True, slots=True)
class Explanation:
    """A route with the reasons for it.

    ``overridden`` and ``skipped`` map each selector that does not apply to
    the reason, ``excluded`` each target whose labels do not satisfy the route.
    """

    route: Route
    overridden: Mapping[str, str]
    skipped: Mapping[str, str]
    eligible: tuple[str, ...]
    excluded: Mapping[str, str]


def explain(inventory: Inventory, facts: RequestFacts) -> Explanation:
    """Explain the route of a request.

    Raise ``CornelbeamError`` with ``contradictory_selectors``, as routing
    does.
    """
    selectors = inventory.selectors.values()
    route = SelectorIndex.compile(selectors).route(facts)
    matching = [each for each in selectors if each.matches(facts)]
    highest = max((each.priority for each in matching), default=0)
    exclusion_reasons = {
        target: '; '.join(_explain_labels(route, labels))
        for target, labels in inventory.labels.items()
    }
    return Explanation(
        route=route,
        overridden={
            each.name: f'priority {each.priority} is below {highest}'
            for each in matching
            if each.priority < highest
        },
        skipped={
            each.name: '; '.join(_explain_mismatch(each, facts))
            for each in selectors
            if not each.matches(facts)
        },
        eligible=tuple(
            name for name, reason in exclusion_reasons.items() if not reason
        ),
        excluded={
            name: reason for name, reason in exclusion_reasons.items() if reason
        },
    )


def _explain_mismatch(
    selector: SelectorSpec,
    facts: RequestFacts,
) -> Iterator[str]:
    if selector.service not in {ANY_SERVICE, facts.service}:
        yield f'it applies to service {selector.service}'
        return
    if selector.methods and facts.method not in selector.methods:
        methods = ', '.join(selector.methods)
        yield f'method {facts.method} is not one of {methods}'
    prefix = selector.path_prefix
    if prefix and not has_path_prefix(facts.path, prefix):
        yield f'the path is not below {prefix}'
    for name, text in selector.header_equals.items():
        if facts.headers.get(name) != text:
            yield f'header {name} is not "{text}"'


def _explain_labels(
    route: Route,
    labels: Mapping[str, str],
) -> Iterator[str]:
    for label, allowed in route.target_labels.items():
        text = labels.get(label)
        if label in IMPLICIT_LABELS or text in allowed:
            continue
        found = 'missing' if text is None else f'"{text}"'
        wanted = ', '.join(sorted(allowed))
        yield f'label {label} is {found}, allowed: {wanted}'
