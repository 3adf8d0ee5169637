"""Stand-in backend server: an ASGI application with fault injection.

Work endpoints: ``GET /item/...``, ``POST /booking`` (not idempotent), ``PUT
/photo/...`` (returns the SHA-256 and the size of the body), ``GET
/photo/<n>`` (returns n predictable bytes) and ``GET /slow?ms=``. Each run is
recorded in a journal by its method and its ``x-request-key`` header, and
answers repeat that key.

Report endpoints: ``GET /health`` and ``GET /load``, whose reports can be made
false or outdated.

Control endpoints, on the control port and on the main port: ``POST /control``
takes any fields of ``BackendFaults`` as JSON, ``GET /control/runs`` returns
the journal and ``GET /control/counts`` the counters.
"""

import hashlib
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, final

import anyio
import msgspec

from cornelbeam_standins import asgi
from cornelbeam_standins.backend_state import BackendState
from cornelbeam_standins.photos import photo_parts

_MS_PER_S: Final = 1000
_STATUSES: Final = {'failing': 500}
_DEFAULT_REFUSAL_STATUS: Final = 503

_Handler = Callable[..., Awaitable[None]]
_Decorator = Callable[[_Handler], _Handler]
_RouteKey = tuple[str, str]
_ROUTES: Final[dict[_RouteKey, _Handler]] = {}


def route(method: str, segment: str) -> _Decorator:
    """Register the handler of a method and a first path segment."""

    def register(handler: _Handler) -> _Handler:  # noqa: WPS430 a decorator
        _ROUTES[method, segment] = handler
        return handler

    return register


