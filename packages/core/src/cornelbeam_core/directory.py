"""Discovery of the members of the services that a daemon calls."""

import math
import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, final

from cornelbeam_core.members import (
    MemberState,
    MemberUpdate,
    digest_members,
)
from cornelbeam_core.relays import rank_rendezvous
from cornelbeam_core.targets import Target

# Maximum number of members per view: a caller needs no more targets to balance
# load. It also bounds the size of a reply and the memory of a daemon.
VIEW_LIMIT: Final = 64
# Delay before another daemon is asked after a failed request.
RETRY_PERIOD_S: Final = 1.0
# Introducers per service to which its members announce themselves.
CONTACT_COUNT: Final = 3
# Members per service that an introducer stores: 960 services with 8 members of
# about 400 bytes each take 3 MB.
CONTACTS_PER_SERVICE: Final = 8


@final
@dataclass(frozen=True, slots=True)
class RequestView:
    """Request the members of a service from the daemon at ``address``.

    ``digest`` is that of the last reply, or empty. If there is no reply,
    ``ServiceDirectory.on_failure`` must be called.
    """

    service: str
    address: str
    digest: str


@final
@dataclass(frozen=True, slots=True)
class ViewAnswer:
    """Reply to a view request; ``members`` is empty if nothing changed.

    The digest is empty in the reply of an introducer, which knows only some
    of the members.
    """

    service: str
    is_unchanged: bool
    digest: str
    members: tuple[MemberUpdate, ...]


@final
class _View:
    __slots__ = ('digest', 'is_failed', 'members', 'next_request_s')

    def __init__(self) -> None:
        self.digest = ''
        self.is_failed = False
        self.members: dict[str, MemberUpdate] = {}
        self.next_request_s = -math.inf


