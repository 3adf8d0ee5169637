"""Repeats at the targets of one service, as a share of its requests.

Each gate counts what arrives at its own target, so that the repeats of all
daemons together stay below the bound without a message between them.
"""

from typing import Final, final

from cornelbeam_core.budget import TokenBucket

# Two fifths of what operators allow: all calls that a repeated request makes
# count as repeats at the services it calls, where no daemon can tell them
# apart. With two calls a request they are as many again.
USED_SHARE: Final = 0.4


@final
class RepeatBudget:
    """Tokens for repeats at one target.

    All gates of a service together allow ``slack_count`` repeats in a window
    of ``window_s`` seconds and ``ratio`` repeats for each request.

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
        """Share the slack with the other gates of the service."""
        if gate_count == self._gate_count:
            return
        self._gate_count = gate_count
        share = self._slack / max(1, gate_count)
        # Half may be spent at once, half comes back within a window.
        self._bucket = TokenBucket(
            max(1.0, share / 2),
            share / 2 / self._window_s,
        )

    def note_request(self, now_s: float) -> None:
        """Earn a share of a repeat for a request that arrives first."""
        self._bucket.add(now_s, self._ratio)

    def try_repeat(self, now_s: float) -> bool:
        """Spend on a repeat if the budget allows it."""
        return self._bucket.try_take(now_s)
