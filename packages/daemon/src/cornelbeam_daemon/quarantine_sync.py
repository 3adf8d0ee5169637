"""Shares what crashes have shown with the daemons that must know."""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Iterable, Sequence
from typing import Any, Final, Protocol, final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.quarantine import (
    CrashedRun,
    Quarantine,
    QuarantineEntry,
    Verdict,
)
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.calls import Call
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.logs import get_log

_log = get_log('backend')
# A report is sent again if no reply arrives. With the timeout of a message,
# the last attempt ends within the time in which all daemons must know.
MAX_SEND_ATTEMPTS: Final = 3
# Peers that a daemon asks when it starts: one may have just started too.
PULL_PEER_COUNT: Final = 2
_SHORT_ID_LENGTH: Final = 8
_CRASH_ID_BYTES: Final = 8


class Peer(Protocol):
    """Another daemon, whose ``address`` is ``ip:port``."""

    @property
    def name(self) -> str:
        """Name of the daemon."""

    @property
    def address(self) -> str:
        """Address for control messages."""


# Returns the daemons beside targets that repetitions of calls may reach.
FindPeers = Callable[[Collection[Call]], Sequence[Peer]]


@final
class QuarantineSync:
    """Quarantine of one daemon, kept up to date with its peers.

    Only the daemon beside a target reaches it, so those beside the targets
    that repetitions may reach are told of a crash. Others learn from their
    refusals.
    """

    __slots__ = (
        '_find_peers',
        '_loop',
        '_messenger',
        '_name',
        '_quarantine',
        '_rng',
        '_start_task',
    )

    def __init__(
        self,
        name: str,
        find_peers: FindPeers,
        messenger: Messenger,
        start_task: Callable[[Coroutine[Any, Any, None]], None],
        rng: random.Random,
    ) -> None:
        """Share as the daemon ``name`` with the peers concerned."""
        self._name = name
        self._find_peers = find_peers
        self._messenger = messenger
        self._start_task = start_task
        self._rng = rng
        self._quarantine = Quarantine()
        self._loop = asyncio.get_running_loop()

    @property
    def count(self) -> int:
        """Number of requests that are refused now."""
        return len(self._quarantine.entries(self._loop.time()))

    def check(self, fingerprint: bytes) -> None:
        """Raise ``request_quarantined`` if a request must not run."""
        now_s = self._loop.time()
        verdict = self._quarantine.verdict(fingerprint, now_s)
        if verdict is not Verdict.QUARANTINED:
            return
        remaining_s = self._quarantine.remaining_s(fingerprint, now_s)
        raise CornelbeamError(
            ErrorCode.REQUEST_QUARANTINED,
            'quarantine',
            self._name,
            f'{_short_id(fingerprint)} crashed targets',
            retry_after_ms=int(remaining_s * MS_PER_S),
        )

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a request may have crashed a target."""
        verdict = self._quarantine.verdict(fingerprint, self._loop.time())
        return verdict is not Verdict.CLEAR

    def note_answer(self, call: Call) -> None:
        """Record that the own target has answered a call.

        Peers are told if it was a suspect, so that it isn't one any more.
        """
        if self._quarantine.clear(call.fingerprint, self._loop.time()):
            report = _make_report(cleared=(call.fingerprint,))
            self._tell_concerned_peers(report, [call])

    def note_refusal(self, fingerprint: bytes, error: CornelbeamError) -> None:
        """Remember that a peer refuses a request."""
        if error.code is ErrorCode.REQUEST_QUARANTINED and fingerprint:
            remaining_s = error.retry_after_ms / MS_PER_S
            self._adopt(
                QuarantineEntry(fingerprint, remaining_s, 1), error.peer
            )

    def note_crash(self, calls: Iterable[Call]) -> None:
        """Record a crash of the own target and tell the peers concerned."""
        known = [call for call in calls if call.fingerprint]
        crash = self._rng.randbytes(_CRASH_ID_BYTES).hex()
        findings = self._quarantine.note_crash(
            crash,
            [CrashedRun(call.fingerprint, call.is_suspect) for call in known],
            self._loop.time(),
        )
        for entry in findings.quarantined:
            _log.warning(
                'request quarantined',
                fingerprint=_short_id(entry.fingerprint),
                requests=' '.join(
                    call.request_id
                    for call in known
                    if call.fingerprint == entry.fingerprint
                ),
                duration_s=int(entry.remaining_s),
                strike_count=entry.strike_count,
            )
        report = _make_report(crash, findings.suspects, findings.quarantined)
        self._tell_concerned_peers(report, known)

    def adopt(self, report: messages.CrashReport, source: str) -> None:
        """Take over what the daemon ``source`` has found."""
        if report.crash:
            self._quarantine.note_suspects(report.crash, report.suspects)
        for each in report.quarantined:
            entry = QuarantineEntry(
                each.fingerprint,
                each.remaining_ms / MS_PER_S,
                each.strike_count,
            )
            self._adopt(entry, source)
        for fingerprint in report.cleared:
            self._quarantine.clear(fingerprint, self._loop.time())

    def answer(
        self,
        stream: Stream,
        frame: messages.Frame,
        acknowledge: Callable[[Stream], None],
    ) -> None:
        """Handle a crash report or the request for one; ignore others."""
        if frame.crash_report is not None:
            self.adopt(frame.crash_report, stream.connection.peer_name)
            acknowledge(stream)
        elif frame.quarantine_pull is not None:
            entries = self._quarantine.entries(self._loop.time())
            self._messenger.reply(
                stream, crash_report=_make_report(quarantined=entries)
            )

    async def pull(self, service: str, peers: Sequence[Peer]) -> None:
        """Ask some of the daemons beside targets of a service."""
        count = min(PULL_PEER_COUNT, len(peers))
        for peer in self._rng.sample(peers, count):
            try:
                frame = await self._messenger.ask(
                    peer.address,
                    quarantine_pull=messages.QuarantinePull(service),
                )
            except CornelbeamError as error:
                _log.info(
                    'quarantine not pulled', peer=peer.name, why=str(error)
                )
                continue
            if frame.crash_report is not None:
                self.adopt(frame.crash_report, peer.name)

    def _adopt(self, entry: QuarantineEntry, source: str) -> None:
        if self._quarantine.adopt(entry, self._loop.time()):
            _log.info(
                'request quarantined by a peer',
                fingerprint=_short_id(entry.fingerprint),
                remaining_s=int(entry.remaining_s),
                source=source,
            )

    def _tell_concerned_peers(
        self, report: messages.CrashReport, calls: Collection[Call]
    ) -> None:
        for peer in self._find_peers(calls):
            self._start_task(self._send(peer, report))

    async def _send(self, peer: Peer, report: messages.CrashReport) -> None:
        for _ in range(MAX_SEND_ATTEMPTS):
            try:
                await self._messenger.ask(peer.address, crash_report=report)
            except CornelbeamError as error:
                _log.info(
                    'crash report not received', peer=peer.name, why=str(error)
                )
            else:
                return


def _make_report(
    crash: str = '',
    suspects: Iterable[bytes] = (),
    quarantined: Iterable[QuarantineEntry] = (),
    cleared: Iterable[bytes] = (),
) -> messages.CrashReport:
    return messages.CrashReport(
        crash=crash,
        suspects=list(suspects),
        quarantined=[
            messages.QuarantinedRequest(
                fingerprint=entry.fingerprint,
                remaining_ms=int(entry.remaining_s * MS_PER_S),
                strike_count=entry.strike_count,
            )
            for entry in quarantined
        ],
        cleared=list(cleared),
    )


def _short_id(fingerprint: bytes) -> str:
    """Return a fingerprint as log lines show it."""
    return fingerprint.hex()[:_SHORT_ID_LENGTH]
