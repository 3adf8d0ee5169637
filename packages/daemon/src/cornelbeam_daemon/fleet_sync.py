"""Track other daemons: own service, called services and introducers."""

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
# With 15,000 daemons and 57 introducers, an announcement by each member every
# 10 s cost an introducer 27 KB/s, but its limit is 5 KB/s. The period is
# therefore longer, and only contacts repeat their announcements.
ANNOUNCE_PERIOD_S: Final = 30.0
# An introducer that does not answer may still be starting.
ANNOUNCE_RETRY_S: Final = 2.0
# A contact expires after three consecutive missed announcements.
CONTACT_EXPIRY_S: Final = 120.0
# Share of the refreshes of the own service that ask an introducer rather than
# a member. They help only to rejoin the halves of a partitioned service, which
# pings of dead members do too, so the share is small: 0.25 cost an introducer
# 10 KB/s at the design size.
INTRODUCER_QUERY_SHARE: Final = 0.05


@final
class FleetSync:
    """Runs the exchanges on membership, views and introducers."""

    __slots__ = (
        '_config',
        '_is_announced',
        '_loop',
        '_messenger',
        '_next_announcement_s',
        '_next_own_view_s',
        '_rng',
        '_tasks',
        '_view_period_s',
        'contacts',
        'directory',
        'introducers',
        'members_changed',
        'membership',
        'on_revision',
        'replaced_by_incarnation',
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
        """Start with no known members; introducers name the first ones."""
        self.membership = membership
        self.directory = directory
        self.contacts = ContactTable(CONTACT_EXPIRY_S)
        self.members_changed = asyncio.Event()
        self.replaced_by_incarnation = 0
        self.revisions: dict[str, int] = {}
        self.introducers = introducers
        self.on_revision = _ignore_revision
        self._config = config
        self._messenger = messenger
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[object]] = set()
        self._is_announced = False
        self._next_announcement_s: float = 0
        self._next_own_view_s: float = 0
        self._view_period_s = view_period_ms / 1000

    @property
    def own(self) -> Target:
        """Return this daemon's target."""
        return self.membership.own.target

    def member_counts(self) -> Counter[str]:
        """Count the members of the own service by state."""
        return Counter(
            member.state.name.lower() for member in self.membership.view()
        )

    def targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new work."""
        if service != self.own.service:
            return list(self.directory.targets(service))
        return [
            member.target
            for member in self.membership.view()
            if member.state is not MemberState.LEAVING
        ]

    def services(self) -> Iterator[str]:
        """Yield the own service and each service whose view is kept."""
        yield self.own.service
        for service in self.directory.services:
            if service != self.own.service:
                yield service

    def peers(self) -> list[str]:
        """Return the addresses to which configuration is pushed."""
        addresses = {
            member.target.address for member in self.membership.members()
        }
        for service in self.directory.services:
            addresses.update(
                member.target.address
                for member in self.directory.members(service)
            )
        addresses.update(self.introducers.addresses())
        addresses.discard(self.own.address)
        return sorted(addresses)

    async def run(self) -> None:
        """Run the periodic work until cancelled."""
        while True:
            now_s = self._loop.time()
            self._tick(now_s)
            await anyio.sleep(TICK_S)

    def announce(self) -> None:
        """Ping all members now, with the current state of this daemon."""
        for member in tuple(self.membership.members()):
            target = member.target
            updates = self.membership.take_updates(target.name)
            self._start_ping(
                SendPing(target.name, target.address, updates),
            )

    def answer_ping(self, stream: Stream, ping: messages.Ping) -> None:
        """Answer a ping with an ack."""
        peer = stream.connection.peer
        assert peer is not None  # noqa: S101
        updates = members_from_wire(ping.updates)
        now_s = self._loop.time()
        if ping.service_name == self.own.service:
            self._run_actions(self.membership.on_updates(updates, now_s))
            answer = self.membership.take_updates(peer.name)
        else:
            for update in updates:
                self.contacts.note(update, now_s)
                if self.directory.on_update(update):
                    self.members_changed.set()
            answer = (self.membership.own,)
        self._record_revision(peer.name, peer.address, ping.revision)
        self._messenger.reply(stream, ack=self._make_ack(answer))

    def acknowledge(self, stream: Stream) -> None:
        """Confirm a message that has no answer of its own."""
        self._messenger.reply(stream, ack=self._make_ack(()))

    def answer_indirect_ping(
        self,
        stream: Stream,
        request: messages.IndirectPing,
    ) -> None:
        """Ping a member on behalf of another daemon and return its ack."""
        self.start_task(self._forward_ping(stream, request))

    def answer_view_request(
        self,
        stream: Stream,
        request: messages.ViewRequest,
    ) -> None:
        """Answer a request for the members of a service."""
        peer = stream.connection.peer
        assert peer is not None  # noqa: S101
        self._record_revision(peer.name, peer.address, request.revision)
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

    def start_task(self, exchange: Coroutine[None, None, object]) -> None:
        """Run a short exchange in a task of its own."""
        task = self._loop.create_task(exchange)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tick(self, now_s: float) -> None:
        self._run_actions(self.membership.tick(now_s, self._rng))
        introducers = self.introducers.addresses()
        for request in self.directory.tick(introducers, now_s, self._rng):
            self.start_task(self._refresh_view(request))
        if now_s >= self._next_own_view_s:
            self._next_own_view_s = now_s + self._jitter(self._view_period_s)
            self.start_task(self._refresh_own(introducers))
        if now_s >= self._next_announcement_s:
            self._next_announcement_s = now_s + self._jitter(ANNOUNCE_PERIOD_S)
            self.contacts.expire(now_s)
            self._announce_to_introducers(introducers)
        for address in self.introducers.tick(now_s, self._rng):
            self.start_task(self._check_introducer(address))

    def _announce_to_introducers(self, introducers: list[str]) -> None:
        # Every member makes a first announcement, so that callers find a
        # service that has just started. Later ones are left to the few
        # members that are contacts.
        names = (member.target.name for member in self.membership.members())
        own = self.own
        if self._is_announced and not is_contact(own.service, own.name, names):
            return
        if not introducers:
            self._next_announcement_s = self._loop.time() + ANNOUNCE_RETRY_S
        for address in choose_contacts(own.service, introducers):
            self.start_task(self._announce_to(address))

    def _jitter(self, period_s: float) -> float:
        return period_s * self._rng.uniform(0.75, 1.25)

    def _run_actions(self, actions: Iterable[MembershipAction]) -> None:
        for action in actions:
            match action:
                case MemberChanged():
                    self._record_member_change(action)
                case SelfReplaced():
                    self.replaced_by_incarnation = action.incarnation
                    self.members_changed.set()
                case _:
                    self._start_ping(action)

    def _start_ping(self, action: SendPing | SendIndirectPing) -> None:
        if isinstance(action, SendPing):
            self.start_task(self._ping(action.address, action.updates))
        else:
            self.start_task(self._ping_indirectly(action))

    def _record_member_change(self, action: MemberChanged) -> None:
        update = action.update
        self.members_changed.set()
        _log.info(
            'member changed',
            name=update.target.name,
            state=update.state.name.lower(),
            incarnation=update.target.incarnation,
        )
        if not update.is_present:
            self.revisions.pop(update.target.name, None)

    def _make_ack(self, updates: Iterable[MemberUpdate]) -> messages.Ack:
        return messages.Ack(
            updates=[member_to_wire(update) for update in updates],
            revision=self._config.revision,
            name=self.own.name,
            incarnation=self.own.incarnation,
        )

    def _make_ping(
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
        """Ping a daemon and return whether it answered."""
        try:
            frame = await self._messenger.ask(
                address,
                ping=self._make_ping(updates),
            )
        except CornelbeamError:
            # The next ticks handle the missing ack of a member.
            return False
        self._handle_ack(frame, address)
        return True

    async def _ping_indirectly(self, action: SendIndirectPing) -> None:
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
        self._handle_ack(frame, action.address)

    async def _forward_ping(
        self,
        stream: Stream,
        request: messages.IndirectPing,
    ) -> None:
        try:
            frame = await self._messenger.ask(
                request.address,
                ping=self._make_ping(()),
            )
        except CornelbeamError:
            stream.close()
            return
        self._messenger.reply(stream, ack=frame.ack)

    async def _announce_to(self, address: str) -> None:
        if await self._ping(address, (self.membership.own,)):
            self._is_announced = True
        elif not self._is_announced:
            self._next_announcement_s = self._loop.time() + ANNOUNCE_RETRY_S

    async def _check_introducer(self, address: str) -> None:
        is_reachable = await self._ping(address, (self.membership.own,))
        self.introducers.note_check(
            address,
            self._loop.time(),
            is_reachable=is_reachable,
        )

    def _handle_ack(self, frame: messages.Frame, address: str) -> None:
        ack = frame.ack
        if ack is None:
            return
        self._run_actions(
            self.membership.on_ack(
                ack.name,
                ack.incarnation,
                members_from_wire(ack.updates),
                self._loop.time(),
            ),
        )
        self._record_revision(ack.name, address, ack.revision)

    def _record_revision(self, name: str, address: str, revision: int) -> None:
        # Callers of the service request views too; only revisions of members
        # are kept.
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
            self.members_changed.set()

    async def _refresh_own(self, introducers: list[str]) -> None:
        service = self.own.service
        members = [
            member.target.address for member in self.membership.members()
        ]
        service_introducers = choose_contacts(service, introducers)
        # Asking an introducer occasionally rejoins the halves of a
        # partitioned service.
        is_introducer_due = (
            not members or self._rng.random() < INTRODUCER_QUERY_SHARE
        )
        if service_introducers and is_introducer_due:
            members = list(service_introducers)
        if not members:
            return
        address = self._rng.choice(members)
        answer = await self._ask_view(
            service,
            address,
            self.membership.digest,
        )
        if answer is not None:
            self._run_actions(
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
    """Ignore revisions until the configuration sync is connected."""
