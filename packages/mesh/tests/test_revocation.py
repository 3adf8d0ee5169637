"""Daemons refuse keys without proof that their configuration is current."""

from functools import partial

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.shared_objects import (
    SharedKind,
    SharedObject,
    store_position,
)
from cornelbeam_mesh import configuration_freshness, store_sync
from cornelbeam_wire.gen import messages
from mesh_harness import (
    BOUNDS,
    Node,
    configuration,
    paused,
    wait_until,
)
from revocation_fleet import (
    Fleet,
    has_lost_store,
    script_answers,
    serves,
    tenant_configuration,
    until_younger,
)

pytestmark = pytest.mark.anyio
REVOCATION_S = 5


@pytest.fixture
def fleet(harness, monkeypatch):
    """Return a fleet whose settings bound revocation."""
    monkeypatch.setitem(BOUNDS, 'revocation_ms', REVOCATION_S * 1000)
    return Fleet(harness)


@pytest.fixture
def _frozen_clock(monkeypatch) -> None:
    """Keep proofs from ageing, so that nothing renews them."""
    for module in (configuration_freshness, store_sync):
        monkeypatch.setattr(module, 'read_boot_time_s', lambda: 1000)


class TestStart:
    """Guards against a start that refuses keys, or asks the store again."""

    @pytest.mark.usefixtures('_frozen_clock')
    async def test_first_listing_is_proof(self, fleet):
        node = await fleet.harness.add_node()
        assert serves(node)
        assert fleet.harness.store.fresh_list_count == 3

    async def test_nothing_happens_without_the_setting(
        self, harness, monkeypatch
    ):
        fleet = Fleet(harness)
        node = await fleet.add()
        fleet.forward(3600)
        assert serves(node)
        assert not fleet.stores[node.name].read_count
        assert b'proof_age' not in node.sidecar.metrics.render()

    async def test_nothing_is_renewed_without_tenants(self, fleet):
        fleet.harness.store.put(
            SharedKind.CONFIGURATION, 'main', configuration(2)
        )
        node = await fleet.add()
        fleet.forward(3600)
        await wait_until(lambda: not node.sidecar.freshness._wake.is_set())
        assert not fleet.stores[node.name].read_count
        fleet.publish(3)
        await wait_until(partial(serves, node))
        assert fleet.stores[node.name].read_count == 1


class TestExpiry:
    """Guards against a daemon that serves keys after the bound."""

    async def test_suspended_process_refuses_until_it_has_proof(self, fleet):
        node = await fleet.add()
        fleet.clocks[node.name].offset_s += REVOCATION_S
        with pytest.raises(CornelbeamError) as caught:
            node.sidecar.freshness.check()
        assert caught.value.code is ErrorCode.CONFIGURATION_STALE
        assert caught.value.run_state is RunState.NOT_RUN
        assert caught.value.http_status == 503
        assert caught.value.retry_after_ms > 0
        await until_younger(node, 1)
        assert serves(node)
        exported = node.sidecar.metrics.render()
        assert b'stale_refusals_total 1.0' in exported

    async def test_outage_of_the_store_ends_service_and_calls(self, fleet):
        """Until 0.6 of the bound, keys are served."""
        nodes = await fleet.add_domain(3)
        fleet.cut(*nodes)
        fleet.forward(0.6 * REVOCATION_S)
        assert all(serves(node) for node in nodes)
        fleet.forward(0.4 * REVOCATION_S)
        assert not any(serves(node) for node in nodes)
        for node in nodes:
            await wait_until(partial(has_lost_store, node))
            freshness = node.sidecar.freshness
            freshness._next_read_s = float('-inf')
            attempt_count = fleet.stores[node.name].attempt_count
            await freshness._read(freshness._schedule)
            assert fleet.stores[node.name].attempt_count == attempt_count
        fleet.cut(*nodes, is_cut=False)
        for node in nodes:
            await wait_until(partial(serves, node))


class TestSources:
    """Guards against store calls of each daemon, and against lost sources."""

    async def test_others_learn_from_the_reader(self, fleet):
        reader, *others = await fleet.add_domain(4)
        fleet.forward(1.25, reader)
        await until_younger(reader, 1)
        fleet.forward(1.25, *others)
        for node in others:
            await until_younger(node, 1)
        assert fleet.stores[reader.name].read_count
        assert not any(fleet.stores[node.name].read_count for node in others)

    async def test_store_that_serves_one_daemon_serves_all(self, fleet):
        """The reader of each domain is refused."""
        near = await fleet.add_domain(3)
        far = await fleet.add_domain(2, 'south')
        fleet.cut(*far, *near[:2])
        fleet.forward(3)
        for node in (*near, *far):
            await until_younger(node, 3)
        assert fleet.stores[near[2].name].read_count

    async def test_domain_without_the_store_asks_another(self, fleet):
        near = await fleet.add_domain(2)
        far = await fleet.add_domain(2, 'south')
        fleet.cut(*near)
        fleet.forward(REVOCATION_S)
        for node in (*near, *far):
            await wait_until(partial(serves, node))

    async def test_one_way_link_to_the_reader(self, fleet):
        """The reader gets no queries, so the next daemon reads."""
        reader, standby, other = await fleet.add_domain(3)
        fleet.cut(other)
        # A connection that is opened later would not be paused.
        for node in (standby, other):
            await wait_until(partial(is_connected, node, reader))
        with paused(reader.sidecar._peer_endpoint.acceptor.connections):
            fleet.forward(REVOCATION_S)
            assert not serves(other)
            await wait_until(partial(serves, other))
        assert fleet.stores[standby.name].read_count


