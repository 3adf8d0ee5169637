"""Stand-in backend server: an ASGI application with faults on demand.

Work: ``GET /item/...``, ``POST /booking`` (not idempotent), ``PUT
/photo/...`` (answers the SHA-256 and the size of its body), ``GET
/photo/<n>`` (n known bytes), ``GET /slow?ms=``. Each run is journaled by its
method and its ``x-request-key`` header, and answers repeat that key.

Reports: ``GET /health`` and ``GET /load``, which may lie or lag.

Control, on its own port and on the working one: ``POST /control`` takes any
part of ``BackendFaults`` as JSON, ``GET /control/runs`` gives the journal and
``GET /control/counts`` the counts.
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
_Register = Callable[[_Handler], _Handler]
_Place = tuple[str, str]
_WORK: Final[dict[_Place, _Handler]] = {}


def work(method: str, place: str) -> _Register:
    """Register the handler of a method and a first part of the path."""

    def register(handler: _Handler) -> _Handler:  # noqa: WPS430 a decorator
        _WORK[method, place] = handler
        return handler

    return register


@final
class BackendServer:
    """The application of one backend server."""

    def __init__(self, name: str) -> None:
        """Start without faults; ``name`` appears in the answers."""
        self.name = name
        self.state = BackendState()
        self.is_stopping = False
        # Replaced at each change of the faults and at the stop.
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
        place = scope['path'].split('/')[1]
        handler = _WORK.get((scope['method'], place))
        if handler:
            await self._work(handler, scope, receive, send)
        elif place == 'control':
            await self._control(scope, receive, send)
        elif place == 'health':
            health = self.state.reported_health()
            status = 200 if health == 'ok' else _DEFAULT_REFUSAL_STATUS
            await asgi.send_json(send, status, health)
        elif place == 'load':
            in_flight = self.state.reported_in_flight(time.monotonic())
            await asgi.send_json(send, 200, {'in_flight': in_flight})
        else:
            await asgi.send_json(send, 404, None)

    def stop(self) -> None:
        """End all waiting for a change, so that the servers can end."""
        self.is_stopping = True
        self._announce_change()

    async def wait_stopping(self) -> None:
        """Wait until the process is to end."""
        while not self.is_stopping:
            await self._changed.wait()

    async def wait_refusing(self, *, is_refusing: bool) -> None:
        """Wait until connections are to be refused, or accepted again.

        Returns also when the process is to end.
        """
        while not self._has_to_change(is_refusing=is_refusing):
            await self._changed.wait()

    async def _work(
        self,
        handler: _Handler,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        await self._sit_out_stall()
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
            given = msgspec.json.decode(await asgi.read_body(receive))
            self.state.change_faults(given, time.monotonic())
            self._announce_change()
            await asgi.send_json(send, 200, self.state.faults)
        elif scope['path'] == '/control/runs':
            await asgi.send_json(send, 200, self.state.list_runs())
        else:
            counts = {'in_flight': self.state.in_flight, **self.state.counts}
            await asgi.send_json(send, 200, counts)

    @work('GET', 'item')
    async def _item(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        answer = await self._run(scope, receive, self.state.work_ms())
        await self._answer(send, answer)

    @work('GET', 'slow')
    async def _slow(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        given_ms = int(asgi.read_query(scope).get('ms', 0))
        answer = await self._run(scope, receive, given_ms)
        await self._answer(send, answer)

    @work('POST', 'booking')
    async def _booking(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        # A booking whose body didn't arrive whole isn't run.
        body = await asgi.read_body(receive)
        answer = await self._run(scope, receive, self.state.work_ms())
        answer['size_bytes'] = len(body)
        answer['sha256'] = hashlib.sha256(body).hexdigest()
        await self._answer(send, answer)

    @work('PUT', 'photo')
    async def _receive_photo(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        digest = hashlib.sha256()
        size_bytes = 0
        async for part in asgi.read_parts(receive):
            digest.update(part)
            size_bytes += len(part)
        answer = await self._run(scope, receive, self.state.work_ms())
        answer['size_bytes'] = size_bytes
        answer['sha256'] = digest.hexdigest()
        await self._answer(send, answer)

    @work('GET', 'photo')
    async def _send_photo(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        size_bytes = int(scope['path'].rsplit('/', 1)[1])
        await self._run(scope, receive, self.state.work_ms())
        await self._sit_out_stall()
        is_cut = self.state.take_truncation()
        sent_bytes = 0
        await asgi.send_start(send, 200, size_bytes, b'image/x-known')
        for part in photo_parts(size_bytes):
            if is_cut and sent_bytes * 2 >= size_bytes:
                return
            sent_bytes += len(part)
            await asgi.send_body(send, part, has_more=True)
        await asgi.send_body(send, b'')

    async def _run(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        work_ms: int,
    ) -> dict[str, Any]:
        key = asgi.read_header(scope, b'x-request-key')
        run_count = self.state.record_run(scope['method'], key)
        await _pause(receive, work_ms + self.state.take_late_ms())
        return {
            'server': self.name,
            'path': scope['path'],
            'key': key,
            'run_count': run_count,
        }

    async def _answer(self, send: asgi.Send, answer: dict[str, Any]) -> None:
        await self._sit_out_stall()
        if not self.state.take_truncation():
            await asgi.send_json(send, 200, answer)
            return
        body = msgspec.json.encode(answer)
        await asgi.send_start(send, 200, len(body))
        # The server closes the connection, since the rest is missing.
        await asgi.send_body(send, body[: len(body) // 2], has_more=True)

    def _has_to_change(self, *, is_refusing: bool) -> bool:
        return self.is_stopping or self.state.faults.is_refusing == is_refusing

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _sit_out_stall(self) -> None:
        # A stall may be lengthened while it lasts.
        while self.state.stall_s(time.monotonic()):
            await anyio.sleep(self.state.stall_s(time.monotonic()))


async def _pause(receive: asgi.Receive, pause_ms: int) -> None:
    """Do nothing for a while; raise ``DisconnectError`` on cancellation."""
    if not pause_ms:
        return
    with anyio.move_on_after(pause_ms / _MS_PER_S):
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise asgi.DisconnectError


async def serve_backend(name: str, port: int, control_port: int) -> None:
    """Serve until SIGTERM or SIGINT.

    Prints the working port as the first line and the control port, in the
    same form, as the second.
    """
    application = BackendServer(name)
    listener = asgi.bind_loopback(port)
    working_port = listener.getsockname()[1]
    control = asgi.bind_loopback(control_port)
    asgi.announce(working_port)
    asgi.announce(control.getsockname()[1])
    async with anyio.create_task_group() as group:
        group.start_soon(
            asgi.serve_listener,
            application,
            control,
            application.wait_stopping,
        )
        group.start_soon(_serve_work, application, listener, working_port)
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
