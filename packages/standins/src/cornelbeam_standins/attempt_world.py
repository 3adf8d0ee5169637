"""States of the specification of attempts, and what must hold in each."""

import enum
from typing import Any, Final, NamedTuple, TypeVar, final

from cornelbeam_core.errors import RunState

# Incarnation by process: the first run, and the one that replaced it.
INCARNATIONS: Final = (1, 2)

Item = TypeVar('Item')


@final
class Phase(enum.IntEnum):
    """What the caller side is doing."""

    SENDING = 0
    WAITING = 1
    ASKING = 2
    TOLD = 3


class Frame(NamedTuple):
    """An attempt or a forbidding outcome query on its way to a process.

    ``remaining`` is the time left when it was sent.
    """

    attempt: int
    process: int
    incarnation: int
    remaining: int
    is_query: bool = False
    is_repeated: bool = False


class Reply(NamedTuple):
    """What a process sent back about an attempt."""

    attempt: int
    is_query: bool
    run_state: RunState
    code: str


class World(NamedTuple):
    """One state of the specification; ledgers are given by number.

    ``handed`` are the attempts in a process before the backend server got
    them, ``running`` those after, ``runs`` all that ever started, each as
    pairs of attempt and process. ``meant`` is the incarnation that each
    attempt was sent to. The second ledger is None until the instance is
    replaced; the first process may live on as one that was paused.
    """

    now: int = 0
    ledgers: tuple[int | None, int | None] = (0, None)
    frames: tuple[Frame, ...] = ()
    replies: tuple[Reply, ...] = ()
    handed: tuple[tuple[int, int], ...] = ()
    running: tuple[tuple[int, int], ...] = ()
    runs: tuple[tuple[int, int], ...] = ()
    meant: tuple[int, ...] = ()
    phase: Phase = Phase.SENDING
    told: RunState | None = None


def with_ledger(world: World, process: int, ledger: int) -> World:
    """Give the state with another ledger in a process."""
    first, second = world.ledgers
    ledgers = (ledger, second) if process == 0 else (first, ledger)
    return world._replace(ledgers=ledgers)


def with_answer(world: World, reply: Reply) -> World:
    """Give the state with one more reply in flight."""
    # Replies that nobody will read would only multiply the states.
    is_read = (
        world.phase in {Phase.WAITING, Phase.ASKING}
        and reply.attempt == len(world.meant) - 1
    )
    if not is_read or reply in world.replies:
        return world
    return world._replace(replies=with_item(world.replies, reply))


def with_item(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    """Add an item; the order is kept, so that equal states are equal."""
    return tuple(sorted((*items, item)))  # type: ignore[type-var]


def without(items: tuple[Item, ...], item: Item) -> tuple[Item, ...]:
    """Remove an item once."""
    index = items.index(item)
    return (*items[:index], *items[index + 1 :])


def is_at_most_once(fields: dict[str, Any]) -> bool:
    """Tell whether the request started at most once."""
    return len(fields['runs']) <= 1


def is_not_run_true(fields: dict[str, Any]) -> bool:
    """Tell whether a request told as not run has indeed not run."""
    return fields['told'] is not RunState.NOT_RUN or not fields['runs']


def is_ran_true(fields: dict[str, Any]) -> bool:
    """Tell whether a request told as run has indeed run."""
    return fields['told'] is not RunState.RAN or bool(fields['runs'])


def has_retry_evidence(fields: dict[str, Any]) -> bool:
    """Tell whether all attempts but the last have not run."""
    last = len(fields['meant']) - 1
    return all(attempt >= last for attempt, _ in fields['runs'])


def is_fenced(fields: dict[str, Any]) -> bool:
    """Tell whether each attempt ran in the incarnation it was meant for."""
    return all(
        fields['meant'][attempt] == INCARNATIONS[process]
        for attempt, process in fields['runs']
    )
