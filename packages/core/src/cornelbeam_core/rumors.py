"""Queue of the member updates that are gossiped to other members."""

import math
from dataclasses import dataclass
from typing import final

from cornelbeam_core.members import MemberUpdate


@final
@dataclass(slots=True)
class _Rumor:
    update: MemberUpdate
    sent_count: int = 0


@final
class RumorQueue:
    """Latest update per member, each sent a limited number of times.

    The limit is ``transmit_factor`` times the binary logarithm of the group
    size, after which nearly all members have received the update (Das, Gupta,
    Motivala 2002).
    """

    __slots__ = ('_rumors', '_transmit_factor')

    def __init__(self, transmit_factor: int) -> None:
        """Create an empty queue."""
        self._transmit_factor = transmit_factor
        self._rumors: dict[str, _Rumor] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, replacing an earlier one about the same member."""
        self._rumors[update.target.name] = _Rumor(update)

    def discard(self, name: str) -> None:
        """Remove the update about a member."""
        self._rumors.pop(name, None)

    def take(self, count: int, group_size: int) -> list[MemberUpdate]:
        """Return the updates sent least often and count them as sent."""
        limit = self._transmit_factor * math.ceil(math.log2(group_size + 1))
        by_count = sorted(
            self._rumors.values(),
            key=lambda rumor: rumor.sent_count,
        )
        for rumor in by_count[:count]:
            rumor.sent_count += 1
            if rumor.sent_count >= limit:
                self._rumors.pop(rumor.update.target.name)
        return [each.update for each in by_count[:count]]
