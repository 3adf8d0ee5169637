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
from hypothesis import strategies as st

LOAD = messages.LoadReport(1, 2, 0, 10, False)
PARTS = st.builds(messages.BodyPart, st.binary(max_size=300), st.booleans())
ANSWERS = st.builds(
    messages.AnswerStart,
    st.integers(200, 599),
    st.lists(st.binary(max_size=20), max_size=6),
    st.binary(max_size=300),
    st.booleans(),
    st.just(LOAD),
)
FRAMES = st.one_of(
    st.builds(messages.Frame, st.integers(0, 2**31 - 1), body_part=PARTS),
    st.builds(messages.Frame, st.integers(0, 99), answer_start=ANSWERS),
    st.builds(messages.Frame, st.integers(0, 99)),
)


class TestSplitting:
    """Guards against frames that depend on how the bytes arrive."""

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(FRAMES, max_size=5),
        st.lists(st.integers(1, 400), max_size=20),
    )
    def test_any_split(self, frames, sizes) -> None:
        """The same frames are decoded wherever the byte stream is split."""
        stream = b''.join(map(encode_frame, frames))
        decoder = FrameDecoder()
        received = []
        for size in (*sizes, len(stream)):
            received.extend(decoder.feed(stream[:size]))
            stream = stream[size:]
        assert received == frames

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=400))
    def test_any_bytes(self, received: bytes) -> None:
        """Arbitrary bytes decode to frames or raise a protocol violation."""
        try:
            frames = list(FrameDecoder().feed(received))
        except CornelbeamError as error:
            assert error.code is ErrorCode.PROTOCOL_VIOLATION
        else:
            assert all(isinstance(each, messages.Frame) for each in frames)

    @settings(derandomize=True, max_examples=200)
    @given(FRAMES, st.integers(0, 1000), st.integers(0, 255))
    def test_changed_byte(self, frame, position: int, value: int) -> None:
        """A damaged frame decodes or raises a protocol violation."""
        payload = bytearray(encode_frame(frame)[4:])
        payload[position % len(payload)] = value
        try:
            decode_frame(bytes(payload))
        except CornelbeamError as error:
            assert error.code is ErrorCode.PROTOCOL_VIOLATION


class TestLimits:
    """Guards against frames that take memory or close a shared connection."""

    def test_announced_size(self) -> None:
        """A frame is refused by its announced length alone."""
        oversized = (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        with pytest.raises(CornelbeamError, match='frame of 262145 bytes'):
            list(FrameDecoder().feed(oversized))

    def test_own_size(self) -> None:
        """A frame that the peer would refuse is not sent."""
        part = messages.BodyPart(bytes(MAX_FRAME_BYTES), False)
        with pytest.raises(CornelbeamError, match='frame of 262'):
            encode_frame(messages.Frame(1, body_part=part))


class TestRequiredFields:
    """Guards against missing fields that fail only where they are used."""

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
        """The whole frame is refused, at whatever depth the field is."""
        with pytest.raises(CornelbeamError) as failure:
            decode_frame(encode_frame(frame)[4:])
        assert failure.value.code is ErrorCode.PROTOCOL_VIOLATION
