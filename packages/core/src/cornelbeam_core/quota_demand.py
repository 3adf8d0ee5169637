"""Demand of one daemon for the tokens of a tenant."""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.quota_shares import (
    MAX_REFUSAL_S,
    MAX_TOKEN_AGE_S,
    QuotaGrant,
)
from cornelbeam_core.tenants import TenantRule

__all__ = ('SUSPICION_S', 'OwnerSuspicions', 'QuotaDemand')

# An owner that did not answer is queried again after this time.
SUSPICION_S: Final = 0.5
# Longest time without queries to an owner in another failure domain that has
# granted nothing. Under overload its own domain uses its tokens, and each
# daemon would ask it for every refused request.
MAX_FAR_REFUSAL_S: Final = 2.0
# Unsuccessful queries after which it is left alone for longer. One caller that
# uses all shares meets a few of them between grants.
UNSUCCESSFUL_QUERY_COUNT: Final = 3
# Requests refused here are told of at most this time because of each other.
# The daemon does not know which of them come again.
MAX_TURN_S: Final = 2.0


@final
@dataclass(frozen=True, slots=True)
class _Refusal:
    """An owner has no token before ``ready_at_s``.

    It is not asked before ``until_s``. ``unsuccessful_count`` is the number of
    queries in a row that it granted nothing, without those before the time for
    which it had stated a token.
    """

    ready_at_s: float
    until_s: float
    unsuccessful_count: int


@final
class OwnerSuspicions:
    """Owners that did not answer; they count as empty until they do."""

    __slots__ = ('_retry_at_s',)

    def __init__(self) -> None:
        """Start without suspicions."""
        self._retry_at_s: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        """Return whether an owner is suspected."""
        return name in self._retry_at_s

    def note_silence(self, name: str, now_s: float) -> None:
        """Suspect an owner that did not answer."""
        self._retry_at_s[name] = now_s + SUSPICION_S

    def clear(self, name: str) -> None:
        """Trust an owner again that has answered."""
        self._retry_at_s.pop(name, None)

    def retain(self, is_member: Callable[[str], bool]) -> None:
        """Forget owners that are no longer members."""
        self._retry_at_s = {
            name: retry_at_s
            for name, retry_at_s in self._retry_at_s.items()
            if is_member(name)
        }

    def first_trusted(self, names: Iterable[str]) -> str | None:
        """Return the first owner that is not suspected."""
        return next((name for name in names if name not in self), None)

    def due(self, names: Iterable[str], now_s: float) -> list[str]:
        """Return the suspected owners to query now.

        They are due again after ``SUSPICION_S``.
        """
        found = [
            name
            for name in names
            if self._retry_at_s.get(name, float('inf')) <= now_s
        ]
        for name in found:
            self._retry_at_s[name] = now_s + SUSPICION_S
        return found


@final
class QuotaDemand:
    """Tokens left over here, and the owners known to be empty.

    >>> demand = QuotaDemand()
    >>> demand.keep(granted_s=1)
    >>> demand.take(now_s=1.5, age_s=1)
    1
    >>> demand.take(now_s=1.5, age_s=1) is None
    True
    """

    __slots__ = ('_left', '_promised_at_s', '_refusals')

    def __init__(self) -> None:
        """Start without tokens."""
        # Times of the grants, oldest first.
        self._left: deque[float] = deque()
        self._refusals: dict[str, _Refusal] = {}
        self._promised_at_s = float('-inf')

    def keep(self, granted_s: float) -> None:
        """Keep a token that was not used for the next request."""
        self._left.append(granted_s)

    def take(self, now_s: float, age_s: float) -> float | None:
        """Take a token granted at most ``age_s`` ago; return its time."""
        while self._left:
            granted_s = self._left.popleft()
            if now_s - granted_s <= age_s:
                return granted_s
        return None

    def note_grant(
        self,
        owner: str,
        asked_count: int,
        grant: QuotaGrant,
        now_s: float,
        *,
        is_first: bool,
    ) -> None:
        """Ask an owner that granted too few tokens no more for a while.

        ``is_first`` says that no owner comes before it. Any other one is left
        alone for longer after several unsuccessful queries.
        """
        if grant.count >= asked_count:
            self._refusals.pop(owner, None)
            return
        unsuccessful_count = 0
        if not is_first and not grant.count:
            earlier = self._refusals.get(owner)
            unsuccessful_count = 1
            if earlier is not None:
                # The owner of a small share is asked before its next token is
                # due, and pausing it for that would lose later tokens.
                unsuccessful_count = earlier.unsuccessful_count
                if now_s >= earlier.ready_at_s:
                    unsuccessful_count += 1
        pause_s = min(grant.wait_s, MAX_REFUSAL_S)
        if unsuccessful_count >= UNSUCCESSFUL_QUERY_COUNT:
            pause_s = MAX_FAR_REFUSAL_S
        self._refusals[owner] = _Refusal(
            now_s + grant.wait_s, now_s + pause_s, unsuccessful_count
        )

    def next_owner(
        self,
        owners: Iterable[str],
        suspicions: OwnerSuspicions,
        now_s: float,
        asked: Collection[str] = (),
    ) -> str | None:
        """Return the first owner not yet ``asked`` that may have a token."""
        for owner in owners:
            refusal = self._refusals.get(owner)
            is_empty = refusal is not None and now_s < refusal.until_s
            is_asked = owner in asked or owner in suspicions
            if not is_empty and not is_asked:
                return owner
        return None

    def refuse(
        self,
        rule: TenantRule,
        owners: Iterable[str],
        suspicions: OwnerSuspicions,
        now_s: float,
    ) -> float | None:
        """Return after how many seconds a refused request can expect a token.

        Requests refused one after the other are told of different times, as a
        token serves only one. Return ``None`` if no owner has answered.
        """
        ready_at_s = min(
            (
                max(
                    self._refusals[owner].ready_at_s,
                    self._refusals[owner].until_s,
                )
                for owner in owners
                if owner in self._refusals and owner not in suspicions
            ),
            default=None,
        )
        if ready_at_s is None:
            return None
        in_turn_s = self._promised_at_s + 1 / rule.rate_per_s
        self._promised_at_s = max(
            now_s, ready_at_s, min(in_turn_s, now_s + MAX_TURN_S)
        )
        return self._promised_at_s - now_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing is lost if this object is dropped."""
        is_kept = any(
            now_s - granted_s <= MAX_TOKEN_AGE_S for granted_s in self._left
        )
        is_refused = any(
            now_s < refusal.ready_at_s for refusal in self._refusals.values()
        )
        return not (is_kept or is_refused) and self._promised_at_s <= now_s
