"""Calls that a daemon gives up though their target is at work."""

import asyncio

import pytest

pytestmark = pytest.mark.anyio
HEAD = b' /a HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n\r\n'


class TestSilentPeer:
    """Guards against calls that are given up when a connection is silent."""

    @pytest.mark.parametrize('method', [b'GET', b'POST'])
    async def test_call_in_work_is_answered_after_a_silence(
        self, remote, method
    ):
        has_begun, may_answer = asyncio.Event(), asyncio.Event()
        heads = []

        async def answer_late(reader, writer) -> None:
            heads.append(await reader.readuntil(b'\r\n\r\n'))
            has_begun.set()
            await may_answer.wait()
            writer.write(remote.backend.answer)

        remote.backend.script = answer_late
        reader, writer = await remote.open()
        writer.write(method + HEAD)
        await has_begun.wait()
        for connection in remote.pool.connections():
            connection.note_silent()
        may_answer.set()
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert len(heads) == 1
