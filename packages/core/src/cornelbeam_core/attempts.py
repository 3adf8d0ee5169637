"""Ledger of the attempts that reached one backend server.

The ledger decides whether an attempt may be handed over to the backend server
and reports what is known about its execution. At-most-once execution and the
correctness of the answer "not run" (invariants I5 and I6) rest on it.
"""

import enum
import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.errors import RunState

# An answer of this size fits into one frame together with its headers.
MAX_ANSWER_BYTES: Final = 65_536
# Kept answers may use at most a quarter of the 32 MB of memory of a daemon.
MAX_KEPT_BYTES: Final = 8_388_608


@final
class RecordResult(enum.Enum):
    """Decision of the backend side on an attempt that has arrived.

    Only ``HAND_OVER`` permits handing the request to the backend server.
    """

    HAND_OVER = 'hand_over'
    REPEAT = 'repeat'
    FORBIDDEN = 'forbidden'
    WRONG_INCARNATION = 'wrong_incarnation'
    PAST_DEADLINE = 'past_deadline'
    FULL = 'full'

    @property
    def run_state(self) -> RunState:
        """Run state that a refusal for this reason may report.

        A repeated frame proves nothing about the first one, whose request may
        be running. All other refusals are for attempts that this process has
        not handed over and will not hand over. An attempt is sent over one
        connection, hence to one process only.
        """
        if self in _UNCLEAR_RESULTS:
            return RunState.UNKNOWN
        return RunState.NOT_RUN


_UNCLEAR_RESULTS: Final = frozenset(
    (RecordResult.HAND_OVER, RecordResult.REPEAT),
)


@final
@dataclass(slots=True)
class AttemptEntry:
    """Entry of the ledger for one attempt.

    ``run_state`` is ``RUNNING`` from before the hand-over until the attempt
    ends, then ``RAN``, ``UNKNOWN`` or ``NOT_RUN``. A tombstone is ``NOT_RUN``
    from the start. ``keep_until_s`` is the earliest time at which the entry
    may be dropped; the entry of a running attempt is never dropped.
    """

    run_state: RunState
    keep_until_s: float
    answer: bytes | None = None


