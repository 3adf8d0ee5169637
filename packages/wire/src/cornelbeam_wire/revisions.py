"""Store positions that daemons announce to each other."""

from collections.abc import Callable
from typing import final

from cornelbeam_wire.gen.messages import Hello


@final
class RevisionExchange:
    """Announces the store position of this daemon and reports those of peers.

    ``current`` returns the position to announce, and ``on_peer_revision`` is
    called with each peer and the position that it announces. A position goes
    along with the next frame of each connection after it has changed, so the
    exchange needs no messages of its own.
    """

    __slots__ = ('current', 'on_peer_revision')

    def __init__(
        self,
        current: Callable[[], int],
        on_peer_revision: Callable[[Hello, int], None],
    ) -> None:
        """Exchange positions by two callbacks."""
        self.current = current
        self.on_peer_revision = on_peer_revision
