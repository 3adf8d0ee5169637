"""Synchronization of the fleet state with the platform's store.

Calls to the store are billed and rate limited, failed calls included. Objects
that operators write are watched, as changes must take effect within two
seconds. Member entries change rarely and are polled by cheap stale reads. The
polls also detect whether the store answers; while it doesn't, nothing else is
sent to it.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

import anyio
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.shared_objects import (
    Listing,
    SharedKind,
    SharedObject,
    era_of,
    revision_of,
)
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.boot_clock import read_boot_time_s
from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.platform_adapter import HistoryGoneError, Store

_log = get_log('relay')
# The longest wait that the store allows; polls detect a silent watch earlier.
WATCH_WAIT_MS: Final = 30_000
# All daemons know a new target after one poll.
POLL_PERIOD_S: Final = 2.0
# Delays of the first polls. Daemons that start together write their entries
# within this time.
STARTUP_POLL_DELAYS_S: Final = (0.3, 0.5, 1.0)
# Poll period while the store is unreachable. Changes must take effect a few
# seconds after it is back.
UNREACHABLE_POLL_PERIOD_S: Final = 0.8
# Longest delay of the poll that follows a loss of the store. One lost
# connection does not mean that the store is down, so the first poll is soon;
# daemons that lost it together don't poll at the same moment.
LOSS_POLL_DELAY_S: Final = 0.2
# Operators write what a restored store has lost again within this time.
RESTORE_SETTLE_S: Final = 2.0
# Delay before something that the store answers unreadably is listed again.
UNREADABLE_RETRY_S: Final = 0.8
_WATCHED: Final = (SharedKind.CONFIGURATION, SharedKind.EVACUATION)
_STEP: Final = SharedKind.ROLLOUT_STEP
ROLLOUT_KINDS: Final = (SharedKind.ROLLOUT, _STEP)


@final
class StoreSync:
    """Follows the store and writes this daemon's entry to it."""

    __slots__ = (
        '_era',
        '_listed_at_revision',
        '_loop',
        '_is_missing',
        '_is_restored',
        '_lost',
        '_lost_at_s',
        '_reported_revision',
        '_settled_at_s',
        '_own_entry',
        '_rng',
        '_state',
        '_store',
        '_first_listed',
        '_missing_revision',
        '_watched',
        '_watches',
        '_write_requested',
        'clock',
        'is_listed',
        'is_reachable',
        'may_own_rollouts',
        'on_configuration_read',
    )

    def __init__(
        self,
        store: Store,
        state: FleetState,
        rng: random.Random,
        more_kinds: tuple[SharedKind, ...] = (),
    ) -> None:
        """Merge the objects of ``store`` into ``state``.

        ``more_kinds`` are watched besides those of each deployment.
        """
        self._watched = _WATCHED + more_kinds
        # Nobody writes steps of rollouts before there is an order.
        self._first_listed = (
            *(each for each in self._watched if each is not _STEP),
            SharedKind.MEMBER,
        )
        # Whether this daemon may carry out a rollout.
        self.may_own_rollouts: Callable[[], bool] = _never
        self._store = store
        self._state = state
        self._rng = rng
        self._own_entry: SharedObject | None = None
        self._write_requested = asyncio.Event()
        # Newest revision that a listing or a watch has reported.
        self._reported_revision = 0
        # Revision at which the first watch of each kind starts.
        self._listed_at_revision: dict[SharedKind, int] = {}
        # Newer revision that the last poll found, or zero.
        self._missing_revision = 0
        self._watches: set[anyio.CancelScope] = set()
        # Era of the last listing, and when its content is complete again.
        self._era = 0
        self._settled_at_s = float('-inf')
        # Set until the first poll after the store was restored.
        self._is_restored = False
        # Whether the last poll lacked the current entry of this daemon.
        self._is_missing = False
        # Set when the store was lost, until the poll that follows.
        self._lost = asyncio.Event()
        self._lost_at_s = float('-inf')
        self._loop = asyncio.get_running_loop()
        # Set while the store is reachable.
        self.is_reachable = asyncio.Event()
        # Set after the first listing of all kinds.
        self.is_listed = asyncio.Event()
        # Called with each linearizable listing of the configuration, once it
        # is merged, and the time of ``clock`` when it was requested.
        self.on_configuration_read: Callable[[Listing, float], None] = _ignore
        self.clock = read_boot_time_s

    def write(self, own_entry: SharedObject) -> None:
        """Schedule a write of this daemon's newest entry."""
        self._own_entry = own_entry
        self._write_requested.set()

    def note_missed_change(self, peer: str) -> None:
        """Restart the watches, as they have not reported what a peer has."""
        if self.is_reachable.is_set():
            _log.warning('watches restarted, a peer has newer', peer=peer)
            self._restart_watches()

    @property
    def is_settled(self) -> bool:
        """Whether operators had time to write what a restore has lost."""
        return self._loop.time() >= self._settled_at_s

    async def read_configuration(self) -> None:
        """Read the newest configuration; raise ``CornelbeamError``.

        One lost answer is no reason to restart the watches, so a poll finds
        out whether the store is lost.
        """
        try:
            await self._list(SharedKind.CONFIGURATION)
        except CornelbeamError as error:
            if not _is_unreadable(error):
                self._request_poll()
            raise

    async def run(self) -> None:
        """Follow the store until cancelled."""
        await self._list_all_kinds()
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_members)
            group.start_soon(self._write_own)
            for kind in self._watched:
                if kind is _STEP:
                    group.start_soon(self._follow_steps)
                else:
                    group.start_soon(self._watch, kind)

    async def _list_all_kinds(self) -> None:
        while not self.is_listed.is_set():
            try:
                for kind in self._first_listed:
                    revision = await self._list_readable(kind)
                    self._listed_at_revision[kind] = revision
            except CornelbeamError as error:
                self._mark_unreachable(error)
                await anyio.sleep(UNREACHABLE_POLL_PERIOD_S)
            else:
                self.is_listed.set()
                self._mark_reachable()

    async def _follow_steps(self) -> None:
        """Follow the steps of rollouts once there is an order.

        Each step ends the watches of all daemons that have one, and watches
        are billed, so only daemons that may carry out a rollout watch. The
        others learn of steps from the daemon that does.
        """
        await self._state.is_rollout_ordered.wait()
        self._listed_at_revision[_STEP] = await self._relist(_STEP)
        if self.may_own_rollouts():
            await self._watch(_STEP)
        while True:
            with anyio.CancelScope() as scope:
                self._watches.add(scope)
                try:
                    await anyio.sleep_forever()
                finally:
                    self._watches.discard(scope)
            await self._relist(_STEP)

    async def _list_readable(self, kind: SharedKind) -> int:
        """List a kind; return zero if the answer can't be read.

        The other kinds must not wait until somebody has mended it.
        """
        try:
            return await self._list(kind)
        except CornelbeamError as error:
            if not _is_unreadable(error):
                raise
            _log.error('listing unreadable', kind=kind.value, why=str(error))
            return 0

    async def _list(self, kind: SharedKind) -> int:
        sent_s, was_settled = self.clock(), self.is_settled
        listing = await self._store.list_objects(kind, is_stale_allowed=False)
        self._merge_listing(listing)
        # A restored store may lack the newest configuration for a moment.
        is_complete = was_settled and self.is_settled
        is_latest_era = era_of(listing.revision) >= self._era
        if kind is SharedKind.CONFIGURATION and is_complete and is_latest_era:
            self.on_configuration_read(listing, sent_s)
        return listing.revision

    def _merge_listing(self, listing: Listing) -> None:
        now_s = self._loop.time()
        era = era_of(listing.revision)
        if era > self._era:
            if self._era:
                self._is_restored = True
                self._settled_at_s = now_s + RESTORE_SETTLE_S
                # They wait for revisions of the era before.
                self._restart_watches()
            self._era = era
        self._state.merge_listing(listing, 'store', is_settled=self.is_settled)

    async def _poll_members(self) -> None:
        for delay_s in STARTUP_POLL_DELAYS_S:
            await anyio.sleep(delay_s)
            await self._poll_once()
        while True:
            await self._wait_for_poll()
            await self._poll_once()

    async def _wait_for_poll(self) -> None:
        period_s = POLL_PERIOD_S
        if not self.is_reachable.is_set():
            period_s = UNREACHABLE_POLL_PERIOD_S
        with anyio.move_on_after(period_s * self._rng.uniform(0.9, 1.1)):
            await self._lost.wait()
        if self._lost.is_set():
            self._lost.clear()
            await anyio.sleep(LOSS_POLL_DELAY_S * self._rng.random())

    async def _poll_once(self) -> None:
        try:
            listing = await self._store.list_objects(
                SharedKind.MEMBER,
                is_stale_allowed=True,
            )
        except CornelbeamError as error:
            self._note_failure(error)
            return
        self._merge_listing(listing)
        self._mark_reachable()
        self._restore_own_entry(listing)
        self._detect_silent_watches(listing)

    def _restore_own_entry(self, listing: Listing) -> None:
        """Write this daemon's entry again if the store has lost it.

        A poll may be seconds old, so two in a row must lack the entry unless
        the store was just restored.
        """
        own_entry = self._own_entry
        is_outdated = era_of(listing.revision) < self._era
        if own_entry is None or is_outdated or self._write_requested.is_set():
            return
        is_stored = any(
            each.name == own_entry.name and each.version >= own_entry.version
            for each in listing.objects
        )
        is_first = not self._is_missing and not self._is_restored
        self._is_missing = not is_stored
        self._is_restored = False
        if is_stored or is_first:
            return
        self._is_missing = False
        _log.info('own entry written again, the store has lost it')
        self._write_requested.set()

    def _detect_silent_watches(self, listing: Listing) -> None:
        """Restart the watches if they have missed a change.

        A store revision that is newer than all member entries belongs to an
        object that is watched. If no watch has reported it by the next poll,
        the watches have missed the change.
        """
        known = max(
            self._reported_revision,
            listing.newest_revision,
            self._state.step_position,
        )
        if listing.revision <= known:
            self._missing_revision = 0
        elif self._missing_revision:
            _log.warning('watches restarted, a change was missed')
            self._reported_revision = listing.revision
            self._missing_revision = 0
            self._restart_watches()
        else:
            self._missing_revision = listing.revision

    def _restart_watches(self) -> None:
        for scope in tuple(self._watches):
            scope.cancel()

    async def _watch(self, kind: SharedKind) -> None:
        revision = self._listed_at_revision[kind]
        self._reported_revision = max(self._reported_revision, revision)
        while True:
            changes: list[SharedObject] | None = None
            started_s = self._loop.time()
            ended_by = 'restarted'
            with anyio.CancelScope() as scope:
                self._watches.add(scope)
                try:
                    changes, revision = await self._store.watch(
                        kind,
                        revision,
                        WATCH_WAIT_MS,
                    )
                except HistoryGoneError:
                    ended_by = 'change history expired'
                except CornelbeamError as error:
                    ended_by = str(error)
                    await self._back_off(error)
                finally:
                    self._watches.discard(scope)
            if changes is None:
                # Changes may have been missed.
                ended_s = self._loop.time()
                _log.info(
                    'watch ended',
                    kind=kind.value,
                    revision=revision_of(revision),
                    waited_ms=int((ended_s - started_s) * MS_PER_S),
                    why=ended_by,
                )
                revision = await self._relist(kind)
                _log.info(
                    'listed again after a watch',
                    kind=kind.value,
                    revision=revision_of(revision),
                    unwatched_ms=int((self._loop.time() - ended_s) * MS_PER_S),
                )
                if kind is not SharedKind.CONFIGURATION:
                    revision = await self._relist_settled(kind, revision)
            else:
                self._reported_revision = max(self._reported_revision, revision)
                self._state.merge(changes, 'store')

    async def _relist(self, kind: SharedKind) -> int:
        """List a kind once the store is reachable and return the revision."""
        while True:
            await self.is_reachable.wait()
            try:
                revision = await self._list(kind)
            except CornelbeamError as error:
                await self._back_off(error)
            else:
                self._reported_revision = max(self._reported_revision, revision)
                return revision

    async def _relist_settled(self, kind: SharedKind, revision: int) -> int:
        """List again once operators have had time to write what was lost."""
        wait_s = self._settled_at_s - self._loop.time()
        if wait_s <= 0:
            return revision
        await anyio.sleep(wait_s)
        return await self._relist(kind)

    async def _write_own(self) -> None:
        while True:
            await self._write_requested.wait()
            await self.is_reachable.wait()
            self._write_requested.clear()
            own_entry = self._own_entry
            if own_entry is None:
                continue
            try:
                await self._store.put_member(own_entry)
            except CornelbeamError as error:
                _log.warning('own entry not written', why=str(error))
                self._write_requested.set()
                await anyio.sleep(UNREACHABLE_POLL_PERIOD_S)

    def _request_poll(self) -> None:
        """Poll soon, but only once a period if the store is lost often."""
        now_s = self._loop.time()
        if now_s - self._lost_at_s >= POLL_PERIOD_S:
            self._lost.set()
        self._lost_at_s = now_s

    async def _back_off(self, error: CornelbeamError) -> None:
        """Note a failure; wait if the store would answer the same at once."""
        self._note_failure(error)
        if _is_unreadable(error):
            await anyio.sleep(UNREADABLE_RETRY_S)

    def _note_failure(self, error: CornelbeamError) -> None:
        """Mark the store as unreachable unless it has answered."""
        if not _is_unreadable(error):
            self._mark_unreachable(error)
            return
        _log.error('answer of the store unreadable', why=str(error))
        self._mark_reachable()

    def _mark_reachable(self) -> None:
        if not self.is_reachable.is_set():
            self.is_reachable.set()
            _log.info('store reached')

    def _mark_unreachable(self, error: CornelbeamError) -> None:
        if self.is_reachable.is_set():
            _log.warning('store lost', why=str(error))
            self._request_poll()
        self.is_reachable.clear()
        # A watch on a dead connection would never return.
        self._restart_watches()


def _is_unreadable(error: CornelbeamError) -> bool:
    """Return whether the store has answered, but not readably."""
    return error.code is ErrorCode.PROTOCOL_VIOLATION


def _ignore(listing: Listing, sent_s: float) -> None:
    """Do nothing."""


def _never() -> bool:
    """Return that this daemon carries out no rollouts."""
    return False
