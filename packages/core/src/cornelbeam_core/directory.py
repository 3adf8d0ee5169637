"""Members of the services that a daemon calls, and its other peers."""

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

# A caller needs no more targets of a service than these to balance load. It
# also bounds a reply, and with it the memory of a daemon.
VIEW_LIMIT: Final = 64
# Time until another daemon is asked when one did not answer.
RETRY_PERIOD_S: Final = 1.0
# Introducers to which a service's members make themselves known.
CONTACT_COUNT: Final = 3
# Members per service that an introducer keeps: 960 services at 8 members of
# about 400 bytes each take 3 MB.
CONTACTS_PER_SERVICE: Final = 8


@final
@dataclass(frozen=True, slots=True)
class RequestView:
    """Ask the daemon at ``address`` for the members of a service.

    ``digest`` is the one that came with the last reply, or empty. If there
    is no reply, ``ServiceDirectory.on_failure`` must be told.
    """

    service: str
    address: str
    digest: str


@final
@dataclass(frozen=True, slots=True)
class ViewAnswer:
    """Reply to a request for a view; ``members`` is empty if unchanged.

    The digest is empty in the answer of an introducer, which knows only some
    members.
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
    """Views of the called services.

    ``view_period_ms`` is the time between two refreshes of one view. Members
    of the daemon's own service come from ``Membership``.
    """

    __slots__ = ('_period_s', '_views')

    def __init__(self, services: Iterable[str], view_period_ms: int) -> None:
        """Start with empty views that are due at once."""
        self._period_s = view_period_ms / 1000
        self._views = {service: _View() for service in services}

    @property
    def services(self) -> tuple[str, ...]:
        """Services of which a view is kept."""
        return tuple(self._views)

    def add_service(self, service: str) -> None:
        """Keep a view of one more service, due at once."""
        self._views.setdefault(service, _View())

    def members(self, service: str) -> Iterator[MemberUpdate]:
        """Give the members of a service that are not known to be dead."""
        view = self._views.get(service)
        return iter(()) if view is None else iter(view.members.values())

    def targets(self, service: str) -> Iterator[Target]:
        """Give the targets that accept new work as far as known."""
        return (
            held.target
            for held in self.members(service)
            if held.state is not MemberState.LEAVING
        )

    def tick(
        self,
        introducers: Sequence[str],
        now_s: float,
        rng: random.Random,
    ) -> tuple[RequestView, ...]:
        """Ask for each view that is due.

        One random member of the service is asked. After a failure, and while
        no member is known, an introducer that keeps contacts of the service
        is asked instead, in case all known members were replaced.
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
        """Take a reply; tell whether the view changed.

        The answer of a member lists who is present: those it does not name
        are dropped. What is held is never set back to older news.
        """
        view = self._views.get(answer.service)
        if view is None:
            return False
        view.is_failed = False
        if answer.is_unchanged:
            return False
        if not answer.digest:
            return any([self.on_update(each) for each in answer.members])
        fresh: dict[str, MemberUpdate] = {}
        for update in answer.members[:VIEW_LIMIT]:
            held = view.members.get(update.target.name)
            if update.target.service != answer.service:
                continue
            if held is not None and held.supersedes(update):
                fresh[held.target.name] = held
            elif update.is_present:
                fresh[update.target.name] = update
        if not fresh:
            return False
        is_changed = fresh != view.members
        view.members = fresh
        view.digest = answer.digest
        return is_changed

    def on_failure(self, service: str, now_s: float) -> None:
        """Note that a request for a view was not answered."""
        view = self._views.get(service)
        if view is not None:
            view.is_failed = True
            view.next_request_s = now_s + RETRY_PERIOD_S

    def on_update(self, update: MemberUpdate) -> bool:
        """Take news about one member, as its hello or its refusal gives it.

        A restarted instance is so replaced at once. Returns whether the view
        changed.
        """
        view = self._views.get(update.target.service)
        if view is None:
            return False
        name = update.target.name
        held = view.members.get(name)
        if held is not None and not update.supersedes(held):
            return False
        if update.is_present:
            if held is None and len(view.members) >= VIEW_LIMIT:
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
        # The jitter keeps daemons that started together from asking together.
        view.next_request_s = now_s + self._period_s * rng.uniform(0.75, 1.25)
        members = [each.target.address for each in view.members.values()]
        contacts = choose_contacts(service, introducers)
        if contacts and (view.is_failed or not members):
            # The next request tries a member again, should this one fail too.
            view.is_failed = False
            yield RequestView(service, rng.choice(contacts), '')
        elif members:
            yield RequestView(service, rng.choice(members), view.digest)


