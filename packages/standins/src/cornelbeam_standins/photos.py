"""Photo content that both ends of a transfer can compute."""

import functools
import hashlib
import random
from collections.abc import Iterator
from typing import Final

PART_BYTES: Final = 65_536
_NUMBER_BYTES: Final = 8
# The rest of each part; the seed is part of the known content.
_FILLING: Final = random.Random(20).randbytes(PART_BYTES - _NUMBER_BYTES)


def photo_parts(size_bytes: int) -> Iterator[bytes]:
    """Give the parts of the photo of a size, 64 KiB each but the last.

    Each part starts with its number, so that lost, repeated or exchanged
    parts change the content and not only the length.
    """
    for number in range(0, size_bytes, PART_BYTES):
        part = number.to_bytes(_NUMBER_BYTES, 'big') + _FILLING
        yield part[: size_bytes - number]


@functools.lru_cache
def photo_digest(size_bytes: int) -> str:
    """Give the SHA-256 of the photo of a size in hexadecimal."""
    digest = hashlib.sha256()
    for part in photo_parts(size_bytes):
        digest.update(part)
    return digest.hexdigest()
