"""Attempts at targets, served locally or by another daemon."""

import asyncio
import random
from typing import Final, final

from cornelbeam_core.attempt_order import Choice
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_daemon.calls import Answer, Call
from cornelbeam_daemon.logs import get_log
from cornelbeam_daemon.peer_client import PeerClient
from cornelbeam_daemon.racing import SecondAttempt, race
from cornelbeam_daemon.remote_call import NotifySilent
from cornelbeam_wire import PeerConnection

from cornelbeam_mesh.admission import AdmissionController
from cornelbeam_mesh.forwarded_request import ForwardedRequest
from cornelbeam_mesh.members import MemberEntry, Members, make_peer_target
from cornelbeam_mesh.platform_adapter import PlatformAdapter
from cornelbeam_mesh.target_observer import states_departure

_log = get_log('caller')
_ATTEMPT_ID_BYTES: Final = 16


@final
class TargetClient:
    """Sends requests to the daemon of a target, which admits them."""

    __slots__ = (
        '_adapter',
        '_admission',
        '_loop',
        '_members',
        '_name',
        '_peer_client',
        '_rng',
    )

    def __init__(
        self,
        name: str,
        adapter: PlatformAdapter,
        members: Members,
        admission: AdmissionController,
        client: PeerClient,
        rng: random.Random,
    ) -> None:
        """Use ``admission`` for the target of the daemon ``name`` itself.

        ``members`` is told of targets whose answers say that they are leaving.
        """
        self._name = name
        self._adapter = adapter
        self._members = members
        self._admission = admission
        self._peer_client = client
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    async def attempt(
        self,
        forwarded: ForwardedRequest,
        member: MemberEntry,
        choice: Choice,
        notify_silent: NotifySilent,
    ) -> Answer:
        """Send a request to the target of a daemon and return its answer.

        It waits for a slot as long as ``choice`` says. If the daemon
        goes silent, ``notify_silent`` is called and the attempt goes on. Raise
        ``CornelbeamError`` with the run state of this attempt.
        """
        call = self._new_call(forwarded, member, choice)
        answer = await self._serve(member, call, notify_silent)
        if states_departure(self._adapter, answer.headers):
            self._members.note_departure(member)
        return answer

    async def _serve(
        self,
        member: MemberEntry,
        call: Call,
        notify_silent: NotifySilent,
    ) -> Answer:
        if member.name == self._name:
            return await self._admission.serve(call)
        if call.is_repeatable:
            return await self._call_peer(member, call, notify_silent)
        return await self._call_once(member, call, notify_silent)

    async def _call_peer(
        self,
        member: MemberEntry,
        call: Call,
        notify_silent: NotifySilent,
    ) -> Answer:
        try:
            async with asyncio.timeout_at(call.deadline_s):
                return await self._peer_client.call(
                    make_peer_target(member), call, notify_silent
                )
        except TimeoutError as error:
            raise CornelbeamError(
                ErrorCode.DEADLINE_PASSED,
                'answer',
                member.name,
                run_state=RunState.UNKNOWN,
            ) from error

    async def _call_once(
        self,
        member: MemberEntry,
        call: Call,
        notify_silent: NotifySilent,
    ) -> Answer:
        """Send a call that must not repeat, and query its outcome if needed."""
        query = SecondAttempt(
            lambda: self._query_silent_peer(member, call),
            _is_conclusive,
        )

        def ask_outcome(connection: PeerConnection) -> None:  # noqa: WPS430
            notify_silent(connection)
            query.start()

        try:
            return await race(
                self._call_unless_refused(member, call, ask_outcome, query),
                query,
            )
        except CornelbeamError as error:
            is_unclear = error.run_state is not RunState.NOT_RUN
            is_lost = error.code is ErrorCode.PEER_UNREACHABLE
            if query.is_started or not (is_lost and is_unclear):
                raise
            return await self._query_outcome(member, call, error)

    async def _call_unless_refused(
        self,
        member: MemberEntry,
        call: Call,
        notify_silent: NotifySilent,
        query: SecondAttempt,
    ) -> Answer:
        """Send a call, and drop its outcome query if the call is refused."""
        try:
            return await self._call_peer(member, call, notify_silent)
        except CornelbeamError as error:
            if error.run_state is RunState.NOT_RUN:
                query.discard()
            raise

    async def _query_silent_peer(
        self,
        member: MemberEntry,
        call: Call,
    ) -> Answer:
        """Query the outcome of a call that may still be answered."""
        error = CornelbeamError(
            ErrorCode.PEER_UNREACHABLE,
            'peer connection',
            member.name,
            'the connection went silent',
            run_state=RunState.UNKNOWN,
        )
        return await self._query_outcome(member, call, error)

    def _new_call(
        self,
        forwarded: ForwardedRequest,
        member: MemberEntry,
        choice: Choice,
    ) -> Call:
        return Call(
            attempt_id=self._rng.randbytes(_ATTEMPT_ID_BYTES),
            target_incarnation=member.incarnation,
            service=forwarded.service,
            method=forwarded.request.method,
            path=forwarded.request.target,
            headers=forwarded.headers,
            deadline_s=forwarded.deadline_s,
            is_repeatable=forwarded.route.is_idempotent,
            caller=self._name,
            hop_count=1,
            request_id=forwarded.request_id,
            body=forwarded.body,
            priority=forwarded.priority,
            tenant=forwarded.tenant_name,
            is_nested=forwarded.is_nested,
            is_repeat=bool(forwarded.reached_targets),
            max_slot_wait_ms=int(choice.max_slot_wait_ms),
            is_last_resort=choice.is_last_resort,
            objective_ms=forwarded.objective_remaining_ms(self._loop.time()),
            route=forwarded.route.name,
            fingerprint=forwarded.fingerprint,
            is_suspect=forwarded.is_suspect,
        )

    async def _query_outcome(
        self,
        member: MemberEntry,
        call: Call,
        error: CornelbeamError,
    ) -> Answer:
        """Return the answer of a call whose connection is lost or silent.

        Raise ``error`` with the run state that the peer reports if there is no
        answer.
        """
        try:
            async with asyncio.timeout_at(call.deadline_s):
                run_state, answer = await self._peer_client.ask_outcome(
                    make_peer_target(member),
                    call,
                )
        except TimeoutError:
            run_state, answer = RunState.UNKNOWN, None
        error.run_state = run_state
        _log.info(
            'outcome asked',
            request=call.request_id,
            target=member.name,
            run_state=run_state.name.lower(),
        )
        if answer is None:
            raise error
        return answer


def _is_conclusive(error: CornelbeamError) -> bool:
    """Return whether nothing more can arrive after an outcome query.

    The query forbids a call that has not run, and the outcome is unknown if
    the daemon that knew it is gone. A call that has run or is running may be
    answered on the connection over which it was sent.
    """
    return error.run_state in {RunState.NOT_RUN, RunState.UNKNOWN}