@final
class AttemptLedger:
    """Attempts by id, for one run of a daemon.

    ``incarnation`` identifies the run of this daemon, ``capacity`` is the
    maximum number of entries, and ``keep_s`` the time in seconds for which an
    entry outlives the deadline of its attempt.

    >>> ledger = AttemptLedger(incarnation=7, capacity=10, keep_s=30)
    >>> ledger.record(b'a', 7, now_s=0, deadline_s=5)
    <RecordResult.HAND_OVER: 'hand_over'>
    >>> ledger.record(b'a', 7, now_s=0, deadline_s=5)
    <RecordResult.REPEAT: 'repeat'>
    >>> ledger.finish(b'a', b'200', now_s=1)
    >>> ledger.query(b'a', 7, now_s=1)
    <RunState.RAN: 2>
    """

    __slots__ = (
        '_capacity',
        '_entries',
        '_expiries',
        '_incarnation',
        '_keep_s',
        '_kept_bytes',
    )

    def __init__(self, incarnation: int, capacity: int, keep_s: float) -> None:
        """Create an empty ledger."""
        self._incarnation = incarnation
        self._capacity = capacity
        self._keep_s = keep_s
        self._entries: dict[bytes, AttemptEntry] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._kept_bytes = 0

    def __len__(self) -> int:
        """Return the number of entries, including tombstones."""
        return len(self._entries)

    @property
    def incarnation(self) -> int:
        """Identifier of the run of the daemon that owns this ledger."""
        return self._incarnation

    @property
    def kept_bytes(self) -> int:
        """Total size of all kept answers in bytes."""
        return self._kept_bytes

    def record(
        self,
        attempt_id: bytes,
        incarnation: int,
        now_s: float,
        deadline_s: float,
    ) -> RecordResult:
        """Record an attempt before it is handed to the backend server.

        ``deadline_s`` is the deadline of the attempt on the clock of
        ``now_s``. Only ``HAND_OVER`` permits handing over the request; the
        entry exists when it is returned.
        """
        if incarnation != self._incarnation:
            return RecordResult.WRONG_INCARNATION
        known = self._entries.get(attempt_id)
        if known is not None:
            if known.run_state is RunState.NOT_RUN:
                return RecordResult.FORBIDDEN
            return RecordResult.REPEAT
        if deadline_s <= now_s:
            return RecordResult.PAST_DEADLINE
        if not self._has_room(now_s):
            return RecordResult.FULL
        self._add(attempt_id, RunState.RUNNING, now_s, deadline_s)
        return RecordResult.HAND_OVER

    def finish(
        self,
        attempt_id: bytes,
        answer_summary: bytes | None,
        now_s: float,
        run_state: RunState = RunState.RAN,
    ) -> None:
        """Record the end of an attempt that was handed over.

        ``answer_summary`` is the encoded answer unless it has been delivered.
        It is not kept if it is larger than ``MAX_ANSWER_BYTES`` or if all kept
        answers would exceed ``MAX_KEPT_BYTES``. ``run_state`` is ``NOT_RUN``
        only if no byte of the request reached the backend server (the request
        left the queue unserved, or no connection could be opened), and
        ``UNKNOWN`` if the connection to the backend server broke.
        """
        entry = self._entries.get(attempt_id)
        if entry is None or entry.run_state is not RunState.RUNNING:
            return
        entry.run_state = run_state
        entry.keep_until_s = max(entry.keep_until_s, now_s + self._keep_s)
        heapq.heappush(self._expiries, (entry.keep_until_s, attempt_id))
        if answer_summary is not None:
            self._keep_answer(entry, answer_summary)

    def forbid(
        self,
        attempt_id: bytes,
        incarnation: int,
        now_s: float,
        deadline_s: float,
    ) -> RunState:
        """Return the run state; forbid the attempt if it has not arrived.

        ``NOT_RUN`` also promises that the attempt never runs later. The
        promise relies on the tombstone recorded here and on the code that
        calls this method: before it answers, it has to stop accepting
        attempts from older connections of the asking peer, because a frame
        delayed in one of them may arrive after the tombstone has expired.
        """
        if incarnation != self._incarnation:
            return RunState.UNKNOWN
        known = self._entries.get(attempt_id)
        if known is not None:
            return known.run_state
        if not self._has_room(now_s):
            return RunState.UNKNOWN
        self._add(attempt_id, RunState.NOT_RUN, now_s, deadline_s)
        heapq.heappush(
            self._expiries,
            (self._entries[attempt_id].keep_until_s, attempt_id),
        )
        return RunState.NOT_RUN

    def query(
        self,
        attempt_id: bytes,
        incarnation: int,
        now_s: float,
    ) -> RunState:
        """Return the run state of an attempt without changing the ledger.

        An attempt without an entry is ``UNKNOWN``: it may still arrive, or
        its entry may have expired.
        """
        if incarnation != self._incarnation:
            return RunState.UNKNOWN
        known = self._entries.get(attempt_id)
        return RunState.UNKNOWN if known is None else known.run_state

    def kept_answer(self, attempt_id: bytes) -> bytes | None:
        """Return the undelivered answer of an attempt, None if not kept."""
        entry = self._entries.get(attempt_id)
        return None if entry is None else entry.answer

    def discard_answer(self, attempt_id: bytes) -> None:
        """Drop the kept answer of an attempt after its delivery."""
        entry = self._entries.get(attempt_id)
        if entry is not None:
            self._free_answer(entry)

    def expire(self, now_s: float) -> int:
        """Drop expired entries and return their number."""
        dropped_count = 0
        while self._expiries and self._expiries[0][0] < now_s:
            expiry_s, attempt_id = heapq.heappop(self._expiries)
            entry = self._entries.get(attempt_id)
            if entry is None or entry.keep_until_s != expiry_s:
                continue
            self._free_answer(entry)
            self._entries.pop(attempt_id)
            dropped_count += 1
        return dropped_count

    def running(self) -> Iterator[bytes]:
        """Return the ids of the attempts that have not ended."""
        return (
            attempt_id
            for attempt_id, entry in self._entries.items()
            if entry.run_state is RunState.RUNNING
        )

    def _has_room(self, now_s: float) -> bool:
        if len(self._entries) >= self._capacity:
            self.expire(now_s)
        return len(self._entries) < self._capacity

    def _add(
        self,
        attempt_id: bytes,
        run_state: RunState,
        now_s: float,
        deadline_s: float,
    ) -> None:
        keep_until_s = max(now_s, deadline_s) + self._keep_s
        self._entries[attempt_id] = AttemptEntry(run_state, keep_until_s)

    def _keep_answer(self, entry: AttemptEntry, answer: bytes) -> None:
        if len(answer) > MAX_ANSWER_BYTES:
            return
        if self._kept_bytes + len(answer) > MAX_KEPT_BYTES:
            return
        entry.answer = answer
        self._kept_bytes += len(answer)

    def _free_answer(self, entry: AttemptEntry) -> None:
        if entry.answer is not None:
            self._kept_bytes -= len(entry.answer)
            entry.answer = None


def interpret_outcome(
    run_state: RunState,
    now_s: float,
    deadline_s: float,
) -> RunState:
    """Return what a reply to an outcome query proves to the asking side.

    ``NOT_RUN`` counts only before the deadline of the attempt. The ledger
    keeps an entry until ``keep_s`` after the deadline, so a query that arrives
    even later finds no entry of an attempt that ran. ``now_s`` is the time at
    which the reply is read, so that a pause of the asking process is covered.

    >>> interpret_outcome(RunState.NOT_RUN, now_s=6, deadline_s=5)
    <RunState.UNKNOWN: 3>
    """
    if run_state is RunState.NOT_RUN and now_s >= deadline_s:
        return RunState.UNKNOWN
    return run_state
