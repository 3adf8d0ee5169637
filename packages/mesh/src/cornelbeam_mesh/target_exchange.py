"""Exchange of a request and its answer with the target on this instance."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.attempts import AttemptLedger
from cornelbeam_core.deadlines import remaining_ms
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.attempt_records import is_recorded, note_run_state
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.backend_connection import (
    BackendAnswer,
    BackendConnection,
)
from cornelbeam_daemon.bodies import BUFFER_LIMIT_BYTES, BodyBuffer
from cornelbeam_daemon.body_framing import BodyFraming
from cornelbeam_daemon.calls import Answer, Call

from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.platform_adapter import PlatformAdapter
from cornelbeam_mesh.target_observer import TargetObserver

_ENCODING: Final = b'content-encoding'
_MISDIRECTED_REQUEST: Final = 421
# A connection remembers the attempts that were refused over it, up to this
# number; then a new one is opened.
MAX_REFUSED_ATTEMPTS: Final = 256


@final
class TargetExchange:
    """Sends requests to the target and validates its answers."""

    __slots__ = (
        '_adapter',
        '_client',
        '_ledger',
        '_loop',
        '_name',
        '_observer',
    )

    def __init__(
        self,
        name: str,
        adapter: PlatformAdapter,
        client: BackendClient,
        ledger: AttemptLedger,
        observer: TargetObserver,
    ) -> None:
        """Record run states in ``ledger``; pass answers to ``observer``."""
        self._name = name
        self._adapter = adapter
        self._client = client
        self._ledger = ledger
        self._observer = observer
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        call: Call,
        target: TargetEntry,
        may_send_again: Callable[[], bool],
    ) -> Answer:
        """Send a call and return its answer, a short one with its whole body.

        If the target closes a reused connection and ``may_send_again`` agrees,
        a call that may repeat is sent again, unless a part of its body has been
        dropped.

        Raise ``backend_unreachable`` or ``backend_refused`` if the target has
        not run it, and other errors with run state ``UNKNOWN``. So is that of
        a refusal if the call had been sent before.
        """
        connection = await self._connect(call)
        refused_state = RunState.NOT_RUN
        try:
            async with asyncio.timeout_at(call.deadline_s):
                head = await self._try_reused(
                    call, target, connection, may_send_again
                )
                if head is None:
                    # What ended that connection may have been a run.
                    refused_state = RunState.UNKNOWN
                    self._client.release(connection)
                    connection = await self._client.open_replacement()
                    head = await self._send_request(call, target, connection)
                content = await _read_short(head.body)
        except TimeoutError as error:
            self._abort(call, connection)
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'backend answer',
                self._name,
                run_state=RunState.UNKNOWN,
            ) from error
        except CornelbeamError as error:
            self._abort(call, connection)
            error.run_state = RunState.UNKNOWN
            raise
        except BaseException:
            self._abort(call, connection)
            raise
        self._observe(call, target, head)
        if self._is_refusal(head):
            self._note_refusal(call, connection, refused_state)
            raise CornelbeamError(
                ErrorCode.BACKEND_REFUSED,
                'backend answer',
                self._name,
                f'the target refused with status {head.status}',
                run_state=refused_state,
            )
        return self._read_answer(call, connection, head, content)

    async def is_refusing(self) -> bool:
        """Return whether the target refuses connections."""
        return await self._client.is_refusing()

    async def _connect(self, call: Call) -> BackendConnection:
        try:
            # Once a target has the head, a refusal can't promise that the
            # request has not run.
            call.body.raise_error()
            idle = self._client.take_idle(is_fresh=is_recorded(call))
            attempt = self._attempt_id(call)
            while idle is not None and attempt in idle.refused_attempts:
                idle.close()
                self._client.release(idle)
                idle = self._client.take_idle(is_fresh=is_recorded(call))
            return idle or await self._client.open()
        except BaseException:
            # Also of a call that is cancelled meanwhile: nothing was sent.
            self._note_run_state(call, RunState.NOT_RUN)
            raise

    async def _try_reused(
        self,
        call: Call,
        target: TargetEntry,
        connection: BackendConnection,
        may_send_again: Callable[[], bool],
    ) -> BackendAnswer | None:
        """Send the request on a connection that may have been reused.

        Return ``None`` if the target had closed the idle connection and the
        call may be sent again.
        """
        try:
            return await self._send_request(call, target, connection)
        except CornelbeamError:
            is_resendable = call.is_repeatable and call.body.is_intact
            if connection.is_stale and is_resendable and may_send_again():
                return None
            raise

    async def _send_request(
        self,
        call: Call,
        target: TargetEntry,
        connection: BackendConnection,
    ) -> BackendAnswer:
        body = BodyFraming(call)
        names = self._adapter.headers
        headers = [
            *call.headers,
            names.remaining_ms,
            str(remaining_ms(call.deadline_s, self._loop.time())).encode(),
            names.expected_instance,
            target.instance.encode(),
            *body.fields,
        ]
        attempt = self._attempt_id(call)
        return await connection.exchange(
            fields.render(
                b'%b %b HTTP/1.1' % (call.method, call.path),
                headers,
            ),
            body.reader,
            body.first_part,
            is_complete=body.is_whole,
            is_chunked=body.is_chunked,
            is_head_request=call.method == b'HEAD',
            length_bytes=body.length_bytes,
            is_own_answer=lambda answered: (
                fields.find(answered, names.attempt_id) == attempt
            ),
        )

    def _attempt_id(self, call: Call) -> bytes | None:
        return fields.find(call.headers, self._adapter.headers.attempt_id)

    def _observe(
        self, call: Call, target: TargetEntry, head: BackendAnswer
    ) -> None:
        """Record what the target states about itself."""
        if head.status == _MISDIRECTED_REQUEST:
            # Another target has the address now.
            return
        self._observer.note_answer(head.headers, target.instance, 'request')

    def _is_refusal(self, head: BackendAnswer) -> bool:
        """Return whether the target says that it has not run the request."""
        stated = fields.find(head.headers, self._adapter.headers.not_run)
        return bool(stated) or head.status == _MISDIRECTED_REQUEST

    def _note_refusal(
        self, call: Call, connection: BackendConnection, run_state: RunState
    ) -> None:
        connection.refused_attempts.add(self._attempt_id(call))
        if len(connection.refused_attempts) >= MAX_REFUSED_ATTEMPTS:
            connection.close()
        self._client.release(connection)
        self._note_run_state(call, run_state)

    def _read_answer(
        self,
        call: Call,
        connection: BackendConnection,
        head: BackendAnswer,
        content: bytes,
    ) -> Answer:
        if fields.find(head.headers, _ENCODING) is not None:
            # Callers don't request an encoding, so the target did not send
            # this body.
            self._abort(call, connection)
            raise CornelbeamError(
                ErrorCode.BACKEND_FAILED,
                'backend answer',
                self._name,
                'an encoded body',
                run_state=RunState.UNKNOWN,
            )
        is_whole = head.body.is_ended
        body = head.body
        if is_whole:
            body = BodyBuffer()
            body.feed(content)
            body.finish()
            self._client.release(connection)
        else:
            body.push_front(content)

        def close() -> None:  # noqa: WPS430
            if not is_whole:
                self._client.release(connection)
            # Not earlier: until then, the answer may be kept in the ledger.
            self._note_run_state(call, RunState.RAN)

        return Answer(
            head.status,
            fields.strip(head.headers),
            body,
            None,
            close,
        )

    def _abort(self, call: Call, connection: BackendConnection) -> None:
        connection.close()
        connection.drop_answer()
        self._client.release(connection)
        self._note_run_state(call, RunState.UNKNOWN)

    def _note_run_state(self, call: Call, run_state: RunState) -> None:
        note_run_state(self._ledger, call, run_state, self._loop.time())


async def _read_short(body: BodyBuffer) -> bytes:
    """Read a short body whole, or the first part of a long one.

    Nothing has been sent to the caller yet, so if a body breaks off here, the
    answer of another target can replace it.
    """
    content = bytearray(body.take_ready())
    await body.collect(content, BUFFER_LIMIT_BYTES)
    return bytes(content)
