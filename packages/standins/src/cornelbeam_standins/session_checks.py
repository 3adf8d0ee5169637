"""Checks of the invariants on the recorded events of a session.

The checks are independent of the code that made the decisions: they examine
only what was sent. They rely on these events:

- ``request`` from a caller to a daemon (``request_id``, ``is_repeatable``) and
  from a daemon to its backend server (``attempt_id``, ``request_id``);
- ``answer`` in the opposite direction (``request_id``, ``content``; to callers
  also ``ran`` and ``is_whole``);
- ``AnswerStart`` from a daemon (``request_id``), and any message that reports
  a ``run_state`` (``attempt_id``);
- ``probe`` from a daemon to its backend server;
- the note ``starts`` of a backend server, which is then cold;
- the notes ``leaves``, ``exits``, ``in force`` (``kind``, ``name``,
  ``version``), ``cut off`` and ``connected`` of a daemon;
- ``stored`` from the Object API (``kind``, ``name``, ``version`` and
  ``is_in_service`` for failure domains).

The checks tell daemons and backend servers apart by the start of their names.
A backend server and the daemon beside it have the same number, as in
``backend-2`` and ``daemon-2``.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, TypeAlias, final

from cornelbeam_core.errors import RunState

from cornelbeam_standins.sessions import Event

# Absorbs the rounding errors of times.
_TOLERANCE: Final = 1e-9


class InvariantError(AssertionError):
    """Raised when the events of a session break an invariant."""


@final
@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Limits that the participants of a session must observe.

    ``domains`` maps each daemon to its failure domain. ``notice_s`` is the
    time within which a daemon must know that its failure domain is out of
    service or that a target leaves; ``config_s`` is the time for all other
    changes.
    """

    domains: Mapping[str, str] = field(default_factory=dict)
    cold_slot_count: int = 2
    probe_per_s: float = 1
    probe_burst_count: int = 2
    notice_s: float = 5
    config_s: float = 9


