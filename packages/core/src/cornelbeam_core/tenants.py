"""Tenants, and the look-up of their API keys.

Only digests of keys are held: no log line or memory dump shows a key, and the
time of a look-up tells nothing about one, as the digest of a guess is unrelated
to that of a similar key.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, final

__all__ = ('TenantRule', 'TenantTable', 'digest_key')

_DIGEST_ALGORITHM: Final = 'sha256'


def digest_key(key: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of an API key.

    >>> digest_key(b'secret')[:8]
    '2bb80d53'
    """
    return hashlib.new(_DIGEST_ALGORITHM, key).hexdigest()


@final
@dataclass(frozen=True, slots=True)
class TenantRule:
    """Tenant: its keys, and the quota of all daemons together.

    ``priority`` replaces that of the route if it is set. In any time of ``t``
    seconds, at most ``rate_per_s * t + burst_count`` requests are admitted;
    a rate of zero means no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0
    burst_count: float = 0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.rate_per_s > 0


@final
class TenantTable:
    """Find tenants by key and by name, in constant time.

    >>> rule = TenantRule('school', (digest_key(b'secret'),))
    >>> table = TenantTable([rule])
    >>> table.find(digest_key(b'secret')).name
    'school'
    >>> table.find(digest_key(b'guess')) is None
    True
    """

    __slots__ = ('_by_digest', '_by_name')

    def __init__(self, tenants: Iterable[TenantRule]) -> None:
        """Index tenants; their names and keys must be unique."""
        rules = tuple(tenants)
        self._by_name = {rule.name: rule for rule in rules}
        self._by_digest = {
            digest: rule for rule in rules for digest in rule.key_digests
        }

    def find(self, digest: str) -> TenantRule | None:
        """Return the tenant that holds the key with a digest."""
        return self._by_digest.get(digest)

    def get(self, name: str) -> TenantRule | None:
        """Return the tenant with a name."""
        return self._by_name.get(name)
