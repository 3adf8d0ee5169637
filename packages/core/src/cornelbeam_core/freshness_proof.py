"""Proof that the configuration held was the newest a known time ago.

A proof holds the position of a configuration and a time at which the store held
nothing newer. It stays valid when the daemon takes a newer configuration, as no
daemon reverts to an older one. Only ages are exchanged; all times of a proof
are read from the clock of the daemon that holds it.
"""

import math
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.shared_objects import Listing, era_of

# Ages are sent in milliseconds, and clocks of machines differ by up to 500 ppm,
# which is 5 ms in ten seconds. The rest is for coarse clocks.
CLOCK_MARGIN_S: Final = 0.05
# Parts of the time allowed. A caller is owed an answer until its daemon has
# had no path to the store for 0.6 of it, so proofs should never be older than
# 0.4 while there is a path.
_RENEWAL_PART: Final = 0.2
# A daemon renews this much later than those that it asks, which then have just
# renewed theirs.
_LEVEL_PART: Final = 0.04
# A reader without the store comes after the standbys, which then have proofs.
_UNABLE_LEVELS: Final = 2
# Each standby reads the store this much later than the one before it.
_STANDBY_PART: Final = 0.06
# Traffic between failure domains is expensive, so other domains are asked only
# when the own one has no fresh proof.
_FAR_PART: Final = 0.4
# Any daemon reads the store itself from this age on: half of the time allowed
# is left then.
_LAST_READ_PART: Final = 0.5
_RETRY_PART: Final = 0.1
# A source may renew this much later than planned: stores are slow at times.
_OVERDUE_PART: Final = 0.02
# Requests are refused already, so that many daemons needn't ask more often.
_EXPIRED_RETRY_PART: Final = 0.2
# Reads that fail, or prove nothing, are repeated after twice the delay of the
# one before. Daemons that depend on others may wait longer.
_MAX_READ_DELAY_PART: Final[float] = 0.5
_MAX_LAST_READ_DELAY_PART: Final = 4
_MAX_DOUBLING_COUNT: Final = 8
_MS_PER_S: Final = 1000


@final
@dataclass(frozen=True, slots=True)
class Role:
    """Place of a daemon in the renewal of its failure domain.

    Readers have the level 0; a daemon of another level asks daemons of the
    level below. ``standby_rank`` is the place among those that read the store
    in turn if the reader doesn't, and ``None`` for all others.
    """

    level: int
    standby_rank: int | None


@final
@dataclass(frozen=True, slots=True)
class RenewalSchedule:
    """Ages at which a proof expires and is renewed.

    >>> schedule = RenewalSchedule(5)
    >>> reader, other = Role(0, 0), Role(1, None)
    >>> schedule.renewal_age_s(reader) < schedule.renewal_age_s(other)
    True
    >>> schedule.read_age_s(reader), schedule.read_age_s(other)
    (1.0, 2.5)
    """

    revocation_s: float

    @property
    def expiry_s(self) -> float:
        """Age from which a proof is none."""
        return self.revocation_s - CLOCK_MARGIN_S

    @property
    def retry_s(self) -> float:
        """Time between attempts after a failed one."""
        return self.revocation_s * _RETRY_PART

    def renewal_age_s(self, role: Role, *, can_read: bool = True) -> float:
        """Return the age at which a daemon renews its proof.

        One that can't read the store renews after those that take its place.
        """
        level = role.level if can_read else role.level + _UNABLE_LEVELS
        return self.revocation_s * (_RENEWAL_PART + level * _LEVEL_PART)

    def is_overdue(self, role: Role, age_s: float) -> bool:
        """Return whether a source with an older proof doesn't renew it.

        A source may be a little late, as stores are slow at times.
        """
        due_part = _RENEWAL_PART + role.level * _LEVEL_PART + _OVERDUE_PART
        return age_s >= self.revocation_s * due_part

    def far_age_s(self, role: Role) -> float:
        """Return the age from which other failure domains are asked.

        Traffic between them is expensive, so daemons that read the store do
        that first, and the others wait until one of these has asked.
        """
        if role.standby_rank is None:
            return self.revocation_s * _FAR_PART
        return self.read_age_s(role) + self.revocation_s * _LEVEL_PART

    def read_delay_s(self, role: Role, failed_count: int) -> float:
        """Return the time until the next read after some that failed."""
        max_part = _MAX_READ_DELAY_PART
        if role.standby_rank is None:
            max_part = _MAX_LAST_READ_DELAY_PART
        factor = math.ldexp(1, min(failed_count, _MAX_DOUBLING_COUNT))
        return self.revocation_s * min(_RETRY_PART * factor, max_part)

    def attempt_delay_s(self, role: Role, age_s: float) -> float:
        """Return the time between attempts at a proof of an age.

        A daemon whose turn to read the store comes next doesn't wait longer,
        and one whose proof has expired takes its time.
        """
        if age_s >= self.expiry_s:
            return self.revocation_s * _EXPIRED_RETRY_PART
        until_turn_s = self.read_age_s(role) - age_s
        if 0 < until_turn_s < self.retry_s:
            # Timers may fire early.
            return until_turn_s + self.revocation_s * _OVERDUE_PART
        return self.retry_s

    def search_age_s(self, searched_s: float) -> float:
        """Return the age that counts for a daemon without any proof.

        Daemons that need their first proof at the same time thus don't all
        read the store.
        """
        return self.revocation_s * _RENEWAL_PART + searched_s

    def read_age_s(self, role: Role) -> float:
        """Return the age from which a daemon reads the store itself."""
        if role.standby_rank is None:
            return self.revocation_s * _LAST_READ_PART
        part = _RENEWAL_PART + role.standby_rank * _STANDBY_PART
        return self.revocation_s * part


