"""Conditional writes and their outcomes."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, TypeAlias, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_operator.exit_codes import ExitCode
from cornelbeam_operator.planning import Change
from cornelbeam_operator.store import ObjectStore, StoredView

Sleep: TypeAlias = Callable[[float], Awaitable[None]]

# Delays before each read-back after a lost answer. Their sum covers a short
# outage of the store without making an operator wait for long.
READ_BACK_DELAYS_S: Final = (0.1, 0.4, 1.0, 2.0, 4.0)


@final
class WriteOutcome(enum.Enum):
    """Outcome of a write."""

    WRITTEN = 'written'
    UNCHANGED = 'unchanged'
    PLANNED = 'planned'
    CONFLICT = 'conflict'
    NOT_WRITTEN = 'not-written'
    NOT_TRIED = 'not-tried'
    UNKNOWN = 'unknown'


EXIT_CODES: Final = {
    WriteOutcome.WRITTEN: ExitCode.DONE,
    WriteOutcome.UNCHANGED: ExitCode.DONE,
    WriteOutcome.PLANNED: ExitCode.DONE,
    WriteOutcome.CONFLICT: ExitCode.CONFLICT,
    WriteOutcome.NOT_WRITTEN: ExitCode.UNAVAILABLE,
    WriteOutcome.NOT_TRIED: ExitCode.UNAVAILABLE,
    WriteOutcome.UNKNOWN: ExitCode.UNKNOWN,
}


@final
@dataclass(frozen=True, slots=True)
class WriteReport:
    """One change and its outcome.

    ``current`` is the stored object after the write, or the one that it
    conflicted with. ``detail`` explains the outcome if it was not established
    by a successful answer.
    """

    change: Change
    outcome: WriteOutcome
    write_id: str = ''
    current: StoredView | None = None
    detail: str = ''


@final
class Writer:
    """Writes changes one by one, each with its own write id."""

    __slots__ = ('_make_write_id', '_sleep', '_store')

    def __init__(
        self,
        store: ObjectStore,
        make_write_id: Callable[[], str],
        sleep: Sleep,
    ) -> None:
        """Initialize; ``sleep`` takes seconds."""
        self._store = store
        self._make_write_id = make_write_id
        self._sleep = sleep

    async def write(self, change: Change) -> WriteReport:
        """Write one change and determine whether it took effect.

        After a lost answer, the object is read back. If it is unchanged, the
        same write is sent again. It has the same write id and is conditional
        on the same version, so it takes effect at most once, and a delayed
        first attempt cannot take effect after it.

        Raise ``CornelbeamError`` for any error other than a conflict or an
        unavailable store.
        """
        write_id = self._make_write_id()
        try:
            stored = await self._send(change, write_id)
        except CornelbeamError as error:
            if error.code is ErrorCode.STORE_CONFLICT:
                current = await self._read(change)
                return _classify_conflict(change, write_id, current)
            _raise_unless_unavailable(error)
            if error.run_state is RunState.NOT_RUN:
                return WriteReport(
                    change,
                    WriteOutcome.NOT_WRITTEN,
                    write_id,
                    detail=str(error),
                )
            return await self._resolve(change, write_id)
        return WriteReport(change, WriteOutcome.WRITTEN, write_id, stored)

    async def _resolve(self, change: Change, write_id: str) -> WriteReport:
        for delay_s in READ_BACK_DELAYS_S:
            await self._sleep(delay_s)
            try:
                return await self._resolve_once(change, write_id)
            except CornelbeamError as error:
                _raise_unless_unavailable(error)
        return WriteReport(
            change,
            WriteOutcome.UNKNOWN,
            write_id,
            detail='the answer was lost and the Object API does not answer;'
            ' run diff once it does',
        )

    async def _resolve_once(self, change: Change, write_id: str) -> WriteReport:
        current = await self._read(change)
        if _version_of(current) == change.expected_version:
            try:
                sent = await self._send(change, write_id)
            except CornelbeamError as error:
                if error.code is not ErrorCode.STORE_CONFLICT:
                    raise
                current = await self._read(change)
            else:
                return WriteReport(
                    change,
                    WriteOutcome.WRITTEN,
                    write_id,
                    sent,
                    'the answer was lost; the write was sent again and took'
                    ' effect once',
                )
        return _classify_lost_write(change, write_id, current)

    async def _send(self, change: Change, write_id: str) -> StoredView | None:
        desired = change.desired
        if desired.spec is None:
            return await self._store.delete(
                desired.kind,
                desired.name,
                change.expected_version,
                write_id,
            )
        return await self._store.put(
            desired.kind,
            desired.name,
            desired.spec,
            change.expected_version,
            write_id,
        )

    async def _read(self, change: Change) -> StoredView | None:
        desired = change.desired
        return await self._store.read_back(desired.kind, desired.name)


def _classify_conflict(
    change: Change,
    write_id: str,
    current: StoredView | None,
) -> WriteReport:
    outcome = WriteOutcome.CONFLICT
    if current is not None and current.write_id == write_id:
        outcome = WriteOutcome.WRITTEN
    return WriteReport(change, outcome, write_id, current)


def _classify_lost_write(
    change: Change,
    write_id: str,
    current: StoredView | None,
) -> WriteReport:
    """Infer the outcome of a write with a lost answer from the store."""
    outcome = WriteOutcome.UNKNOWN
    detail = (
        'the answer was lost and another write followed; the lost write may'
        ' have been in force before it'
    )
    if current is not None and current.write_id == write_id:
        outcome = WriteOutcome.WRITTEN
        detail = 'the answer was lost; the write took effect'
    elif current is not None and _is_next_version(change, current):
        # Another writer created the next version, so this write has failed
        # and a delayed copy of it fails as well.
        outcome = WriteOutcome.CONFLICT
        detail = 'the answer was lost; the write did not take effect'
    return WriteReport(change, outcome, write_id, current, detail)


def _is_next_version(change: Change, current: StoredView) -> bool:
    # A new object continues the versions of a deleted one of the same name, so
    # after a creation only version 1 is known to be the first write.
    return current.version == change.expected_version + 1


def _version_of(stored: StoredView | None) -> int:
    """Return the version that a write must expect; 0 without an object."""
    if stored is None or stored.is_deleted:
        return 0
    return stored.version


def _raise_unless_unavailable(error: CornelbeamError) -> None:
    if error.code is not ErrorCode.STORE_UNAVAILABLE:
        raise error
