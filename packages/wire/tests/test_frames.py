"""Tests of the frame codec."""

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_wire.codec import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    decode_frame,
    encode_frame,
)
from cornelbeam_wire.gen import messages
from hypothesis import given, settings
from hypothesis import strategies as some

LOAD = messages.LoadReport(1, 2, 0, 10, False)
PARTS = some.builds(
    messages.BodyPart, some.binary(max_size=300), some.booleans()
)
ANSWERS = some.builds(
    messages.AnswerStart,
    some.integers(200, 599),
    some.lists(some.binary(max_size=20), max_size=6),
    some.binary(max_size=300),
    some.booleans(),
    some.just(LOAD),
)
FRAMES = some.one_of(
    some.builds(messages.Frame, some.integers(0, 2**31 - 1), body_part=PARTS),
    some.builds(messages.Frame, some.integers(0, 99), answer_start=ANSWERS),
    some.builds(messages.Frame, some.integers(0, 99)),
)


class TestCutting:
    """Guards against frames that depend on how the bytes arrive."""

    @settings(derandomize=True, max_examples=200)
    @given(
        some.lists(FRAMES, max_size=5),
        some.lists(some.integers(1, 400), max_size=20),
    )
    def test_any_cut(self, frames, sizes) -> None:
        """The same frames come out wherever the stream is cut."""
        stream = b''.join(map(encode_frame, frames))
        decoder = FrameDecoder()
        received = []
        for size in (*sizes, len(stream)):
            received.extend(decoder.feed(stream[:size]))
            stream = stream[size:]
        assert received == frames

    @settings(derandomize=True, max_examples=200)
    @given(some.binary(max_size=400))
    def test_any_bytes(self, received: bytes) -> None:
        """Arbitrary bytes give frames or a violation, nothing else."""
        try:
            frames = list(FrameDecoder().feed(received))
        except CornelbeamError as error:
            assert error.code is ErrorCode.PROTOCOL_VIOLATION
        else:
            assert all(isinstance(each, messages.Frame) for each in frames)

    @settings(derandomize=True, max_examples=200)
    @given(FRAMES, some.integers(0, 1000), some.integers(0, 255))
    def test_changed_byte(self, frame, position: int, value: int) -> None:
        """A damaged frame is a frame or a violation, nothing else."""
        payload = bytearray(encode_frame(frame)[4:])
        payload[position % len(payload)] = value
        try:
            decode_frame(bytes(payload))
        except CornelbeamError as error:
            assert error.code is ErrorCode.PROTOCOL_VIOLATION


class TestLimits:
    """Guards against frames that take memory or close a shared connection."""

    def test_announced_size(self) -> None:
        """The length alone is enough to refuse a frame."""
        oversized = (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        with pytest.raises(CornelbeamError, match='frame of 262145 bytes'):
            list(FrameDecoder().feed(oversized))

    def test_own_size(self) -> None:
        """A frame that the peer would refuse is not sent."""
        part = messages.BodyPart(bytes(MAX_FRAME_BYTES), False)
        with pytest.raises(CornelbeamError, match='frame of 262'):
            encode_frame(messages.Frame(1, body_part=part))


class TestRequiredFields:
    """Guards against messages whose missing fields fail later, elsewhere."""

    @pytest.mark.parametrize(
        'frame',
        [
            messages.Frame(1, body_part=messages.BodyPart(b'a', None)),
            messages.Frame(1, credit=messages.Credit(None)),
            messages.Frame(
                1,
                answer_start=messages.AnswerStart(
                    200,
                    [],
                    b'',
                    True,
                    messages.LoadReport(1, 2, 0, 10, None),
                ),
            ),
            messages.Frame(
                1,
                ping=messages.Ping([messages.MemberUpdate('a')], 1, 'a'),
            ),
            messages.Frame(None),
        ],
    )
    def test_missing(self, frame) -> None:
        """The whole frame is refused, at any depth."""
        with pytest.raises(CornelbeamError) as failure:
            decode_frame(encode_frame(frame)[4:])
        assert failure.value.code is ErrorCode.PROTOCOL_VIOLATION
