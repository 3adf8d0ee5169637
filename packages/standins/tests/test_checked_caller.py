"""Tests of the audit of calls and of the TCP link."""

import random

import anyio
from cornelbeam_standins.checked_caller import (
    CallRecord,
    CheckedCaller,
    CheckResult,
)
from cornelbeam_standins.tcp_link import Direction, TcpLink


def record(key, check_result, ran=''):
    """Make a record of a booking."""
    return CallRecord(key, 'POST', '/booking', check_result, '', ran, 0, 0, '')


class TestAudit:
    """Guards against an audit that overlooks a broken invariant."""

    def test_each_broken_claim_is_found(self):
        caller = CheckedCaller([], random.Random(1))
        caller.records = [
            record('twice', CheckResult.CUT),
            record('denied', CheckResult.REFUSED, 'no'),
            record('missing', CheckResult.WHOLE),
            record('mixed up', CheckResult.WRONG),
            record('fine', CheckResult.WHOLE),
            record('open', CheckResult.REFUSED, 'unknown'),
        ]
        audit = caller.audit(
            {'key': key, 'count': 2 if key == 'twice' else 1}
            for key in ('twice', 'denied', 'fine', 'open')
        )
        assert audit.duplicate_runs == ('twice',)
        assert audit.false_not_run_claims == ('denied',)
        assert audit.answers_without_run == ('missing',)
        assert audit.wrong == ('mixed up',)
        assert not audit.is_clean


class TestLink:
    """Guards against a held link that loses bytes or new connections."""

    def test_held_bytes_arrive_late_and_new_connections_work(self):
        async def echo(stream):
            async with stream:
                async for data in stream:
                    await stream.send(data)

        async def body():
            target = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = target.extra(anyio.abc.SocketAttribute.local_port)
            async with (
                target,
                anyio.create_task_group() as group,
                TcpLink(0, f'127.0.0.1:{port}') as link,
            ):
                group.start_soon(target.serve, echo)
                await check(link)
                group.cancel_scope.cancel()

        async def check(link):
            async with await anyio.connect_tcp('127.0.0.1', link.port) as old:
                await old.send(b'1')
                assert await old.receive() == b'1'
                assert link.hold(Direction.TO_TARGET) == 1
                await old.send(b'2')
                async with await anyio.connect_tcp(
                    '127.0.0.1',
                    link.port,
                ) as new:
                    await new.send(b'3')
                    assert await new.receive() == b'3'
                link.release()
                assert await old.receive() == b'2'

        anyio.run(body)
