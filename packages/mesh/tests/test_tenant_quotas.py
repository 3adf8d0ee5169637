"""Quotas of tenants over several sidecars."""

import asyncio
from functools import partial
from types import SimpleNamespace

import msgspec
import pytest
from cornelbeam_core import quota_demand
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.quota_shares import QuotaGrant
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_core.tenants import TenantRule, digest_key
from cornelbeam_mesh import tenant_quotas
from cornelbeam_mesh.forwarded_request import ForwardedRequest
from cornelbeam_wire.gen import messages
from mesh_harness import Lifetime, configuration, paused, wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
TENANT = 'school'
EXCEEDED = 'HTTP/1.1 429 Too Many Requests'
# A token takes ten minutes, and the tolerated excess keeps the buckets small.
SLOW = TenantRule(
    TENANT, (digest_key(b'secret'),), rate_per_s=1 / 600, burst_count=0
)
FAST = TenantRule(
    TENANT, (digest_key(b'secret'),), rate_per_s=200, burst_count=50
)
MANY = 60
LONG_S = 1e9


def put_tenant(harness, rule, version=2) -> None:
    """Write a configuration with one tenant."""
    plain = msgspec.json.decode(configuration(version))
    content = msgspec.json.encode({**plain, 'tenants': (rule,)})
    harness.store.put(SharedKind.CONFIGURATION, 'main', content)


class IdentifyingReader:
    """Reader that takes all requests for those of one tenant."""

    def __init__(self, reader, rule) -> None:
        """Read requests with ``reader``."""
        self._reader = reader
        self._rule = rule

    def read(self, request, started_s):
        """Read a request."""
        forwarded = self._reader.read(request, started_s)
        forwarded.tenant = self._rule
        return forwarded


async def add_nodes(harness, rule, domains=('north', 'north', 'south')):
    """Start nodes whose callers all belong to the tenant."""
    put_tenant(harness, rule)
    nodes = [await harness.add_node(domain) for domain in domains]
    await identify_callers(nodes, rule)
    return nodes


async def identify_callers(nodes, rule, version=2) -> None:
    """Take all requests for those of the tenant."""
    for node in nodes:
        await wait_until(partial(has_version, node, version))
        sidecar = node.sidecar
        sidecar.forwarder._reader = IdentifyingReader(sidecar._reader, rule)


def has_version(node, version) -> bool:
    """Return whether a node has a version of the configuration."""
    return node.sidecar.state.configuration_version == version


def fill(nodes) -> None:
    """Fill the buckets as if the daemons had run for long."""
    for node in nodes:
        node.sidecar.quotas._joined_at_s = -LONG_S


def owners(node) -> list[str]:
    """Return the owners of the tenant as a node asks them."""
    members = node.sidecar.state.members
    return members.owners.owners(TENANT, node.domain)


async def send(node):
    """Send a request of the tenant."""
    return await node.send_request(authorization='Bearer secret')


async def send_many(node, count=MANY) -> list[str]:
    """Send requests at the same time; return the status lines."""
    answered = await asyncio.gather(*(send(node) for _ in range(count)))
    return [status for status, _, _ in answered]


def sent_queries(node) -> int:
    """Return the bytes of queries that a node sent."""
    counter = node.sidecar.metrics._messages
    return counter.labels('quota_request', 'sent')._value.get()


