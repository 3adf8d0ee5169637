"""Plays a load of tenants against one gate, on a virtual clock.

Callers send requests of four kinds for 75 tenants of skewed sizes. A refused
call is not sent again: what a caller gets is decided by this gate alone. The
bounds of the checks are those of section 7 of docs/design/hard-load.md.
"""

import functools
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import pytest
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_core.tickets import ColdBound, Ticket

SLOT_COUNT = 9
TENANT_COUNT = 75
# Sizes fall with the rank of a tenant, the largest one sends a sixth of all.
SIZE_EXPONENT = 0.9
SIZES = tuple((rank + 1) ** -SIZE_EXPONENT for rank in range(TENANT_COUNT))
LENGTH_S = 120
WARM_UP_S = 20
BURST_FACTOR = 7.5
BURST_FROM_S = LENGTH_S / 2
SEED = 1
LOADS = (1.3, 2)
# A large tenant, one of medium size, and none.
BURSTS = (0, 5, None)
# What is taken for almost unchanged.
CHANGE_LIMIT = 0.1


@dataclass(frozen=True)
class Kind:
    """A kind of request and what its callers need."""

    route: str
    priority: int
    service_s: float
    objective_s: float
    deadline_s: float
    share: float


KINDS = (
    Kind('booking', 0, 0.07, 0.234, 0.632, 0.25),
    Kind('search', 1, 0.15, 0.5, 0.9, 0.25),
    Kind('history', 1, 0.22, 0.7, 1.2, 0.25),
    Kind('export', 2, 0.18, 1.104, 1.545, 0.25),
)


@dataclass(frozen=True)
class Request:
    """A request of a tenant, with the time that its work takes."""

    number: int
    at_s: float
    tenant: str
    kind: Kind
    work_s: float


def capacity_per_s():
    """Return how many requests the ordinary slots serve in a second."""
    gate = open_gate()
    mean_s = sum(kind.share * kind.service_s for kind in KINDS)
    return gate.limit / mean_s


def open_gate():
    """Create a gate that has measured all kinds."""
    gate = TargetGate(ColdBound(factor=1.5, slack_count=5))
    gate.resize(SLOT_COUNT)
    for kind in KINDS:
        gate.running_count += 1
        gate.finish(kind.route, kind.service_s)
    return gate


def draw_requests(seed, load, kinds_of, burst):
    """Draw requests at ``load`` times the capacity.

    The tenant ``burst`` sends 7.5 times its usual load in the second half.
    """
    requests = []
    for index, size in enumerate(SIZES):
        # The others send the same requests with and without a burst.
        rng = random.Random(f'{seed} {index}')
        usual_per_s = load * capacity_per_s() * size / sum(SIZES)
        at_s: float = 0
        kinds = kinds_of(index)
        while True:
            is_burst = index == burst and at_s >= BURST_FROM_S
            factor = BURST_FACTOR if is_burst else 1
            at_s += rng.expovariate(usual_per_s * factor)
            if at_s >= LENGTH_S:
                break
            kind = rng.choices(kinds, [each.share for each in kinds])[0]
            work_s = kind.service_s * rng.uniform(0.7, 1.3)
            requests.append((at_s, f'tenant-{index}', kind, work_s))
    requests.sort(key=lambda each: each[0])
    return [Request(number, *each) for number, each in enumerate(requests)]


class Play:
    """Outcome of a load: which requests were answered when."""

    def __init__(self, requests, *, has_tenants, from_s):
        """Play the requests, and count those that are sent from ``from_s`` on.

        Without tenants, the order of arrival holds.
        """
        self.gate = open_gate()
        self.has_tenants = has_tenants
        self.requests = [each for each in requests if each.at_s >= from_s]
        self.ended_at_s: dict[int, float] = {}
        self.evicted_count = 0
        self.refused_after_s: list[float] = []
        # Times at which the number of slots in use or the queue changes.
        self._events: list = []
        self._order = itertools.count()
        self._waiting: dict[Request, float] = {}
        for each in requests:
            self._push(each.at_s, self._arrive, each)
        while self._events:
            now_s, _, action, request = heapq.heappop(self._events)
            action(request, now_s)

    def share(self, is_counted=lambda request: True, *, in_time=False):
        """Return the share of requests answered by the deadline or objective.

        ``None`` if no request is counted.
        """
        counted = [each for each in self.requests if is_counted(each)]
        if not counted:
            return None
        served = sum(self._is_served(each, in_time=in_time) for each in counted)
        return served / len(counted)

    def kind_share(self, kind):
        """Return the share of a kind that was answered by its deadline."""
        return self.share(lambda request: request.kind is kind)

    def tenant_shares(self):
        """Return the share of each tenant that was answered by the deadline."""
        sent = Counter(each.tenant for each in self.requests)
        served = Counter(
            each.tenant for each in self.requests if self._is_served(each)
        )
        return {name: served[name] / sent[name] for name in sent}

    def latency_s(self, is_counted, quantile=0.5):
        """Return a quantile of the latency of the answered requests."""
        latencies = sorted(
            self.ended_at_s[each.number] - each.at_s
            for each in self.requests
            if is_counted(each) and each.number in self.ended_at_s
        )
        return latencies[int(quantile * (len(latencies) - 1))]

    def refused_wait_s(self):
        """Return the mean time after which a refused request is refused."""
        return sum(self.refused_after_s) / max(1, len(self.refused_after_s))

    def _is_served(self, request, *, in_time=False):
        limit_s = request.kind.deadline_s
        if in_time:
            limit_s = request.kind.objective_s
        ended_at_s = self.ended_at_s.get(request.number, float('inf'))
        return ended_at_s <= request.at_s + limit_s

    def _push(self, at_s, action, request):
        heapq.heappush(self._events, (at_s, next(self._order), action, request))

    def _arrive(self, request, now_s):
        kind = request.kind
        deadline_s = now_s + kind.deadline_s
        ticket = Ticket(
            request,
            is_nested=False,
            priority=kind.priority,
            give_up_at_s=deadline_s,
            objective_at_s=now_s + kind.objective_s,
            deadline_s=deadline_s,
            route=kind.route,
            tenant=request.tenant if self.has_tenants else '',
        )
        if self.gate.enqueue(ticket, now_s) is None:
            wait_until_s = self.gate.wait_deadline_s(ticket, now_s)
            self._waiting[request] = wait_until_s
            self._refuse_evicted(now_s)
            self._push(wait_until_s, self._give_up, request)
            self._start(now_s)
        else:
            self.refused_after_s.append(0)

    def _give_up(self, request, now_s):
        if self._waiting.pop(request, None) is not None:
            self.gate.withdraw(request)
            self.refused_after_s.append(now_s - request.at_s)
            self._start(now_s)

    def _refuse_evicted(self, now_s):
        for evicted, _ in self.gate.shedding.evict(now_s):
            del self._waiting[evicted.call]
            self.evicted_count += 1
            self.refused_after_s.append(now_s - evicted.call.at_s)

    def _start(self, now_s):
        while True:
            ticket = self.gate.start_next(now_s)
            if ticket is None:
                break
            del self._waiting[ticket.call]
            end_s = now_s + ticket.call.work_s
            self._push(end_s, self._finish, ticket.call)

    def _finish(self, request, now_s):
        self.gate.finish(request.kind.route, request.work_s)
        self.ended_at_s[request.number] = now_s
        self._start(now_s)


