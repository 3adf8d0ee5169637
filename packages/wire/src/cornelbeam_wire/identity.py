"""Who a daemon is and how it proves that it belongs to the fleet."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_wire.codec import violation
from cornelbeam_wire.gen.messages import Hello

PROTOCOL_VERSION: Final = 1
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
    nonce, a second ``Hello`` whose proof is the HMAC-SHA256 of that nonce
    and of its own name and incarnation. A recorded proof is useless on
    another connection because its nonce differs.
    """

    __slots__ = ('_identity', '_nonce', '_peer_nonce', 'peer')

    def __init__(self, identity: Identity) -> None:
        """Choose a nonce."""
        self._identity = identity
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
            raise violation(f'protocol version {hello.protocol_version}')
        if not hello.proof:
            self._peer_nonce = hello.nonce
            return self._hello(
                _prove(
                    self._identity.secret,
                    hello.nonce,
                    self._identity.name,
                    self._identity.incarnation,
                ),
            )
        expected = _prove(
            self._identity.secret,
            self._nonce,
            hello.name,
            hello.incarnation,
        )
        if not hmac.compare_digest(expected, hello.proof):
            raise violation('the peer does not know the secret of the fleet')
        self.peer = hello
        return None

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


def _prove(secret: bytes, nonce: bytes, name: str, incarnation: int) -> bytes:
    text = f'{name}\n{incarnation}'.encode()
    return hmac.digest(secret, nonce + text, hashlib.sha256)
