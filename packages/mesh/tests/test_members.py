"""Entries that daemons hold of each other."""

import dataclasses

import msgspec
import pytest
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh.members import (
    MemberEntry,
    Members,
    TargetEntry,
    decode_member,
    encode_member,
)
from cornelbeam_mesh.peer_sync import PeerSync
from mesh_harness import SERVICE, wait_until

pytestmark = pytest.mark.anyio
ADDRESS = '10.0.0.1:9000'
# A start time that no clock of a test reaches.
LATER_MS = 9_000_000_000_000


def entry(name, incarnation, address=ADDRESS):
    """Create the entry of a daemon with a target."""
    target = TargetEntry(f'i-{name}', 1, 1, SERVICE, 8, is_draining=False)
    return MemberEntry(name, 'north', address, incarnation, 1, False, target)


class TestAddresses:
    """Guards against requests to a daemon that another has replaced."""

    def test_later_daemon_takes_an_address_over(self):
        members = Members('own')
        members.update(entry('old', 1))
        members.update(entry('new', 2))
        names = [each.name for each in members.serving(SERVICE, frozenset())]
        assert names == ['new']

    def test_other_addresses_stay(self):
        members = Members('own')
        members.update(entry('one', 1))
        members.update(entry('two', 2, '10.0.0.2:9000'))
        assert len(members.serving(SERVICE, frozenset())) == 2

    def test_earlier_daemon_takes_nothing_over(self):
        members = Members('own')
        members.update(entry('new', 2))
        members.update(entry('old', 1))
        assert members.get('new') is not None


class TestEarlierReleases:
    """Guards against entries that daemons of two releases can't exchange."""

    def test_entry_without_a_version_is_read(self):
        stored = encode_member(entry('one', 1))
        content = stored.content.replace(b',"version":""', b'')
        assert content != stored.content
        decoded = decode_member(dataclasses.replace(stored, content=content))
        assert decoded.target.version == ''


class TestOutdatedEntries:
    """Guards against a flood of pulls after a daemon has restarted."""

    async def test_entry_is_asked_for_once(self, harness, monkeypatch):
        """Five successive requests find the outdated entry."""
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        set_earlier_run(near, far)
        pulls = []
        answer = PeerSync.answer_pull

        def count(peer_sync, stream, pull) -> None:
            pulls.append(pull)
            answer(peer_sync, stream, pull)

        monkeypatch.setattr(PeerSync, 'answer_pull', count)
        for _ in range(5):
            await near.send_request()
        assert [pull.is_own_entry_only for pull in pulls] == [True]

    async def test_entry_of_a_replaced_daemon_is_dropped(self, harness):
        """The daemon now at its address seems to have started earlier."""
        near = await harness.add_node()
        far = await harness.add_node('south')
        members = near.sidecar.state.members
        held = members.get(far.name)
        gone = msgspec.structs.replace(
            held,
            name='gone',
            incarnation=held.incarnation + 1,
        )
        members.update(gone)
        members.update(held)
        await near.sidecar.peer_sync.refresh_entry(gone)
        assert members.get('gone') is None
        assert near.knows(far)

    async def test_next_request_goes_elsewhere(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        set_earlier_run(near, far)
        await near.send_request()
        assert near.sidecar.state.members.record(far.name).is_unreachable


def set_earlier_run(node, other) -> None:
    """Replace a daemon's entry of another one by that of an earlier run."""
    members = node.sidecar.state.members
    held = members.get(other.name)
    members.update(
        msgspec.structs.replace(held, incarnation=held.incarnation - 1),
    )


class TestClockSetBack:
    """Guards against a restarted daemon that its peers take for an old run."""

    async def test_run_that_seems_older_than_the_stored_one_is_found(
        self, harness
    ):
        near = await harness.add_node()
        stored = entry('place-2', LATER_MS, '10.0.0.2:9000')
        stored_object = encode_member(stored)
        key = SharedKind.MEMBER, 'place-2'
        harness.store.objects[key] = stored_object
        await wait_until(lambda: near.sidecar.state.members.get('place-2'))
        far = await harness.add_node('south')
        await wait_until(lambda: knows_run(near, far))

    async def test_daemon_itself_is_believed(self, harness):
        """Its stored entry was lost, and peers hold one of a later time."""
        near = await harness.add_node()
        far = await harness.add_node('south')
        held = near.sidecar.state.members.get(far.name)
        later = msgspec.structs.replace(held, incarnation=LATER_MS)
        near.sidecar.state.merge([encode_member(later)], 'test')
        assert not knows_run(near, far)
        await near.sidecar.peer_sync.refresh_entry(later)
        assert knows_run(near, far)


def knows_run(node, other) -> bool:
    """Return whether a node knows the current run of another daemon."""
    held = node.sidecar.state.members.get(other.name)
    return held.incarnation == other.sidecar._incarnation
