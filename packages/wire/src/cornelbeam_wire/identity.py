"""Who a daemon is and how it proves that it belongs to the fleet."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_wire.codec import protocol_error
from cornelbeam_wire.gen.messages import Hello

# 2: the proof names both nonces and the side that gives it.
PROTOCOL_VERSION: Final = 2
_NONCE_BYTES: Final = 16


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """Name, place and incarnation of one daemon, and the fleet's secret."""

    name: str
    service: str
    domain: str
    incarnation: int
    address: str
    secret: bytes


@final
class Handshake:
    """Mutual proof of the fleet's secret over one connection.

    Each side sends a ``Hello`` with a nonce and, once it has the other's
    nonce, a second ``Hello`` whose proof is the HMAC-SHA256 of its side of
    the connection, both nonces and all that it states about itself. A
    recorded proof is useless on another connection because its nonce
    differs. The side keeps a daemon from being made to prove on one
    connection what is then given back to it on another.
    """

    __slots__ = ('_identity', '_is_opener', '_nonce', '_peer_nonce', 'peer')

    def __init__(self, identity: Identity, *, is_opener: bool) -> None:
        """Choose a nonce."""
        self._identity = identity
        self._is_opener = is_opener
        self._nonce = secrets.token_bytes(_NONCE_BYTES)
        self._peer_nonce = b''
        self.peer: Hello | None = None

    def greet(self) -> Hello:
        """Give the first message."""
        return self._hello(b'')

    def receive(self, hello: Hello) -> Hello | None:
        """Take a message of the peer; give the proof to send, if one is due.

        Sets ``peer`` once the peer's proof is valid. Raises
        ``protocol_violation`` for a wrong version or proof.
        """
        if hello.protocol_version != PROTOCOL_VERSION:
            raise protocol_error(f'protocol version {hello.protocol_version}')
        if not hello.proof:
            return self._prove_to(hello)
        if hello.nonce != self._peer_nonce:
            raise protocol_error('the nonce of the proof was not announced')
        expected = _prove(
            self._identity.secret,
            hello,
            self._nonce,
            is_opener=not self._is_opener,
        )
        if not hmac.compare_digest(expected, hello.proof):
            raise protocol_error(
                'the peer does not know the secret of the fleet'
            )
        self.peer = hello
        return None

    def _prove_to(self, greeting: Hello) -> Hello:
        if self._peer_nonce or len(greeting.nonce) != _NONCE_BYTES:
            raise protocol_error('unexpected greeting')
        self._peer_nonce = greeting.nonce
        hello = self._hello(b'')
        hello.proof = _prove(
            self._identity.secret,
            hello,
            self._peer_nonce,
            is_opener=self._is_opener,
        )
        return hello

    def _hello(self, proof: bytes) -> Hello:
        identity = self._identity
        return Hello(
            name=identity.name,
            service_name=identity.service,
            domain=identity.domain,
            incarnation=identity.incarnation,
            protocol_version=PROTOCOL_VERSION,
            nonce=self._nonce,
            proof=proof,
            address=identity.address,
        )


def _prove(
    secret: bytes,
    hello: Hello,
    other_nonce: bytes,
    *,
    is_opener: bool,
) -> bytes:
    stated = (
        is_opener,
        hello.nonce,
        other_nonce,
        hello.name,
        hello.service_name,
        hello.domain,
        hello.incarnation,
        hello.address,
    )
    # The representation quotes each value, so that no two lists look alike.
    return hmac.digest(secret, repr(stated).encode(), hashlib.sha256)
