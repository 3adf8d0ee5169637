"""Members of a service and the precedence of updates about them."""

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.targets import Target

_DIGEST_BYTES: Final = 8


@final
class MemberState(enum.IntEnum):
    """State of a member; at equal refutation the higher one takes precedence.

    ``LEAVING`` ranks above ``SUSPECT``, so that a suspicion does not hide
    that the member accepts no new work.
    """

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@final
@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State of one incarnation of a member, as gossiped between daemons.

    Only the member itself increments ``refutation``, to override an update
    about itself.
    """

    target: Target
    state: MemberState
    refutation: int = 0

    @property
    def is_present(self) -> bool:
        """Return whether the member may be running."""
        return self.state is not MemberState.DEAD

    def supersedes(self, other: 'MemberUpdate') -> bool:
        """Return whether this update takes precedence over another.

        A later incarnation always replaces an earlier one, whatever their
        states.
        """
        own_order = self.target.incarnation, self.refutation, self.state
        return own_order > (
            other.target.incarnation,
            other.refutation,
            other.state,
        )


def digest_members(updates: Iterable[MemberUpdate]) -> str:
    """Return an order-independent hash of the present members.

    It has 16 hexadecimal digits. Suspicions do not affect it, as they come and
    go without changing which members are present.
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
