"""Photo content that both ends of a transfer can compute."""

import functools
import hashlib
import random
from collections.abc import Iterator
from typing import Final

PART_BYTES: Final = 65_536
_OFFSET_BYTES: Final = 8
# Rest of each part. The seed is fixed, so both ends have the same content.
_FILLER: Final = random.Random(20).randbytes(PART_BYTES - _OFFSET_BYTES)


def photo_parts(size_bytes: int) -> Iterator[bytes]:
    """Yield the parts of the photo of a size, 64 KiB each except the last.

    Each part starts with its offset, so lost, repeated or reordered parts
    change the content and not only the length.
    """
    for offset in range(0, size_bytes, PART_BYTES):
        part = offset.to_bytes(_OFFSET_BYTES, 'big') + _FILLER
        yield part[: size_bytes - offset]


@functools.lru_cache
def photo_digest(size_bytes: int) -> str:
    """Return the hexadecimal SHA-256 digest of the photo of a size."""
    digest = hashlib.sha256()
    for part in photo_parts(size_bytes):
        digest.update(part)
    return digest.hexdigest()
