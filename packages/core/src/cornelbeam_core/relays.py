"""Choice of the daemons that watch the store for a failure domain."""

import hashlib
from collections.abc import Iterable
from typing import Final

RELAY_COUNT: Final = 2


def rank_rendezvous(key: str, addresses: Iterable[str]) -> tuple[str, ...]:
    """Sort addresses by their rendezvous hash with a key, best first.

    Every daemon that knows the same addresses gets the same order, and
    removing one address does not reorder the others (Thaler, Ravishankar
    1998).
    """
    return tuple(
        sorted(
            set(addresses),
            key=lambda address: (_hash_pair(key, address), address),
        ),
    )


def choose_relays(
    live_introducers: Iterable[str],
    domain: str,
    count: int = RELAY_COUNT,
) -> tuple[str, ...]:
    """Choose the relays of a failure domain from its live introducers.

    Daemons that disagree on which introducers are live choose different
    relays. Two sets of relays at the same time only cost a few more watches.

    >>> chosen = choose_relays(('10.0.0.1:1', '10.0.0.2:1'), 'Langley', 1)
    >>> len(chosen)
    1
    """
    return rank_rendezvous(domain, live_introducers)[:count]


def _hash_pair(key: str, address: str) -> bytes:
    # The separator cannot occur in a name or an address.
    return hashlib.blake2b(f'{key}\n{address}'.encode()).digest()
