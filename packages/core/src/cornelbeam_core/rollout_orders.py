"""Orders to shift a service's traffic to a version, and their progress."""

import enum
import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

__all__ = (
    'OrderState',
    'Phase',
    'RolloutOrder',
    'RolloutStep',
    'active_names',
    'rank_by_hash',
)

# A shorter order leaves no time to judge a version and to drain the old one.
MIN_DURATION_S: Final = 5.0
MAX_DURATION_S: Final = 3600.0


@final
class OrderState(enum.Enum):
    """State of an order as its status says it."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


_ENDED: Final = (OrderState.COMPLETED, OrderState.ROLLED_BACK)


@final
class Phase(enum.IntEnum):
    """What daemons do while an order runs.

    In ``TRIAL``, a small share goes to the new version, in ``FINAL``
    everything, and in ``STOPPED`` nothing.
    """

    TRIAL = 1
    FINAL = 2
    STOPPED = 3


@final
@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order with the state that its status holds, ``None`` without one.

    ``created`` distinguishes orders of one name that were written anew, and
    ``state_version`` is the version that the status is about. ``problem`` says
    why the specification can't be read, empty if it can.
    """

    service: str
    to_version: str
    duration_s: float
    created: str = ''
    state: OrderState | None = None
    state_version: str = ''
    problem: str = ''

    @property
    def key(self) -> str:
        """Identify the order; a changed status doesn't change it."""
        return f'{self.created}/{self.to_version}'

    @property
    def ended_state(self) -> OrderState | None:
        """Return the final state, ``None`` if the order has not ended.

        The status may be left from an earlier order to another version.
        """
        is_current = self.state_version == self.to_version
        return self.state if is_current and self.state in _ENDED else None

    @property
    def is_running(self) -> bool:
        """Whether the status says that this order is running."""
        is_current = self.state_version == self.to_version
        return is_current and self.state is OrderState.RUNNING

    def find_problem(self) -> str:
        """Return why the order can't be carried out, empty if it can.

        >>> RolloutOrder('yard', 'v2', 0).find_problem()
        'duration_s is not between 5 and 3600'
        """
        if self.problem:
            return self.problem
        if not self.to_version:
            return 'no to_version'
        is_usable = MIN_DURATION_S <= self.duration_s <= MAX_DURATION_S
        if not math.isfinite(self.duration_s) or not is_usable:
            return (
                f'duration_s is not between {MIN_DURATION_S:.0f} and '
                f'{MAX_DURATION_S:.0f}'
            )
        return ''


@final
@dataclass(frozen=True, slots=True)
class RolloutStep:
    """Progress of an order, as its owner has recorded it.

    ``number`` increases with each record. ``age_ms`` is the age of the order
    then. At most ``reserved_count`` requests are granted to the gates of the
    new version until the next record. ``waits_for`` says what the owner waits
    for, empty if for nothing but time.
    """

    service: str
    order_key: str
    owner: str
    number: int
    phase: Phase
    share: float
    age_ms: int
    reserved_count: int
    waits_for: str = ''


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Order names in the same way on all daemons, differently for each key."""
    return sorted(
        names, key=lambda name: (zlib.crc32(f'{key}/{name}'.encode()), name)
    )


def active_names(
    order_key: str, names: Iterable[str], share: float
) -> tuple[list[str], list[str]]:
    """Return the targets of the new version that a share is sent to.

    The first ones are as many as would get that share if all traffic went to
    the new version, so that each is loaded as it would be then. The second
    list holds a spare one, or none, for what the first ones refuse: a single
    target may be down or cold.

    >>> active_names('7/v2', ['a', 'b', 'c', 'd'], 0.1)
    (['a'], ['b'])
    """
    ranked = rank_by_hash(order_key, names)
    count = max(1, round(share * len(ranked)))
    return ranked[:count], ranked[count : count + 1]
