"""Registration of the target on the daemon's instance by heartbeats.

A confirmed deregistration takes effect at once, even without the store: all
calls to the target pass the admission control of this daemon. Late heartbeats
of earlier runs and of deregistered runs are ignored.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, final

import msgspec
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_daemon.bodies import RequestBody
from cornelbeam_daemon.http_message import HttpRequest, Responder
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.platform_adapter import (
    Deregistration,
    Heartbeat,
    PlatformAdapter,
)

_log = get_log('backend')
_OK: Final = 200
_BAD_REQUEST: Final = 400
# Targets wait one second for the confirmation of a message.
_BODY_TIMEOUT_S: Final = 0.9
# Missed heartbeats after which a target is considered dead.
MAX_MISSED_HEARTBEATS: Final = 3
# Above the sequence of any heartbeat, so that those of a deregistered run are
# outdated.
LAST_SEQUENCE: Final = 2**53
_JSON: Final = (b'content-type', b'application/json')


@final
class Registration:
    """Registered target of the daemon.

    ``on_change`` is called when ``entry`` has changed in more than its
    sequence, ``on_heartbeat`` for each accepted heartbeat. A departure is
    confirmed once ``share_departure`` returns: what this daemon has confirmed
    must be known after its end.
    """

    __slots__ = (
        '_adapter',
        '_address',
        '_departed_instance',
        '_last_heartbeat_s',
        '_loop',
        '_silence_timeout_s',
        'entry',
        'is_target_known',
        'on_change',
        'on_heartbeat',
        'share_departure',
    )

    def __init__(
        self,
        adapter: PlatformAdapter,
        address: str,
        heartbeat_interval_ms: int,
        on_change: Callable[[], None],
        on_heartbeat: Callable[[Heartbeat], None],
        share_departure: Callable[[], Awaitable[None]],
    ) -> None:
        """Accept heartbeats of the target at ``address`` only."""
        self._adapter = adapter
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._silence_timeout_s = (
            heartbeat_interval_ms / MS_PER_S * MAX_MISSED_HEARTBEATS
        )
        self._last_heartbeat_s = self._loop.time()
        self.entry: TargetEntry | None = None
        # Target that left before its entry was known.
        self._departed_instance = ''
        # Set when the first target has registered or was restored.
        self.is_target_known = asyncio.Event()
        self.on_change = on_change
        self.on_heartbeat = on_heartbeat
        self.share_departure = share_departure

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle and confirm a registration message of the target."""
        body = RequestBody(request.body)
        try:
            await body.buffer_until(self._loop.time() + _BODY_TIMEOUT_S)
        except CornelbeamError as error:
            _log.warning('registration message incomplete', why=str(error))
            responder.send_whole(_BAD_REQUEST, [], b'')
            return
        content, _ = body.reader().take_first()
        try:
            message = self._adapter.read_registration(
                request.method,
                request.target,
                content,
            )
        except ValueError as error:
            _log.warning('invalid registration message', why=str(error))
            responder.send_whole(_BAD_REQUEST, [], b'')
            return
        was_draining = self._is_draining
        if isinstance(message, Heartbeat):
            self.handle_heartbeat(message)
        else:
            self.handle_deregistration(message)
        if self._is_draining and not was_draining:
            await self.share_departure()
        responder.send_whole(_OK, list(_JSON), b'{}')

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the entry from a heartbeat unless it is outdated."""
        if heartbeat.address != self._address:
            _log.warning(
                'heartbeat from another address', address=heartbeat.address
            )
            return
        current = self.entry
        if current is not None and self._is_outdated(heartbeat, current):
            return
        self._last_heartbeat_s = self._loop.time()
        self.entry = TargetEntry(
            instance=heartbeat.instance,
            started_ms=heartbeat.started_ms,
            sequence=heartbeat.sequence,
            service=heartbeat.service,
            slot_count=heartbeat.slot_count,
            is_draining=heartbeat.is_draining,
            version=heartbeat.version,
        )
        self.is_target_known.set()
        self.on_heartbeat(heartbeat)
        if not _differs_only_in_sequence(current, self.entry):
            _log.info(
                'target registered',
                instance=heartbeat.instance,
                service=heartbeat.service,
                sequence=heartbeat.sequence,
                is_draining=heartbeat.is_draining,
                version=heartbeat.version,
            )
            self.on_change()

    def handle_deregistration(self, deregistration: Deregistration) -> None:
        """Drain the target and ignore later heartbeats of this run."""
        _log.info('target deregistered', instance=deregistration.instance)
        self.note_departure(deregistration.instance)

    def note_departure(self, instance: str) -> None:
        """Drain a target that is leaving, and ignore later heartbeats of it.

        The entry is kept, so that the daemon still knows of the departure
        after a restart.
        """
        current = self.entry
        if current is None:
            # The entry of an earlier run of this daemon may follow.
            self._departed_instance = instance
            _log.info('departure of an unknown target', instance=instance)
            return
        departed = _departed(current)
        if current.instance != instance or current == departed:
            return
        self.entry = departed
        _log.info('target is leaving', instance=instance)
        self.on_change()

    def restore(self, entry: TargetEntry | None) -> None:
        """Restore the entry that an earlier run of this daemon published.

        Do nothing if the target has registered meanwhile, unless that was by
        a late heartbeat, older than the entry.
        """
        if entry is None:
            return
        current = self.entry
        if current is not None and not _is_later(entry, current):
            return
        has_departed = entry.instance == self._departed_instance
        self.entry = _departed(entry) if has_departed else entry
        self.is_target_known.set()
        self.on_change()

    @property
    def _is_draining(self) -> bool:
        return self.entry is not None and self.entry.is_draining

    def _is_outdated(self, heartbeat: Heartbeat, current: TargetEntry) -> bool:
        if (
            heartbeat.instance == current.instance
            or heartbeat.started_ms > current.started_ms
        ):
            return _run_order(heartbeat) <= _run_order(current)
        # A heartbeat with an earlier start and another name is a late message,
        # unless the host's clock was set back between the two runs. The latter
        # is assumed once the registered run has been silent for long enough.
        silent_s = self._loop.time() - self._last_heartbeat_s
        return silent_s < self._silence_timeout_s


def _departed(entry: TargetEntry) -> TargetEntry:
    return msgspec.structs.replace(
        entry,
        sequence=LAST_SEQUENCE,
        is_draining=True,
    )


def _is_later(entry: TargetEntry, current: TargetEntry) -> bool:
    """Return whether an entry describes a later state of the target."""
    if entry.instance == current.instance:
        return _run_order(entry) > _run_order(current)
    return entry.started_ms > current.started_ms


def _run_order(run: Heartbeat | TargetEntry) -> tuple[int, int]:
    return run.started_ms, run.sequence


def _differs_only_in_sequence(
    current: TargetEntry | None, entry: TargetEntry
) -> bool:
    """Return whether two entries are equal except for the sequence."""
    if current is None:
        return False
    return entry == msgspec.structs.replace(current, sequence=entry.sequence)
