"""Requests that crash the backend servers which run them."""

import pytest

pytestmark = pytest.mark.anyio
DEADLY = (
    b'GET /deadly HTTP/1.1\r\nhost: windows.mesh\r\nconnection: close\r\n\r\n'
)
# What operators of the platform tolerate.
MAX_CRASH_COUNT = 3


class TestDeadlyRequest:
    """Guards against a request that crashes backend servers without an end."""

    async def test_it_is_refused_after_three_crashes(self, remote):
        heads = []

        async def crash(reader, writer) -> None:
            heads.append(await reader.readuntil(b'\r\n\r\n'))

        remote.backend.script = crash
        for _ in range(MAX_CRASH_COUNT + 2):
            await remote.ask(DEADLY)
            await remote.restart_backend()
        assert len(heads) <= MAX_CRASH_COUNT
