"""The other daemons: membership of the own service, views, introducers."""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine, Iterable, Iterator
from typing import Final, final

import anyio
from cornelbeam_core.configuration import ConfigurationState
from cornelbeam_core.directory import (
    ContactTable,
    RequestView,
    ServiceDirectory,
    ViewAnswer,
    answer_caller,
    answer_member,
    choose_contacts,
    is_contact,
)
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.members import MemberState, MemberUpdate
from cornelbeam_core.membership import Membership
from cornelbeam_core.membership_actions import (
    MemberChanged,
    MembershipAction,
    SelfReplaced,
    SendIndirectPing,
    SendPing,
)
from cornelbeam_core.targets import Target
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages

from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.convert import (
    member_to_wire,
    members_from_wire,
    view_from_wire,
    view_to_wire,
)
from cornelbeam_daemon.introducer_tracker import IntroducerTracker
from cornelbeam_daemon.logs import get_log

_log = get_log('member')
TICK_S: Final = 0.1
# With 15,000 daemons and 57 introducers, each period of 10 s and each member
# announcing itself cost an introducer 27 KB/s where 5 KB/s are allowed.
CONTACT_PERIOD_S: Final = 30.0
# An introducer that did not answer may just be starting.
CONTACT_RETRY_S: Final = 2.0
# A contact is dropped after three announcements in a row are missing.
CONTACT_KEEP_S: Final = 120.0
# Share of the refreshes of the own service that ask a contact. Only two
# halves of a service that lost each other need it, and pings of dead members
# find those as well; 0.25 cost an introducer 10 KB/s at the design size.
CONTACT_SHARE: Final = 0.05


