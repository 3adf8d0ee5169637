"""Stand-in of an application target, as PROTOCOL.md describes it."""

import asyncio
import time

from http_io import call, read_body, read_head, render


class Target:
    """One lifetime or several of a target at one address.

    ``work_s`` is how long a request runs. Runs are recorded when they begin.
    """

    def __init__(self, record, address, service, zone, control, **options):
        self.record = record
        self.address = address
        self.service = service
        self.zone = zone
        # Where its heartbeats go: the daemon on its machine.
        self.control = control
        self.instance = options.get('instance', f'i-{address}')
        self.slots = options.get('slots', 6)
        self.beat_s = options.get('beat_s', 1.5)
        self.work_s = options.get('work_s', 0.05)
        self.tells_load = options.get('tells_load', True)
        # Error of the time of day on this machine.
        self.clock_error_ms = 0
        self.born = 0
        self.sequence = 0
        self.state = 'ready'
        self.is_beating = True
        self.running = 0
        self.runs = []
        self.beat_answers = []
        self._server = None
        self._writers = set()
        self._beats = None
        self._tasks = set()

    def now_ms(self):
        """Time of day on this machine."""
        return int(time.time() * 1000) + self.clock_error_ms

    async def start(self):
        """Begin a lifetime; it knows nothing of the one before."""
        self.born = self.now_ms()
        self.sequence = 0
        self.state = 'ready'
        self.is_beating = True
        self.running = 0
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )
        self._beats = asyncio.ensure_future(self._beat_forever())
        self.record(
            'target starts', instance=self.instance, born=self.born
        )

    async def end(self, why='ends'):
        """End a lifetime at once."""
        self.record(f'target {why}', instance=self.instance)
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._server = None
        self.running = 0

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        import json

        body = json.dumps(
            {
                'address': self.address,
                'information': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'capacity_slots': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'cold_remaining_ms': 0,
                },
                'born': self.born,
            }
        ).encode()
        return await self._tell('Heartbeat', body)

    async def leave(self):
        """Send that it leaves; return whether it was acknowledged."""
        import json

        self.state = 'left'
        body = json.dumps({'born': self.born}).encode()
        return await self._tell('Leave', body)

    async def _tell(self, what, body):
        path = f'/cornelbeam/Instances.{what}/{self.instance}'
        try:
            answer = await call(
                self.control,
                'POST',
                path,
                [('content-type', 'application/json')],
                body,
                timeout_s=1.0,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        is_confirmed = 200 <= answer.status < 300
        if what == 'Leave' or self.state == 'draining':
            self.record(
                f'{what} answered',
                instance=self.instance,
                state=self.state,
                sequence=self.sequence,
                status=answer.status,
            )
        return is_confirmed

    async def _beat_forever(self):
        while True:
            if self.is_beating:
                await self.beat()
            await asyncio.sleep(self.beat_s)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                request.body = await read_body(reader, request)
                if not await self._answer(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The lifetime has ended.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.close()

    def _load_fields(self):
        if not self.tells_load:
            return []
        return [('x-instance-load', f'{self.running},0,{self.slots},100')]

    async def _answer(self, request, writer):
        method, path, _ = request.start.split(' ')
        if path == '/health':
            is_leaving = self.state != 'ready'
            writer.write(
                render(
                    'HTTP/1.1 503 Leaving' if is_leaving else 'HTTP/1.1 200 OK',
                    [('x-instance-id', self.instance), *self._load_fields()],
                )
            )
            return True
        attempt = request.get('x-attempt-id')
        common = [('x-attempt-id', attempt), *self._load_fields()]
        expected = request.get('x-expected-instance')
        if expected and expected != self.instance:
            writer.write(
                render(
                    'HTTP/1.1 421 Misdirected Request',
                    [*common, ('x-instance-id', self.instance)],
                )
            )
            return True
        if self.running >= self.slots:
            writer.write(
                render(
                    'HTTP/1.1 503 Service Unavailable',
                    [*common, ('x-not-executed', '1')],
                )
            )
            return True
        return await self.run(request, writer, attempt, method, path, common)

    async def run(self, request, writer, attempt, method, path, common):
        """Run a request and answer it."""
        self.running += 1
        entry = {
            'at': time.monotonic(),
            'instance': self.instance,
            'attempt': attempt,
            'method': method,
            'path': path,
            'body': len(request.body),
            'caller_service': request.get('x-caller-service'),
            'tenant': request.get('x-tenant'),
        }
        self.runs.append(entry)
        self.record('run', instance=self.instance, attempt=attempt, path=path)
        born = self.born
        try:
            await asyncio.sleep(self.work_s)
        finally:
            if born == self.born:
                self.running -= 1
        writer.write(
            render(
                'HTTP/1.1 200 OK',
                [*common, ('x-response-signature', f's-{attempt}')],
                f'{self.instance} ran {attempt}'.encode(),
            )
        )
        await writer.drain()
        return True
