"""Limit repeats at the targets of one service to a share of its requests.

Each gate counts what arrives at its own target, so that the repeats of all
daemons together stay below the limit without coordination messages.
"""

from typing import Final, final

from cornelbeam_core.budget import TokenBucket

# Only two fifths of the limit set by operators are used. The calls that a
# repeated request makes also count as repeats at the called services, but the
# daemons there can't recognize them. With two calls per request they are as
# many as the repeats that the daemons count.
USED_SHARE: Final = 0.4


@final
class RepeatBudget:
    """Token budget for repeats at one target.

    All gates of a service together allow ``slack_count`` repeats in a window
    of ``window_s`` seconds plus ``ratio`` repeats for each request.

    >>> budget = RepeatBudget(ratio=0.2, slack_count=40, window_s=10)
    >>> budget.divide_among(4)
    >>> sum(budget.try_repeat(now_s=0) for _ in range(10))
    2
    """

    __slots__ = ('_bucket', '_gate_count', '_ratio', '_slack', '_window_s')

    def __init__(
        self,
        ratio: float,
        slack_count: float,
        window_s: float,
    ) -> None:
        """Start as the only gate of the service."""
        self._ratio = ratio * USED_SHARE
        self._slack = slack_count * USED_SHARE
        self._window_s = window_s
        self._gate_count = 0
        self.divide_among(1)

    def divide_among(self, gate_count: int) -> None:
        """Divide the slack evenly among the gates of the service."""
        if gate_count == self._gate_count:
            return
        self._gate_count = gate_count
        share = self._slack / max(1, gate_count)
        # Half may be spent at once, the other half is refilled in a window.
        self._bucket = TokenBucket(
            max(1.0, share / 2),
            share / 2 / self._window_s,
        )

    def note_request(self, now_s: float) -> None:
        """Add ``ratio`` tokens for a request that is not a repeat."""
        self._bucket.add(now_s, self._ratio)

    def try_repeat(self, now_s: float) -> bool:
        """Take a token for a repeat if one is available."""
        return self._bucket.try_take(now_s)