@final
class FleetSync:
    """Runs membership, views and introducers over the messenger."""

    __slots__ = (
        '_config',
        '_is_announced',
        '_loop',
        '_messenger',
        '_next_contact_s',
        '_next_own_view_s',
        '_rng',
        '_tasks',
        '_view_period_s',
        'contacts',
        'directory',
        'introducers',
        'is_changed',
        'membership',
        'on_revision',
        'replaced_by',
        'revisions',
    )

    def __init__(
        self,
        membership: Membership,
        directory: ServiceDirectory,
        config: ConfigurationState,
        messenger: Messenger,
        introducers: IntroducerTracker,
        view_period_ms: int,
        rng: random.Random,
    ) -> None:
        """Start alone; others come by way of the introducers."""
        self.membership = membership
        self.directory = directory
        self.contacts = ContactTable(CONTACT_KEEP_S)
        self.is_changed = asyncio.Event()
        self.replaced_by = 0
        self.revisions: dict[str, int] = {}
        self.introducers = introducers
        self.on_revision = _ignore_revision
        self._config = config
        self._messenger = messenger
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[object]] = set()
        self._is_announced = False
        self._next_contact_s: float = 0
        self._next_own_view_s: float = 0
        self._view_period_s = view_period_ms / 1000

    @property
    def own(self) -> Target:
        """This daemon's target."""
        return self.membership.own.target

    def member_counts(self) -> Counter[str]:
        """Count the members of the own service by state."""
        return Counter(
            held.state.name.lower() for held in self.membership.view()
        )

    def targets(self, service: str) -> list[Target]:
        """Give the targets of a service that accept new work."""
        if service != self.own.service:
            return list(self.directory.targets(service))
        return [
            held.target
            for held in self.membership.view()
            if held.state is not MemberState.LEAVING
        ]

    def services(self) -> Iterator[str]:
        """Give the own service and those with a view."""
        yield self.own.service
        for service in self.directory.services:
            if service != self.own.service:
                yield service

    def peers(self) -> list[str]:
        """Give the addresses to which configuration is pushed."""
        known = {held.target.address for held in self.membership.members()}
        for service in self.directory.services:
            known.update(
                held.target.address for held in self.directory.members(service)
            )
        known.update(self.introducers.known())
        known.discard(self.own.address)
        return sorted(known)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            now_s = self._loop.time()
            self._tick(now_s)
            await anyio.sleep(TICK_S)

    def announce(self) -> None:
        """Tell all members at once what this daemon says about itself."""
        for held in tuple(self.membership.members()):
            target = held.target
            updates = self.membership.take_updates(target.name)
            self._spawn(
                SendPing(target.name, target.address, updates),
            )

    def answer_ping(self, stream: Stream, ping: messages.Ping) -> None:
        """Answer a ping with an ack."""
        peer = stream.connection.peer
        assert peer is not None  # noqa: S101
        updates = members_from_wire(ping.updates)
        now_s = self._loop.time()
        if ping.service_name == self.own.service:
            self._take(self.membership.on_updates(updates, now_s))
            answer = self.membership.take_updates(peer.name)
        else:
            for update in updates:
                self.contacts.note(update, now_s)
                if self.directory.on_update(update):
                    self.is_changed.set()
            answer = (self.membership.own,)
        self._note_revision(peer.name, peer.address, ping.revision)
        self._messenger.reply(stream, ack=self._ack(answer))

    def answer_indirect_ping(
        self,
        stream: Stream,
        request: messages.IndirectPing,
    ) -> None:
        """Ping a member for another daemon and pass its ack back."""
        self.start(self._ping_for(stream, request))

    def answer_view_request(
        self,
        stream: Stream,
        request: messages.ViewRequest,
    ) -> None:
        """Answer a request for the members of a service."""
        peer = stream.connection.peer
        assert peer is not None  # noqa: S101
        self._note_revision(peer.name, peer.address, request.revision)
        service = request.service_name
        if service != self.own.service:  # noqa: WPS504 - three cases
            answer = self.contacts.answer(service, self._loop.time())
        elif peer.service_name == service:
            answer = answer_member(
                service,
                request.digest,
                self.membership.view(),
                self._rng,
            )
        else:
            answer = answer_caller(
                service,
                request.digest,
                self.membership.view(),
                peer.name,
            )
        self._messenger.reply(
            stream, view_reply=view_to_wire(answer, self._config.revision)
        )

    def start(self, work: Coroutine[None, None, object]) -> None:
        """Run a short exchange beside the loop of ticks."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tick(self, now_s: float) -> None:
        self._take(self.membership.tick(now_s, self._rng))
        introducers = self.introducers.known()
        for request in self.directory.tick(introducers, now_s, self._rng):
            self.start(self._refresh_view(request))
        if now_s >= self._next_own_view_s:
            self._next_own_view_s = now_s + self._draw(self._view_period_s)
            self.start(self._refresh_own(introducers))
        if now_s >= self._next_contact_s:
            self._next_contact_s = now_s + self._draw(CONTACT_PERIOD_S)
            self.contacts.expire(now_s)
            self._announce_to_contacts(introducers)
        for address in self.introducers.tick(now_s, self._rng):
            self.start(self._check_introducer(address))

    def _announce_to_contacts(self, introducers: list[str]) -> None:
        # The first announcement is made by every member, so that callers
        # find a service that has just started.
        names = (held.target.name for held in self.membership.members())
        own = self.own
        if self._is_announced and not is_contact(own.service, own.name, names):
            return
        if not introducers:
            self._next_contact_s = self._loop.time() + CONTACT_RETRY_S
        for address in choose_contacts(own.service, introducers):
            self.start(self._announce_to(address))

    def _draw(self, period_s: float) -> float:
        return period_s * self._rng.uniform(0.75, 1.25)

    def _take(self, actions: Iterable[MembershipAction]) -> None:
        for action in actions:
            match action:
                case MemberChanged():
                    self._note_change(action)
                case SelfReplaced():
                    self.replaced_by = action.incarnation
                    self.is_changed.set()
                case _:
                    self._spawn(action)

    def _spawn(self, action: SendPing | SendIndirectPing) -> None:
        if isinstance(action, SendPing):
            self.start(self._ping(action.address, action.updates))
        else:
            self.start(self._ping_via(action))

    def _note_change(self, action: MemberChanged) -> None:
        update = action.update
        self.is_changed.set()
        _log.info(
            'member changed',
            name=update.target.name,
            state=update.state.name.lower(),
            incarnation=update.target.incarnation,
        )
        if not update.is_present:
            self.revisions.pop(update.target.name, None)

    def _ack(self, updates: Iterable[MemberUpdate]) -> messages.Ack:
        return messages.Ack(
            updates=[member_to_wire(update) for update in updates],
            revision=self._config.revision,
            name=self.own.name,
            incarnation=self.own.incarnation,
        )

    def _ping_message(
        self,
        updates: Iterable[MemberUpdate],
    ) -> messages.Ping:
        return messages.Ping(
            updates=[member_to_wire(update) for update in updates],
            revision=self._config.revision,
            service_name=self.own.service,
        )

    async def _ping(
        self,
        address: str,
        updates: Iterable[MemberUpdate],
    ) -> bool:
        """Ping a daemon; tell whether it answered."""
        try:
            frame = await self._messenger.ask(
                address,
                ping=self._ping_message(updates),
            )
        except CornelbeamError:
            # Of a member, the tick judges the missing ack.
            return False
        self._take_ack(frame, address)
        return True

    async def _ping_via(self, action: SendIndirectPing) -> None:
        try:
            frame = await self._messenger.ask(
                action.via_address,
                indirect_ping=messages.IndirectPing(
                    name=action.name,
                    address=action.address,
                ),
            )
        except CornelbeamError:
            return
        self._take_ack(frame, action.address)

    async def _ping_for(
        self,
        stream: Stream,
        request: messages.IndirectPing,
    ) -> None:
        try:
            frame = await self._messenger.ask(
                request.address,
                ping=self._ping_message(()),
            )
        except CornelbeamError:
            stream.close()
            return
        self._messenger.reply(stream, ack=frame.ack)

    async def _announce_to(self, address: str) -> None:
        if await self._ping(address, (self.membership.own,)):
            self._is_announced = True
        elif not self._is_announced:
            self._next_contact_s = self._loop.time() + CONTACT_RETRY_S

    async def _check_introducer(self, address: str) -> None:
        is_reachable = await self._ping(address, (self.membership.own,))
        self.introducers.note_check(
            address,
            self._loop.time(),
            is_reachable=is_reachable,
        )

    def _take_ack(self, frame: messages.Frame, address: str) -> None:
        ack = frame.ack
        if ack is None:
            return
        self._take(
            self.membership.on_ack(
                ack.name,
                ack.incarnation,
                members_from_wire(ack.updates),
                self._loop.time(),
            ),
        )
        self._note_revision(ack.name, address, ack.revision)

    def _note_revision(self, name: str, address: str, revision: int) -> None:
        # Callers of the service ask for views, too; only members are kept.
        if self.membership.find(name) is not None:
            self.revisions[name] = revision
        self.on_revision(address, revision)

    async def _refresh_view(self, request: RequestView) -> None:
        answer = await self._ask_view(
            request.service,
            request.address,
            request.digest,
        )
        if answer is None:
            self.directory.on_failure(request.service, self._loop.time())
        elif self.directory.on_answer(answer):
            self.is_changed.set()

    async def _refresh_own(self, introducers: list[str]) -> None:
        service = self.own.service
        members = [held.target.address for held in self.membership.members()]
        contacts = choose_contacts(service, introducers)
        # Asking a contact now and then joins two halves of a service that
        # lost each other.
        is_contact_due = not members or self._rng.random() < CONTACT_SHARE
        if contacts and is_contact_due:
            members = list(contacts)
        if not members:
            return
        address = self._rng.choice(members)
        answer = await self._ask_view(
            service,
            address,
            self.membership.digest,
        )
        if answer is not None:
            self._take(
                self.membership.on_view(
                    answer.members,
                    self._loop.time(),
                ),
            )

    async def _ask_view(
        self,
        service: str,
        address: str,
        digest: str,
    ) -> ViewAnswer | None:
        try:
            frame = await self._messenger.ask(
                address,
                view_request=messages.ViewRequest(
                    service_name=service,
                    digest=digest,
                    revision=self._config.revision,
                ),
            )
        except CornelbeamError:
            return None
        if frame.view_reply is None:
            return None
        self.on_revision(address, frame.view_reply.revision)
        return view_from_wire(frame.view_reply)


def _ignore_revision(address: str, revision: int) -> None:
    """Stand in until the configuration part is connected."""
