"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Each machine reaches it at an address of its own, so that the store can turn
some machines away. Its modes are those of the pages: it serves, it is slow,
it answers 503, it resets, or it stays silent.
"""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from http_io import read_message, render, reset

PREFIX = '/cornelbeam/objects/'


class Store:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.revision = 10
        self.history = []
        self.history_gone_before = 0
        self.changed = asyncio.Event()
        # By address: 'up', 'busy', 'reset' or 'silent'.
        self.modes = {}
        self.default_mode = 'up'
        self.delay_s = 0.004
        # Chooses the answers that are lost, by kind and query; none if unset.
        self.loses = None
        self.answered_count = 0
        self.lost_count = 0
        self._servers = []
        self._writers = set()

    async def listen(self, address):
        """Serve at an address."""
        host, _, port = address.rpartition(':')
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(address, reader, writer),
            host,
            int(port),
        )
        self._servers.append(server)

    async def close(self):
        """Stop serving."""
        for server in self._servers:
            server.close()
        for _, writer in tuple(self._writers):
            writer.transport.abort()

    def set_mode(self, mode, addresses=None):
        """Change the mode for some machines, or for all."""
        if addresses is None:
            self.default_mode = mode
            self.modes.clear()
        else:
            for address in addresses:
                self.modes[address] = mode
        self.record('store', mode=mode, machines=addresses or 'all')
        if mode == 'reset':
            for address, writer in tuple(self._writers):
                if self.mode(address) == 'reset':
                    reset(writer)

    def mode(self, address):
        """Return the mode for a machine."""
        return self.modes.get(address, self.default_mode)

    def put(self, kind, name, specification):
        """Write an object; return it."""
        known = self.objects.get((kind, name))
        if known is not None and known['specification'] == specification:
            return known
        self.revision += 1
        created = self.revision
        if known is not None:
            created = known['metadata']['created']
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'specification': specification,
            'status': None if known is None else known['status'],
        }
        self.objects[kind, name] = stored
        self._note(kind, stored, deleted=False)
        return stored

    def delete(self, kind, name):
        """Remove an object."""
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        gone = dict(known)
        gone['metadata'] = dict(known['metadata'], revision=self.revision)
        self._note(kind, gone, deleted=True)

    def _note(self, kind, stored, *, deleted):
        self.history.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, address, reader, writer):
        entry = (address, writer)
        self._writers.add(entry)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                mode = self.mode(address)
                if mode == 'reset':
                    reset(writer)
                    return
                if mode == 'silent':
                    # A connection on which an answer is lost returns nothing
                    # further.
                    await asyncio.sleep(600)
                await asyncio.sleep(self.delay_s)
                if mode == 'busy':
                    status, content = 503, {'error': 'busy'}
                else:
                    status, content = await self._answer(request, address)
                if self.mode(address) == 'silent':
                    await asyncio.sleep(600)
                if self.loses is not None and self.loses(request, content):
                    # A connection on which an answer is lost returns nothing
                    # further.
                    self.lost_count += 1
                    self.record('store loses an answer', at=address)
                    await asyncio.sleep(600)
                self.answered_count += 1
                writer.write(
                    render(
                        f'HTTP/1.1 {status} X',
                        [('content-type', 'application/json')],
                        json.dumps(content).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(entry)
            writer.close()

    async def _answer(self, request, address):
        method, target, _ = request.start.split(' ')
        parts = urlsplit(target)
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        if not parts.path.startswith(PREFIX):
            return 404, {}
        path = parts.path.removeprefix(PREFIX).split('/')
        kind = path[0]
        name = unquote(path[1]) if len(path) > 1 else ''
        if method == 'GET' and name:
            stored = self.objects.get((kind, name))
            return (404, {}) if stored is None else (200, stored)
        if method == 'GET':
            return await self._read(kind, query, address)
        return self._write(method, kind, name, path[2:], query, request.body)

    async def _read(self, kind, query, address):
        if 'watch' in query:
            since = int(query['watch'])
            return await self._watch(kind, since, query, address)
        after = query.get('after', '')
        found = [
            each
            for (each_kind, name), each in sorted(self.objects.items())
            if each_kind == kind and name > after
        ]
        page = found[:500]
        return 200, {
            'items': page,
            'has_more': len(found) > len(page),
            'current_rev': self.revision,
        }

    async def _watch(self, kind, since, query, address):
        deadline = asyncio.get_running_loop().time()
        deadline += int(query.get('wait_ms', 0)) / 1000
        while True:
            if since < self.history_gone_before:
                return 410, {}
            events = [
                {'object': stored, 'deleted': deleted}
                for revision, each_kind, stored, deleted in self.history
                if each_kind == kind and revision > since
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                async with asyncio.timeout(min(left_s, 0.5)):
                    await self.changed.wait()
            except TimeoutError:
                if self.mode(address) == 'busy':
                    # A watch that is waiting may be cut off.
                    return 503, {'error': 'busy'}

    def _write(self, method, kind, name, rest, query, body):
        written = json.loads(body) if body else {}
        metadata = written.get('metadata') or {}
        if method == 'POST':
            name = metadata['name']
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 200, self.put(kind, name, written.get('specification'))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        revision = metadata.get('revision') or int(query.get('revision', 0))
        if revision and revision != known['metadata']['revision']:
            return 409, known
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, known
        if rest == ['status']:
            changed = dict(known, status=written.get('status'))
            self.revision += 1
            changed['metadata'] = dict(
                known['metadata'], revision=self.revision
            )
            self.objects[kind, name] = changed
            self._note(kind, changed, deleted=False)
            return 200, changed
        return 200, self.put(kind, name, written.get('specification'))