class TestQuota:
    """Guards against a limit exceeded by the sum of all daemons."""

    async def test_all_daemons_share_it(self, harness):
        nodes = await add_nodes(harness, SLOW)
        fill(nodes)
        per_node = await asyncio.gather(*(send_many(node) for node in nodes))
        statuses = [each for some in per_node for each in some]
        assert set(statuses) == {OK, EXCEEDED}
        tolerated = nodes[0].sidecar.settings.bounds.quota_slack_count
        assert 0 < statuses.count(OK) <= tolerated + 1

    async def test_one_daemon_can_use_all_shares(self, harness):
        nodes = await add_nodes(harness, FAST)
        fill(nodes)
        assert set(await send_many(nodes[0])) == {OK}

    async def test_a_fresh_owner_grants_nothing(self, harness):
        nodes = await add_nodes(harness, SLOW)
        assert set(await send_many(nodes[0], 5)) == {EXCEEDED}
        assert not any(node.target.requests for node in nodes)

    async def test_refusals_state_the_delay(self, harness):
        nodes = await add_nodes(harness, SLOW)
        _, fields, _ = await send(nodes[0])
        assert float(fields[b'retry-after']) > 600

    async def test_unlimited_tenants_cost_nothing(self, harness):
        rule = TenantRule(TENANT, (digest_key(b'secret'),))
        nodes = await add_nodes(harness, rule)
        assert set(await send_many(nodes[0], 5)) == {OK}
        assert not any(node.sidecar.quotas._tenants for node in nodes)
        assert not any(sent_queries(node) for node in nodes)

    async def test_a_lowered_limit_is_kept(self, harness):
        nodes = await add_nodes(harness, FAST)
        fill(nodes)
        assert set(await send_many(nodes[0], 9)) == {OK}
        put_tenant(harness, SLOW, version=3)
        await identify_callers(nodes, SLOW, version=3)
        statuses = await send_many(nodes[0])
        assert statuses.count(EXCEEDED) > MANY / 2


class TestMessages:
    """Guards against messages that no token needs."""

    async def test_an_owner_asks_nobody(self, harness):
        nodes = await add_nodes(harness, FAST, ('north',))
        fill(nodes)
        assert set(await send_many(nodes[0], 9)) == {OK}
        assert not sent_queries(nodes[0])

    async def test_refused_requests_send_none(self, harness):
        nodes = await add_nodes(harness, SLOW)
        asking = next(node for node in nodes if node.name not in owners(node))
        with pytest.MonkeyPatch.context() as patch:
            # Refusals last as long as the test.
            patch.setattr(quota_demand, 'MAX_REFUSAL_S', LONG_S)
            await send_many(asking, 5)
            before = sent_queries(asking)
            assert before
            assert set(await send_many(asking)) == {EXCEEDED}
        assert sent_queries(asking) == before

    async def test_waiting_requests_share_a_query(self, harness):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        fill(nodes)
        asking = next(node for node in nodes if node.name != owners(node)[0])
        counts = []
        query = tenant_quotas.TenantQuotas._send

        async def count(quotas, owner, tenant, asked):
            counts.append(asked)
            return await query(quotas, owner, tenant, asked)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(tenant_quotas.TenantQuotas, '_send', count)
            assert set(await send_many(asking)) == {OK}
        assert len(counts) < MANY
        assert sum(counts) >= MANY


class TestExtremeRates:
    """Guards against a wait that doesn't fit into a reply."""

    async def test_a_long_wait_is_answered(self, harness):
        rule = TenantRule(TENANT, (digest_key(b'secret'),), rate_per_s=1e-7)
        nodes = await add_nodes(harness, rule, ('north', 'north'))
        asking = next(node for node in nodes if node.name != owners(node)[0])
        quotas = asking.sidecar.quotas
        grant = await quotas._send(owners(asking)[0], TENANT, 1)
        assert grant.count == 0
        assert grant.wait_s == pytest.approx(tenant_quotas._MAX_WAIT_S)


class TestTokensLeft:
    """Guards against a limit used up by requests that run nowhere."""

    async def test_a_refused_request_leaves_its_token(self, harness):
        nodes = await add_nodes(harness, SLOW, ('north',))
        fill(nodes)
        node = nodes[0]
        node.send_heartbeat(is_draining=True)
        await wait_until(lambda: not node.knows(node))
        for _ in range(MANY):
            status, _, _ = await send(node)
            assert status.startswith('HTTP/1.1 503')
        assert len(node.sidecar.quotas._tenants[TENANT].demand._left) == 1


