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
from cornelbeam_mesh.platform_adapter import Deregistration, Edge, Heartbeat

_log = get_log('backend')
_OK: Final = 200
_BAD_REQUEST: Final = 400
# A target waits one second for the confirmation.
_BODY_TIMEOUT_S: Final = 0.9
# A target that misses this many heartbeats in a row is taken for dead.
MISSED_HEARTBEATS: Final = 3
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
        '_edge',
        '_heard_at_s',
        '_loop',
        '_silence_s',
        'entry',
        'is_known',
        'on_change',
        'on_heartbeat',
    )

    def __init__(
        self,
        edge: Edge,
        address: str,
        heartbeat_interval_ms: int,
        on_change: Callable[[], None],
        on_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        """Register the target at ``address`` only."""
        self._edge = edge
        self._address = address
        self._loop = asyncio.get_running_loop()
        self._silence_s = heartbeat_interval_ms / MS_PER_S * MISSED_HEARTBEATS
        self._heard_at_s = self._loop.time()
        self.entry: TargetEntry | None = None
        # Set when the first target is known.
        self.is_known = asyncio.Event()
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
            message = self._edge.read_registration(
                request.method,
                request.target,
                content,
            )
        except ValueError as error:
            _log.warning('unreadable registration message', why=str(error))
            responder.send_whole(_BAD_REQUEST, [], b'')
            return
        if isinstance(message, Heartbeat):
            self.take_heartbeat(message)
        else:
            self.take_departure(message)
        responder.send_whole(_OK, list(_JSON), b'{}')

    def take_heartbeat(self, beat: Heartbeat) -> None:
        """Take what the target says of itself unless it is outdated."""
        if beat.address != self._address:
            _log.warning('heartbeat of another address', address=beat.address)
            return
        held = self.entry
        if held is not None and self._is_outdated(beat, held):
            return
        self._heard_at_s = self._loop.time()
        self.entry = TargetEntry(
            instance=beat.instance,
            started_ms=beat.started_ms,
            sequence=beat.sequence,
            service=beat.service,
            slot_count=beat.slot_count,
            is_draining=beat.is_draining,
        )
        self.is_known.set()
        self.on_heartbeat(beat)
        if not _tells_the_same(held, self.entry):
            _log.info(
                'target registered',
                instance=beat.instance,
                service=beat.service,
                sequence=beat.sequence,
                is_draining=beat.is_draining,
            )
            self.on_change()

    def take_departure(self, departure: Deregistration) -> None:
        """Take the target out; no later heartbeat of this run brings it back.

        The entry stays, so that a restarted daemon knows of the departure.
        """
        held = self.entry
        if held is None or held.instance != departure.instance:
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
            self.is_known.set()
            self.on_change()

    def _is_outdated(self, beat: Heartbeat, held: TargetEntry) -> bool:
        if beat.instance == held.instance or beat.started_ms > held.started_ms:
            return _order(beat) <= _order(held)
        # An earlier start under another name is a late message, unless the
        # clock of the host stepped back between the two runs.
        silent_s = self._loop.time() - self._heard_at_s
        return silent_s < self._silence_s


def _order(run: Heartbeat | TargetEntry) -> tuple[int, int]:
    return run.started_ms, run.sequence


def _tells_the_same(held: TargetEntry | None, entry: TargetEntry) -> bool:
    """Tell whether entries differ in nothing but the sequence."""
    if held is None:
        return False
    return entry == msgspec.structs.replace(held, sequence=entry.sequence)