# Time in seconds at which a member was heard of, and its update, by name.
_Contacts = dict[str, tuple[float, MemberUpdate]]


@final
class ContactTable:
    """Members of any service that made themselves known to an introducer.

    A contact that was not heard of for ``keep_s`` seconds is dropped.
    """

    __slots__ = ('_contacts', '_keep_s')

    def __init__(self, keep_s: float) -> None:
        """Start without contacts."""
        self._keep_s = keep_s
        self._contacts: dict[str, _Contacts] = {}

    def note(self, update: MemberUpdate, now_s: float) -> None:
        """Note that a member was heard of; the oldest contact makes room."""
        contacts = self._contacts.setdefault(update.target.service, {})
        name = update.target.name
        held = contacts.pop(name, None)
        if held is not None and held[1].supersedes(update):
            update = held[1]
        if update.is_present:
            contacts[name] = (now_s, update)
        if len(contacts) > CONTACTS_PER_SERVICE:
            contacts.pop(next(iter(contacts)))

    def answer(self, service: str, now_s: float) -> ViewAnswer:
        """Answer a request for a service by its contacts."""
        contacts = self._contacts.get(service, {})
        members = tuple(
            update
            for heard_at_s, update in contacts.values()
            if now_s < heard_at_s + self._keep_s
        )
        return ViewAnswer(service, False, '', members)

    def expire(self, now_s: float) -> None:
        """Drop old contacts and services without any."""
        for service, contacts in tuple(self._contacts.items()):
            for name, (heard_at_s, _) in tuple(contacts.items()):
                if now_s >= heard_at_s + self._keep_s:
                    contacts.pop(name)
            if not contacts:
                self._contacts.pop(service)


def choose_contacts(
    service: str,
    introducers: Iterable[str],
    count: int = CONTACT_COUNT,
) -> tuple[str, ...]:
    """Choose the introducers, of all failure domains, that know a service.

    Its members make themselves known to one of them now and then, and callers
    ask them, so that no introducer has to know all services.
    """
    return rank_rendezvous(service, introducers)[:count]


def is_contact(service: str, name: str, members: Iterable[str]) -> bool:
    """Tell whether a member is one of those that introducers need to know.

    An introducer keeps a few contacts per service, so the other members need
    not announce themselves again and again.
    """
    names = {name, *members}
    return name in rank_rendezvous(service, names)[:CONTACTS_PER_SERVICE]


def answer_caller(
    service: str,
    digest: str,
    members: Iterable[MemberUpdate],
    asker: str,
) -> ViewAnswer:
    """Answer a caller's request for the members of this daemon's service.

    Above ``VIEW_LIMIT`` members each asker, given by its name, gets a part
    that changes little when members come and go.
    """
    present = {each.target.name: each for each in members if each.is_present}
    current = digest_members(present.values())
    if digest == current:
        return ViewAnswer(service, True, current, ())
    chosen = rank_rendezvous(asker, present)[:VIEW_LIMIT]
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
    """Answer the same request of another member of the service.

    Above ``VIEW_LIMIT`` members it gets a random part, so that it learns of
    all of them in a few requests.
    """
    present = [each for each in members if each.is_present]
    current = digest_members(present)
    if digest == current:
        return ViewAnswer(service, True, current, ())
    chosen = rng.sample(present, min(VIEW_LIMIT, len(present)))
    return ViewAnswer(service, False, current, tuple(chosen))
