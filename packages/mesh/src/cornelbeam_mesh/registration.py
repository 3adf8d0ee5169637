"""Registers the target beside the daemon by its heartbeats.

A confirmed departure binds at once, whatever the store does: the gate beside
the target is the only way to it. Late heartbeats of earlier runs and of runs
that have left change nothing.
"""

import asyncio
from collections.abc import Callable
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
# A target waits one second for the confirmation.
_BODY_TIMEOUT_S: Final = 0.9
# A target that misses this many heartbeats in a row is taken for dead.
MAX_MISSED_HEARTBEATS: Final = 3
# Above the sequence of any heartbeat: nothing follows a departure.
LAST_SEQUENCE: Final = 2**53
_JSON: Final = (b'content-type', b'application/json')


@final
class Registration:
    """The target that is registered now.

    ``on_change`` is called after each change of ``entry``, ``on_heartbeat``
    for each heartbeat of the registered target.
    """

    __slots__ = (
        '_address',
        '_adapter',
        '_last_heartbeat_s',
        '_loop',
        '_silence_timeout_s',
        'entry',
        'is_target_known',
        'on_change',
        'on_heartbeat',
    )

    def __init__(
        self,
        adapter: PlatformAdapter,
        address: str,
        heartbeat_interval_ms: int,
        on_change: Callable[[], None],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        """Register the target at ``address`` only."""
        self._adapter = adapter
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._silence_timeout_s = (
            heartbeat_interval_ms / MS_PER_S * MAX_MISSED_HEARTBEATS
        )
        self._last_heartbeat_s = self._loop.time()
        self.entry: TargetEntry | None = None
        # Set when the first target is known.
        self.is_target_known = asyncio.Event()
        self.on_change = on_change
        self.on_heartbeat = on_heartbeat

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Confirm a message of the target."""
        body = RequestBody(request.body)
        try:
            await body.buffer_until(self._loop.time() + _BODY_TIMEOUT_S)
        except CornelbeamError as error:
            _log.warning('registration message broke off', why=str(error))
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
            _log.warning('unreadable registration message', why=str(error))
            responder.send_whole(_BAD_REQUEST, [], b'')
            return
        if isinstance(message, Heartbeat):
            self.handle_heartbeat(message)
        else:
            self.handle_deregistration(message)
        responder.send_whole(_OK, list(_JSON), b'{}')

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take what the target says of itself unless it is outdated."""
        if heartbeat.address != self._address:
            _log.warning(
                'heartbeat of another address', address=heartbeat.address
            )
            return
        held = self.entry
        if held is not None and self._is_outdated(heartbeat, held):
            return
        self._last_heartbeat_s = self._loop.time()
        self.entry = TargetEntry(
            instance=heartbeat.instance,
            started_ms=heartbeat.started_ms,
            sequence=heartbeat.sequence,
            service=heartbeat.service,
            slot_count=heartbeat.slot_count,
            is_draining=heartbeat.is_draining,
        )
        self.is_target_known.set()
        self.on_heartbeat(heartbeat)
        if not _differs_only_in_sequence(held, self.entry):
            _log.info(
                'target registered',
                instance=heartbeat.instance,
                service=heartbeat.service,
                sequence=heartbeat.sequence,
                is_draining=heartbeat.is_draining,
            )
            self.on_change()

    def handle_deregistration(self, deregistration: Deregistration) -> None:
        """Take the target out; no later heartbeat of this run brings it back.

        The entry stays, so that a restarted daemon knows of the departure.
        """
        held = self.entry
        if held is None or held.instance != deregistration.instance:
            return
        self.entry = msgspec.structs.replace(
            held,
            sequence=LAST_SEQUENCE,
            is_draining=True,
        )
        _log.info('target left', instance=held.instance)
        self.on_change()

    def restore(self, entry: TargetEntry | None) -> None:
        """Take what an earlier run of this daemon stored of the target."""
        if self.entry is None and entry is not None:
            self.entry = entry
            self.is_target_known.set()
            self.on_change()

    def _is_outdated(self, heartbeat: Heartbeat, held: TargetEntry) -> bool:
        if (
            heartbeat.instance == held.instance
            or heartbeat.started_ms > held.started_ms
        ):
            return _run_order(heartbeat) <= _run_order(held)
        # An earlier start under another name is a late message, unless the
        # clock of the host stepped back between the two runs.
        silent_s = self._loop.time() - self._last_heartbeat_s
        return silent_s < self._silence_timeout_s


def _run_order(run: Heartbeat | TargetEntry) -> tuple[int, int]:
    return run.started_ms, run.sequence


def _differs_only_in_sequence(
    held: TargetEntry | None, entry: TargetEntry
) -> bool:
    """Tell whether entries differ in nothing but the sequence."""
    if held is None:
        return False
    return entry == msgspec.structs.replace(held, sequence=entry.sequence)
