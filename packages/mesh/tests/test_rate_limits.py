"""Targets that state how many requests a second they accept."""

import asyncio
from functools import partial

import pytest
from cornelbeam_core.routes import RequestKind, ServiceShare
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_mesh import target_probe
from fake_target import TARGET_HOST
from mesh_harness import (
    SERVICE,
    configuration,
    paused,
    route,
    wait_until,
)

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'
LIMIT_FIELD = b'x-limit: 2'
WINDOW_S = 4
BOUND = 17
REQUEST_COUNT = 40
CONCURRENCY = 4
# A longer time than the period, with short pauses.
PERIOD_S = 1.9
PAUSE_S = 0.2
MEASUREMENT_COUNT = 12


def state_limit(target) -> None:
    """Let a target state its limit in all answers."""

    async def answer(writer, attempt) -> None:
        writer.write(target.whole(attempt, extra=(LIMIT_FIELD,)))

    target.script = answer
    target.state_in_health(LIMIT_FIELD)


async def send_many(node, count=REQUEST_COUNT, **request):
    """Send requests from one instance, a few at a time; return the statuses."""
    statuses = []

    async def send_some() -> None:
        for _ in range(count // CONCURRENCY):
            status, _, _ = await node.send_request(**request)
            statuses.append(status)

    async with asyncio.TaskGroup() as group:
        for _ in range(CONCURRENCY):
            group.create_task(send_some())
    return statuses


def busiest_window(target) -> int:
    """Return the most requests that a target got within a window."""
    times_s = target.received_at_s
    return max(
        sum(first_s <= each < first_s + WINDOW_S for each in times_s)
        for first_s in times_s
    )


async def limit_node(harness, domain='north'):
    """Add an instance whose target has stated its limit."""
    node = await harness.add_node(domain)
    state_limit(node.target)
    await node.send_request()
    return node


class TestStatedLimit:
    """Guards against more requests than a target in need accepts.

    One and a half times the rate in four seconds, plus five, are tolerated.
    """

    async def test_calls_go_where_there_is_room(self, harness):
        near = await limit_node(harness)
        far = await harness.add_node('south')
        assert set(await send_many(near)) == {OK}
        assert busiest_window(near.target) <= BOUND
        assert len(far.target.requests) >= REQUEST_COUNT - BOUND

    async def test_all_callers_share_the_limit(self, harness):
        limited = await limit_node(harness)
        others = [await harness.add_node('south') for _ in range(2)]
        answered = await asyncio.gather(
            *(send_many(node) for node in (limited, *others))
        )
        assert all(set(statuses) == {OK} for statuses in answered)
        assert busiest_window(limited.target) <= BOUND

    async def test_bookings_keep_it(self, harness):
        near = await limit_node(harness)
        await harness.add_node('south')
        request = {'path': '/book/1', 'method': 'POST', 'body': b'one load'}
        assert set(await send_many(near, **request)) == {OK}
        assert busiest_window(near.target) <= BOUND

    async def test_retries_keep_it(self, harness):
        """The other target fails, so that all its requests come here."""
        limited = await limit_node(harness)
        failing = await harness.add_node('south')
        failing.target.script = failing.target.fail
        await send_many(failing, count=20)
        assert busiest_window(limited.target) <= BOUND

    async def test_nested_calls_keep_it(self, harness):
        near = await limit_node(harness)
        await harness.add_node('south')
        statuses = await send_many(near, from_host=TARGET_HOST)
        assert set(statuses) == {OK}
        assert busiest_window(near.target) <= BOUND

    async def test_overload_of_all_is_refused_with_a_delay(self, harness):
        node = await limit_node(harness)
        answered = await asyncio.gather(
            *(node.send_request() for _ in range(REQUEST_COUNT))
        )
        assert busiest_window(node.target) <= BOUND
        refused = [each for each in answered if each[0] != OK]
        assert len(refused) >= REQUEST_COUNT - BOUND
        assert all(b'retry-after' in fields for _, fields, _ in refused)

    async def test_second_attempts_beside_a_silent_peer_keep_it(self, harness):
        limited = await limit_node(harness)
        silent = await harness.add_node('south')
        near = await harness.add_node('south')
        near.send_heartbeat(is_draining=True)
        silent.target.script = silent.target.hang
        async with asyncio.TaskGroup() as group:
            waiting = group.create_task(near.send_request())
            await silent.target.is_hanging.wait()
            with paused(near.sidecar._pool.connections()):
                await wait_until(lambda: len(limited.target.requests) > 1)
                silent.target.script = silent.target.answer
                await send_many(near, count=12)
            await waiting
        assert busiest_window(limited.target) <= BOUND

    async def test_probes_go_on_and_lift_it(self, harness):
        """No caller sends a request that would learn of the end."""
        node = await limit_node(harness)
        limit = node.sidecar._gate.rate_limit
        assert limit.is_active
        node.target.script = node.target.answer
        node.target.health_script = node.target.answer_health
        await wait_until(lambda: not limit.is_active)


class TestWeights:
    """Guards against a service that gets the share of one in need."""

    async def test_weights_hold_under_a_limit(self, harness):
        shares = ServiceShare(SERVICE, 1), ServiceShare('yards', 1)
        split = route('split', RequestKind.IDEMPOTENT, shares=shares)
        services = (SERVICE, 'yards')
        harness.store.put(
            SharedKind.CONFIGURATION,
            'main',
            configuration(2, (split,), services),
        )
        limited = await limit_node(harness)
        other = await harness.add_node('south', 'yards')
        statuses = await send_many(other, count=16, path='/split/1')
        assert statuses.count(OK) >= 8
        assert len(other.target.requests) == 8
        assert busiest_window(limited.target) <= BOUND


class TestColdTarget:
    """Guards against full load on a target that has just turned cold."""

    async def test_late_heartbeat_does_not_end_the_cold_time(self, harness):
        """It was sent before the health answer that it arrives after."""
        node = await harness.add_node()
        gate = node.sidecar._gate
        loop = asyncio.get_running_loop()
        node.target.state_in_health(b'x-cold: 3000')
        await wait_until(lambda: gate.is_cold(loop.time()))
        node.send_heartbeat()
        assert gate.is_cold(loop.time())

    async def test_calls_that_are_sent_again_count(self, harness):
        """Connections break after the target has run a request."""
        node = await harness.add_node()
        gate = node.sidecar._gate
        loop = asyncio.get_running_loop()
        target = node.target

        async def break_every_second(writer, attempt) -> None:
            if len(target.requests) % 2:
                await target.answer(writer, attempt)
            else:
                writer.transport.abort()

        await send_many(node, count=8)
        target.state_in_health(b'x-cold: 9000')
        await wait_until(lambda: gate.is_cold(loop.time()))
        target.script = break_every_second
        cold_from = len(target.received_at_s)
        await send_many(node, count=30)
        arrivals_s = target.received_at_s[cold_from:]
        for at_s in arrivals_s:
            window = [each for each in arrivals_s if at_s <= each < at_s + 1]
            # 5 a second by the service, times 1.5, and 5.
            assert len(window) <= 12

    async def test_busy_target_is_probed_in_time(self, harness, monkeypatch):
        """Its next probe after the period would come too late."""
        monkeypatch.setattr(target_probe, 'PROBE_PERIOD_S', 3600)
        node = await harness.add_node()
        gate = node.sidecar._gate
        loop = asyncio.get_running_loop()
        node.target.state_in_health(b'x-cold: 9000')
        started_count = 0
        while not gate.is_cold(loop.time()):
            await node.send_request()
            started_count += 1
        # 5 a second by the service, times 1.5, and 5.
        assert started_count <= 12


class TestIdleTarget:
    """Guards against probes that cost more than the requests."""

    async def test_probes_for_requests_take_the_place_of_others(
        self, harness, monkeypatch
    ):
        monkeypatch.setattr(target_probe, 'PROBE_PERIOD_S', PERIOD_S)
        node = await harness.add_node()
        probe = node.sidecar._probe
        probed = []

        async def count_probe(writer, attempt) -> None:
            probed.append(attempt)
            await node.target.answer_health(writer, attempt)

        await wait_until(partial(has_no_probe, probe))
        node.target.health_script = count_probe
        for number in range(1, MEASUREMENT_COUNT + 1):
            await probe.measure_speed()
            await wait_until(partial(has_no_probe, probe))
            await wait_until(partial(is_past, probe._probed_at_s + PAUSE_S))
            assert len(probed) == number


def is_past(at_s) -> bool:
    """Return whether the event loop is past a time."""
    return asyncio.get_running_loop().time() > at_s


def has_no_probe(probe) -> bool:
    """Return whether no probe is on its way."""
    return probe._pending_probe is None
