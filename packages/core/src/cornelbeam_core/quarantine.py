"""Identify requests that crash the targets which run them, and refuse them.

A crash ends everything that its target was running, so one crash shows only
suspects. Suspects are run again, but no two at the same target, and if one of
them is running when another target crashes, it is quarantined: two crashes are
enough. A suspect that is answered is cleared.

Load that this answers: a few requests of one route, repeated every few hundred
milliseconds at changing daemons, which would crash all targets of a service.
"""

import enum
import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, final

FINGERPRINT_BYTES: Final = 16
# Duration of the first quarantine. Each further one of the same request lasts
# twice as long, up to the maximum: callers that send it for hours crash a few
# targets an hour, and the path is usable again once they stop.
FIRST_QUARANTINE_S: Final = 60.0
MAX_QUARANTINE_S: Final = 900.0
# Requests that are remembered at the same time; the oldest are dropped first.
MAX_RECORD_COUNT: Final = 4096
# A suspect is quarantined after this many crashes even if another one was
# running in all of them too.
MAX_CRASH_COUNT: Final = 3


def fingerprint_request(parts: Iterable[bytes]) -> bytes:
    """Return a digest of what makes two requests the same.

    >>> fingerprint_request((b'a', b'b')) == fingerprint_request((b'ab', b''))
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


@final
class Verdict(enum.Enum):
    """What is known of a request."""

    CLEAR = 'clear'
    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'


@final
@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A request that was running when its target crashed.

    ``was_suspected`` says that it was known as a suspect when it started.
    """

    fingerprint: bytes
    was_suspected: bool


@final
@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A request that is refused for ``remaining_s``.

    ``strike_count`` is the number of its quarantines, this one included.
    """

    fingerprint: bytes
    remaining_s: float
    strike_count: int


@final
@dataclass(frozen=True, slots=True)
class CrashFindings:
    """What a crash has shown: suspects, or requests to refuse from now on."""

    suspects: tuple[bytes, ...]
    quarantined: tuple[QuarantineEntry, ...]


@final
@dataclass(slots=True)
class _Record:
    crashes: set[str] = field(default_factory=set)
    strike_count: int = 0
    until_s: float = float('-inf')


@final
class Quarantine:
    """Suspects and quarantined requests that one daemon knows of.

    >>> quarantine = Quarantine()
    >>> run = CrashedRun(b'fingerprint', was_suspected=False)
    >>> quarantine.note_crash('target-1', [run], now_s=0).suspects
    (b'fingerprint',)
    >>> run = CrashedRun(b'fingerprint', was_suspected=True)
    >>> findings = quarantine.note_crash('target-2', [run], now_s=1)
    >>> findings.quarantined[0].remaining_s
    60.0
    """

    __slots__ = ('_records',)

    def __init__(self) -> None:
        """Start without suspects."""
        # Oldest first.
        self._records: dict[bytes, _Record] = {}

    def verdict(self, fingerprint: bytes, now_s: float) -> Verdict:
        """Return whether a request may run, and whether with care."""
        record = self._records.get(fingerprint)
        if record is None:
            return Verdict.CLEAR
        is_refused = now_s < record.until_s
        return Verdict.QUARANTINED if is_refused else Verdict.SUSPECTED

    def remaining_s(self, fingerprint: bytes, now_s: float) -> float:
        """Return for how long a request is still refused."""
        record = self._records.get(fingerprint)
        return 0 if record is None else max(0, record.until_s - now_s)

    def entries(self, now_s: float) -> list[QuarantineEntry]:
        """Return the requests that are refused now."""
        return [
            QuarantineEntry(
                fingerprint, record.until_s - now_s, record.strike_count
            )
            for fingerprint, record in self._records.items()
            if now_s < record.until_s
        ]

    def note_crash(
        self, crash: str, runs: Sequence[CrashedRun], now_s: float
    ) -> CrashFindings:
        """Record a crash and return what it shows.

        ``crash`` identifies it among all crashes. If suspects were running,
        they explain the crash, and the other requests are not suspected.
        """
        known = [
            run.fingerprint
            for run in runs
            if run.was_suspected and self._has_other_crash(run, crash)
        ]
        if not known:
            suspects = tuple(dict.fromkeys(run.fingerprint for run in runs))
            self.note_suspects(crash, suspects)
            return CrashFindings(suspects, ())
        self.note_suspects(crash, known)
        convicted = self._most_suspect(known)
        return CrashFindings(
            tuple(each for each in known if each not in convicted),
            tuple(self._quarantine(each, now_s) for each in convicted),
        )

    def note_suspects(self, crash: str, fingerprints: Iterable[bytes]) -> None:
        """Record requests that were running when a target crashed."""
        for fingerprint in fingerprints:
            self._record(fingerprint).crashes.add(crash)

    def clear(self, fingerprint: bytes, now_s: float) -> bool:
        """Clear a suspect that a target has answered; return whether it was.

        A quarantined request stays so: the answer may be older.
        """
        is_suspected = self.verdict(fingerprint, now_s) is Verdict.SUSPECTED
        if is_suspected:
            self._records.pop(fingerprint)
        return is_suspected

    def adopt(self, entry: QuarantineEntry, now_s: float) -> bool:
        """Take over what another daemon knows; return whether it is new."""
        is_new = self.verdict(entry.fingerprint, now_s) is Verdict.CLEAR
        record = self._record(entry.fingerprint)
        record.strike_count = max(record.strike_count, entry.strike_count, 1)
        remaining_s = min(entry.remaining_s, MAX_QUARANTINE_S)
        record.until_s = max(record.until_s, now_s + remaining_s)
        return is_new

    def _has_other_crash(self, run: CrashedRun, crash: str) -> bool:
        record = self._records.get(run.fingerprint)
        return record is not None and bool(record.crashes - {crash})

    def _most_suspect(self, fingerprints: Iterable[bytes]) -> list[bytes]:
        """Return those with the most crashes if that tells them apart."""
        counts = {
            fingerprint: len(self._record(fingerprint).crashes)
            for fingerprint in fingerprints
        }
        most = max(counts.values())
        leading = [each for each in counts if counts[each] == most]
        is_clear = len(leading) == 1 or most >= MAX_CRASH_COUNT
        return leading if is_clear else []

    def _quarantine(self, fingerprint: bytes, now_s: float) -> QuarantineEntry:
        record = self._record(fingerprint)
        duration_s = FIRST_QUARANTINE_S * 2**record.strike_count
        duration_s = min(MAX_QUARANTINE_S, duration_s)
        record.strike_count += 1
        record.until_s = max(record.until_s, now_s + duration_s)
        return QuarantineEntry(fingerprint, duration_s, record.strike_count)

    def _record(self, fingerprint: bytes) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            while len(self._records) >= MAX_RECORD_COUNT:
                self._records.pop(next(iter(self._records)))
            record = _Record()
            self._records[fingerprint] = record
        return record