@final
class ServiceDirectory:
    """Partial member lists ("views") of the services that a daemon calls.

    Each view is refreshed every ``view_period_ms``. Members of the daemon's
    own service are tracked by ``Membership`` instead.
    """

    __slots__ = ('_period_s', '_views')

    def __init__(self, services: Iterable[str], view_period_ms: int) -> None:
        """Create empty views that are due for a refresh immediately."""
        self._period_s = view_period_ms / 1000
        self._views = {service: _View() for service in services}

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that have a view."""
        return tuple(self._views)

    def add_service(self, service: str) -> None:
        """Add an empty view that is due immediately, unless one exists."""
        self._views.setdefault(service, _View())

    def members(self, service: str) -> Iterator[MemberUpdate]:
        """Iterate over the members of a service that are not known dead."""
        view = self._views.get(service)
        return iter(()) if view is None else iter(view.members.values())

    def targets(self, service: str) -> Iterator[Target]:
        """Iterate over the targets that are not known to be leaving."""
        return (
            known.target
            for known in self.members(service)
            if known.state is not MemberState.LEAVING
        )

    def tick(
        self,
        introducers: Sequence[str],
        now_s: float,
        rng: random.Random,
    ) -> tuple[RequestView, ...]:
        """Return a request for each view that is due for a refresh.

        The request goes to a random member of the service. After a failure,
        or if no member is known, it goes to an introducer that stores contacts
        of the service, in case all known members were replaced.
        """
        return tuple(
            request
            for service, view in self._views.items()
            if now_s >= view.next_request_s
            for request in self._plan_request(
                service,
                view,
                introducers,
                now_s,
                rng,
            )
        )

    def on_answer(self, answer: ViewAnswer) -> bool:
        """Apply a reply and return whether the view changed.

        A reply from a member replaces the view: members that it does not list
        are dropped. A known entry is never replaced by an older one.
        """
        view = self._views.get(answer.service)
        if view is None:
            return False
        view.is_failed = False
        if answer.is_unchanged:
            return False
        if not answer.digest:
            return any([self.on_update(each) for each in answer.members])
        updated: dict[str, MemberUpdate] = {}
        for update in answer.members[:VIEW_LIMIT]:
            known = view.members.get(update.target.name)
            if update.target.service != answer.service:
                continue
            if known is not None and known.supersedes(update):
                updated[known.target.name] = known
            elif update.is_present:
                updated[update.target.name] = update
        if not updated:
            return False
        is_changed = updated != view.members
        view.members = updated
        view.digest = answer.digest
        return is_changed

    def on_failure(self, service: str, now_s: float) -> None:
        """Schedule a retry after a view request that was not answered."""
        view = self._views.get(service)
        if view is not None:
            view.is_failed = True
            view.next_request_s = now_s + RETRY_PERIOD_S

    def on_update(self, update: MemberUpdate) -> bool:
        """Apply the update that a member sent in a hello or a refusal.

        This replaces the entry of a restarted instance immediately. Return
        whether the view changed.
        """
        view = self._views.get(update.target.service)
        if view is None:
            return False
        name = update.target.name
        known = view.members.get(name)
        if known is not None and not update.supersedes(known):
            return False
        if update.is_present:
            if known is None and len(view.members) >= VIEW_LIMIT:
                return False
            view.members[name] = update
            return True
        return view.members.pop(name, None) is not None

    def _plan_request(
        self,
        service: str,
        view: _View,
        introducers: Sequence[str],
        now_s: float,
        rng: random.Random,
    ) -> Iterator[RequestView]:
        # The jitter spreads out the requests of daemons that started together.
        view.next_request_s = now_s + self._period_s * rng.uniform(0.75, 1.25)
        members = [each.target.address for each in view.members.values()]
        contacts = choose_contacts(service, introducers)
        if contacts and (view.is_failed or not members):
            # If this request fails too, the next one goes to a member again.
            view.is_failed = False
            yield RequestView(service, rng.choice(contacts), '')
        elif members:
            yield RequestView(service, rng.choice(members), view.digest)


# Time in seconds of the last announcement and its update, by member name.
_Contacts = dict[str, tuple[float, MemberUpdate]]


@final
class ContactTable:
    """Members of all services that announced themselves to an introducer.

    A contact that has not announced itself for ``ttl_s`` seconds is dropped.
    """

    __slots__ = ('_contacts', '_ttl_s')

    def __init__(self, ttl_s: float) -> None:
        """Create an empty table."""
        self._ttl_s = ttl_s
        self._contacts: dict[str, _Contacts] = {}

    def note(self, update: MemberUpdate, now_s: float) -> None:
        """Record an announcement; evict the oldest contact if it is full."""
        contacts = self._contacts.setdefault(update.target.service, {})
        name = update.target.name
        known = contacts.pop(name, None)
        if known is not None and known[1].supersedes(update):
            update = known[1]
        if update.is_present:
            contacts[name] = (now_s, update)
        if len(contacts) > CONTACTS_PER_SERVICE:
            contacts.pop(next(iter(contacts)))

    def answer(self, service: str, now_s: float) -> ViewAnswer:
        """Answer a view request with the contacts of the service."""
        contacts = self._contacts.get(service, {})
        members = tuple(
            update
            for last_seen_s, update in contacts.values()
            if now_s < last_seen_s + self._ttl_s
        )
        return ViewAnswer(service, False, '', members)

    def expire(self, now_s: float) -> None:
        """Drop expired contacts and services without contacts."""
        for service, contacts in tuple(self._contacts.items()):
            for name, (last_seen_s, _) in tuple(contacts.items()):
                if now_s >= last_seen_s + self._ttl_s:
                    contacts.pop(name)
            if not contacts:
                self._contacts.pop(service)


def choose_contacts(
    service: str,
    introducers: Iterable[str],
    count: int = CONTACT_COUNT,
) -> tuple[str, ...]:
    """Choose a service's introducers among those of all failure domains.

    Members of the service periodically announce themselves to one of them, and
    callers query them, so that no introducer has to know all services.
    """
    return rank_rendezvous(service, introducers)[:count]


def is_contact(service: str, name: str, members: Iterable[str]) -> bool:
    """Return whether a member has to announce itself to introducers.

    An introducer stores only a few contacts per service, so the other members
    need not announce themselves repeatedly.
    """
    names = {name, *members}
    return name in rank_rendezvous(service, names)[:CONTACTS_PER_SERVICE]


def answer_caller(
    service: str,
    digest: str,
    members: Iterable[MemberUpdate],
    requester: str,
) -> ViewAnswer:
    """Answer a caller's view request for this daemon's service.

    With more than ``VIEW_LIMIT`` members, each requester, identified by name,
    gets a subset that changes little when members join or leave.
    """
    present = {each.target.name: each for each in members if each.is_present}
    current = digest_members(present.values())
    if digest == current:
        return ViewAnswer(service, True, current, ())
    chosen = rank_rendezvous(requester, present)[:VIEW_LIMIT]
    return ViewAnswer(
        service,
        False,
        current,
        tuple(present[name] for name in chosen),
    )


def answer_member(
    service: str,
    digest: str,
    members: Iterable[MemberUpdate],
    rng: random.Random,
) -> ViewAnswer:
    """Answer a view request from another member of the same service.

    With more than ``VIEW_LIMIT`` members it gets a random subset, so that it
    learns of all members within a few requests.
    """
    present = [each for each in members if each.is_present]
    current = digest_members(present)
    if digest == current:
        return ViewAnswer(service, True, current, ())
    chosen = rng.sample(present, min(VIEW_LIMIT, len(present)))
    return ViewAnswer(service, False, current, tuple(chosen))
