"""Unified diffs between the JSON forms of specs."""

import difflib
import json
from collections.abc import Iterator, Mapping
from typing import Any

from cornelbeam_operator.store import StoredView


def format_spec(spec: Mapping[str, Any] | None) -> list[str]:
    """Return the JSON lines of a spec with sorted keys; none for ``None``."""
    if spec is None:
        return []
    text = json.dumps(spec, indent=2, sort_keys=True, ensure_ascii=False)
    return text.splitlines()


def compare_specs(
    before: Mapping[str, Any] | None,
    after: Mapping[str, Any] | None,
    before_title: str,
    after_title: str,
) -> Iterator[str]:
    """Yield the lines of a unified diff; none if the specs are equal."""
    lines = difflib.unified_diff(
        format_spec(before),
        format_spec(after),
        before_title,
        after_title,
        lineterm='',
    )
    for line in lines:
        yield line.rstrip()


def title_of(reference: str, stored: StoredView | None) -> str:
    """Return the diff title for a stored state of an object.

    >>> title_of('selector/all', None)
    'selector/all (does not exist)'
    """
    if stored is None:
        return f'{reference} (does not exist)'
    verb = 'deleted as ' if stored.is_deleted else ''
    return f'{reference} ({verb}version {stored.version}, {stored.write_id})'