class TestAnswers:
    """Guards against answers that are taken for more than they prove."""

    async def test_late_answer_is_as_old_as_its_query(self, fleet):
        _, node = await fleet.add_domain(2)
        position = node.sidecar.state.configuration_position
        clock = fleet.clocks[node.name]

        def answer_late():
            clock.offset_s += 3
            return messages.ConfigurationAge(position=position, age_ms=1000)

        script_answers(node, answer_late)
        fleet.cut(node)
        clock.offset_s += 1.25
        node.sidecar.freshness._wake.set()
        await wait_until(lambda: clock.offset_s > 4)
        assert node.sidecar.freshness.age_s() >= 4

    async def test_proof_for_a_newer_position_or_none_is_not_used(self, fleet):
        _, node = await fleet.add_domain(2)
        position = node.sidecar.state.configuration_position
        answers = [
            messages.ConfigurationAge(position=position + 1, age_ms=0),
            messages.ConfigurationAge(position=position),
            messages.ConfigurationAge(position=position, age_ms=-1),
            None,
        ]
        unused = list(answers)
        script_answers(node, lambda: unused.pop() if unused else answers[0])
        fleet.cut(node)
        fleet.forward(REVOCATION_S)
        await wait_until(lambda: not unused)
        assert not serves(node)

    async def test_daemon_without_proof_states_none(self, fleet):
        """An expired proof is not passed on."""
        reader, node = await fleet.add_domain(2)
        fleet.cut(reader, node)
        fleet.forward(REVOCATION_S)
        frame = await node.sidecar._messenger.ask(
            reader.addresses['peers'],
            configuration_age_query=messages.ConfigurationAgeQuery(),
        )
        assert frame.configuration_age.age_ms is None
        assert not serves(node)


class TestRestoredStore:
    """Guards against keys that an older copy of the store holds again."""

    @pytest.mark.usefixtures('_frozen_clock')
    async def test_first_listing_is_proof_once_peers_were_asked(self, fleet):
        fleet.harness.store.revision = store_position(2, 7)
        fleet.publish(8)
        node = await fleet.harness.add_node()
        await wait_until(partial(serves, node))
        assert fleet.harness.store.fresh_list_count == 3

    def restore(self, harness, version) -> None:
        """Replace the store by a copy with a version of the configuration."""
        harness.store.revision = store_position(2, 3)
        harness.store.put(
            SharedKind.CONFIGURATION, 'main', tenant_configuration(version)
        )

    async def test_reads_prove_nothing_until_the_store_is_settled(
        self, fleet, monkeypatch
    ):
        monkeypatch.setattr(store_sync, 'RESTORE_SETTLE_S', 3600)
        fleet.harness.store.revision = store_position(1, 7)
        fleet.publish(8)
        node = await fleet.add()
        fleet.harness.store.are_watches_silent = True
        self.restore(fleet.harness, 5)
        fleet.forward(3)
        sync = node.sidecar.store_sync
        await sync.read_configuration()
        assert not sync.is_settled
        assert node.sidecar.freshness.age_s() > 3
        sync._settled_at_s = float('-inf')
        await sync.read_configuration()
        assert node.sidecar.freshness.age_s() < 3
        assert node.sidecar.state.configuration_version == 8

    async def test_daemon_that_starts_waits_for_what_peers_hold(self, fleet):
        fleet.harness.store.revision = store_position(1, 7)
        fleet.publish(8)
        await fleet.add()
        self.restore(fleet.harness, 5)
        node = Node(9, 'north', fleet.harness.store)
        fleet.harness.nodes.append(node)
        await node.start(fleet.harness.group)
        await wait_until(partial(serves, node))
        assert node.sidecar.state.configuration_version == 8

    async def test_configuration_of_another_era_is_pulled(self, fleet):
        """Positions don't show that the peer holds a newer one."""
        fleet.harness.store.revision = store_position(2, 7)
        fleet.publish(5)
        reader, node = await fleet.add_domain(2)
        lost = SharedObject(
            SharedKind.CONFIGURATION,
            'main',
            store_position(1, 9),
            is_deleted=False,
            content=tenant_configuration(8),
            authored_version=8,
        )
        reader.sidecar.state.merge([lost], 'test')
        await reader.sidecar.store_sync.read_configuration()
        fleet.forward(1.25)
        state = node.sidecar.state
        await wait_until(lambda: state.configuration_version == 8)
        await until_younger(node, 1)


def is_connected(node, other) -> bool:
    """Return whether a sidecar has a connection to another node's."""
    pool = node.sidecar._pool
    return bool(pool.ready_connection(other.addresses['peers']))
