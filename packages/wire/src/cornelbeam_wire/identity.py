"""Identity of a daemon and the proof that it belongs to the fleet."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_wire.codec import protocol_error
from cornelbeam_wire.gen.messages import Hello

# Version 2: the proof covers both nonces and the side that sends it.
PROTOCOL_VERSION: Final = 2
_NONCE_BYTES: Final = 16


@final
@dataclass(frozen=True, slots=True)
class Identity:
    """Name, location and incarnation of a daemon, and the fleet's secret."""

    name: str
    service: str
    domain: str
    incarnation: int
    address: str
    secret: bytes


@final
class Handshake:
    """Mutual authentication with the fleet's secret on one connection.

    Each side sends a ``Hello`` with a nonce and, once it has the other's
    nonce, a second ``Hello`` whose proof is the HMAC-SHA256 of its side of
    the connection (opener or acceptor), both nonces and its identity. The
    nonces make a recorded proof useless on another connection. The side
    prevents reflection, in which a daemon's proof from one connection is sent
    back to it on another.
    """

    __slots__ = ('_identity', '_is_opener', '_nonce', '_peer_nonce', 'peer')

    def __init__(self, identity: Identity, *, is_opener: bool) -> None:
        """Choose a random nonce."""
        self._identity = identity
        self._is_opener = is_opener
        self._nonce = secrets.token_bytes(_NONCE_BYTES)
        self._peer_nonce = b''
        self.peer: Hello | None = None

    def make_greeting(self) -> Hello:
        """Return the first message to send."""
        return self._make_hello(b'')

    def receive(self, hello: Hello) -> Hello | None:
        """Process a message of the peer and return the proof to send, if any.

        Set ``peer`` once the proof of the peer is valid. Raise
        ``protocol_violation`` for a wrong version or proof.
        """
        if hello.protocol_version != PROTOCOL_VERSION:
            raise protocol_error(f'protocol version {hello.protocol_version}')
        if not hello.proof:
            return self._answer_greeting(hello)
        if hello.nonce != self._peer_nonce:
            raise protocol_error(
                'the nonce of the proof differs from the greeting'
            )
        expected = _compute_proof(
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

    def _answer_greeting(self, greeting: Hello) -> Hello:
        if self._peer_nonce or len(greeting.nonce) != _NONCE_BYTES:
            raise protocol_error('unexpected greeting')
        self._peer_nonce = greeting.nonce
        hello = self._make_hello(b'')
        hello.proof = _compute_proof(
            self._identity.secret,
            hello,
            self._peer_nonce,
            is_opener=self._is_opener,
        )
        return hello

    def _make_hello(self, proof: bytes) -> Hello:
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
            has_body_grants=True,
        )


def _compute_proof(
    secret: bytes,
    hello: Hello,
    other_nonce: bytes,
    *,
    is_opener: bool,
) -> bytes:
    statement = (
        is_opener,
        hello.nonce,
        other_nonce,
        hello.name,
        hello.service_name,
        hello.domain,
        hello.incarnation,
        hello.address,
    )
    # repr() quotes each value, so that different tuples never look alike.
    return hmac.digest(secret, repr(statement).encode(), hashlib.sha256)
