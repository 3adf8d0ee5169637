"""Budget of the memory in which the daemon buffers what others send.

Pure accounting: it does no I/O, and tells the owner of an account by a callback
that its work is refused.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Final, final

_BYTES_PER_MB: Final = 1_000_000
_BYTES_PER_KIB: Final = 1024
# An idle daemon takes 44 MB of the 200 MB of the smallest machine. Copies of
# what is buffered, in the parser, in frames and in the allocator, take up to
# twice as much again, so a quarter of the memory can be buffered.
_BUFFERED_SHARE: Final = 0.25
# Above this part of the budget, nothing is read ahead and no request runs
# ahead of its turn. The rest is for the callers whose turn it is.
_SHORT_SHARE: Final = 0.75
# A single request within the limits takes less: the start that is kept of its
# body, two full buffers and an answer.
MIN_BUDGET_BYTES: Final = 4 * 1024 * 1024
# Refusing an account with less frees little and costs a caller its request, so
# it helps only if many accounts of that size hold much together.
MIN_REFUSED_BYTES: Final = 64 * 1024
_MEMORY_FILE: Final = '/proc/meminfo'
# Assumed if the machine does not say how much memory it has.
_ASSUMED_MB: Final = 512


@final
class MemoryBudget:
    """Bytes that all connections of the process may buffer together.

    Above the limit, the account that has buffered most is refused, then the
    next, until the rest fits. Small accounts are left alone while what exceeds
    the budget is held by accounts that can't be refused.
    """

    __slots__ = (
        '_is_refusing',
        '_refusable',
        '_short_bytes',
        'limit_bytes',
        'paused_count',
        'refused_count',
        'used_bytes',
    )

    def __init__(self, limit_bytes: int) -> None:
        """Allow ``limit_bytes``, at least ``MIN_BUDGET_BYTES``."""
        self.limit_bytes = max(limit_bytes, MIN_BUDGET_BYTES)
        self._short_bytes = int(self.limit_bytes * _SHORT_SHARE)
        self.used_bytes = 0
        self.refused_count = 0
        # Connections of callers from which nothing is read.
        self.paused_count = 0
        self._refusable: set[MemoryAccount] = set()
        self._is_refusing = False

    @property
    def is_short(self) -> bool:
        """Whether nothing may be read ahead any more."""
        return self.used_bytes > self._short_bytes

    def open_account(
        self,
        refuse: Callable[[], None] | None = None,
        limit_bytes: int = 0,
    ) -> 'MemoryAccount':
        """Open an account, which reads ahead up to ``limit_bytes``.

        ``refuse`` is called if its work must end, which ``allow_refusal``
        permits. What is freed then must no longer be counted.
        """
        return MemoryAccount(self, refuse, limit_bytes)

    def change(self, size_bytes: int) -> None:
        """Add what an account has buffered, negative for what it has freed.

        Only an addition refuses: each refusal subtracts, and the garbage
        collector does so at any time.
        """
        self.used_bytes += size_bytes
        if size_bytes > 0 and not self._is_refusing:
            self._refuse_largest()

    def note_refusable(
        self, account: 'MemoryAccount', *, is_refusable: bool
    ) -> None:
        """Note whether the work of an account may be refused now."""
        if is_refusable:
            self._refusable.add(account)
        else:
            self._refusable.discard(account)

    def _refuse_largest(self) -> None:
        # What owners add while they are refused is seen by this loop. Nested
        # refusals would exceed the recursion limit.
        self._is_refusing = True
        try:
            while self.used_bytes > self.limit_bytes and self._refusable:
                account = max(self._refusable, key=_used_bytes)
                if self._is_worthless(account):
                    return
                self.refused_count += 1
                account.forbid_refusal()
                if account.refuse is not None:
                    account.refuse()
        finally:
            self._is_refusing = False

    def _is_worthless(self, largest: 'MemoryAccount') -> bool:
        """Return whether refusals free too little to be worth their cost.

        What small accounts hold together stays within the part of the budget
        that nothing may be read ahead into.
        """
        if largest.used_bytes >= MIN_REFUSED_BYTES:
            return False
        held_bytes = sum(account.used_bytes for account in self._refusable)
        return held_bytes <= self.limit_bytes - self._short_bytes


@final
class MemoryAccount:
    """Bytes that are buffered for one connection or call."""

    __slots__ = ('_budget', '_limit_bytes', 'is_closed', 'refuse', 'used_bytes')

    def __init__(
        self,
        budget: MemoryBudget,
        refuse: Callable[[], None] | None,
        limit_bytes: int,
    ) -> None:
        """Start with nothing buffered; see ``MemoryBudget.open_account``."""
        self._budget = budget
        self._limit_bytes = limit_bytes
        self.refuse = refuse
        self.used_bytes = 0
        self.is_closed = False

    @property
    def is_short(self) -> bool:
        """Whether the budget of the process is short."""
        return self._budget.is_short

    @property
    def may_read_ahead(self) -> bool:
        """Whether more may be buffered than the request in turn needs."""
        return self.used_bytes <= self._limit_bytes and not self.is_short

    def add(self, size_bytes: int) -> None:
        """Count bytes that are buffered from now on.

        The account itself may be refused before this returns.
        """
        if not self.is_closed:
            self.used_bytes += size_bytes
            self._budget.change(size_bytes)

    def subtract(self, size_bytes: int) -> None:
        """Stop counting bytes that were added."""
        if not self.is_closed:
            self.used_bytes -= size_bytes
            self._budget.change(-size_bytes)

    def note_paused(self, count: int) -> None:
        """Count a connection that is not read, or with -1 one that is again."""
        self._budget.paused_count += count

    def allow_refusal(self) -> None:
        """Permit that the work is refused."""
        if not self.is_closed:
            self._budget.note_refusable(self, is_refusable=True)

    def forbid_refusal(self) -> None:
        """Forbid that the work is refused."""
        self._budget.note_refusable(self, is_refusable=False)

    def close(self) -> None:
        """Stop counting for this account."""
        self.forbid_refusal()
        self.subtract(self.used_bytes)
        self.is_closed = True


def _used_bytes(account: MemoryAccount) -> int:
    return account.used_bytes


def unlimited_budget() -> MemoryBudget:
    """Return a budget that is never short, for tools and tests."""
    return MemoryBudget(1 << 62)


def budget_bytes(machine_mb: float) -> int:
    """Return the budget for a machine with ``machine_mb`` MB of memory.

    If it is 0, the memory that the operating system states counts.

    >>> budget_bytes(200)
    50000000
    """
    return int(
        (machine_mb or _read_machine_mb()) * _BYTES_PER_MB * _BUFFERED_SHARE
    )


def _read_machine_mb() -> float:
    try:
        text = Path(_MEMORY_FILE).read_text(encoding='ascii')
    except OSError:
        return _ASSUMED_MB
    for line in text.splitlines():
        if line.startswith('MemTotal:'):
            return int(line.split()[1]) * _BYTES_PER_KIB / _BYTES_PER_MB
    return _ASSUMED_MB