@final
class FreshnessProof:
    """Youngest proof that this daemon has.

    >>> proof = FreshnessProof()
    >>> proof.note_answer(7, 6, 0.5, 100)
    True
    >>> proof.age_s(101), proof.position
    (1.5, 6)
    >>> proof.note_answer(7, 8, 0, 101)
    False
    """

    __slots__ = ('_proven_at_s', 'position')

    def __init__(self) -> None:
        """Start without a proof."""
        self.position = 0
        self._proven_at_s = -math.inf

    def age_s(self, now_s: float) -> float:
        """Return the age of the proof; infinite without one."""
        return now_s - self._proven_at_s

    def note_read(
        self,
        held_position: int,
        listing: Listing,
        sent_s: float,
        expiry_s: float,
    ) -> bool:
        """Use a linearizable read whose result has been merged.

        ``sent_s`` is when the read was sent, and ``held_position`` that of the
        configuration held since. Return whether the read is proof.

        A listing without a readable configuration leaves open which of the
        readable ones was the last. It is proof only for a daemon that has one
        already. A listing with a newer configuration than the one held, which
        could not be put into force, is none.
        """
        if not held_position:
            return False
        newest = [
            each.version
            for each in listing.objects
            if each.version >= listing.newest_revision
        ]
        is_readable = bool(newest)
        if any(
            position > held_position
            and era_of(position) == era_of(held_position)
            for position in newest
        ):
            return False
        if not is_readable and self.age_s(sent_s) >= expiry_s:
            return False
        self._note(held_position, sent_s)
        return True

    def note_answer(
        self,
        held_position: int,
        position: int,
        age_s: float,
        sent_s: float,
    ) -> bool:
        """Use the proof of a peer; return whether it is one for this daemon.

        ``age_s`` is the age that the peer stated in its answer to a query sent
        at ``sent_s``. The order of positions of different eras is unknown, as
        a restored store may hold an older configuration at a newer position.
        """
        is_covered = position == held_position or (
            position < held_position
            and era_of(position) == era_of(held_position)
        )
        if not position or not is_covered or not age_s >= 0:
            return False
        self._note(position, sent_s - age_s)
        return True

    def _note(self, position: int, proven_at_s: float) -> None:
        if proven_at_s > self._proven_at_s:
            self._proven_at_s = proven_at_s
            self.position = position


def age_to_ms(age_s: float) -> int:
    """Return an age in whole milliseconds, rounded up.

    >>> age_to_ms(0.0101)
    11
    """
    return math.ceil(age_s * _MS_PER_S)