class TestCancelledRequest:
    """Guards against a token that is lost with the request it was for."""

    async def test_its_token_is_left_for_the_next(self, harness, monkeypatch):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        asking = next(node for node in nodes if node.name != owners(node)[0])
        quotas = asking.sidecar.quotas
        taking = asyncio.create_task(
            quotas._take(FAST, quotas._loop.time() + LONG_S)
        )

        async def grant(*arguments):
            return QuotaGrant(1)

        def cancel(*arguments, **named):
            # The token is granted, and the request does not know it yet.
            taking.cancel()

        monkeypatch.setattr(tenant_quotas.TenantQuotas, '_send', grant)
        monkeypatch.setattr(quota_demand.QuotaDemand, 'note_grant', cancel)
        await asyncio.wait([taking])
        assert taking.cancelled()
        assert len(quotas._tenants[TENANT].demand._left) == 1


class TestOldToken:
    """Guards against tokens used so late that a window exceeds its bound."""

    @pytest.mark.parametrize(('age_s', 'is_renewed'), [(0, False), (2, True)])
    async def test_a_request_that_outlasts_it_is_admitted_again(
        self, harness, age_s, is_renewed
    ):
        nodes = await add_nodes(harness, FAST, ('north',))
        fill(nodes)
        quotas = nodes[0].sidecar.quotas
        granted_s = quotas._loop.time() - age_s
        forwarded = SimpleNamespace(
            tenant=FAST,
            quota_granted_s=granted_s,
            deadline_s=quotas._loop.time() + LONG_S,
        )
        await quotas.renew(forwarded)
        assert (forwarded.quota_granted_s > granted_s) is is_renewed

    async def test_a_long_upload_is_refused_without_a_new_one(
        self, harness, monkeypatch
    ):
        nodes = await add_nodes(harness, SLOW, ('north',))
        fill(nodes)
        quotas = nodes[0].sidecar.quotas
        buffer_body = ForwardedRequest.buffer_body

        async def outlast(forwarded):
            await buffer_body(forwarded)
            forwarded.quota_granted_s -= LONG_S
            quotas._joined_at_s = None

        monkeypatch.setattr(ForwardedRequest, 'buffer_body', outlast)
        status, _, _ = await send(nodes[0])
        assert status == EXCEEDED
        assert not nodes[0].target.requests