@final
class BackendServer:
    """The ASGI application of one backend server."""

    def __init__(self, name: str) -> None:
        """Initialize without faults; ``name`` appears in the answers."""
        self.name = name
        self.state = BackendState()
        self.is_stopping = False
        # Set, and replaced by a new event, when the faults change or the
        # server stops.
        self._changed = anyio.Event()

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Handle one request or the lifespan protocol."""
        if scope['type'] == 'lifespan':
            await asgi.accept_lifespan(receive, send)
            return
        segment = scope['path'].split('/')[1]
        handler = _ROUTES.get((scope['method'], segment))
        if handler:
            await self._handle_work(handler, scope, receive, send)
        elif segment == 'control':
            await self._control(scope, receive, send)
        elif segment == 'health':
            health = self.state.reported_health()
            status = 200 if health == 'ok' else _DEFAULT_REFUSAL_STATUS
            await asgi.send_json(send, status, health)
        elif segment == 'load':
            in_flight = self.state.reported_in_flight(time.monotonic())
            await asgi.send_json(send, 200, {'in_flight': in_flight})
        else:
            await asgi.send_json(send, 404, None)

    def stop(self) -> None:
        """Wake all waiters, so that the servers can shut down."""
        self.is_stopping = True
        self._announce_change()

    async def wait_stopping(self) -> None:
        """Wait until the process has to stop."""
        while not self.is_stopping:
            await self._changed.wait()

    async def wait_refusing(self, *, is_refusing: bool) -> None:
        """Wait until connections have to be refused, or accepted again.

        Return early when the process has to stop.
        """
        while not self._is_change_due(is_refusing=is_refusing):
            await self._changed.wait()

    async def _handle_work(
        self,
        handler: _Handler,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        await self._wait_out_stall()
        reason = self.state.refuse(time.monotonic())
        if reason:
            status = _STATUSES.get(reason, _DEFAULT_REFUSAL_STATUS)
            await asgi.send_json(send, status, {'refused': reason})
            return
        is_warming = self.state.start(time.monotonic())
        try:
            await handler(self, scope, receive, send)
        except asgi.DisconnectError:
            self.state.counts['cancelled'] += 1
            if scope['method'] == 'POST':
                self.state.counts['cancelled_posts'] += 1
        finally:
            self.state.finish(time.monotonic(), is_warming=is_warming)

    async def _control(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if scope['method'] == 'POST':
            changes = msgspec.json.decode(await asgi.read_body(receive))
            self.state.change_faults(changes, time.monotonic())
            self._announce_change()
            await asgi.send_json(send, 200, self.state.faults)
        elif scope['path'] == '/control/runs':
            await asgi.send_json(send, 200, self.state.list_runs())
        else:
            counts = {'in_flight': self.state.in_flight, **self.state.counts}
            await asgi.send_json(send, 200, counts)

    @route('GET', 'item')
    async def _item(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        answer = await self._run(scope, receive, self.state.next_work_ms())
        await self._send_answer(send, answer)

    @route('GET', 'slow')
    async def _slow(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        requested_ms = int(asgi.read_query(scope).get('ms', 0))
        answer = await self._run(scope, receive, requested_ms)
        await self._send_answer(send, answer)

    @route('POST', 'booking')
    async def _booking(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        # A booking with an incomplete body is not run.
        body = await asgi.read_body(receive)
        answer = await self._run(scope, receive, self.state.next_work_ms())
        answer['size_bytes'] = len(body)
        answer['sha256'] = hashlib.sha256(body).hexdigest()
        await self._send_answer(send, answer)

    @route('PUT', 'photo')
    async def _receive_photo(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        digest = hashlib.sha256()
        size_bytes = 0
        async for chunk in asgi.read_parts(receive):
            digest.update(chunk)
            size_bytes += len(chunk)
        answer = await self._run(scope, receive, self.state.next_work_ms())
        answer['size_bytes'] = size_bytes
        answer['sha256'] = digest.hexdigest()
        await self._send_answer(send, answer)

    @route('GET', 'photo')
    async def _send_photo(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        size_bytes = int(scope['path'].rsplit('/', 1)[1])
        await self._run(scope, receive, self.state.next_work_ms())
        await self._wait_out_stall()
        is_truncated = self.state.consume_truncation()
        sent_bytes = 0
        await asgi.send_start(send, 200, size_bytes, b'image/x-known')
        for chunk in photo_parts(size_bytes):
            if is_truncated and sent_bytes * 2 >= size_bytes:
                return
            sent_bytes += len(chunk)
            await asgi.send_body(send, chunk, has_more=True)
        await asgi.send_body(send, b'')

    async def _run(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        service_time_ms: int,
    ) -> dict[str, Any]:
        key = asgi.read_header(scope, b'x-request-key')
        run_count = self.state.record_run(scope['method'], key)
        await _sleep_while_connected(
            receive, service_time_ms + self.state.consume_delay_ms()
        )
        return {
            'server': self.name,
            'path': scope['path'],
            'key': key,
            'run_count': run_count,
        }

    async def _send_answer(
        self, send: asgi.Send, answer: dict[str, Any]
    ) -> None:
        await self._wait_out_stall()
        if not self.state.consume_truncation():
            await asgi.send_json(send, 200, answer)
            return
        body = msgspec.json.encode(answer)
        await asgi.send_start(send, 200, len(body))
        # The server closes the connection because the body is incomplete.
        await asgi.send_body(send, body[: len(body) // 2], has_more=True)

    def _is_change_due(self, *, is_refusing: bool) -> bool:
        return self.is_stopping or self.state.faults.is_refusing == is_refusing

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _wait_out_stall(self) -> None:
        # A stall can be extended while it lasts.
        while self.state.remaining_stall_s(time.monotonic()):
            await anyio.sleep(self.state.remaining_stall_s(time.monotonic()))


async def _sleep_while_connected(
    receive: asgi.Receive, duration_ms: int
) -> None:
    """Sleep for a time; raise ``DisconnectError`` if the client disconnects."""
    if not duration_ms:
        return
    with anyio.move_on_after(duration_ms / _MS_PER_S):
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise asgi.DisconnectError


async def serve_backend(name: str, port: int, control_port: int) -> None:
    """Serve until SIGTERM or SIGINT.

    Print the main port on the first line and the control port, in the same
    format, on the second.
    """
    application = BackendServer(name)
    listener = asgi.bind_loopback(port)
    main_port = listener.getsockname()[1]
    control = asgi.bind_loopback(control_port)
    asgi.announce(main_port)
    asgi.announce(control.getsockname()[1])
    async with anyio.create_task_group() as group:
        group.start_soon(
            asgi.serve_listener,
            application,
            control,
            application.wait_stopping,
        )
        group.start_soon(_serve_work, application, listener, main_port)
        with anyio.open_signal_receiver(
            signal.SIGTERM,
            signal.SIGINT,
        ) as signals:
            await anext(aiter(signals))
        application.stop()


async def _serve_work(
    application: BackendServer,
    listener: asgi.Listener,
    port: int,
) -> None:
    wait_refusing = partial(application.wait_refusing, is_refusing=True)
    while True:
        await asgi.serve_listener(application, listener, wait_refusing)
        await application.wait_refusing(is_refusing=False)
        if application.is_stopping:
            return
        listener = asgi.bind_loopback(port)
