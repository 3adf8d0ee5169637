"""Distinguish calls that a target makes from those of other callers.

Both may come from the same address and carry the same fields. A target makes
calls only for a request that it is running, and such a call has no more time
left than that request. A call with a later deadline is therefore not its own.
Most requests of callers have a later deadline at one time or another, nested
calls never do, so the calls that show it also tell the origin of the others of
their route.
"""

from collections.abc import Hashable
from typing import Final, final

# Deadlines travel as the time left, in whole milliseconds, from one process to
# another and back.
DEADLINE_SLACK_S: Final = 0.1
# A target may go on with a request whose connection was lost before this daemon
# started, and its calls then seem to come from outside. They are few.
OUTSIDE_SHARE: Final = 0.02
# The share covers about this many calls of a route: a target that is busy for
# minutes hides where calls come from.
MEMORY_CALL_COUNT: Final = 1000
# Above this number of routes all shares are dropped, as those of removed routes
# are not deleted one by one. Configurations use fewer routes.
MAX_ROUTE_COUNT: Final = 4096


@final
class CallOrigins:
    """Requests that a target runs, and the origin of calls by route.

    >>> origins = CallOrigins()
    >>> origins.start('booking', deadline_s=9)
    >>> origins.is_nested('lookup', deadline_s=8)
    True
    >>> origins.is_nested('lookup', deadline_s=10)
    False
    """

    __slots__ = ('_deadlines_s', '_left_behind_until_s', '_shares')

    def __init__(self) -> None:
        """Start without requests; a route belongs to the target at first."""
        self._deadlines_s: dict[Hashable, float] = {}
        # Latest deadline of requests that may still run unobserved.
        self._left_behind_until_s = float('-inf')
        # By route, the number of calls and the share with a later deadline.
        self._shares: dict[str, tuple[int, float]] = {}

    def start(self, request: Hashable, deadline_s: float) -> None:
        """Record that the target runs a request until its deadline."""
        self._deadlines_s[request] = deadline_s

    def finish(self, request: Hashable, *, is_over: bool) -> None:
        """Record the end of a request.

        ``is_over`` is false if the target may still work on it, as after a
        lost connection.
        """
        deadline_s = self._deadlines_s.pop(request)
        if not is_over:
            self._left_behind_until_s = max(
                self._left_behind_until_s, deadline_s
            )

    def is_nested(self, route: str, deadline_s: float) -> bool:
        """Record a call and return whether the target made it.

        A route that the target and others call counts as one of the others.
        """
        is_later = not self.may_be_nested(deadline_s)
        share = self._update_share(route, is_later=is_later)
        return not is_later and share < OUTSIDE_SHARE

    def may_be_nested(self, deadline_s: float) -> bool:
        """Return whether a running request has no earlier deadline."""
        latest_s = max((self._left_behind_until_s, *self._deadlines_s.values()))
        return deadline_s <= latest_s + DEADLINE_SLACK_S

    def _update_share(self, route: str, *, is_later: bool) -> float:
        if len(self._shares) > MAX_ROUTE_COUNT:
            self._shares.clear()
        count, share = self._shares.get(route, (0, 0))
        count = min(count + 1, MEMORY_CALL_COUNT)
        share += (is_later - share) / count
        self._shares[route] = count, share
        return share
