"""Virtual clock, random numbers and recorder of scripted sessions.

A scripted session does no I/O: its script moves the messages between the
caller side and the backend side on a virtual clock. The script determines
which messages are lost, when a backend server answers and how long that takes;
the classes of ``cornelbeam_core`` make every decision.
"""

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Final, final

from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.selectors import Route

from cornelbeam_standins.session_checks import SessionLimits, check_session
from cornelbeam_standins.sessions import SessionRecorder, compare_with_golden

SERVICE: Final = 'bookings'


@final
class Session:
    """Virtual clock, random numbers and recorder of one session."""

    __slots__ = ('domains', 'now_s', 'recorder', 'rng')

    def __init__(self, title: str, seed: int = 1) -> None:
        """Start at an arbitrary time, without participants."""
        self.recorder = SessionRecorder(title)
        self.rng = random.Random(seed)  # noqa: S311
        self.now_s: float = 1000
        self.domains: dict[str, str] = {}

    def wait_ms(self, duration_ms: int) -> None:
        """Advance the clock."""
        self.now_s += duration_ms / MS_PER_S

    def send(
        self,
        sender: str,
        receiver: str,
        message: object,
        /,
        *,
        is_lost: bool = False,
        **fields: object,
    ) -> None:
        """Record a message, given by its name or as a thrift struct."""
        recorder = self.recorder
        if isinstance(message, str):
            recorder.record(
                self.now_s,
                sender,
                receiver,
                message,
                is_lost=is_lost,
                **fields,
            )
            return
        recorder.record_message(
            self.now_s,
            sender,
            receiver,
            message,
            is_lost=is_lost,
            **fields,
        )

    def note(self, sender: str, event: str, /, **fields: object) -> None:
        """Record a decision or an event at a participant."""
        self.recorder.note(self.now_s, sender, event, **fields)

    def finish(self, golden: Path, last_count: int | None = None) -> None:
        """Check the invariants on all events, then compare with the file.

        With ``last_count``, the file holds only that many events at the end.
        """
        check_session(self.recorder.events, SessionLimits(self.domains))
        compare_with_golden(golden, self.recorder.render(last_count))


@final
@dataclass(slots=True)
class Call:
    """One request at the caller side.

    ``incarnation`` is that of the target when the last attempt was sent. The
    target may be replaced before the outcome is queried, and its replacement
    has no record of the attempt.
    """

    request_id: str
    facts: RequestFacts
    route: Route
    deadline_s: float
    attempt_count: int = 0
    attempt_id: bytes = b''
    target_name: str = ''
    incarnation: int = 0
    sent_at_s: float = 0
    is_outcome_asked: bool = False
