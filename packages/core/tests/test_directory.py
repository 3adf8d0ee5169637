"""Tests that views, contacts and introducers stay bounded and current."""

import random

from cornelbeam_core.directory import (
    CONTACTS_PER_SERVICE,
    VIEW_LIMIT,
    ContactTable,
    ServiceDirectory,
    answer_caller,
    answer_member,
    choose_contacts,
    is_contact,
)
from cornelbeam_core.introducers import (
    MIN_INTRODUCER_COUNT,
    CheckIntroducer,
    IntroducerMonitor,
    WriteIntroducers,
)
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.relays import choose_relays
from cornelbeam_standins.membership_simulation import make_target

ADDRESSES = [f'10.0.0.{index}:7000' for index in range(6)]


def make_updates(count, state=MemberState.ALIVE, incarnation=1):
    return [
        MemberUpdate(make_target(index, incarnation), state)
        for index in range(count)
    ]


class TestDirectory:
    """Guards against stale targets and views without a size limit."""

    def make(self):
        return ServiceDirectory(('windows',), view_period_ms=1000)

    def ask(self, directory, introducers, now_s, rng):
        requests = directory.tick(introducers, now_s, rng)
        assert len(requests) == 1
        return requests[0]

    def test_view_follows_the_members(self):
        directory, rng = self.make(), random.Random(1)
        request = self.ask(directory, ADDRESSES, 0, rng)
        assert request.address in choose_contacts('windows', ADDRESSES)
        directory.on_answer(answer_caller('windows', '', make_updates(4), 'me'))
        request = self.ask(directory, ADDRESSES, 2, rng)
        assert request.address not in ADDRESSES
        same = answer_caller('windows', request.digest, make_updates(4), 'me')
        assert same.is_unchanged and not directory.on_answer(same)
        assert directory.on_answer(
            answer_caller('windows', request.digest, make_updates(2), 'me')
        )
        assert len(list(directory.targets('windows'))) == 2

    def test_old_run_does_not_come_back(self):
        directory = self.make()
        new = make_updates(1, incarnation=2)[0]
        directory.on_update(new)
        directory.on_answer(answer_caller('windows', '', make_updates(1), 'me'))
        assert list(directory.members('windows')) == [new]

    def test_leaving_target_gets_no_new_work(self):
        directory = self.make()
        directory.on_update(make_updates(1)[0])
        directory.on_update(make_updates(1, MemberState.LEAVING)[0])
        assert not list(directory.targets('windows'))

    def test_failed_request_turns_to_a_contact(self):
        directory, rng = self.make(), random.Random(1)
        directory.on_answer(answer_caller('windows', '', make_updates(4), 'me'))
        directory.on_failure('windows', now_s=0)
        assert not directory.tick(ADDRESSES, 0.5, rng)
        request = self.ask(directory, ADDRESSES, 1, rng)
        assert request.address in ADDRESSES

    def test_large_service_is_answered_in_bounded_parts(self):
        all_members = make_updates(200)
        first = answer_caller('windows', '', all_members, 'me')
        fewer = answer_caller('windows', '', all_members[1:], 'me')
        assert len(first.members) == VIEW_LIMIT
        names = {each.target.name for each in first.members}
        kept = {each.target.name for each in fewer.members}
        assert len(names - kept) <= 1
        part = answer_member('windows', '', all_members, random.Random(1))
        assert len(part.members) == VIEW_LIMIT

    def test_contacts_are_bounded_and_expire(self):
        contacts = ContactTable(ttl_s=90)
        for update in make_updates(CONTACTS_PER_SERVICE + 5):
            contacts.note(update, 0)
        answer = contacts.answer('windows', 1)
        assert len(answer.members) == CONTACTS_PER_SERVICE
        directory = self.make()
        directory.on_answer(answer_caller('windows', '', make_updates(3), 'me'))
        directory.on_answer(answer)
        assert len(list(directory.members('windows'))) > CONTACTS_PER_SERVICE
        contacts.expire(90)
        assert not contacts.answer('windows', 90).members


class TestIntroducers:
    """Guards against missing introducers and against bursts of writes."""

    def test_loss_of_a_relay_moves_only_its_place(self):
        first = choose_relays(ADDRESSES, 'Langley')
        rest = set(ADDRESSES) - {first[0]}
        assert choose_relays(rest, 'Langley')[0] == first[1]
        assert choose_relays(sorted(rest), 'Langley', 1) == (first[1],)

    def test_few_of_many_daemons_write_first(self):
        rng = random.Random(1)
        monitors = [
            IntroducerMonitor('Langley', f'10.1.0.{index}:7000')
            for index in range(800)
        ]
        for monitor in monitors:
            monitor.tick((), 0, 0, rng)
        writes_s = []
        for tick in range(100):
            for monitor in monitors:
                if monitor.tick((), 0, tick / 10, rng):
                    writes_s.append(tick / 10)
        # The others see the first write within two seconds and do not write.
        early = [at_s for at_s in writes_s if at_s < writes_s[0] + 2]
        assert len(early) < 40

    def test_lost_introducers_are_replaced(self):
        monitor = IntroducerMonitor('Langley', '10.1.0.1:7000')
        rng = random.Random(1)
        lost = set(ADDRESSES[MIN_INTRODUCER_COUNT - 1 :])
        writes = []
        for tick in range(3000):
            now_s = tick / 10
            for action in monitor.tick(ADDRESSES, 8, now_s, rng):
                if isinstance(action, CheckIntroducer):
                    is_live = action.address not in lost
                    monitor.note_check(
                        action.address, now_s, is_reachable=is_live
                    )
                else:
                    writes.append(action)
        wanted = (*ADDRESSES[: MIN_INTRODUCER_COUNT - 1], '10.1.0.1:7000')
        assert writes[0] == WriteIntroducers('Langley', wanted, 8)


class TestContacts:
    """Guards against announcements that grow with the size of a service."""

    def test_few_members_of_a_large_service_are_contacts(self):
        names = [f'photos-{number}' for number in range(100)]
        contacts = [name for name in names if is_contact('photos', name, names)]
        assert len(contacts) == CONTACTS_PER_SERVICE

    def test_all_members_of_a_small_service_are_contacts(self):
        names = ['photos-1', 'photos-2']
        assert all(is_contact('photos', name, names) for name in names)
