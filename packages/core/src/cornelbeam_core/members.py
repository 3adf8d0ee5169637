"""Members of a service: what is said about them, and what supersedes what."""

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.targets import Target

_DIGEST_BYTES: Final = 8


@final
class MemberState(enum.IntEnum):
    """State of a member; of two at one refutation the higher one holds.

    ``LEAVING`` stands above ``SUSPECT``, so that a suspicion does not hide
    that the member accepts no new work.
    """

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@final
@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Statement about one run of one member.

    ``refutation`` is raised by the member itself, only to contradict a
    statement about it.
    """

    target: Target
    state: MemberState
    refutation: int = 0

    @property
    def is_present(self) -> bool:
        """Tell whether the member may be running."""
        return self.state is not MemberState.DEAD

    def supersedes(self, held: 'MemberUpdate') -> bool:
        """Tell whether this is news to one who holds the other statement.

        A later run replaces an earlier one at once, whatever was said about
        either.
        """
        mine = self.target.incarnation, self.refutation, self.state
        return mine > (held.target.incarnation, held.refutation, held.state)


def digest_members(updates: Iterable[MemberUpdate]) -> str:
    """Hash those present, independent of their order, as 16 hex digits.

    Suspicions are left out: they come and go without changing who is there.
    """
    digest = 0
    for update in updates:
        if update.is_present:
            digest ^= _hash_member(update)
    return f'{digest:016x}'


def _hash_member(update: MemberUpdate) -> int:
    target = update.target
    is_leaving = update.state is MemberState.LEAVING
    text = '/'.join(
        (
            target.name,
            target.address,
            str(target.incarnation),
            str(is_leaving),
            repr(sorted(target.labels.items())),
        ),
    )
    hasher = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hasher.digest(), 'big')
