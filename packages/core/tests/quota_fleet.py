"""A fleet of daemons that share quotas, with a simulated clock and network.

It follows the order of steps of ``cornelbeam_mesh.tenant_quotas``: a daemon
asks one owner after the other until no request of the tenant waits.
"""

import heapq
import itertools
from collections import deque
from functools import partial

from cornelbeam_core.quota_demand import OwnerSuspicions, QuotaDemand
from cornelbeam_core.quota_owners import OwnerTable
from cornelbeam_core.quota_shares import (
    MAX_REFUSAL_S,
    QuotaBounds,
    QuotaGrant,
    ShareTable,
)

NEAR_S = 0.0005
FAR_S = 0.004
OWNER_TIMEOUT_S = 0.15
WINDOW_S = 5


class Daemon:
    """One daemon, with its own view of the members."""

    def __init__(self, name, domain, bounds, joined_at_s) -> None:
        self.name = name
        self.domain = domain
        self.owners = OwnerTable()
        self.shares = ShareTable(bounds)
        self.demand = QuotaDemand()
        self.suspicions = OwnerSuspicions()
        self.joined_at_s = joined_at_s
        self.is_asking = False
        # Requests that wait, and how many of them did when the round began.
        self.waiting = deque()
        self.present_count = 0
        self.asked = set()


