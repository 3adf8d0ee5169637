"""Daemons whose clocks and paths to the store tests control."""

from functools import partial

import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.routes import (
    RequestKind,
    RoutingConfiguration,
    ServiceRule,
)
from cornelbeam_core.shared_objects import SharedKind
from cornelbeam_core.tenants import TenantRule, digest_key
from cornelbeam_mesh.boot_clock import read_boot_time_s
from cornelbeam_wire.gen import messages
from mesh_harness import SERVICE, Node, route, wait_until


def tenant_configuration(version=1) -> bytes:
    """Encode a configuration with a tenant."""
    return msgspec.json.encode(
        RoutingConfiguration(
            version,
            (route('read', RequestKind.IDEMPOTENT),),
            (ServiceRule(SERVICE, '/health', 100, 5),),
            (TenantRule('school', (digest_key(b'k'),)),),
        ),
    )


class PartialStore:
    """Store that may refuse one daemon, and counts its linearizable reads."""

    unreadable_count = 0

    def __init__(self, store) -> None:
        """Pass calls on to ``store``."""
        self._store = store
        self.is_cut = False
        self.read_count = 0
        self.attempt_count = 0

    async def list_objects(self, kind, *, is_stale_allowed):
        """List unless cut off."""
        is_read = kind is SharedKind.CONFIGURATION and not is_stale_allowed
        self.attempt_count += is_read
        self._check()
        self.read_count += is_read
        return await self._store.list_objects(
            kind, is_stale_allowed=is_stale_allowed
        )

    async def watch(self, kind, since_revision, wait_ms):
        """Watch unless cut off."""
        self._check()
        return await self._store.watch(kind, since_revision, wait_ms)

    async def put_member(self, member) -> None:
        """Write unless cut off."""
        self._check()
        await self._store.put_member(member)

    def _check(self) -> None:
        if self.is_cut:
            raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'call')


class Clock:
    """Clock of a daemon that tests set forward."""

    def __init__(self) -> None:
        """Start at the time since the boot."""
        self.offset_s: float = 0

    def __call__(self) -> float:
        """Return the time."""
        return read_boot_time_s() + self.offset_s


class Fleet:
    """Nodes with a clock and a path to the store each."""

    def __init__(self, harness) -> None:
        """Publish a configuration with a tenant."""
        self.harness = harness
        self.nodes: list[Node] = []
        self.clocks: dict[str, Clock] = {}
        self.stores: dict[str, PartialStore] = {}
        self.publish(1)

    def publish(self, version) -> None:
        """Write a configuration as an operator does."""
        self.harness.store.put(
            SharedKind.CONFIGURATION, 'main', tenant_configuration(version)
        )

    async def add(self, domain='north') -> Node:
        """Start a node."""
        node = await self.harness.add_node(domain)
        freshness = node.sidecar.freshness
        clock, store = Clock(), PartialStore(self.harness.store)
        freshness.clock = clock
        node.sidecar.store_sync.clock = clock
        node.sidecar.store_sync._store = store
        self.clocks[node.name] = clock
        self.stores[node.name] = store
        self.nodes.append(node)
        return node

    async def add_domain(self, count, domain='north') -> list[Node]:
        """Start nodes of a domain; return them by rank, the reader first."""
        added = [await self.add(domain) for _ in range(count)]
        for node in self.nodes:
            await wait_until(partial(self._knows_all, node))
        return sorted(added, key=_rank)

    def _knows_all(self, node) -> bool:
        others = node.sidecar.state.members.others()
        return len(others) == len(self.nodes) - 1

    def cut(self, *nodes, is_cut=True) -> None:
        """Cut nodes off from the store or connect them again."""
        for node in nodes:
            self.stores[node.name].is_cut = is_cut

    def forward(self, seconds, *nodes) -> None:
        """Let time pass on clocks; daemons notice when it is due."""
        for node in nodes or self.nodes:
            self.clocks[node.name].offset_s += seconds
            node.sidecar.freshness._wake.set()


def _rank(node) -> int:
    return node.sidecar.freshness._plan.get().role.standby_rank


def has_lost_store(node) -> bool:
    """Return whether a node knows that it can't reach the store."""
    return not node.sidecar.store_sync.is_reachable.is_set()


async def until_younger(node, age_s) -> None:
    """Wait until the proof of a node is younger than an age."""
    await wait_until(lambda: node.sidecar.freshness.age_s() < age_s)


def serves(node) -> bool:
    """Return whether a node serves requests with keys."""
    try:
        node.sidecar.freshness.check()
    except CornelbeamError as error:
        assert error.code is ErrorCode.CONFIGURATION_STALE
        return False
    return True


class ScriptedMessenger:
    """Answers all queries by a script."""

    def __init__(self, make_answer) -> None:
        """Answer what ``make_answer`` returns."""
        self._make_answer = make_answer

    async def ask(self, address, **message):
        """Return the next answer."""
        return messages.Frame(
            stream_id=1, configuration_age=self._make_answer()
        )


def script_answers(node, make_answer) -> None:
    """Let all peers answer a node's queries by a script."""
    node.sidecar.freshness._messenger = ScriptedMessenger(make_answer)