class TestOwnersFail:
    """Guards against refusals that an unreachable owner causes."""

    async def test_others_grant_when_an_owner_is_killed(self, harness):
        put_tenant(harness, FAST)
        lifetimes = [Lifetime(harness.group) for _ in range(4)]
        domains = ('north', 'north', 'south', 'south')
        nodes = [
            await harness.add_node(domain, group=lifetime)
            for domain, lifetime in zip(domains, lifetimes, strict=True)
        ]
        fill(nodes)
        names = [node.name for node in nodes]
        asking = next(
            node for node in nodes if node.name not in owners(nodes[0])
        )
        await lifetimes[names.index(owners(asking)[0])].end()
        quotas = asking.sidecar.quotas
        assert await quotas._take(FAST, quotas._loop.time() + 9) > 0
        assert owners(asking)[0] in quotas._suspicions

    async def test_without_any_owner_the_tenant_is_not_blamed(self, harness):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        asking = next(node for node in nodes if node.name != owners(node)[0])
        quotas = asking.sidecar.quotas

        async def fail(*arguments):
            raise CornelbeamError(ErrorCode.PEER_UNREACHABLE, 'test')

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(tenant_quotas.TenantQuotas, '_send', fail)
            status, _, _ = await send(asking)
        assert status.startswith('HTTP/1.1 503')
        assert owners(asking)[0] in quotas._suspicions

    async def test_a_slow_owner_is_trusted_when_it_answers(self, harness):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        asking = next(node for node in nodes if node.name != owners(node)[0])
        quotas = asking.sidecar.quotas
        owner = owners(asking)[0]
        quotas._suspicions.note_silence(owner, quotas._loop.time())
        await quotas._check(owner, TENANT)
        assert owner not in quotas._suspicions

    async def test_an_owner_behind_a_silent_connection_is_left_out(
        self, harness
    ):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        fill(nodes)
        asking = next(node for node in nodes if node.name != owners(node)[0])
        assert (await send(asking))[0] == OK
        quotas = asking.sidecar.quotas
        with paused(asking.sidecar._pool.connections()):
            with pytest.raises(CornelbeamError) as caught:
                await quotas._take(FAST, quotas._loop.time() + LONG_S)
            assert caught.value.code is ErrorCode.PEER_UNREACHABLE
        # The query that followed is answered.
        await wait_until(lambda: owners(asking)[0] not in quotas._suspicions)
        assert (await send(asking))[0] == OK

    async def test_no_request_waits_beyond_its_deadline(self, harness):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        asking = next(node for node in nodes if node.name != owners(node)[0])
        quotas = asking.sidecar.quotas

        async def hang(*arguments):
            await asyncio.Event().wait()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(tenant_quotas.TenantQuotas, '_send', hang)
            with pytest.raises(CornelbeamError) as caught:
                await quotas._take(FAST, quotas._loop.time() + 0.01)
        assert caught.value.code is ErrorCode.DEADLINE_PASSED

    async def test_cancelled_requests_do_not_block_others(self, harness):
        nodes = await add_nodes(harness, SLOW, ('north',))
        fill(nodes)
        quotas = nodes[0].sidecar.quotas
        assert 0 < quotas._grant_own(TENANT, MANY).count < MANY
        waiting = [
            asyncio.ensure_future(quotas._take(SLOW, quotas._loop.time() + 9))
            for _ in range(3)
        ]
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        with pytest.raises(CornelbeamError) as caught:
            await quotas._take(SLOW, quotas._loop.time() + LONG_S)
        assert caught.value.code is ErrorCode.QUOTA_EXCEEDED

    async def test_a_changed_limit_holds_for_requests_that_wait(self, harness):
        """They were read by the configuration before."""
        nodes = await add_nodes(harness, FAST, ('north',))
        fill(nodes)
        put_tenant(harness, SLOW, version=3)
        await wait_until(partial(has_version, nodes[0], 3))
        statuses = await send_many(nodes[0])
        tolerated = nodes[0].sidecar.settings.bounds.quota_slack_count
        assert 0 < statuses.count(OK) <= tolerated

    async def test_a_daemon_that_is_not_the_owner_grants_nothing(self, harness):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        fill(nodes)
        other = next(node for node in nodes if node.name != owners(node)[0])
        grant = other.sidecar.quotas._grant_own(TENANT, 5)
        assert not grant.count
        assert grant.wait_s > 0

    async def test_a_daemon_that_has_not_joined_grants_nothing(self, harness):
        nodes = await add_nodes(harness, FAST, ('north',))
        quotas = nodes[0].sidecar.quotas
        quotas._joined_at_s = None
        assert not quotas._grant_own(TENANT, 5).count

    async def test_a_reply_grants_no_more_than_was_asked_for(self, harness):
        nodes = await add_nodes(harness, FAST, ('north', 'north'))
        asking = next(node for node in nodes if node.name != owners(node)[0])
        quotas = asking.sidecar.quotas

        async def reply(address, **message):
            return messages.Frame(
                stream_id=1,
                quota_grant=messages.QuotaGrant(count=1000, wait_ms=-5),
            )

        quotas._messenger = type('Fake', (), {'ask': staticmethod(reply)})()
        grant = await quotas._send(owners(asking)[0], TENANT, 3)
        assert grant.count == 3
        assert grant.wait_s > 0
