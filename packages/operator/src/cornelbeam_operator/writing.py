"""Conditional writes and what became of them."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, TypeAlias, final

from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

from cornelbeam_operator.exit_codes import ExitCode
from cornelbeam_operator.planning import Change
from cornelbeam_operator.store import ObjectStore, StoredView

Sleep: TypeAlias = Callable[[float], Awaitable[None]]

# Pauses before each read back after a lost answer. Their sum outlasts a
# short outage of the store without keeping an operator waiting for long.
SETTLE_PAUSES_S: Final = (0.1, 0.4, 1.0, 2.0, 4.0)


@final
class WriteOutcome(enum.Enum):
    """What became of a write."""

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

    ``current`` is the stored object after the write, or the one that was in
    its way; ``detail`` says how the outcome was established when that was
    not by a plain answer.
    """

    change: Change
    outcome: WriteOutcome
    write_id: str = ''
    current: StoredView | None = None
    detail: str = ''


@final
class Writer:
    """Writes changes one by one, each under its own write id."""

    __slots__ = ('_make_write_id', '_sleep', '_store')

    def __init__(
        self,
        store: ObjectStore,
        make_write_id: Callable[[], str],
        sleep: Sleep,
    ) -> None:
        """Take the store, the source of write ids and a way to pause."""
        self._store = store
        self._make_write_id = make_write_id
        self._sleep = sleep

    async def write(self, change: Change) -> WriteReport:
        """Write one change and find out whether it took effect.

        After a lost answer the object is read back. When it is still the old
        one, the same write is sent again: it carries the same write id and is
        conditional on the same version, so it takes effect once at most, and
        a delayed first try can't take effect after it.

        Errors other than a conflict or an unavailable store are raised.
        """
        write_id = self._make_write_id()
        try:
            stored = await self._send(change, write_id)
        except CornelbeamError as error:
            if error.code is ErrorCode.STORE_CONFLICT:
                current = await self._read(change)
                return _judge_conflict(change, write_id, current)
            _raise_unless_unavailable(error)
            if error.run_state is RunState.NOT_RUN:
                return WriteReport(
                    change,
                    WriteOutcome.NOT_WRITTEN,
                    write_id,
                    detail=str(error),
                )
            return await self._settle(change, write_id)
        return WriteReport(change, WriteOutcome.WRITTEN, write_id, stored)

    async def _settle(self, change: Change, write_id: str) -> WriteReport:
        for pause_s in SETTLE_PAUSES_S:
            await self._sleep(pause_s)
            try:
                return await self._settle_once(change, write_id)
            except CornelbeamError as error:
                _raise_unless_unavailable(error)
        return WriteReport(
            change,
            WriteOutcome.UNKNOWN,
            write_id,
            detail='the answer was lost and the Object API does not answer;'
            ' run diff once it does',
        )

    async def _settle_once(self, change: Change, write_id: str) -> WriteReport:
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
        return _judge_lost(change, write_id, current)

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


def _judge_conflict(
    change: Change,
    write_id: str,
    current: StoredView | None,
) -> WriteReport:
    outcome = WriteOutcome.CONFLICT
    if current is not None and current.write_id == write_id:
        outcome = WriteOutcome.WRITTEN
    return WriteReport(change, outcome, write_id, current)


def _judge_lost(
    change: Change,
    write_id: str,
    current: StoredView | None,
) -> WriteReport:
    """Judge by what is stored after a write whose answer was lost."""
    outcome = WriteOutcome.UNKNOWN
    detail = (
        'the answer was lost and another write followed; the lost write may'
        ' have been in force before it'
    )
    if current is not None and current.write_id == write_id:
        outcome = WriteOutcome.WRITTEN
        detail = 'the answer was lost; the write took effect'
    elif current is not None and _is_next(change, current):
        # The next version belongs to another writer, so this write has
        # failed and a delayed copy of it fails as well.
        outcome = WriteOutcome.CONFLICT
        detail = 'the answer was lost; the write did not take effect'
    return WriteReport(change, outcome, write_id, current, detail)


def _is_next(change: Change, current: StoredView) -> bool:
    # A new object continues the versions of a deleted one of its name, so
    # for a creation only version 1 is known to be the first write.
    return current.version == change.expected_version + 1


def _version_of(stored: StoredView | None) -> int:
    if stored is None or stored.is_deleted:
        return 0
    return stored.version


def _raise_unless_unavailable(error: CornelbeamError) -> None:
    if error.code is not ErrorCode.STORE_UNAVAILABLE:
        raise error
