"""Stand-ins of the platform, targets and consumers, and the real daemons.

Only the standard library is used. The daemons are separate processes that are
started with the command of deploy/system.toml; the stand-ins live in the
process of the script, on loopback addresses and the real clock.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: one line for each event, with seconds since start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def __call__(self, *words):
        line = f'{self.now_s():8.3f} ' + ' '.join(str(word) for word in words)
        self._file.write(line + '\n')
        self._file.flush()
        return self.now_s()


async def read_head(reader):
    """Return the first line and the fields (lower case) of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return a whole body with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                await reader.readuntil(b'\r\n')
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get('content-length', 0)))


def message(first_line, fields, body=b''):
    lines = [first_line, *(f'{name}: {value}' for name, value in fields.items())]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class Store:
    """The platform's metadata store: objects, revisions, watches."""

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 100
        self._changed = asyncio.Event()
        # 'busy' answers every call 503 without executing it.
        self.mode = 'up'
        # Seconds that each answer takes.
        self.delay_s = 0.004
        self._writers = set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0, limit=2**21)
        self.address = '%s:%d' % self._server.sockets[0].getsockname()

    def put(self, kind, name, specification):
        """Write as the operator does; the return is the confirmation."""
        found = self._objects.get((kind, name))
        self._revision += 1
        created = found['metadata']['created'] if found else self._revision
        stored = {
            'metadata': {
                'name': name, 'revision': self._revision, 'created': created,
                'finalizers': [], 'deleting': False,
            },
            'specification': specification,
            'status': None,
        }
        self._objects[(kind, name)] = stored
        self._note(kind, stored, deleted=False)
        return stored

    def get(self, kind, name):
        return self._objects.get((kind, name))

    def _note(self, kind, stored, *, deleted):
        self._events.append((self._revision, kind, {'object': stored, 'deleted': deleted}))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first_line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = first_line.split(' ')
                await asyncio.sleep(self.delay_s)
                if self.mode == 'busy':
                    status, answer = 503, {}
                else:
                    status, answer = await self._answer(method, target, body)
                    if self.mode == 'busy':
                        status, answer = 503, {}
                content = json.dumps(answer).encode()
                if method != 'GET':
                    self._record('store', method, target, status)
                writer.write(message(f'HTTP/1.1 {status} X', {
                    'content-type': 'application/json',
                    'content-length': len(content),
                }, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        split = urlsplit(target)
        query = parse_qs(split.query)
        parts = [unquote(part) for part in split.path.split('/')]
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and name is None:
            items = [each for (of, _), each in sorted(self._objects.items()) if of == kind]
            return 200, {'items': items, 'has_more': False, 'current_rev': self._revision}
        if method == 'GET':
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        metadata = sent.get('metadata', {})
        name = name or metadata['name']
        found = self._objects.get((kind, name))
        if method == 'POST':
            if found:
                return 409, found
            return 200, self.put(kind, name, sent.get('specification'))
        if found is None:
            return 404, {}
        if metadata.get('revision') not in (None, 0, found['metadata']['revision']):
            return 409, found
        if method == 'PUT':
            if found['specification'] == sent.get('specification'):
                return 200, found
            return 200, self.put(kind, name, sent.get('specification'))
        self._revision += 1
        del self._objects[(kind, name)]
        self._note(kind, found, deleted=True)
        return 200, found

    async def _watch(self, kind, query):
        since = int(query['watch'][0])
        until_s = time.monotonic() + int(query.get('wait_ms', ['0'])[0]) / 1000
        while True:
            changed = self._changed
            events = [
                event for revision, of, event in self._events
                if of == kind and revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0 or self.mode != 'up':
                return 200, {'events': events, 'current_rev': self._revision}
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                pass

    def close(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()


class Target:
    """An application target: heartbeats, health, and a handler of requests.

    ``handler(target, first_line, fields, reader, writer)`` answers a request
    and returns whether the connection is kept.
    """

    def __init__(self, record, machine, service, instance, handler):
        self._record = record
        self.machine = machine
        self.service = service
        self.instance = instance
        self.handler = handler
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.sequence = 0
        self.is_leaving = False
        self.running_count = 0
        self._writers = set()
        self._beats = None

    async def start(self):
        host, _, port = self.machine.application_address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2**20, reuse_address=True
        )
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self):
        if self._beats is not None:
            self._beats.cancel()

    def close(self):
        self.stop_beats()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _beat(self):
        while True:
            try:
                await self.beat()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(1.5)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            'address': self.machine.application_address,
            'born': self.born,
            'information': {
                'service': self.service, 'version': 'v1',
                'zone': self.machine.zone, 'capacity_slots': 18,
            },
            'status': {
                'state': self.state, 'sequence': self.sequence,
                'cold_remaining_ms': 0,
            },
        }).encode()
        return await self.call(f'Instances.Heartbeat/{self.instance}', body)

    async def leave(self):
        """Send Leave first, as some targets do; return the status."""
        self.stop_beats()
        self.is_leaving = True
        return await self.call(f'Instances.Leave/{self.instance}', b'')

    async def call(self, path, body):
        answer = await http(
            self.machine.control, 'POST', f'/cornelbeam/{path}',
            {'host': 'control', 'content-type': 'application/json'}, body,
            timeout_s=1.0,
        )
        return answer.status

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            is_kept = True
            while is_kept:
                first_line, fields = await read_head(reader)
                if first_line.split(' ')[1] == '/health':
                    status = 503 if self.is_leaving or self.state == 'draining' else 200
                    writer.write(message(f'HTTP/1.1 {status} X', {
                        'x-instance-id': self.instance,
                        'x-instance-load': f'{self.running_count},0,18',
                        'content-length': 0,
                    }))
                    continue
                is_kept = await self.handler(self, first_line, fields, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def answer(self, writer, fields, status=200, body=b'', extra=None):
        """Write an answer with the receipt."""
        writer.write(message(f'HTTP/1.1 {status} X', {
            'x-attempt-id': fields.get('x-attempt-id', ''),
            'x-response-signature': f's.{fields.get("x-attempt-id", "")}',
            'x-instance-load': f'{self.running_count},0,18',
            'content-length': len(body),
            **(extra or {}),
        }, body))

    def refuse(self, writer, fields, status=503):
        """Answer that the request is not run, as a full target does."""
        writer.write(message(f'HTTP/1.1 {status} X', {
            'x-attempt-id': fields.get('x-attempt-id', ''),
            'x-not-executed': '1',
            'x-instance-load': f'{self.running_count},0,18',
            'content-length': 0,
        }))


class Answer:
    """What a consumer saw: status (0 if none), fields, body."""

    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


async def http(address, method, path, fields, body=b'', timeout_s=5.0, chunk_bytes=0):
    """Send one request over a new connection and read its answer."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
            fields = dict(fields)
            if chunk_bytes:
                fields['transfer-encoding'] = 'chunked'
            elif body or method == 'POST':
                fields['content-length'] = len(body)
            writer.write(message(f'{method} {path} HTTP/1.1', fields))
            sending = asyncio.create_task(_send_body(writer, body, chunk_bytes))
            try:
                first_line, answered = await read_head(reader)
                content = await read_body(reader, answered)
            finally:
                sending.cancel()
            return Answer(int(first_line.split(' ')[1]), answered, content)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Answer(0, {}, b'')
    finally:
        if writer is not None:
            writer.close()


async def _send_body(writer, body, chunk_bytes):
    try:
        step = chunk_bytes or 65_536
        for start in range(0, len(body), step):
            part = body[start : start + step]
            writer.write(b'%x\r\n%b\r\n' % (len(part), part) if chunk_bytes else part)
            await writer.drain()
        if chunk_bytes:
            writer.write(b'0\r\n\r\n')
    except OSError:
        pass


class Machine:
    """A sidecar machine: its addresses, settings file and daemon."""

    def __init__(self, fleet, host, zone, service, number):
        self._fleet = fleet
        self.host = host
        self.zone = zone
        self.service = service
        self.name = f'sidecar-{zone}-{number}'
        names = ('application', 'outbound', 'inbound', 'ready', 'control')
        ports = free_ports(host, len(names))
        self.application_address, self.outbound, self.inbound, self.ready, self.control = (
            f'{host}:{port}' for port in ports
        )
        self._process = None
        self._log = None

    def settings(self):
        return {
            'node_name': self.name,
            'service': self.service,
            'zone': self.zone,
            'ip_address': self.host,
            'listen_addresses': {
                'outbound': self.outbound, 'inbound': self.inbound,
                'ready': self.ready, 'control': self.control,
            },
            'application_address': self.application_address,
            'heartbeat_interval_ms': 1500,
            'platform': {'address': self._fleet.store.address},
            'bounds': {
                'retry_budget_ratio': 0.2, 'retry_budget_slack': 60,
                'budget_window_s': 10, 'cold_factor': 1.5, 'cold_slack': 5,
                'grace_period_s': 6,
            },
        }

    async def start(self):
        """Start the daemon with the command of the deploy file."""
        role = next(iter(self._fleet.deploy['roles'].values()))
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        path = Path(self._fleet.folder) / f'{self.name}.jsonc'
        path.write_text(render(template, self.settings()), encoding='utf-8')
        self._log = open(Path(self._fleet.folder) / f'{self.name}.log', 'ab')
        self._process = await asyncio.create_subprocess_exec(
            *role['run'].split(' '),
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/tmp'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'CORNELBEAM_NODE_FILE': str(path),
            },
            stdout=self._log,
            stderr=self._log,
        )
        self._fleet.record('daemon', self.name, 'started')

    def signal(self, number):
        self._fleet.record('daemon', self.name, signal.Signals(number).name)
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def ended(self):
        code = await self._process.wait()
        self._fleet.record('daemon', self.name, 'ended with', code)

    async def is_ready(self):
        answer = await http(self.ready, 'GET', '/cornelbeam/readiness', {'host': 'r'}, timeout_s=1)
        return answer.status == 200

    async def close(self):
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._log is not None:
            self._log.close()


class Fleet:
    """A small deployment: a store, machines with daemons, targets."""

    def __init__(self, folder):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = self._temporary.name
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.store = Store(self.record)
        self.machines = []
        self.targets = []
        # A range of loopback addresses of its own, as the port of the
        # metrics is fixed in the deploy file.
        self._net = '127.%d.%d' % (random.randint(1, 250), random.randint(1, 250))
        self._attempts = 0

    async def start_store(self):
        await self.store.start(f'{self._net}.1')

    def add_machine(self, zone, service):
        number = len(self.machines) + 1
        machine = Machine(self, f'{self._net}.{10 + number}', zone, service, number)
        self.machines.append(machine)
        return machine

    async def add_target(self, machine, handler, instance=None):
        instance = instance or 'i-%08x' % random.getrandbits(32)
        target = Target(self.record, machine, machine.service, instance, handler)
        self.targets.append(target)
        await target.start()
        return target

    def put_manifest(self, routes, version=7):
        """Write config/main; ``routes`` are (host, rule) pairs."""
        hosts = {}
        for host, rule in routes:
            hosts.setdefault(host, []).append(rule)
        services = sorted({machine.service for machine in self.machines})
        self.store.put('config', 'main', {
            'version': f'{version:08x}',
            'limits': {
                'header_bytes': 16384, 'body_bytes': 67108864,
                'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
            },
            'listeners': [{'host': host, 'rules': rules} for host, rules in hosts.items()],
            'clusters': [{
                'name': service, 'health_check_path': '/health',
                'max_connections': 240, 'protocol': 'h1', 'tls': False,
                'cold_start_s': 3.0, 'cold_per_s': 18.0,
            } for service in services],
        })
        self.record('operator', 'manifest', version, 'confirmed')

    async def wait_ready(self, machines=None, timeout_s=20):
        until_s = time.monotonic() + timeout_s
        for machine in machines or self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until_s:
                    raise NotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)
            self.record('daemon', machine.name, 'ready')

    def next_id(self):
        self._attempts += 1
        return '%08x%08x' % (random.getrandbits(32), self._attempts)

    async def request(self, machine, method, host, path, body=b'', deadline_ms=2500, chunk_bytes=0, extra=None):
        """Send a consumer's request on a machine; return its id and answer."""
        attempt = self.next_id()
        self.record('sent', attempt, method, path, len(body), 'bytes at', machine.name)
        answer = await http(machine.outbound, method, path, {
            'host': host, 'x-attempt-id': attempt,
            'x-deadline-remaining': deadline_ms, **(extra or {}),
        }, body, deadline_ms / 1000, chunk_bytes)
        self.record('answered', attempt, answer.status, len(answer.body), 'bytes',
                    'receipt' if 'x-response-signature' in answer.fields else 'no receipt')
        return attempt, answer

    async def close(self, keep_logs=None):
        for machine in self.machines:
            await machine.close()
        for target in self.targets:
            target.close()
        self.store.close()
        if keep_logs:
            for log in Path(self.folder).glob('*.log'):
                (Path(keep_logs) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


class NotRunError(Exception):
    """The case could not run."""


def rule(name, prefix, kind, service, timeout_ms=2000, max_attempts=2, objective_ms=600):
    return {
        'name': name, 'kind': kind, 'latency_objective_ms': objective_ms,
        'priority': 1, 'match': {'path_prefix': prefix},
        'action': {
            'service': service, 'timeout_ms': timeout_ms,
            'max_attempts': max_attempts,
        },
    }


def render(template, values):
    """Fill in the placeholders that the template of the settings uses."""

    def fill(match):
        path, _, form = match[1].partition('|')
        value = values
        for name in path.split('.'):
            value = value[name]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([a-z_.|]+)\}\}', fill, template)


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind((host, 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def main(folder, case):
    """Run a case; its return value says whether the rule was broken."""

    async def run():
        # A script that is stopped still ends the processes that it started.
        running = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
        fleet = Fleet(folder)
        fleet.record('trouble', 'on' if TROUBLE else 'off')
        try:
            async with asyncio.timeout(110):
                await fleet.start_store()
                is_broken = await case(fleet)
        except (NotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            fleet.record('could not run:', repr(error))
            return NOT_RUN
        finally:
            await fleet.close(os.environ.get('KEEP_LOGS'))
        fleet.record('rule broken' if is_broken else 'rule held')
        return BROKEN if is_broken else HELD

    random.seed(int(os.environ.get('SEED', '0')) or None)
    sys.exit(asyncio.run(run()))
