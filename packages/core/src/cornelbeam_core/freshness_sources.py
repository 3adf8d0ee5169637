"""Choice of the daemons that read the store, and of those that others ask.

In each failure domain the daemons form a tree by their rendezvous ranks. The
first is the reader, each daemon asks one of the level below, and none is asked
by more than ``FAN_OUT`` others while all have the same entries. Ranks follow
the member entries and not who answers, so they are the same on both sides of a
partition.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.freshness_proof import Role
from cornelbeam_core.relays import rank_rendezvous

# Daemons in turn that read the store for a failure domain if the reader
# doesn't, the reader included. If the store serves a third of the daemons, it
# refuses all four in one of five domains, which then ask another domain.
STANDBY_COUNT: Final = 4
# Each asks about once a second; two levels reach 4,000 daemons of a domain.
FAN_OUT: Final = 64
# Readers of other failure domains that one daemon asks.
_FAR_COUNT: Final = 3
# Sources that a daemon asks in one attempt after all of them have failed.
_TURN_COUNT: Final = 2
# Distinguishes these ranks from those of other choices among the same names.
_KEY: Final = 'configuration freshness'


@final
@dataclass(frozen=True, slots=True)
class SourcePlan:
    """Role of a daemon, and the names of the daemons to ask in order.

    ``preceding`` are those that read the store before this one.
    """

    role: Role
    near: tuple[str, ...]
    far: tuple[str, ...]
    preceding: tuple[str, ...] = ()

    def role_without(self, failed: Collection[str]) -> Role:
        """Return the role while some daemons don't answer.

        >>> SourcePlan(Role(1, 1), ('a',), (), ('a',)).role_without(['a'])
        Role(level=0, standby_rank=0)
        """
        rank = self.role.standby_rank
        if rank is None:
            return self.role
        rank -= sum(name in failed for name in self.preceding)
        return Role(self.role.level if rank else 0, rank)


def plan_sources(own_name: str, domains: Mapping[str, str]) -> SourcePlan:
    """Plan for a daemon; ``domains`` holds those of all daemons by name.

    ``near`` are daemons of its own failure domain, ``far`` the readers of the
    others.

    >>> plan = plan_sources('a', {'a': 'north', 'b': 'south'})
    >>> plan.role, plan.near, plan.far
    (Role(level=0, standby_rank=0), (), ('b',))
    """
    ranks = _rank_domains(domains)
    own_domain = domains[own_name]
    ranked = ranks.pop(own_domain)
    own_rank = ranked.index(own_name)
    near = dict.fromkeys(
        (*_parents(ranked, own_rank), *ranked[:STANDBY_COUNT]),
    )
    near.pop(own_name, None)
    is_standby = own_rank < STANDBY_COUNT
    return SourcePlan(
        Role(_find_level(own_rank)[0], own_rank if is_standby else None),
        tuple(near),
        rank_rendezvous(own_name, (others[0] for others in ranks.values()))[
            :_FAR_COUNT
        ],
        ranked[:own_rank] if is_standby else (),
    )


def order_sources(
    plan: SourcePlan, failed: Collection[str], *, is_far_allowed: bool
) -> tuple[str, ...]:
    """Return whom to ask, those that have failed lately last in their part.

    >>> plan = SourcePlan(Role(1, None), ('a', 'b'), ('c',))
    >>> order_sources(plan, ['a'], is_far_allowed=True)
    ('b', 'a', 'c')
    """
    near = sorted(plan.near, key=failed.__contains__)
    far = sorted(plan.far, key=failed.__contains__) if is_far_allowed else ()
    return (*near, *far)


def take_turn(names: tuple[str, ...], attempt_count: int) -> tuple[str, ...]:
    """Return a few of the names, others with each attempt.

    In an outage of the store, all daemons ask each other.

    >>> take_turn(('a', 'b', 'c', 'd'), 1)
    ('c', 'd')
    >>> take_turn(('a', 'b', 'c', 'd'), 2)
    ('a', 'b')
    """
    if not names:
        return ()
    first = attempt_count * _TURN_COUNT % len(names)
    return (names[first:] + names[:first])[:_TURN_COUNT]


def _rank_domains(domains: Mapping[str, str]) -> dict[str, tuple[str, ...]]:
    names: dict[str, list[str]] = {}
    for name, domain in domains.items():
        names.setdefault(domain, []).append(name)
    return {
        each: rank_rendezvous(_KEY, members) for each, members in names.items()
    }


def _find_level(rank: int) -> tuple[int, int, int]:
    """Return the level of a rank, its first rank and its size."""
    level, first, size = 0, 0, 1
    while rank >= first + size:
        first += size
        size *= FAN_OUT
        level += 1
    return level, first, size


def _parents(ranked: tuple[str, ...], rank: int) -> tuple[str, ...]:
    """Return the daemon to ask of the level below, and a second one."""
    level, first, size = _find_level(rank)
    if not level:
        return ()
    parent_size = size // FAN_OUT
    parent_first = first - parent_size
    place = rank - first
    places = (place % parent_size, (place + 1) % parent_size)
    return tuple(ranked[parent_first + each] for each in places)
