"""Count of the bytes that a peer takes too slowly."""

from collections.abc import Callable
from typing import final

# Called with the bytes by which the count has changed.
OnBacklog = Callable[[int], None]


@final
class WriteBacklog:
    """Bytes that the transport of a slow peer holds.

    A peer that takes what it is sent costs no more than a comparison for each
    frame.
    """

    __slots__ = ('_is_counting', '_on_change', 'size_bytes')

    def __init__(self, on_change: OnBacklog | None) -> None:
        """Report changes to ``on_change``."""
        self._on_change = on_change
        self._is_counting = False
        self.size_bytes = 0

    def start(self, size_bytes: int) -> None:
        """Count what the transport holds, and each frame from now on."""
        self._is_counting = True
        self.add(size_bytes)

    def add(self, size_bytes: int) -> None:
        """Count a frame that was written, if the peer is slow."""
        if self._is_counting:
            self._change(size_bytes)

    def clear(self) -> None:
        """Stop counting: the peer has caught up or is gone."""
        self._is_counting = False
        self._change(-self.size_bytes)

    def _change(self, size_bytes: int) -> None:
        self.size_bytes += size_bytes
        if self._on_change is not None and size_bytes:
            self._on_change(size_bytes)
