"""Tests of the accounting of buffered bytes."""

import random

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.calls import Answer
from cornelbeam_daemon.memory_budget import (
    MIN_BUDGET_BYTES,
    MIN_REFUSED_BYTES,
    MemoryBudget,
    budget_bytes,
)

pytestmark = pytest.mark.anyio
SEEDS = range(20)
ACTIONS = ('add',) * 8 + ('subtract', 'close')
# More than the frames that the recursion limit allows.
OWNER_COUNT = 1500
REFUSED_COUNT = 1000
PART = b'a' * 100_000
MOST_OF_IT = MIN_BUDGET_BYTES * 4 // 5


class Owner:
    """Owner of an account that frees what it holds when it is refused."""

    def __init__(self, budget) -> None:
        """Open an account that may be refused."""
        self.is_refused = False
        self.account = budget.open_account(self.refuse, 1000)
        self.account.allow_refusal()

    def refuse(self) -> None:
        """Note it and free everything."""
        self.is_refused = True
        self.account.close()


class TestBudget:
    """Guards against a process whose buffers exceed its memory."""

    def test_largest_is_refused_first(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        owners = [Owner(budget) for _ in range(3)]
        owners[0].account.add(MIN_BUDGET_BYTES // 4)
        owners[1].account.add(MIN_BUDGET_BYTES // 2)
        owners[2].account.add(MIN_BUDGET_BYTES // 4)
        assert not any(owner.is_refused for owner in owners)
        owners[2].account.add(1)
        assert [owner.is_refused for owner in owners] == [False, True, False]
        assert budget.refused_count == 1
        assert not budget.is_short

    def test_nobody_reads_ahead_while_it_is_short(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        small, large = Owner(budget), Owner(budget)
        small.account.add(1000)
        assert small.account.may_read_ahead
        large.account.add(MOST_OF_IT)
        assert not small.account.may_read_ahead
        large.account.close()
        assert small.account.may_read_ahead
        small.account.add(1)
        assert not small.account.may_read_ahead

    def test_owner_that_may_not_be_refused_is_left_alone(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        owner = Owner(budget)
        owner.account.forbid_refusal()
        owner.account.add(MIN_BUDGET_BYTES + 1)
        assert not owner.is_refused
        owner.account.allow_refusal()
        owner.account.add(1)
        assert owner.is_refused

    def test_many_refusals_at_once_do_not_recurse(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        owners = [Owner(budget) for _ in range(OWNER_COUNT)]
        for owner in owners:
            owner.account.add(MIN_BUDGET_BYTES // OWNER_COUNT)
        fixed = budget.open_account()
        fixed.add(MIN_BUDGET_BYTES)
        assert budget.refused_count > REFUSED_COUNT
        refused = [each for each in owners if each.is_refused]
        assert len(refused) == budget.refused_count
        assert budget.used_bytes <= MIN_BUDGET_BYTES * 5 // 4

    def test_subtraction_refuses_nobody(self):
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        owner = Owner(budget)
        owner.account.forbid_refusal()
        owner.account.add(MIN_BUDGET_BYTES + 2)
        owner.account.allow_refusal()
        owner.account.subtract(1)
        assert not owner.is_refused

    def test_small_ones_do_not_pay_for_what_cannot_be_refused(self):
        """Every upload would be refused while answers fill the budget."""
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        small, large = Owner(budget), Owner(budget)
        small.account.add(MIN_REFUSED_BYTES - 1)
        large.account.add(MIN_REFUSED_BYTES)
        budget.open_account().add(MIN_BUDGET_BYTES)
        assert large.is_refused
        assert not small.is_refused
        small.account.add(1)
        assert small.is_refused

    def test_many_small_ones_are_refused(self):
        """Many connections with little each would exceed the memory."""
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        budget.open_account().add(MIN_BUDGET_BYTES)
        for _ in range(OWNER_COUNT):
            Owner(budget).account.add(MIN_REFUSED_BYTES - 1)
        assert budget.used_bytes <= MIN_BUDGET_BYTES * 5 // 4

    @pytest.mark.parametrize('seed', SEEDS)
    def test_refusable_owners_never_exceed_it(self, seed):
        rng = random.Random(seed)
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        owners = []
        for _ in range(300):
            if not owners or rng.randrange(10) < 2:
                owners.append(Owner(budget))
            account = rng.choice(owners).account
            action = rng.choice(ACTIONS)
            if action == 'add':
                account.add(rng.randrange(1_000_000))
            elif action == 'subtract':
                account.subtract(rng.randrange(account.used_bytes + 1))
            else:
                account.close()
            assert 0 <= budget.used_bytes <= budget.limit_bytes
            counted = sum(owner.account.used_bytes for owner in owners)
            assert budget.used_bytes == counted
        for owner in owners:
            owner.account.close()
        assert budget.used_bytes == 0

    def test_share_of_the_machine(self):
        assert budget_bytes(200) == 50_000_000
        assert budget_bytes(0) > 0
        assert MemoryBudget(0).limit_bytes == MIN_BUDGET_BYTES


class TestBodies:
    """Guards against bodies that are counted too late, too long or not."""

    def make_body(self) -> tuple[MemoryBudget, BodyBuffer]:
        """Return a budget and a buffer that is counted in it."""
        budget = MemoryBudget(MIN_BUDGET_BYTES)
        return budget, BodyBuffer(None, budget.open_account())

    async def test_kept_part_is_counted_once(self):
        budget, buffer = self.make_body()
        body = RequestBody(buffer, len(PART))
        buffer.feed(PART)
        assert budget.used_bytes == len(PART)
        await body.read_next()
        assert budget.used_bytes == len(PART)
        buffer.feed(PART)
        assert budget.used_bytes == 2 * len(PART)
        buffer.drop()
        assert budget.used_bytes == 0

    async def test_unread_body_is_not_counted_for_ever(self):
        budget, buffer = self.make_body()
        buffer.feed(PART)
        del buffer  # noqa: WPS420
        assert budget.used_bytes == 0

    async def test_buffers_are_shorter_while_it_is_short(self):
        budget, buffer = self.make_body()
        buffer.feed(PART)
        assert not buffer.is_full
        budget.open_account().add(MOST_OF_IT)
        assert buffer.is_full

    @pytest.mark.parametrize('is_begun', [True, False])
    async def test_dropped_body_never_looks_complete(self, is_begun):
        """A target would run a request whose body lacks its end."""
        _, buffer = self.make_body()
        body = RequestBody(buffer, len(PART))
        reader = body.reader()
        buffer.feed(PART)
        if is_begun:
            await reader.read()
            buffer.feed(PART)
        buffer.finish()
        buffer.drop()
        assert not body.is_whole
        with pytest.raises(CornelbeamError) as caught:
            await reader.read()
        assert caught.value.code is ErrorCode.PROTOCOL_VIOLATION

    async def test_dropped_body_takes_no_more(self):
        """A reader would get a later part, without the one before it."""
        budget, buffer = self.make_body()
        buffer.feed(b'AAA')
        assert await buffer.read() == b'AAA'
        buffer.feed(b'BBB')
        buffer.drop()
        buffer.fail(CornelbeamError(ErrorCode.OVERLOADED, 'request body'))
        buffer.feed(b'CCC')
        with pytest.raises(CornelbeamError) as caught:
            await buffer.read()
        assert caught.value.code is ErrorCode.OVERLOADED
        assert budget.used_bytes == 0

    async def test_closed_answer_is_not_counted(self):
        """Its connection refers to it until the next garbage collection."""
        budget, buffer = self.make_body()
        buffer.feed(PART)
        Answer(200, [], buffer, None, int).close()
        assert budget.used_bytes == 0
        with pytest.raises(CornelbeamError):
            await buffer.read()

    async def test_answer_that_was_read_stays_ended(self):
        _, buffer = self.make_body()
        buffer.feed(PART)
        buffer.finish()
        answer = Answer(200, [], buffer, None, int)
        assert await buffer.read() == PART
        answer.close()
        assert buffer.is_ended

    @pytest.mark.parametrize('limit_bytes', [0, len(PART)])
    async def test_refused_body_has_no_first_part(self, limit_bytes):
        """A target would get the head, so a 503 could not be sent any more."""
        _, buffer = self.make_body()
        reader = RequestBody(buffer, limit_bytes).reader()
        buffer.feed(PART)
        buffer.drop()
        buffer.fail(CornelbeamError(ErrorCode.OVERLOADED, 'request body'))
        with pytest.raises(CornelbeamError) as caught:
            reader.take_first()
        assert caught.value.code is ErrorCode.OVERLOADED

    async def test_refused_request_is_not_sent(self, bed, make_call):
        buffer = BodyBuffer()
        buffer.feed(PART)
        buffer.drop()
        buffer.fail(CornelbeamError(ErrorCode.OVERLOADED, 'request body'))
        call = make_call('edge-1', b'/a')
        call.body = RequestBody(buffer)
        with pytest.raises(CornelbeamError) as caught:
            await bed.backend_side.serve(call)
        assert caught.value.http_status == 503
        assert not bed.backend.connection_count
