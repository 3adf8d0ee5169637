"""Owners of the shares of tenant quotas."""

import random

from cornelbeam_core.quota_owners import DEPARTURE_AGE_S, OwnerTable
from cornelbeam_core.quota_shares import CHANGE_DELAY_S

DOMAINS = ('north', 'south', 'west')
MEMBERS = tuple(
    (f'place-{number}', DOMAINS[number % 3]) for number in range(65)
)
TENANTS = tuple(f'tenant-{number}' for number in range(75))


def make_table(members=MEMBERS) -> OwnerTable:
    table = OwnerTable()
    for name, domain in members:
        table.place(name, domain)
    table.note_changes(0)
    return table


class TestChoice:
    """Guards against daemons that choose different owners."""

    def test_the_order_of_arrival_does_not_matter(self):
        shuffled = list(MEMBERS)
        random.Random(7).shuffle(shuffled)
        tables = make_table(), make_table(shuffled)
        for tenant in TENANTS:
            one, other = (table.owners(tenant, 'north') for table in tables)
            assert one == other

    def test_the_own_domain_comes_first(self):
        table = make_table()
        places = dict(MEMBERS)
        for tenant in TENANTS:
            for domain in DOMAINS:
                owners = table.owners(tenant, domain)
                found = [places[owner] for owner in owners]
                assert found[0] == domain
                assert sorted(found) == sorted(DOMAINS)

    def test_shares_spread_over_the_daemons(self):
        table = make_table()
        counts = dict.fromkeys(dict(MEMBERS), 0)
        for number in range(3000):
            for owner in table.owners(f'tenant-{number}', 'north'):
                counts[owner] += 1
        assert min(counts.values()) > 80
        assert max(counts.values()) < 220

    def test_a_change_moves_only_what_it_must(self):
        """The cache follows changes as a new table would choose."""
        table = make_table()
        rng = random.Random(7)
        present = dict(MEMBERS)
        for number in range(200):
            for tenant in TENANTS:
                table.owners(tenant, 'north')
            name = f'place-{rng.randrange(80)}'
            if name in present:
                present.pop(name)
                table.remove(name)
            else:
                present[name] = rng.choice((*DOMAINS, f'new-{number}'))
                table.place(name, present[name])
            fresh = make_table(present.items())
            for tenant in TENANTS[:8]:
                expected = fresh.owners(tenant, 'north')
                assert table.owners(tenant, 'north') == expected

    def test_an_empty_view_has_no_owners(self):
        assert not OwnerTable().owners('school', 'north')


class TestOwnedSince:
    """Guards against a share granted by an old and a new owner."""

    def test_the_next_in_line_owns_from_the_departure_on(self):
        table = make_table()
        first = table.owners('school', 'north')[0]
        table.remove(first)
        table.note_changes(5)
        second = table.owners('school', 'north')[0]
        assert second != first
        assert table.owned_since('school', second) == 5
        assert table.owned_since('school', first) is None

    def test_the_departure_of_others_changes_nothing(self):
        table = make_table()
        owner = table.owners('school', 'north')[0]
        for name, _ in MEMBERS:
            if name != owner:
                table.remove(name)
        table.note_changes(5)
        assert table.owned_since('school', owner) == float('-inf')

    def test_departures_are_forgotten(self):
        table = make_table()
        table.remove(table.owners('school', 'north')[0])
        table.note_changes(5)
        table.note_changes(5 + DEPARTURE_AGE_S + 1)
        owner = table.owners('school', 'north')[0]
        assert table.owned_since('school', owner) == float('-inf')

    def test_more_departures_than_are_kept_count_for_all(self):
        table = make_table(
            (f'place-{number}', 'north') for number in range(600)
        )
        for number in range(500):
            table.remove(f'place-{number}')
        table.note_changes(5)
        owner = table.owners('school', 'north')[0]
        assert table.owned_since('school', owner) == 5


class TestDomainCount:
    """Guards against shares that grow before all daemons know of it."""

    def test_a_domain_that_is_gone_counts_for_a_moment(self):
        table = make_table((('a', 'north'), ('b', 'south')))
        table.remove('b')
        table.note_changes(5)
        assert table.domain_count(5.1) == 2
        assert table.domain_count(5 + CHANGE_DELAY_S) == 1

    def test_a_new_domain_counts_at_once(self):
        table = make_table((('a', 'north'),))
        table.place('b', 'south')
        assert table.domain_count(5) == 2
