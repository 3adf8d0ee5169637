"""Two daemons in processes of their own, and what memory they take.

Callers reach the first daemon; the only target is beside the second one.
"""

import asyncio
from pathlib import Path

from cornelbeam_standins.fleet import Fleet
from soak_fleet import (
    DOMAINS,
    SERVICE,
    BackendAddress,
    Machine,
    Platform,
    make_configuration,
)
from soak_messages import Server, read_head

# Above it, a body is refused.
BODY_LIMIT_BYTES = 4 * 1_048_576
# Memory of a machine that would be far too small for the daemon: the budget for
# buffers follows it.
MACHINE_MB = 32
ANSWER = b'a' * 300_000
_READ_BYTES = 65_536


class Target(Server):
    """A target that reads bodies and drops them, so it takes no memory."""

    instance = 'i-1'

    async def serve_one(self, reader, writer) -> bool:
        """Answer with ``ANSWER`` below ``/idempotent/big``, else shortly."""
        first, fields = await read_head(reader)
        path = first.split()[1]
        if fields.get('transfer-encoding') == 'chunked':
            await _skip_chunks(reader)
        left_bytes = int(fields.get('content-length', 0))
        while left_bytes:
            part = await reader.read(min(left_bytes, _READ_BYTES))
            if not part:
                return False
            left_bytes -= len(part)
        content = ANSWER if '/big' in path else b'ok'
        writer.write(
            b'HTTP/1.1 200 OK\r\nx-instance-id: %b\r\nx-attempt-id: %b\r\n'
            b'x-response-signature: s\r\nx-instance-load: 0,0,40\r\n'
            b'content-length: %d\r\n\r\n%b'
            % (
                self.instance.encode(),
                fields.get('x-attempt-id', '').encode(),
                len(content),
                content,
            )
        )
        return True


async def _skip_chunks(reader) -> None:
    size_bytes = 1
    while size_bytes:
        size_bytes = int(await reader.readuntil(b'\r\n'), 16)
        await reader.readexactly(size_bytes + 2)


class MeshPair:
    """Two daemons for routes by host and path."""

    method = 'POST'

    def __init__(self, folder, body_limit_bytes=BODY_LIMIT_BYTES) -> None:
        """Prepare the processes; settings and logs are in ``folder``."""
        self._platform = Platform()
        limits = {
            'header_bytes': 16_384,
            'body_bytes': body_limit_bytes,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        }
        self._platform.store.put(
            'config', 'main', make_configuration() | {'limits': limits}
        )
        self.target = Target()
        self._machines = [
            Machine(
                number,
                DOMAINS[number],
                self._platform,
                self.target,
                folder,
                {'memory_mb': MACHINE_MB},
            )
            for number in range(2)
        ]
        self._beat = None

    @property
    def address(self) -> str:
        """Address for callers."""
        return self._machines[0].listeners['callers']

    @property
    def pids(self) -> list[int]:
        """Process ids of the daemons."""
        return [each.pid for each in self._machines]

    @property
    def fields(self) -> tuple[str, ...]:
        """Fields of a request to the service."""
        return ('host: yard',)

    async def start(self) -> None:
        """Start all processes."""
        await self._platform.start()
        await self.target.start()
        for machine in self._machines:
            await machine.start()
        self._beat = asyncio.ensure_future(self._machines[1].beat())

    async def stop(self) -> None:
        """Stop all processes; fail if a daemon has ended by itself."""
        self._beat.cancel()
        for machine in self._machines:
            await machine.stop()
        await self.target.stop()
        await self._platform.stop()


class DaemonPair:
    """Two processes of ``cornelbeam-daemon``."""

    method = 'PUT'

    def __init__(self, folder, body_limit_bytes=BODY_LIMIT_BYTES) -> None:
        """Prepare the processes; settings are in ``folder``."""
        self._fleet = Fleet(folder)
        self._fleet.settings = {
            'fleet': {'ping_period_ms': 200, 'view_period_ms': 500},
            'limits': {
                'body_bytes': body_limit_bytes,
                'memory_mb': MACHINE_MB,
                'queue_ms': 5000,
                'queue_count': 200,
            },
        }
        self.target = Target()
        for name, service in (('place-0', 'edge'), ('place-1', SERVICE)):
            node = self._fleet.add(name, service, 'north')
            node.backend.close()
            node.backend = BackendAddress(self.target.address)

    @property
    def address(self) -> str:
        """Address for callers."""
        node = self._fleet.nodes['place-0']
        return node.caller_url.removeprefix('http://')

    @property
    def pids(self) -> list[int]:
        """Process ids of the daemons."""
        return [each.daemon.pid for each in self._fleet.nodes.values()]

    @property
    def fields(self) -> tuple[str, ...]:
        """Fields of a request to the service."""
        return (f'host: {SERVICE}.mesh',)

    async def start(self) -> None:
        """Start all processes."""
        await self.target.start()
        await asyncio.to_thread(self._fleet.start)

    async def stop(self) -> None:
        """Stop all processes; fail if a daemon has ended by itself."""
        has_ended = [
            node.name
            for node in self._fleet.nodes.values()
            if not node.daemon.is_running
        ]
        await asyncio.to_thread(self._fleet.__exit__, None, None, None)
        await self.target.stop()
        assert not has_ended


def read_peak_bytes(pid) -> int:
    """Return the highest resident memory that a process has had."""
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmHWM:')
    )
    return int(line.split()[1]) * 1024


def count_descriptors(pid) -> int:
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in Path(f'/proc/{pid}/fd').iterdir())
