"""Which revision is in force where, and waiting until it is everywhere."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final, final

from cornelbeam_core.errors import CornelbeamError

from cornelbeam_operator.admin import AdminClient
from cornelbeam_operator.writing import Sleep

# The design allows a change 9 s; polling twice a second adds little to that
# and little load to the daemons asked.
POLL_PERIOD_S: Final = 0.5
# Such a member takes no part in the fleet any more.
_GONE_STATE: Final = 'dead'


@final
@dataclass(frozen=True, slots=True)
class FleetView:
    """Revision in force by member, and daemons that did not answer."""

    revisions: Mapping[str, int]
    silent: Mapping[str, str]

    def lagging(self, revision: int) -> Iterator[str]:
        """Say who has not reached a revision."""
        for name, reached in sorted(self.revisions.items()):
            if reached < revision:
                yield f'{name} is at revision {reached}'
        for address, reason in sorted(self.silent.items()):
            yield f'{address} does not answer: {reason}'


async def read_fleet(
    admin: AdminClient,
    addresses: Iterable[str],
) -> FleetView:
    """Ask each address for the members it knows.

    A member that several daemons know counts with the highest revision,
    because what a daemon knows of others may be late.
    """
    revisions: dict[str, int] = {}
    silent: dict[str, str] = {}
    for address in addresses:
        try:
            answer = await admin.get(address, '/fleet')
        except CornelbeamError as error:
            silent[address] = error.detail
            continue
        for name, revision in _members_of(answer):
            revisions[name] = max(revision, revisions.get(name, 0))
    return FleetView(revisions, silent)


async def wait_for_revision(
    admin: AdminClient,
    addresses: tuple[str, ...],
    revision: int,
    timeout_s: float,
    now: Callable[[], float],
    sleep: Sleep,
) -> FleetView:
    """Poll until a revision is in force everywhere or the time is over.

    Gives the last view; its ``lagging`` is empty on success. The view is
    read once at least.
    """
    deadline_s = now() + timeout_s
    while True:  # noqa: WPS457 - ends at the deadline
        view = await read_fleet(admin, addresses)
        if not any(view.lagging(revision)) or now() >= deadline_s:
            return view
        await sleep(POLL_PERIOD_S)


def _members_of(answer: Mapping[str, Any]) -> Iterator[tuple[str, int]]:
    for member in answer.get('members', ()):
        if member.get('state') != _GONE_STATE:
            yield str(member.get('name')), int(member.get('revision', 0))
