"""States of the attempt model and the invariants that hold in each."""

import enum
from typing import Any, Final, NamedTuple, TypeVar, final

from cornelbeam_core.errors import RunState

# Incarnations by process: the first instance and its replacement.
INCARNATIONS: Final = (1, 2)

Item = TypeVar('Item')


@final
class Phase(enum.IntEnum):
    """Phase of the request at the caller side."""

    SENDING = 0
    WAITING = 1
    ASKING = 2
    TOLD = 3


class Frame(NamedTuple):
    """An attempt, or an outcome query that forbids one, in flight.

    ``remaining`` is the time until the deadline when the frame was sent.
    ``is_repeated`` marks the second copy of an attempt delivered twice.
    """

    attempt: int
    process: int
    incarnation: int
    remaining: int
    is_query: bool = False
    is_repeated: bool = False


class Reply(NamedTuple):
    """The reply of a process to an attempt or an outcome query."""

    attempt: int
    is_query: bool
    run_state: RunState
    code: str


class AttemptState(NamedTuple):
    """One state of the model.

    Attempts appear as pairs of attempt and process: ``accepted`` are those
    not yet with the backend server, ``running`` are with the backend server,
    and ``runs`` are all that ever started. ``meant`` holds the incarnation
    that each attempt was sent for. ``told`` is the run state reported to the
    caller.

    ``ledgers`` refers to snapshots by number. The second ledger is None until
    the instance is replaced. The first process may go on after that, like one
    that was paused, so it keeps its ledger.
    """

    now: int = 0
    ledgers: tuple[int | None, int | None] = (0, None)
    frames: tuple[Frame, ...] = ()
    replies: tuple[Reply, ...] = ()
    accepted: tuple[tuple[int, int], ...] = ()
    running: tuple[tuple[int, int], ...] = ()
    runs: tuple[tuple[int, int], ...] = ()
    meant: tuple[int, ...] = ()
    phase: Phase = Phase.SENDING
    told: RunState | None = None


def with_ledger(state: AttemptState, process: int, ledger: int) -> AttemptState:
    """Return the state with the ledger of a process replaced."""
    first, second = state.ledgers
    ledgers = (ledger, second) if process == 0 else (first, ledger)
    return state._replace(ledgers=ledgers)


def with_reply(state: AttemptState, reply: Reply) -> AttemptState:
    """Return the state with one more reply in flight."""
    # A reply that the caller side will not read would only add states.
    is_read = (
        state.phase in {Phase.WAITING, Phase.ASKING}
        and reply.attempt == len(state.meant) - 1
    )
    if not is_read or reply in state.replies:
        return state
    return state._replace(replies=insert_sorted(state.replies, reply))


def insert_sorted(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    """Return sorted items with one added, so equal states compare equal."""
    return tuple(sorted((*items, item)))  # type: ignore[type-var]


def remove_once(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    """Return the items without one occurrence of an item."""
    index = items.index(item)
    return (*items[:index], *items[index + 1 :])


def is_at_most_once(fields: dict[str, Any]) -> bool:
    """Return whether the request started at most once."""
    return len(fields['runs']) <= 1


def is_not_run_true(fields: dict[str, Any]) -> bool:
    """Return whether a request reported as not run has not run."""
    return fields['told'] is not RunState.NOT_RUN or not fields['runs']


def is_ran_true(fields: dict[str, Any]) -> bool:
    """Return whether a request reported as run has run."""
    return fields['told'] is not RunState.RAN or bool(fields['runs'])


def has_retry_evidence(fields: dict[str, Any]) -> bool:
    """Return whether no attempt but the last has run.

    Every other attempt was followed by a retry, which needs evidence that the
    attempt did not run and never will.
    """
    last = len(fields['meant']) - 1
    return all(attempt >= last for attempt, _ in fields['runs'])


def is_fenced(fields: dict[str, Any]) -> bool:
    """Return whether each attempt ran only in its intended incarnation."""
    return all(
        fields['meant'][attempt] == INCARNATIONS[process]
        for attempt, process in fields['runs']
    )
