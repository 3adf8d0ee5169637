"""How fast a target's host works now, and how long slow spells last.

Targets share their hosts with others. A neighbour makes all work slow for a
spell of some hundred milliseconds, and a request that starts in a spell stays
slow, so it is better to start it after the spell or elsewhere.
"""

from typing import Final, final

from cornelbeam_core.targets import USUAL_PERCENT

# Work that takes this much longer than usual is slow.
SLOW_PERCENT: Final = 150
# Assumed length of a spell until some were seen.
INITIAL_SPELL_S: Final = 0.25
SPELL_GAIN: Final = 0.2
# The figure changes many times a second; an older one says little.
FRESH_S: Final = 0.03


@final
class HostSpeed:
    """Speed as the target last told it.

    >>> speed = HostSpeed()
    >>> speed.note(400, now_s=1)
    >>> speed.factor
    4.0
    """

    __slots__ = (
        '_measured_at_s',
        '_slow_since_s',
        'mean_spell_s',
        'percent',
    )

    def __init__(self) -> None:
        """Start at the usual speed, not measured yet."""
        self.percent = USUAL_PERCENT
        self.mean_spell_s = INITIAL_SPELL_S
        self._measured_at_s = float('-inf')
        self._slow_since_s: float | None = None

    @property
    def is_slow(self) -> bool:
        """Tell whether a spell lasts."""
        return self.percent >= SLOW_PERCENT

    @property
    def factor(self) -> float:
        """Time that work takes, in times of the usual."""
        return max(1, self.percent / USUAL_PERCENT)

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether the figure still says something."""
        return now_s - self._measured_at_s <= FRESH_S

    def note(self, percent: int, now_s: float) -> None:
        """Take a figure that the target told."""
        self.percent = percent
        self._measured_at_s = now_s
        if self.is_slow and self._slow_since_s is None:
            self._slow_since_s = now_s
        elif not self.is_slow and self._slow_since_s is not None:
            spell_s = now_s - self._slow_since_s
            self._slow_since_s = None
            self.mean_spell_s += SPELL_GAIN * (spell_s - self.mean_spell_s)