Check: TypeAlias = Callable[
    [Sequence[Event], SessionLimits],
    Iterator[str],
]
CHECKS: Final[dict[str, Check]] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Register the check of an invariant, which yields its violations."""

    def register(checker: Check) -> Check:  # noqa: WPS430
        CHECKS[name] = checker
        return checker

    return register


def check_session(events: Sequence[Event], limits: SessionLimits) -> None:
    """Check all invariants; raise ``InvariantError`` with all violations."""
    findings = [
        f'{name}: {finding}'
        for name, checker in CHECKS.items()
        for finding in checker(events, limits)
    ]
    if findings:
        raise InvariantError('\n'.join(findings))


@check('I1')
def check_probe_budget(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """The probes of a backend server stay within its burst and rate.

    The budget is full again after each start of the backend server.
    """
    starts: Counter[str] = Counter()
    times: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
    for event in events:
        if event.name == 'starts':
            starts[event.sender] += 1
        elif event.name == 'probe':
            server = event.receiver
            times[server, starts[server]].append(event.at_s)
    for (server, _), probes in times.items():
        for index, end_s in enumerate(probes):
            for first, start_s in enumerate(probes[: index + 1]):
                allowed = limits.probe_burst_count + (
                    limits.probe_per_s * (end_s - start_s)
                )
                if index - first + 1 > allowed + _TOLERANCE:
                    yield f'{server} received more probes than its budget'
                    return


@check('I2')
def check_cold_start(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """A cold backend server gets at most one more slot per round.

    A round ends after as many answers as the server has slots.
    """
    slots: dict[str, _ColdSlots] = {}
    for event in events:
        if event.name == 'starts':
            slots[event.sender] = _ColdSlots(limits.cold_slot_count)
        elif event.name == 'request' and event.receiver in slots:
            server = slots[event.receiver]
            server.in_flight += 1
            if server.in_flight > server.limit:
                yield (
                    f'{event.receiver} received {server.in_flight} requests at'
                    f' once, its limit is {server.limit}'
                )
        elif event.name == 'answer' and event.sender in slots:
            slots[event.sender].note_answer()


@check('I3')
def check_domain_out(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """A failure domain gets no new requests while it is out of service.

    Those within ``notice_s`` of its removal are allowed.
    """
    out_since_s: dict[str, float] = {}
    for event in events:
        if event.name == 'stored' and event.find('kind') == 'failure-domain':
            domain = str(event.find('name'))
            if event.find('is_in_service'):
                out_since_s.pop(domain, None)
            else:
                out_since_s.setdefault(domain, event.at_s)
        if _is_hand_over(event):
            domain = limits.domains.get(event.sender, '')
            since_s = out_since_s.get(domain, event.at_s)
            if event.at_s > since_s + limits.notice_s:
                yield (
                    f'{event.receiver} received a request while {domain}'
                    ' is out of service'
                )


@check('I4')
def check_whole_answers(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """A request gets at most one answer, and none meant for another one."""
    sent: defaultdict[object, set[object]] = defaultdict(set)
    received_counts: Counter[object] = Counter()
    for event in events:
        if event.name != 'answer':
            continue
        request_id = event.find('request_id')
        if event.receiver.startswith('daemon'):
            sent[request_id].add(event.find('content'))
            continue
        received_counts[request_id] += 1
        if received_counts[request_id] > 1:
            yield f'{event.receiver} received two answers to {request_id!r}'
        has_content = event.find('content') is not None
        is_claimed_whole = event.find('is_whole') and has_content
        if is_claimed_whole and event.find('content') not in sent[request_id]:
            yield f'{event.receiver} received the answer to another request'


@check('I5')
def check_not_run(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """What is reported as not run is never handed over, before or after."""
    handed_over = {
        event.find(name)
        for event in events
        if _is_hand_over(event)
        for name in ('attempt_id', 'request_id')
    }
    for event in events:
        if event.find('ran') == 'no':
            if event.find('request_id') in handed_over:
                yield f'{event.receiver} was told "not run", but it ran'
        is_evidence = event.find('run_state') is RunState.NOT_RUN
        if is_evidence and event.find('attempt_id') in handed_over:
            yield f'{event.sender} reported "not run", but the attempt ran'


@check('I6')
def check_at_most_once(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """A request that must not be repeated is handed over at most once."""
    non_repeatable = {
        event.find('request_id')
        for event in events
        if event.name == 'request' and event.find('is_repeatable') is False
    }
    counts = Counter(
        event.find('request_id') for event in events if _is_hand_over(event)
    )
    for request_id in non_repeatable:
        if counts[request_id] > 1:
            yield f'{request_id!r} was handed over {counts[request_id]} times'


@check('I7')
def check_leaving(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """A target gets no new requests ``notice_s`` after it leaves."""
    leaving_since_s: dict[str, float] = {}
    for event in events:
        if event.name == 'leaves':
            leaving_since_s[event.sender] = event.at_s
        elif _is_hand_over(event):
            since_s = leaving_since_s.get(event.sender, event.at_s)
            if event.at_s > since_s + limits.notice_s:
                yield f'{event.receiver} received a request while it leaves'


@check('I8')
def check_planned_stop(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """A daemon that leaves exits only after forwarding the last answer."""
    unanswered: defaultdict[str, set[object]] = defaultdict(set)
    for event in events:
        if _is_hand_over(event):
            unanswered[event.sender].add(event.find('request_id'))
        elif event.name in {'AnswerStart', 'answer'} and not event.is_lost:
            unanswered[event.sender].discard(event.find('request_id'))
        elif event.name == 'exits' and unanswered[event.sender]:
            yield f'{event.sender} exits with requests in flight'


@check('I9')
def check_configuration(
    events: Sequence[Event],
    limits: SessionLimits,
) -> Iterator[str]:
    """An accepted change is in force everywhere in time and never reverts.

    Each daemon has ``config_s`` from the acceptance of the change or, if it
    was cut off, from its reconnection.
    """
    yield from _find_reverts(events)
    if not events:
        return
    end_s = events[-1].at_s
    for stored in events:
        if stored.name != 'stored':
            continue
        for daemon in sorted(limits.domains):
            due_s = _due_s(events, stored, daemon, limits.config_s)
            if due_s < end_s and not _is_in_force(
                events,
                stored,
                daemon,
                due_s,
            ):
                yield f'{_describe(stored)} is not in force at {daemon}'


@final
@dataclass(slots=True)
class _ColdSlots:
    """Slots that a backend server may use after a cold start."""

    limit: int
    in_flight: int = 0
    answer_count: int = 0

    def note_answer(self) -> None:
        """Count an answer; raise the limit after as many answers as slots."""
        self.in_flight -= 1
        self.answer_count += 1
        if self.answer_count >= self.limit:
            self.limit += 1
            self.answer_count = 0


def _is_hand_over(event: Event) -> bool:
    return event.name == 'request' and event.receiver.startswith('backend')


def _describe(event: Event) -> str:
    return f'{event.find("kind")}/{event.find("name")}@{event.find("version")}'


def _find_reverts(events: Iterable[Event]) -> Iterator[str]:
    versions: dict[tuple[object, ...], int] = {}
    for event in events:
        if event.name != 'in force':
            continue
        key = (event.sender, event.find('kind'), event.find('name'))
        version = int(str(event.find('version')))
        if version < versions.get(key, 0):
            yield f'{_describe(event)} is in force after a later version'
        versions[key] = version


def _due_s(
    events: Iterable[Event],
    stored: Event,
    daemon: str,
    config_s: float,
) -> float:
    due_s = stored.at_s + config_s
    for event in events:
        if event.sender != daemon or event.at_s > due_s:
            continue
        if event.name == 'cut off':
            due_s = float('inf')
        elif event.name == 'connected':
            due_s = max(stored.at_s, event.at_s) + config_s
    return due_s


def _is_in_force(
    events: Iterable[Event],
    stored: Event,
    daemon: str,
    due_s: float,
) -> bool:
    notes = (
        event
        for event in events
        if event.name == 'in force' and event.sender == daemon
    )
    return any(
        event.at_s <= due_s and _covers(event, stored) for event in notes
    )


def _covers(in_force: Event, stored: Event) -> bool:
    """Return whether the stored version or a later one is in force."""
    if in_force.find('kind') != stored.find('kind'):
        return False
    if in_force.find('name') != stored.find('name'):
        return False
    version = int(str(in_force.find('version')))
    return version >= int(str(stored.find('version')))