class Fleet:
    """Daemons in failure domains, and the requests of one tenant."""

    def __init__(self, rule, bounds=None) -> None:
        self.rule = rule
        self.bounds = bounds or QuotaBounds()
        self.now_s = 0
        self.daemons = {}
        self.down = set()
        # Daemons in different parts do not reach each other.
        self.parts = {}
        self.admitted_s = []
        self.refusals = []
        self.query_count = 0
        self._events = []
        self._numbers = itertools.count()

    def at(self, at_s, act) -> None:
        """Act at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def run(self, until_s) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            event = heapq.heappop(self._events)
            self.now_s = event[0]
            event[2]()
        self.now_s = until_s

    def add(self, name, domain, lag_s=lambda name: 0, joined_at_s=None) -> None:
        """Add a daemon; others learn of it after their ``lag_s``."""
        if joined_at_s is None:
            joined_at_s = self.now_s
        daemon = Daemon(name, domain, self.bounds, joined_at_s)
        for other in self.daemons.values():
            daemon.owners.place(other.name, other.domain)
        self.daemons[name] = daemon
        self.down.discard(name)
        for each in self.daemons.values():
            after_s = 0 if each is daemon else lag_s(each.name)
            self.at(
                self.now_s + after_s, partial(each.owners.place, name, domain)
            )

    def restart(self, name) -> None:
        """Restart a daemon at once, which keeps its place."""
        old = self.daemons[name]
        daemon = Daemon(name, old.domain, self.bounds, self.now_s - 1)
        for other in self.daemons.values():
            daemon.owners.place(other.name, other.domain)
        daemon.owners.place(name, old.domain)
        self.daemons[name] = daemon
        self.down.discard(name)

    def remove(self, name, lag_s=lambda name: 0) -> None:
        """Remove a daemon, which stops granting at once."""
        self.daemons.pop(name)
        for each in self.daemons.values():
            self.at(
                self.now_s + lag_s(each.name),
                partial(self._forget, each, name),
            )

    def _forget(self, daemon, name) -> None:
        daemon.owners.remove(name)
        daemon.owners.note_changes(self.now_s)

    def request(self, name, *, is_run=True) -> None:
        """Send a request through a daemon."""
        daemon = self.daemons.get(name)
        if daemon is None or name in self.down:
            return
        age_s = self.bounds.token_age_s(self.rule)
        granted_s = daemon.demand.take(self.now_s, age_s)
        if granted_s is not None:
            self._admit(daemon, granted_s, is_run=is_run)
            return
        daemon.waiting.append(is_run)
        if not daemon.is_asking:
            daemon.is_asking = True
            daemon.present_count = 1
            self._ask(daemon)

    def _admit(self, daemon, granted_s, *, is_run) -> None:
        if is_run:
            self.admitted_s.append(self.now_s)
        else:
            daemon.demand.keep(granted_s)

    def _ask(self, daemon) -> None:
        owners = daemon.owners.owners(self.rule.name, daemon.domain)
        for silent in daemon.suspicions.due(owners, self.now_s):
            self._check(daemon, silent)
        owner = daemon.demand.next_owner(
            owners, daemon.suspicions, self.now_s, daemon.asked
        )
        if owner is None or not daemon.waiting:
            self._end_round(daemon, owners)
            return
        daemon.asked.add(owner)
        count = len(daemon.waiting)
        asked_s = self.now_s
        if owner == daemon.name:
            self._answer(daemon, owner, count, self._grant(owner, count))
            return
        self.query_count += 1
        if not self._reaches(daemon.name, owner):
            self.at(
                asked_s + OWNER_TIMEOUT_S, lambda: self._miss(daemon, owner)
            )
            return
        latency_s = self._latency_s(daemon, owner)
        self.at(
            asked_s + latency_s,
            lambda: self._serve(daemon, owner, count, latency_s),
        )

    def _end_round(self, daemon, owners) -> None:
        for _ in range(daemon.present_count):
            daemon.waiting.popleft()
            wait_s = daemon.demand.refuse(
                self.rule, owners, daemon.suspicions, self.now_s
            )
            self.refusals.append((self.now_s, daemon.name, wait_s))
        daemon.asked.clear()
        daemon.present_count = len(daemon.waiting)
        daemon.is_asking = bool(daemon.waiting)
        if daemon.waiting:
            self._ask(daemon)

    def _serve(self, daemon, owner, count, latency_s) -> None:
        grant = self._grant(owner, count)
        self.at(
            self.now_s + latency_s,
            lambda: self._answer(daemon, owner, count, grant),
        )

    def _answer(self, daemon, owner, count, grant) -> None:
        for _ in range(grant.count):
            is_run = daemon.waiting.popleft()
            daemon.present_count = max(0, daemon.present_count - 1)
            self._admit(daemon, self.now_s, is_run=is_run)
        owners = daemon.owners.owners(self.rule.name, daemon.domain)
        is_first = owner == daemon.suspicions.first_trusted(owners)
        daemon.demand.note_grant(
            owner, count, grant, self.now_s, is_first=is_first
        )
        self._ask(daemon)

    def _miss(self, daemon, owner) -> None:
        daemon.suspicions.note_silence(owner, self.now_s)
        self._ask(daemon)

    def _check(self, daemon, owner) -> None:
        if self._reaches(daemon.name, owner):
            daemon.suspicions.clear(owner)

    def _grant(self, name, count) -> QuotaGrant:
        daemon = self.daemons.get(name)
        since_s = None
        if daemon is not None:
            since_s = daemon.owners.owned_since(self.rule.name, name)
        if since_s is None:
            return QuotaGrant(0, MAX_REFUSAL_S)
        return daemon.shares.take(
            self.rule,
            count,
            daemon.owners.domain_count(self.now_s),
            max(since_s, daemon.joined_at_s),
            self.now_s,
        )

    def _reaches(self, one, other) -> bool:
        is_up = other in self.daemons and other not in self.down
        return is_up and self.parts.get(one) == self.parts.get(other)

    def _latency_s(self, daemon, owner) -> float:
        is_near = self.daemons[owner].domain == daemon.domain
        return NEAR_S if is_near else FAR_S


def busiest_window(times_s) -> int:
    """Return the most requests within a window."""
    busiest = 0
    first = 0
    for last, last_s in enumerate(times_s):
        while times_s[first] <= last_s - WINDOW_S:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


def tolerated(rule, bounds=QuotaBounds()) -> float:
    """Return the most requests that may run within a window."""
    limit = rule.rate_per_s * WINDOW_S + rule.burst_count
    return limit + bounds.tolerance(rule)