@functools.cache
def play(load, *, has_tenants=True, burst=None, is_by_priority=False):
    """Play a load; ``is_by_priority`` gives each tenant one priority.

    Only the time of a burst counts: a kind that is mostly sent then can't be
    compared with one that is mostly sent before.
    """
    requests = draw_requests(
        SEED,
        load,
        kinds_of_one_priority if is_by_priority else all_kinds,
        burst,
    )
    from_s = WARM_UP_S if burst is None else BURST_FROM_S
    return Play(requests, has_tenants=has_tenants, from_s=from_s)


def all_kinds(tenant):
    """Return the kinds of a tenant that sends all of them."""
    return KINDS


def kinds_of_one_priority(tenant):
    """Return the kinds of a tenant that sends one priority only."""
    return [kind for kind in KINDS if kind.priority == tenant % 3]


def worst_tenth(played):
    """Return the mean share served of the worst tenth of tenants."""
    shares = sorted(played.tenant_shares().values())
    worst = shares[: TENANT_COUNT // 10]
    return sum(worst) / len(worst)


@pytest.mark.parametrize('load', LOADS)
class TestCallers:
    """Guards against refusing and delaying what costs callers most."""

    def test_more_is_served_in_time_than_in_order_of_arrival(self, load):
        in_turn = play(load, has_tenants=False)
        assert play(load).share() > in_turn.share()
        assert play(load).share(in_time=True) > in_turn.share(in_time=True)

    @pytest.mark.parametrize('is_by_priority', [False, True])
    @pytest.mark.parametrize('burst', BURSTS)
    def test_urgent_kind_is_not_served_less_often(
        self, load, burst, is_by_priority
    ):
        played = play(load, burst=burst, is_by_priority=is_by_priority)
        for urgent, other in itertools.permutations(KINDS, 2):
            if urgent.priority < other.priority:
                shares = played.kind_share(urgent), played.kind_share(other)
                assert shares[0] >= shares[1], (urgent.route, other.route)

    def test_refused_call_waits_less_than_half_of_its_time(self, load):
        """A caller that is refused late has no time for another target."""
        mean_s = sum(kind.deadline_s for kind in KINDS) / len(KINDS)
        assert play(load).refused_wait_s() < mean_s / 2


@pytest.mark.parametrize('load', LOADS)
class TestTenants:
    """Guards against tenants that pay for the load of others."""

    @pytest.mark.parametrize('is_by_priority', [False, True])
    @pytest.mark.parametrize('burst', BURSTS)
    def test_no_tenant_is_served_a_quarter_as_often(
        self, load, burst, is_by_priority
    ):
        played = play(load, burst=burst, is_by_priority=is_by_priority)
        worst = min(played.tenant_shares().values())
        assert worst > played.share() / 4

    @pytest.mark.parametrize('burst', BURSTS)
    def test_worst_tenth_is_served_more_than_in_order_of_arrival(
        self, load, burst
    ):
        in_turn = play(load, has_tenants=False, burst=burst)
        assert worst_tenth(play(load, burst=burst)) > worst_tenth(in_turn)

    @pytest.mark.parametrize('burst', [0, 5])
    def test_burst_leaves_others_almost_unchanged(self, load, burst):
        def is_other(request):
            is_burst = request.tenant == f'tenant-{burst}'
            return not is_burst and request.at_s >= BURST_FROM_S

        usual, bursty = play(load), play(load, burst=burst)
        share = bursty.share(is_other)
        assert share > usual.share(is_other) * (1 - CHANGE_LIMIT)
        for quantile in (0.5, 0.9):
            latency_s = bursty.latency_s(is_other, quantile)
            usual_s = usual.latency_s(is_other, quantile)
            assert latency_s < usual_s * (1 + CHANGE_LIMIT)
