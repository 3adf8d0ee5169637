"""Properties of a request that routing depends on."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, final

# RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'),
)
# A body up to this size is sent with the head of its call: a link of 12 Mbit/s
# carries it in 10 ms, about the time of a round trip between failure domains.
MAX_UNASKED_BODY_BYTES: Final = 15_000


@final
class RepeatRule(enum.Enum):
    """Whether a request may be sent again after an unclear outcome."""

    NEVER = 'never'
    ALLOWED = 'allowed'
    BY_METHOD = 'by-method'


@final
@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Parts of a request head that selectors can match.

    Header names are in lower case.
    """

    service: str
    method: str
    path: str
    headers: Mapping[str, str]


def is_idempotent_method(method: str) -> bool:
    """Return whether HTTP defines the method as idempotent.

    >>> is_idempotent_method('POST')
    False
    """
    return method in _IDEMPOTENT_METHODS


def is_worth_holding(size_bytes: int) -> bool:
    """Return whether a body waits until its target asks for it.

    >>> is_worth_holding(1000), is_worth_holding(60_000)
    (False, True)
    """
    return size_bytes > MAX_UNASKED_BODY_BYTES
