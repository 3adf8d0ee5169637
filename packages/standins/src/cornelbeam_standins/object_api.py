"""Stand-in Object API: an ASGI application that keeps its state in memory.

It implements the protocol of section 2.7 of the design. A write carries its
identifier in the query (``write_id``) and the spec as its body. A read of a
deleted object answers 404 with the tombstone.

``POST /control`` sets any subset of the fields of ``StoreFaults`` from JSON.
``GET /control/counts`` returns the number of calls by operation, where a watch
counts once however long it waits, and the number of watches now waiting.
"""

from typing import Any, Final, final

import anyio
import msgspec
from cornelbeam_object_api.client import StoredObject

from cornelbeam_standins import asgi
from cornelbeam_standins.object_store import (
    ObjectStore,
    StoreFaults,
    VersionConflictError,
)

_MAX_OBJECT_BYTES: Final = 1_048_576
_MS_PER_S: Final = 1000
_OBJECT_PART_COUNT: Final = 2


@final
class ObjectApi:
    """ASGI application of one store."""

    def __init__(self) -> None:
        """Start with an empty store and without injected faults."""
        self.store = ObjectStore()
        self.faults = StoreFaults()
        self._waiting_count = 0
        # Set, and replaced by a new event, at each write and when the faults
        # change.
        self._changed = anyio.Event()

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request."""
        if scope['type'] == 'lifespan':
            await asgi.accept_lifespan(receive, send)
            return
        path = scope['path']
        if path.startswith('/control'):
            await self._control(scope, receive, send)
            return
        self.store.call_counts[_operation(scope)] += 1
        await anyio.sleep(self.faults.delay_ms / _MS_PER_S)
        if self.faults.is_down:
            await self._refuse(send)
        elif path == '/v1/watch':
            await self._watch(scope, send)
        elif path.startswith('/v1/objects/'):
            await self._objects(scope, receive, send)
        else:
            await asgi.send_json(send, 404, None)

    async def _control(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if scope['method'] == 'POST':
            given = msgspec.json.decode(await asgi.read_body(receive))
            merged = msgspec.to_builtins(self.faults) | given
            self.faults = msgspec.convert(merged, StoreFaults)
            self._wake()
            await asgi.send_json(send, 200, self.faults)
            return
        await asgi.send_json(
            send,
            200,
            {
                'calls': self.store.call_counts,
                'waiting_watch_count': self._waiting_count,
                'revision': self.store.revision,
            },
        )

    async def _refuse(self, send: asgi.Send) -> None:
        self.store.call_counts['refused'] += 1
        await asgi.send_json(send, 503, 'the store is down')

    async def _watch(self, scope: asgi.Scope, send: asgi.Send) -> None:
        query = asgi.read_query(scope)
        since = int(query.get('since', 0))
        self._waiting_count += 1
        try:
            with anyio.move_on_after(int(query['timeout_ms']) / _MS_PER_S):
                while self.store.revision <= since and not self.faults.is_down:
                    await self._changed.wait()
        finally:
            self._waiting_count -= 1
        if self.faults.is_down:
            await self._refuse(send)
            return
        await asgi.send_json(send, 200, self.store.changes_since(since))

    async def _objects(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        parts = scope['path'].removeprefix('/v1/objects/').split('/', 1)
        if len(parts) < _OBJECT_PART_COUNT:
            listed = self.store.list_kind(parts[0])
            await asgi.send_json(send, 200, listed)
            return
        if scope['method'] == 'GET':
            found = self.store.find(parts[0], parts[1])
            is_missing = found is None or found.is_deleted
            await asgi.send_json(send, 404 if is_missing else 200, found)
            return
        await self._write(scope, await asgi.read_body(receive), send)

    async def _write(
        self,
        scope: asgi.Scope,
        body: bytes,
        send: asgi.Send,
    ) -> None:
        if len(body) > _MAX_OBJECT_BYTES:
            await asgi.send_json(send, 413, 'an object has at most 1 MiB')
            return
        try:
            written = self._apply(scope, body)
        except VersionConflictError as conflict:
            await asgi.send_json(send, 409, conflict.current)
            return
        except (KeyError, ValueError) as error:
            await asgi.send_json(send, 400, repr(error))
            return
        self._wake()
        if self._consume_lost_answer(written.kind):
            # The body stays incomplete, so the server closes the connection.
            await asgi.send_start(send, 200, 1)
            await asgi.send_body(send, b'', has_more=True)
            return
        await asgi.send_json(send, 200, written)

    def _apply(self, scope: asgi.Scope, body: bytes) -> StoredObject:
        kind, name = scope['path'].removeprefix('/v1/objects/').split('/', 1)
        spec = None
        if scope['method'] == 'PUT':
            spec = msgspec.json.decode(body, type=dict[str, Any])
        return self.store.write(
            kind,
            name,
            spec,
            int(asgi.read_header(scope, b'if-match')),
            asgi.read_query(scope)['write_id'],
        )

    def _consume_lost_answer(self, kind: str) -> bool:
        is_affected = self.faults.lost_answer_kind in {'', kind}
        is_lost = is_affected and self.faults.lost_answer_count > 0
        self.faults.lost_answer_count -= is_lost
        return is_lost

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _operation(scope: asgi.Scope) -> str:
    if scope['path'] == '/v1/watch':
        return 'watch'
    return {'PUT': 'put', 'DELETE': 'delete'}.get(scope['method'], 'read')
