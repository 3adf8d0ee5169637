"""Choice of the daemons that own the shares of tenant quotas."""

import hashlib
from collections import deque
from typing import Final, final

from cornelbeam_core.quota_shares import CHANGE_DELAY_S

__all__ = ('OwnerTable',)

_SCORE_BYTES: Final = 8
# Tenants whose owners are remembered; the oldest are dropped first.
MAX_CACHED_COUNT: Final = 4096
# Departures that are remembered; an earlier one counts for all tenants.
MAX_DEPARTURE_COUNT: Final = 256
# After this time, no window includes requests that an earlier owner granted.
DEPARTURE_AGE_S: Final = 10.0


def score(tenant: str, member: str) -> int:
    """Return the rendezvous score of a daemon for a tenant."""
    digest = hashlib.blake2b(
        f'{tenant}\n{member}'.encode(), digest_size=_SCORE_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')


@final
class OwnerTable:
    """Owners by tenant and failure domain, by rendezvous hashing.

    All daemons with the same member entries choose the same owners, whichever
    daemons they reach. The owners in use are cached, and a change of one member
    costs one hash for each of them, not one for each member.

    >>> owners = OwnerTable()
    >>> owners.place('place-1', 'north')
    >>> owners.place('place-2', 'south')
    >>> owners.owners('school', 'south')
    ['place-2', 'place-1']
    """

    __slots__ = (
        '_cache',
        '_departed',
        '_departures',
        '_domain_count',
        '_domains',
        '_earlier_count',
        '_floor_s',
        '_lessened_at_s',
        '_places',
    )

    def __init__(self) -> None:
        """Start without members."""
        self._places: dict[str, str] = {}
        self._domains: dict[str, set[str]] = {}
        # By tenant, the owner in each domain.
        self._cache: dict[str, dict[str, str]] = {}
        self._departed: list[tuple[str, str]] = []
        # Time, domain and name of members that are gone, oldest first.
        self._departures: deque[tuple[float, str, str]] = deque()
        self._floor_s = float('-inf')
        self._domain_count = 0
        self._earlier_count = 0
        self._lessened_at_s = float('-inf')

    def place(self, name: str, domain: str) -> None:
        """Add a member, or move it to another domain."""
        if self._places.get(name) == domain:
            return
        self.remove(name)
        self._places[name] = domain
        self._domains.setdefault(domain, set()).add(name)
        for tenant, owners in self._cache.items():
            owner = owners.get(domain)
            if owner is None or _rank(tenant, name) > _rank(tenant, owner):
                owners[domain] = name

    def remove(self, name: str) -> None:
        """Remove a member that is leaving or gone."""
        domain = self._places.pop(name, None)
        if domain is None:
            return
        self._departed.append((domain, name))
        names = self._domains[domain]
        names.discard(name)
        if not names:
            self._domains.pop(domain)
        # They are chosen again when needed.
        self._cache = {
            tenant: owners
            for tenant, owners in self._cache.items()
            if owners.get(domain) != name
        }

    def note_changes(self, now_s: float) -> None:
        """Record the time of the changes since the last call."""
        for domain, name in self._departed:
            self._departures.append((now_s, domain, name))
        self._departed.clear()
        while len(self._departures) > MAX_DEPARTURE_COUNT:
            self._floor_s = self._departures.popleft()[0]
        while self._departures and self._is_old(now_s):
            self._departures.popleft()
        count = len(self._domains)
        if count < self._domain_count:
            self._earlier_count = self._domain_count
            self._lessened_at_s = now_s
        self._domain_count = count

    def domain_count(self, now_s: float) -> int:
        """Return the number of domains that share a quota.

        A domain that is gone counts for a moment, as other daemons may not
        know yet.
        """
        if now_s - self._lessened_at_s < CHANGE_DELAY_S:
            return max(self._earlier_count, len(self._domains))
        return len(self._domains)

    def owners(self, tenant: str, own_domain: str) -> list[str]:
        """Return the owners of a tenant, that in the own domain first.

        The others follow in an order that differs between the domains that
        ask, so that they share the load.
        """
        found = self._choose(tenant)
        others = sorted(
            (domain for domain in found if domain != own_domain),
            key=lambda domain: score(f'{tenant}\n{own_domain}', domain),
        )
        near = [found[own_domain]] if own_domain in found else []
        return near + [found[domain] for domain in others]

    def owned_since(self, tenant: str, name: str) -> float | None:
        """Return since when a member owns a share, ``None`` if it does not.

        The time is negative infinity if it is longer ago than what is known.
        """
        domain = self._places.get(name)
        if domain is None or self._choose(tenant).get(domain) != name:
            return None
        since_s = self._floor_s
        own_rank = _rank(tenant, name)
        for departed_at_s, departed_domain, departed in self._departures:
            is_before = departed_domain == domain and departed != name
            if is_before and _rank(tenant, departed) > own_rank:
                since_s = max(since_s, departed_at_s)
        return since_s

    def _is_old(self, now_s: float) -> bool:
        return self._departures[0][0] < now_s - DEPARTURE_AGE_S

    def _choose(self, tenant: str) -> dict[str, str]:
        found = self._cache.get(tenant)
        if found is None:
            if len(self._cache) >= MAX_CACHED_COUNT:
                self._cache.pop(next(iter(self._cache)))
            found = {
                domain: max((_rank(tenant, name) for name in names))[1]
                for domain, names in self._domains.items()
            }
            self._cache[tenant] = found
        return found


def _rank(tenant: str, name: str) -> tuple[int, str]:
    """Return a score that no two members share."""
    return score(tenant, name), name
