"""Keeps the fleet state in step with the platform's store.

Each call to the store is priced and its rate is limited, also while it
fails. What operators write is watched, as it must hold within two seconds.
The entries of members change rarely and are polled by cheap stale reads;
these also show whether the store answers, so that nothing else is sent to a
store that doesn't.
"""

import asyncio
import random
from typing import Final, final

import anyio
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.shared_objects import Listing, SharedKind, SharedObject
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.platform_adapter import HistoryGoneError, Store

_log = get_log('relay')
# The longest wait that the store allows; a silent watch is noticed by polls.
WATCH_WAIT_MS: Final = 30_000
# A target that joins is known to all daemons after one poll.
POLL_PERIOD_S: Final = 2.0
# Daemons that start together write their entries within this time.
STARTUP_POLL_DELAYS_S: Final = (0.3, 0.5, 1.0)
# Polls of a store that doesn't answer; a change must hold some seconds after
# its return.
UNREACHABLE_POLL_PERIOD_S: Final = 0.8
_WATCHED: Final = (SharedKind.CONFIGURATION, SharedKind.EVACUATION)


@final
class StoreSync:
    """Follows the store and writes the entry of this daemon to it."""

    __slots__ = (
        '_explained_revision',
        '_listed_at_revision',
        '_unexplained_revision',
        '_own_entry',
        '_rng',
        '_state',
        '_store',
        '_is_write_pending',
        '_watches',
        'is_listed',
        'is_reachable',
    )

    def __init__(
        self,
        store: Store,
        state: FleetState,
        rng: random.Random,
    ) -> None:
        """Bring what the store holds into ``state``."""
        self._store = store
        self._state = state
        self._rng = rng
        self._own_entry: SharedObject | None = None
        self._is_write_pending = asyncio.Event()
        self._explained_revision = 0
        # Where the first watch of each kind begins.
        self._listed_at_revision: dict[SharedKind, int] = {}
        self._unexplained_revision = 0
        self._watches: set[anyio.CancelScope] = set()
        # Set while the store answers.
        self.is_reachable = asyncio.Event()
        # Set after the first listing of all kinds.
        self.is_listed = asyncio.Event()

    def write(self, own: SharedObject) -> None:
        """Write the newest entry of this daemon as soon as possible."""
        self._own_entry = own
        self._is_write_pending.set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        await self._list_initially()
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_members)
            group.start_soon(self._write_own)
            for kind in _WATCHED:
                group.start_soon(self._watch, kind)

    async def _list_initially(self) -> None:
        while not self.is_listed.is_set():
            try:
                for kind in SharedKind:
                    self._listed_at_revision[kind] = await self._list(kind)
            except CornelbeamError as error:
                self._mark_unreachable(error)
                await anyio.sleep(UNREACHABLE_POLL_PERIOD_S)
            else:
                self.is_listed.set()
                self._mark_reachable()

    async def _list(self, kind: SharedKind) -> int:
        listing = await self._store.list_objects(kind, is_stale_allowed=False)
        self._state.merge_listing(listing, 'store')
        return listing.revision

    async def _poll_members(self) -> None:
        for delay_s in STARTUP_POLL_DELAYS_S:
            await anyio.sleep(delay_s)
            await self._poll_once()
        while True:
            period_s = POLL_PERIOD_S
            if not self.is_reachable.is_set():
                period_s = UNREACHABLE_POLL_PERIOD_S
            await anyio.sleep(period_s * self._rng.uniform(0.9, 1.1))
            await self._poll_once()

    async def _poll_once(self) -> None:
        try:
            listing = await self._store.list_objects(
                SharedKind.MEMBER,
                is_stale_allowed=True,
            )
        except CornelbeamError as error:
            self._mark_unreachable(error)
            return
        self._state.merge_listing(listing, 'store')
        self._mark_reachable()
        self._detect_silent_watches(listing)

    def _detect_silent_watches(self, listing: Listing) -> None:
        """Restart watches that went silent.

        A revision that no member entry explains belongs to a change that a
        watch should have brought by the next poll.
        """
        known = max(self._explained_revision, listing.newest_revision)
        if listing.revision <= known:
            self._unexplained_revision = 0
        elif self._unexplained_revision:
            _log.warning('watches restarted, a change was missed')
            self._explained_revision = listing.revision
            self._unexplained_revision = 0
            self._restart_watches()
        else:
            self._unexplained_revision = listing.revision

    def _restart_watches(self) -> None:
        for scope in tuple(self._watches):
            scope.cancel()

    async def _watch(self, kind: SharedKind) -> None:
        revision = self._listed_at_revision[kind]
        self._explained_revision = max(self._explained_revision, revision)
        while True:
            changes: list[SharedObject] | None = None
            with anyio.CancelScope() as scope:
                self._watches.add(scope)
                try:
                    changes, revision = await self._store.watch(
                        kind,
                        revision,
                        WATCH_WAIT_MS,
                    )
                except HistoryGoneError:
                    _log.info('history is gone', kind=kind.value)
                except CornelbeamError as error:
                    self._mark_unreachable(error)
                finally:
                    self._watches.discard(scope)
            if changes is None:
                # Events may have passed unseen.
                revision = await self._relist(kind)
            else:
                self._explained_revision = max(
                    self._explained_revision, revision
                )
                self._state.merge(changes, 'store')

    async def _relist(self, kind: SharedKind) -> int:
        """List a kind as soon as the store answers; give the revision."""
        while True:
            await self.is_reachable.wait()
            try:
                revision = await self._list(kind)
            except CornelbeamError as error:
                self._mark_unreachable(error)
            else:
                self._explained_revision = max(
                    self._explained_revision, revision
                )
                return revision

    async def _write_own(self) -> None:
        while True:
            await self._is_write_pending.wait()
            await self.is_reachable.wait()
            self._is_write_pending.clear()
            own = self._own_entry
            if own is None:
                continue
            try:
                await self._store.put_member(own)
            except CornelbeamError as error:
                _log.warning('own entry not written', why=str(error))
                self._is_write_pending.set()
                await anyio.sleep(UNREACHABLE_POLL_PERIOD_S)

    def _mark_reachable(self) -> None:
        if not self.is_reachable.is_set():
            self.is_reachable.set()
            _log.info('store reached')

    def _mark_unreachable(self, error: CornelbeamError) -> None:
        if self.is_reachable.is_set():
            _log.warning('store lost', why=str(error))
        self.is_reachable.clear()
        # A watch that waits on a dead connection would hear nothing.
        self._restart_watches()
