"""Serve the calls and outcome queries of other daemons."""

import asyncio
from typing import Final, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_wire import PeerConnection, Stream, decode_frame
from cornelbeam_wire.codec import protocol_error
from cornelbeam_wire.gen import messages

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.attempt_records import may_be_queried
from cornelbeam_daemon.calls import CallServer
from cornelbeam_daemon.convert import refusal_to_wire
from cornelbeam_daemon.memory_budget import MemoryBudget, unlimited_budget
from cornelbeam_daemon.served_call import ServedCall

_MS_PER_S: Final = 1000


@final
class PeerServer:
    """Serves calls of other daemons and answers their outcome queries."""

    __slots__ = ('_backend_side', '_budget', '_queried_numbers', '_served')

    def __init__(
        self,
        backend_side: CallServer,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Serve with ``backend_side``; bodies are counted in ``budget``."""
        self._backend_side = backend_side
        self._budget = budget or unlimited_budget()
        # The newest connection over which each peer has forbidden a call.
        self._queried_numbers: dict[str, int] = {}
        self._served: dict[bytes, ServedCall] = {}

    @property
    def call_count(self) -> int:
        """Number of calls that are in work or still send their answer."""
        return len(self._served)

    def start_call(
        self,
        stream: Stream,
        start: messages.CallStart,
    ) -> ServedCall | None:
        """Start to serve a call; return ``None`` if it is refused.

        Raise ``CornelbeamError`` with ``protocol_violation`` if the head is
        malformed; the connection of the peer is then closed.
        """
        if not fields.are_well_formed(start.headers, start.method, start.path):
            raise protocol_error('malformed head of a call')
        is_recorded = may_be_queried(
            start.method, is_repeatable=start.is_repeatable
        )
        if is_recorded and self._is_outdated(stream.connection):
            error = CornelbeamError(
                ErrorCode.ATTEMPT_FORBIDDEN,
                'peer connection',
                detail='a newer connection has taken over',
            )
            load = self._backend_side.load_for(start.route or '')
            stream.send(refusal=refusal_to_wire(error, load))
            stream.close()
            return None
        served = ServedCall(
            self._backend_side,
            stream,
            start,
            lambda attempt_id: self._remove(attempt_id, served),
            self._budget,
        )
        # A repeated attempt must not replace the one in progress.
        self._served.setdefault(start.attempt_id, served)
        return served

    def answer_query(
        self,
        stream: Stream,
        query: messages.OutcomeQuery,
    ) -> ServedCall | None:
        """Answer an outcome query.

        A call in progress is returned and continues on the query's stream.
        """
        ledger = self._backend_side.ledger
        now_s = asyncio.get_running_loop().time()
        if query.is_forbidding:
            self._refuse_older_calls(stream.connection)
            run_state = ledger.forbid(
                query.attempt_id,
                query.target_incarnation,
                now_s,
                now_s + query.remaining_ms / _MS_PER_S,
            )
        else:
            run_state = ledger.query(
                query.attempt_id,
                query.target_incarnation,
                now_s,
            )
        served = self._served.get(query.attempt_id)
        kept = ledger.kept_answer(query.attempt_id)
        # A cancelled call gives no answer to wait for.
        is_in_progress = (
            run_state is RunState.RUNNING
            and served is not None
            and not served.is_cancelled
            and not served.is_answering
        )
        stream.send(
            outcome_reply=messages.OutcomeReply(
                run_state=int(run_state),
                is_answer_kept=is_in_progress or kept is not None,
            ),
        )
        if is_in_progress and served is not None:
            served.attach(stream)
            return served
        if kept is not None:
            stream.send(answer_start=decode_frame(kept).answer_start)
        stream.close()
        return None

    def _refuse_older_calls(self, newest: PeerConnection) -> None:
        # An older connection may still hold a call in its buffers, which must
        # not start after the reply. Calls that have started go on.
        self._queried_numbers[newest.peer_name] = max(
            newest.accept_number,
            self._queried_numbers.get(newest.peer_name, 0),
        )

    def _is_outdated(self, connection: PeerConnection) -> bool:
        queried_number = self._queried_numbers.get(connection.peer_name, 0)
        return connection.accept_number < queried_number

    def _remove(self, attempt_id: bytes, served: ServedCall) -> None:
        if self._served.get(attempt_id) is served:
            self._served.pop(attempt_id)
