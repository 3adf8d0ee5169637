"""Test the session recorder and the checks of recorded sessions."""

from collections.abc import Sequence
from pathlib import Path

import pytest
from cornelbeam_core.errors import RunState
from cornelbeam_standins.session_checks import (
    CHECKS,
    InvariantError,
    SessionLimits,
    check_session,
)
from cornelbeam_standins.sessions import (
    RECORD_VARIABLE,
    Event,
    GoldenMismatchError,
    SessionRecorder,
    compare_with_golden,
)
from cornelbeam_wire.gen import messages

_LIMITS = SessionLimits({'daemon-2': 'Langley'})


def _event(
    at_s: float,
    sender: str,
    receiver: str,
    event: str,
    /,
    **fields: object,
) -> Event:
    return Event(at_s, sender, receiver, event, fields)


def _request(at_s: float, number: int, **fields: object) -> Event:
    return _event(
        at_s,
        'daemon-2',
        'backend-2',
        'request',
        attempt_id=b'a%d' % number,
        request_id=f'r{number}',
        **fields,
    )


def _stored(at_s: float, version: int, **fields: object) -> Event:
    return _event(
        at_s,
        'object-api',
        'operator',
        'stored',
        kind='failure-domain',
        name='Langley',
        version=version,
        **fields,
    )


def _in_force(at_s: float, version: int) -> Event:
    return _event(
        at_s,
        'daemon-2',
        '',
        'in force',
        kind='failure-domain',
        name='Langley',
        version=version,
    )


def _answer(receiver: str, **fields: object) -> Event:
    return _event(1, 'daemon-2', receiver, 'answer', **fields)


_BROKEN = (
    ('I1', [_event(0, 'daemon-2', 'backend-2', 'probe') for _ in range(3)]),
    (
        'I2',
        [
            _event(0, 'backend-2', '', 'starts'),
            *(_request(1, number) for number in range(3)),
        ],
    ),
    ('I3', [_stored(0, 1, is_in_service=False), _request(6, 1)]),
    (
        'I4',
        [
            _answer('daemon-1', request_id='r1', content=b'pit 1'),
            _answer('caller', request_id='r2', content=b'pit 1', is_whole=True),
        ],
    ),
    (
        'I4',
        [_answer('caller', request_id='r1', status=503) for _ in range(2)],
    ),
    ('I5', [_answer('caller', request_id='r1', ran='no'), _request(9, 1)]),
    (
        'I5',
        [
            _request(0, 1),
            _event(
                1,
                'daemon-2',
                'daemon-1',
                'OutcomeReply',
                attempt_id=b'a1',
                run_state=RunState.NOT_RUN,
            ),
        ],
    ),
    (
        'I6',
        [
            _event(
                0,
                'caller',
                'daemon-1',
                'request',
                request_id='r1',
                is_repeatable=False,
            ),
            _request(1, 1),
            _request(2, 1),
        ],
    ),
    ('I7', [_event(0, 'daemon-2', '', 'leaves'), _request(6, 1)]),
    ('I8', [_request(0, 1), _event(1, 'daemon-2', '', 'exits')]),
    ('I9', [_in_force(0, 2), _in_force(1, 1)]),
    ('I9', [_stored(0, 1), _in_force(9.5, 1)]),
    (
        'I9',
        [
            _event(0, 'daemon-2', '', 'cut off'),
            _stored(1, 1),
            _event(60, 'daemon-2', '', 'connected'),
            _in_force(69.5, 1),
        ],
    ),
)


class TestChecks:
    """Guards against checks that never fail."""

    @pytest.mark.parametrize(('name', 'events'), _BROKEN)
    def test_broken(self, name: str, events: Sequence[Event]) -> None:
        """Each broken session violates its invariant and no other."""
        only = rf'\A({name}: [^\n]+\n?)+\Z'
        with pytest.raises(InvariantError, match=only):
            check_session(events, _LIMITS)

    def test_complete(self) -> None:
        """Each of the nine invariants has a check and a broken session."""
        names = {f'I{number}' for number in range(1, 10)}
        assert set(CHECKS) == names
        assert {name for name, _ in _BROKEN} == names

    def test_allowed(self) -> None:
        """Events within the limits are not reported."""
        check_session(
            [
                _stored(0, 1, is_in_service=False),
                _request(4, 1),
                _in_force(4.5, 1),
                _event(5, 'daemon-2', '', 'cut off'),
                _stored(6, 2, is_in_service=True),
                _event(60, 'daemon-2', '', 'connected'),
                _in_force(68, 2),
                _request(69, 2),
                _event(90, 'operator', '', 'waits no longer'),
            ],
            _LIMITS,
        )


class TestRecorder:
    """Guards against golden files that differ between runs."""

    def _record(self, offset: int) -> SessionRecorder:
        recorder = SessionRecorder('Two attempts')
        for number in (1, 2, 1):
            query = messages.OutcomeQuery(
                b'%d' % (offset + number),
                5,
                True,
                90,
            )
            recorder.record_frame(
                offset + number / 1000,
                'daemon-1',
                f'10.0.0.2:{4000 + offset + number}',
                messages.Frame(stream_id=number, outcome_query=query),
            )
        reply = messages.OutcomeReply(RunState.NOT_RUN, False)
        peer = f'10.0.0.2:{4001 + offset}'
        recorder.record_message(
            offset + 1,
            'daemon-2',
            'daemon-1',
            reply,
            is_lost=True,
            peer=peer,
            remaining_ms=offset,
        )
        return recorder

    def test_normalized(self) -> None:
        """The text does not depend on times, ports and identifiers."""
        texts = {self._record(offset).render(2) for offset in (0, 700)}
        first, second = sorted(texts)
        assert first.replace('remaining_ms=0', 'remaining_ms=700') == second
        assert '(2 earlier events)' in first
        assert 'OutcomeReply run_state=not_run is_answer_kept=no' in first
        assert 'attempt_id=attempt-1' in first
        assert 'peer=10.0.0.2:port-' in first
        assert 'daemon-2 -x daemon-1' in first

    def test_without_times(self) -> None:
        """The text of a session on a real clock has no durations."""
        recorder = SessionRecorder('One call', has_times=False)
        recorder.record(7, 'daemon-1', 'daemon-2', 'CallStart', left_ms=3)
        assert recorder.render() == (
            'One call\n\ndaemon-1 -> daemon-2: CallStart left_ms=*\n'
        )

    def test_golden(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A mismatch raises the diff; only recording changes the file."""
        golden = tmp_path / 'golden' / 'session.txt'
        monkeypatch.setenv(RECORD_VARIABLE, '1')
        compare_with_golden(golden, 'one\n')
        monkeypatch.delenv(RECORD_VARIABLE)
        compare_with_golden(golden, 'one\n')
        with pytest.raises(GoldenMismatchError, match=r'\+two'):
            compare_with_golden(golden, 'one\ntwo\n')
        with pytest.raises(GoldenMismatchError, match=r'\+one'):
            compare_with_golden(tmp_path / 'missing.txt', 'one\n')
        assert golden.read_text() == 'one\n'
