"""Send calls and outcome queries to other daemons."""

import asyncio
from typing import Final, final

from cornelbeam_core.attempts import interpret_outcome
from cornelbeam_core.deadlines import remaining_ms
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.requests import is_worth_holding
from cornelbeam_core.targets import Target
from cornelbeam_wire import (
    MAX_BODY_PART_BYTES,
    PeerConnection,
    PeerPool,
    Stream,
)
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.attempt_records import is_recorded
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.memory_budget import MemoryBudget, unlimited_budget
from cornelbeam_daemon.remote_call import NotifySilent, RemoteCall

# Time between two outcome queries to a daemon that cannot be reached.
OUTCOME_RETRY_PERIOD_S: Final = 0.25
# A daemon that refused this many connections is taken as gone.
MAX_REFUSED_CONNECTIONS: Final = 3


@final
class PeerClient:
    """Sends calls to the daemons of other targets."""

    __slots__ = ('_account', '_pool')

    def __init__(
        self, pool: PeerPool, budget: MemoryBudget | None = None
    ) -> None:
        """Send over the connections of ``pool``.

        The answers that are received are counted in ``budget``.
        """
        self._pool = pool
        self._account = (budget or unlimited_budget()).open_account()

    async def call(
        self,
        target: Target,
        call: Call,
        notify_silent: NotifySilent | None = None,
    ) -> Answer:
        """Send a call and return its answer once the head has arrived.

        Raise ``CornelbeamError``. Its run state is ``NOT_RUN`` if no
        connection could be opened, if the peer refused or if the connection was
        lost or silent before a held body was sent, and ``UNKNOWN`` if it was
        lost later. If it goes silent later, call ``notify_silent`` and go on
        waiting; without it, raise the error as for a lost connection.
        """
        connection = await self._connect(target)
        # Before a stream is opened, which would have to be closed.
        call.body.raise_error()
        remote = RemoteCall(call.deadline_s, notify_silent, self._account)
        remote.stream = connection.open_stream(remote)
        reader = call.body.reader()
        first_part, is_whole = b'', False
        kept_bytes = call.body.kept_bytes
        if connection.has_body_grants and is_worth_holding(kept_bytes):
            remote.is_body_held = True
            remote.stream.hold_body()
        elif kept_bytes <= MAX_BODY_PART_BYTES:
            # Parts taken beyond that may not be kept for another reader.
            first_part, is_whole = reader.take_first()
        if len(first_part) > MAX_BODY_PART_BYTES:
            first_part, is_whole = b'', False
            reader = call.body.reader()
        remote.stream.deduct_credit(len(first_part))
        try:
            _send_start(
                remote.stream,
                call,
                first_part,
                is_complete=is_whole,
                is_body_held=remote.is_body_held,
            )
        except CornelbeamError as error:
            remote.stream.close()
            raise CornelbeamError(
                ErrorCode.HEAD_TOO_LARGE,
                'peer connection',
                target.name,
                'the head does not fit into one frame between daemons',
            ) from error
        if not is_whole:
            remote.send_rest(reader)
        try:
            return await remote.head
        except CornelbeamError as error:
            is_lost = error.code is ErrorCode.PEER_UNREACHABLE
            is_unclear = error.run_state is not RunState.NOT_RUN
            if is_lost and is_unclear and is_recorded(call):
                # Not cancelled: its outcome may be queried.
                remote.abandon()
            else:
                remote.close()
            raise
        except BaseException:
            remote.close()
            raise

    async def ask_outcome(
        self,
        target: Target,
        call: Call,
    ) -> tuple[RunState, Answer | None]:
        """Query the outcome of a call and forbid it if it has not arrived.

        Return the run state, with the answer if the peer still has it or is
        working on it. The run state is ``UNKNOWN`` if the target was replaced,
        refuses connections or doesn't know. There is no time limit, as a peer
        without a reply may be slow.
        """
        while True:
            run_state, remote = await self._ask_until_replied(target, call)
            if remote is None:
                return run_state, None
            try:
                return run_state, await remote.head
            except CornelbeamError as error:
                remote.abandon()
                if error.code is not ErrorCode.PEER_UNREACHABLE:
                    return error.run_state, None
            except BaseException:
                remote.abandon()
                raise

    async def _ask_until_replied(
        self,
        target: Target,
        call: Call,
    ) -> tuple[RunState, RemoteCall | None]:
        """Return the run state and the receiver of an announced answer."""
        refused_count = 0
        while refused_count < MAX_REFUSED_CONNECTIONS:
            try:
                return await self._query_outcome(target, call)
            except CornelbeamError as error:
                if error.code is ErrorCode.WRONG_INCARNATION:
                    # The process that may have run the call is gone.
                    return RunState.UNKNOWN, None
                if error.code is not ErrorCode.PEER_UNREACHABLE:
                    return error.run_state, None
                if isinstance(error.__cause__, ConnectionRefusedError):
                    refused_count += 1
            await asyncio.sleep(OUTCOME_RETRY_PERIOD_S)
        return RunState.UNKNOWN, None

    async def _connect(self, target: Target) -> PeerConnection:
        connection = self._pool.ready_connection(target.address)
        if connection is None:
            connection = await self._pool.connection(target.address)
        peer = connection.peer
        if peer is None or peer.incarnation != target.incarnation:
            raise CornelbeamError(
                ErrorCode.WRONG_INCARNATION,
                'peer connection',
                target.name,
            )
        return connection

    async def _query_outcome(
        self,
        target: Target,
        call: Call,
    ) -> tuple[RunState, RemoteCall | None]:
        connection = await self._connect(target)
        remote = RemoteCall(call.deadline_s, account=self._account)
        remote.stream = connection.open_stream(remote)
        remote.stream.send(
            outcome_query=messages.OutcomeQuery(
                attempt_id=call.attempt_id,
                target_incarnation=call.target_incarnation,
                is_forbidding=True,
                remaining_ms=remaining_ms(
                    call.deadline_s,
                    asyncio.get_running_loop().time(),
                ),
            ),
        )
        try:
            reply = await remote.reply
        except BaseException:
            remote.abandon()
            raise
        if reply.is_answer_kept:
            return RunState.RAN, remote
        remote.abandon()
        run_state = interpret_outcome(
            RunState(reply.run_state),
            asyncio.get_running_loop().time(),
            call.deadline_s,
        )
        return run_state, None


def _send_start(
    stream: Stream,
    call: Call,
    first_part: bytes,
    *,
    is_complete: bool,
    is_body_held: bool,
) -> None:
    stream.send(
        call_start=messages.CallStart(
            attempt_id=call.attempt_id,
            target_incarnation=call.target_incarnation,
            service_name=call.service,
            method=call.method,
            path=call.path,
            headers=call.headers,
            remaining_ms=remaining_ms(
                call.deadline_s,
                asyncio.get_running_loop().time(),
            ),
            is_repeatable=call.is_repeatable,
            caller=call.caller,
            hop_count=call.hop_count,
            body=first_part,
            is_complete=is_complete,
            request_id=call.request_id,
            # Zero and false are sent as absent fields.
            priority=call.priority or None,
            is_nested=call.is_nested or None,
            is_repeat=call.is_repeat or None,
            patience_ms=call.max_slot_wait_ms or None,
            objective_ms=call.objective_ms or None,
            route=call.route or None,
            is_body_held=is_body_held or None,
            is_last_resort=call.is_last_resort or None,
            fingerprint=call.fingerprint or None,
            is_suspect=call.is_suspect or None,
            tenant=call.tenant or None,
        ),
    )
