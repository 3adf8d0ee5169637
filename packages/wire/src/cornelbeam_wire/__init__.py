"""Messages between cornelbeam daemons and the connection that carries them."""

from cornelbeam_wire.codec import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    decode_frame,
    encode_frame,
)
from cornelbeam_wire.connection import (
    MAX_BODY_PART_BYTES,
    STREAM_CREDIT_BYTES,
    PeerConnection,
    Stream,
    StreamReceiver,
)
from cornelbeam_wire.identity import Identity
from cornelbeam_wire.keep_alive import KEEP_ALIVE_OPTIONS
from cornelbeam_wire.pool import PeerPool
from cornelbeam_wire.revisions import RevisionExchange

__all__ = (
    'KEEP_ALIVE_OPTIONS',
    'MAX_BODY_PART_BYTES',
    'MAX_FRAME_BYTES',
    'STREAM_CREDIT_BYTES',
    'FrameDecoder',
    'Identity',
    'PeerConnection',
    'PeerPool',
    'RevisionExchange',
    'Stream',
    'StreamReceiver',
    'decode_frame',
    'encode_frame',
)
