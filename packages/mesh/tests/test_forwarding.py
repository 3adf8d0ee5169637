"""Forwarding of requests by one or more sidecars to scripted targets."""

import asyncio

import pytest
from fake_target import read_message
from mesh_harness import head, wait_until

pytestmark = pytest.mark.anyio
OK = 'HTTP/1.1 200 OK'


class TestWholeAnswers:
    """Guards against answers that are incomplete or belong to others."""

    async def test_answer_is_passed_on_unchanged(self, harness):
        node = await harness.add_node()
        status, fields, body = await node.send_request()
        assert (status, body) == (OK, b'whole body')
        assert fields[b'x-signature'] == b's'

    async def test_foreign_answer_is_skipped(self, harness):
        """The target first sends a late answer of another request."""
        node = await harness.add_node()
        node.target.script = node.target.answer_foreign_first
        _, fields, body = await node.send_request()
        assert (fields[b'x-attempt'], body) == (b'a1', b'whole body')

    @pytest.mark.parametrize('fault', ['truncate', 'encode', 'drop'])
    async def test_damaged_answer_is_fetched_elsewhere(self, harness, fault):
        near = await harness.add_node()
        await harness.add_node('south')
        near.target.script = getattr(near.target, fault)
        status, _, body = await near.send_request()
        assert (status, body) == (OK, b'whole body')

    async def test_truncated_booking_is_not_a_success(self, harness):
        node = await harness.add_node()
        node.target.script = node.target.truncate
        status, _, _ = await node.send_request('/book/1', 'POST', b'sand')
        assert status.startswith('HTTP/1.1 502')


class TestRunsOnce:
    """Guards against bookings that run twice, or run after a refusal."""

    async def test_lost_answer_is_not_repeated(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.target.script = near.target.drop
        status, _, _ = await near.send_request('/book/1', 'POST', b'sand')
        assert status.startswith('HTTP/1.1 502')
        assert len(near.target.requests) == 1
        assert not far.target.requests

    async def test_refused_booking_goes_elsewhere(self, harness):
        near = await harness.add_node()
        far = await harness.add_node('south')
        near.target.script = near.target.shed
        status, _, _ = await near.send_request('/book/1', 'POST', b'sand')
        assert status == OK
        assert far.target.requests[0][2] == b'sand'

    async def test_refused_everywhere_may_come_back(self, harness):
        node = await harness.add_node()
        node.target.script = node.target.shed
        status, fields, _ = await node.send_request('/book/1', 'POST', b'sand')
        assert status.startswith('HTTP/1.1 503')
        assert float(fields[b'retry-after']) > 0
        assert len(node.target.requests) == 1

    async def test_read_runs_on_as_many_targets_as_allowed(self, harness):
        nodes = [await harness.add_node() for _ in range(3)]
        for node in nodes:
            node.target.script = node.target.fail
        status, _, _ = await nodes[0].send_request()
        assert status == 'HTTP/1.1 500 Internal Server Error'
        assert sum(len(node.target.requests) for node in nodes) == 2


class TestHeads:
    """Guards against request heads or bodies that reach a target altered.

    Callers must not be able to forge the fields that only daemons set.
    """

    async def test_control_fields_are_the_daemons_own(self, harness):
        node = await harness.add_node()
        await node.send_request(
            x_caller='forged', x_expected='i-9', x_remaining='900'
        )
        _, fields, _ = node.target.requests[0]
        assert fields[b'x-caller'] == b'windows'
        assert fields[b'x-expected'] == b'i-1'
        assert 0 < int(fields[b'x-remaining']) <= 900

    async def test_chunked_body_arrives_whole(self, harness):
        node = await harness.add_node()
        reader, writer = await asyncio.open_connection(
            *node.addresses['callers'].split(':'),
        )
        sent = head('/book/1', 'POST', transfer_encoding='chunked')
        sent = sent.replace(b'content-length: 0\r\n', b'')
        writer.write(sent)
        writer.write(b'2\r\nsa\r\n')
        writer.write(b'2\r\nnd\r\n0\r\n\r\n')
        assert (await read_message(reader))[0] == OK
        assert node.target.requests[0][2] == b'sand'
        writer.close()

    async def test_unknown_route(self, harness):
        node = await harness.add_node()
        status, _, _ = await node.send_request('/other/')
        assert status.startswith('HTTP/1.1 404')
        assert not node.target.requests


class TestTime:
    """Guards against waits and work that are of no use to the caller."""

    async def test_silent_target_ends_at_the_time_limit(self, harness):
        node = await harness.add_node()
        node.target.script = node.target.hang
        status, _, _ = await node.send_request(
            '/book/1', 'POST', x_remaining='200'
        )
        assert status.startswith('HTTP/1.1 504')

    async def test_caller_that_leaves_stops_the_work(self, harness):
        node = await harness.add_node()
        node.target.script = node.target.hang
        _, writer = await asyncio.open_connection(
            *node.addresses['callers'].split(':'),
        )
        writer.write(head('/read/1'))
        await node.target.is_hanging.wait()
        writer.close()
        await wait_until(lambda: not node.sidecar.admission.work_count)
