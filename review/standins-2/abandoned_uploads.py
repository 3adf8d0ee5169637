"""Descriptors that stay open after uploads that their consumers abandon.

No case: it reads the descriptors and the memory of a daemon, which clients
can't see. Targets take no body, and consumers leave after 0.25 s of 0.5 s. It
prints both figures before, after and ten seconds after the load.
"""

import asyncio
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

from fleet import Fleet, Record, manifest, run_case
from http_io import read_head
from platform_store import Store
from target import Target

FRONT = 'front-desk'
INTAKE = 'plan-intake'
BODY_BYTES = 4_000_000
LOAD_S = 40
CONSUMER_COUNT = 60
# A small window, so that little of a body is on its way.
RECEIVE_BYTES = 16_384


class HungTarget(Target):
    """Answers health checks and reads no body."""

    async def start(self):
        """Begin the lifetime."""
        host, _, port = self.address.rpartition(':')
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.bind((host, int(port)))
        self.born = self.now_ms()
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=RECEIVE_BYTES, backlog=512
        )
        self._beats = asyncio.ensure_future(self._beat_forever())

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                if not request.start.startswith('GET /health'):
                    await asyncio.sleep(5)
                    return
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


def figures(process):
    """Return the open descriptors and the resident MB of a process."""
    folder = Path(f'/proc/{process.pid}')
    pages = int((folder / 'statm').read_text().split()[1])
    resident = pages * os.sysconf('SC_PAGE_SIZE') // 1_000_000
    return len(os.listdir(folder / 'fd')), resident


async def abandon(machine, until_s, counts):
    """Send uploads and leave each of them."""
    host, _, port = machine.outbound.rpartition(':')
    body = b'u' * BODY_BYTES
    while time.monotonic() < until_s:
        counts.append(1)
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            continue
        head = (
            'POST /up/1 HTTP/1.1\r\nhost: front.example\r\n'
            f'x-attempt-id: u{len(counts)}\r\nx-deadline-remaining: 500\r\n'
            f'content-length: {BODY_BYTES}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        await asyncio.sleep(0.25)
        writer.transport.abort()
        await asyncio.sleep(0.3)


async def main():
    with tempfile.NamedTemporaryFile() as record_file:
        record = Record(record_file.name)
        fleet, store, targets = Fleet(record), Store(record), []
        try:
            store.put(
                'config',
                'main',
                manifest(
                    7, [('up', 'upload', '/up/', INTAKE)], [FRONT, INTAKE]
                ),
            )
            for number in range(4):
                machine = fleet.add('depot-north', INTAKE if number else FRONT)
                await store.listen(machine.store_address)
                targets.append(
                    HungTarget(
                        record,
                        machine.addresses['app'],
                        machine.service,
                        machine.zone,
                        machine.addresses['control'],
                        instance=f'i-{number}',
                        slots=18,
                    )
                )
            for machine, target in zip(fleet.machines, targets):
                await machine.start()
                await target.start()
            await fleet.wait_ready()
            await asyncio.sleep(2)
            first, counts = fleet.machines[0], []
            sys.stdout.write(f'before: {figures(first.process)}\n')
            until_s = time.monotonic() + LOAD_S
            await asyncio.gather(
                *(
                    abandon(first, until_s, counts)
                    for _ in range(CONSUMER_COUNT)
                )
            )
            await asyncio.sleep(3)
            sys.stdout.write(
                f'after {len(counts)} uploads: {figures(first.process)}\n'
            )
            await asyncio.sleep(10)
            sys.stdout.write(f'10 s later: {figures(first.process)}\n')
            errors = first.log_text().count('Transport endpoint is not')
            sys.stdout.write(f'errors in the log: {errors}\n')
        finally:
            for target in targets:
                await target.end()
            await fleet.close()
            await store.close()
    return 0


if __name__ == '__main__':
    sys.exit(run_case(main))
