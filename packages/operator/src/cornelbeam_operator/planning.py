"""Changes that lead from the stored objects to the desired ones."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final, final

from cornelbeam_object_api.kinds import Spec, SpecError, parse_spec

from cornelbeam_operator.differences import compare_specs, title_of
from cornelbeam_operator.object_files import DesiredObject
from cornelbeam_operator.store import ObjectStore, StoredView

# Selectors are written last, because they refer to services and labels.
_KIND_ORDER: Final = ('service', 'failure-domain', 'labels', 'selector')


@final
@dataclass(frozen=True, slots=True)
class Change:
    """A desired object and the stored object that it replaces."""

    desired: DesiredObject
    base: StoredView | None

    @property
    def base_version(self) -> int:
        """Version of the stored object; 0 if there is none."""
        return 0 if self.base is None else self.base.version

    @property
    def expected_version(self) -> int:
        """Version that the write is conditional on."""
        if self.desired.version is None:
            return self.base_version
        return self.desired.version

    @property
    def is_needed(self) -> bool:
        """Whether the stored spec differs in meaning from the desired one."""
        if self.base is None or self.desired.spec is None:
            return self.base is not None or self.desired.spec is not None
        kind = self.desired.kind
        stored = parse_or_none(kind, self.base.spec)
        return stored != parse_spec(kind, self.desired.spec)

    @property
    def is_stale(self) -> bool:
        """Whether the source is based on a version other than the stored."""
        return self.expected_version != self.base_version

    @property
    def verb(self) -> str:
        """Effect of the write as a past participle."""
        if self.desired.spec is None:
            return 'deleted'
        return 'created' if self.base is None else 'changed'

    def difference(self) -> Iterator[str]:
        """Yield the lines of the diff from the stored to the desired spec."""
        reference = self.desired.reference
        yield from compare_specs(
            None if self.base is None else self.base.spec,
            self.desired.spec,
            title_of(reference, self.base),
            f'{reference} ({self.desired.source})',
        )


async def read_changes(
    store: ObjectStore,
    desired: Iterable[DesiredObject],
) -> list[Change]:
    """Pair desired with stored objects, sorted in write order by kind."""
    return [
        Change(each, await store.get(each.kind, each.name))
        for each in sorted(desired, key=_kind_rank)
    ]


def parse_or_none(kind: str, raw: Any) -> Spec | None:
    """Parse a spec; return ``None`` if it is invalid.

    Other writers may store invalid specs.
    """
    try:
        return parse_spec(kind, raw)
    except SpecError:
        return None


def _kind_rank(desired: DesiredObject) -> int:
    if desired.kind in _KIND_ORDER:
        return _KIND_ORDER.index(desired.kind)
    return len(_KIND_ORDER)
