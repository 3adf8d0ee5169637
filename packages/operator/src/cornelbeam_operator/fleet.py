"""Revisions in force at the members of the fleet, and waiting for one."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final, final

from cornelbeam_core.errors import CornelbeamError

from cornelbeam_operator.admin import AdminClient
from cornelbeam_operator.writing import Sleep

# By design, a change may take up to 9 s. Polling twice a second adds little to
# that time and little load on the polled daemons.
POLL_PERIOD_S: Final = 0.5
# State of members that no longer belong to the fleet.
_DEAD_STATE: Final = 'dead'


@final
@dataclass(frozen=True, slots=True)
class FleetView:
    """Revisions in force by member, and daemons that did not answer.

    ``unreachable`` maps the address of a daemon to the reason.
    """

    revisions: Mapping[str, int]
    unreachable: Mapping[str, str]

    def lagging(self, revision: int) -> Iterator[str]:
        """Yield a message per member or daemon not known to be up to date."""
        for name, reached in sorted(self.revisions.items()):
            if reached < revision:
                yield f'{name} is at revision {reached}'
        for address, reason in sorted(self.unreachable.items()):
            yield f'{address} does not answer: {reason}'


async def read_fleet(
    admin: AdminClient,
    addresses: Iterable[str],
) -> FleetView:
    """Ask the daemon at each address for the members it knows.

    If several daemons know a member, the highest revision counts, because a
    daemon's knowledge of other members may be outdated.
    """
    revisions: dict[str, int] = {}
    unreachable: dict[str, str] = {}
    for address in addresses:
        try:
            answer = await admin.get(address, '/fleet')
        except CornelbeamError as error:
            unreachable[address] = error.detail
            continue
        for name, revision in _members_of(answer):
            revisions[name] = max(revision, revisions.get(name, 0))
    return FleetView(revisions, unreachable)


async def wait_for_revision(
    admin: AdminClient,
    addresses: tuple[str, ...],
    revision: int,
    timeout_s: float,
    now: Callable[[], float],
    sleep: Sleep,
) -> FleetView:
    """Poll until a revision is in force everywhere or ``timeout_s`` elapses.

    Return the last view; its ``lagging`` yields nothing on success. The view
    is read at least once.
    """
    deadline_s = now() + timeout_s
    while True:  # noqa: WPS457 - ends at the deadline
        view = await read_fleet(admin, addresses)
        if not any(view.lagging(revision)) or now() >= deadline_s:
            return view
        await sleep(POLL_PERIOD_S)


def _members_of(answer: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    for member in answer.get('members', ()):
        if member.get('state') != _DEAD_STATE:
            yield str(member.get('name')), int(member.get('revision', 0))
