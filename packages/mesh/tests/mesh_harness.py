"""Sidecars, a store and scripted targets in one process on loopback."""

import asyncio
import contextlib
import itertools
import os
import socket
from functools import partial

import anyio
import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_core.routes import (
    RequestKind,
    RouteRule,
    RoutingConfiguration,
    ServiceRule,
    ServiceShare,
)
from cornelbeam_core.shared_objects import Listing, SharedKind, SharedObject
from cornelbeam_mesh.fleet_state import read_authored_version
from cornelbeam_mesh.platform_adapter import HeaderNames, Heartbeat, TargetLoad
from cornelbeam_mesh.settings import MeshSettings
from cornelbeam_mesh.sidecar import Sidecar
from fake_target import TARGET_HOST, FakeTarget, read_message

CALLER_HOST = '127.0.0.1'
WAIT_LIMIT_S = 20
SERVICE = 'windows'
# Settings of the daemons; tests may add some.
BOUNDS = {'grace_s': 5}


class FakeAdapter:
    """Platform adapter with the header names of these tests."""

    headers = HeaderNames(
        attempt_id=b'x-attempt',
        remaining_ms=b'x-remaining',
        caller_service=b'x-caller',
        expected_instance=b'x-expected',
        not_run=b'x-not-run',
        instance=b'x-instance',
        load=b'x-load',
        cold_remaining_ms=b'x-cold',
        rate_limit=b'x-limit',
        leaving=b'x-leaving',
        tenant=b'x-tenant',
    )

    def read_load(self, stated):
        """Parse the slowdown."""
        return TargetLoad(0, 0, 8, int(stated))

    def read_rate_limit(self, stated):
        """Parse the limit."""
        return float(stated)

    def read_leaving(self, stated):
        """Take any value as a yes."""
        return True

    def read_registration(self, method, path, body):
        """Reject all messages: tests pass heartbeats on directly."""
        raise ValueError(path)


class FakeStore:
    """Store that can be unreachable or stop reporting changes to watches."""

    unreadable_count = 0

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[tuple[SharedKind, str], SharedObject] = {}
        self.revision = 1
        self.is_down = False
        self.are_watches_silent = False
        self.fresh_list_count = 0
        self.write_count = 0
        # Writes of orders and their steps.
        self.written: list[SharedObject] = []
        self.write_delay_s = 0
        self.lost_answer_count = 0
        self.is_changed = asyncio.Event()

    def put(self, kind, name, content=b'', *, is_deleted=False) -> None:
        """Write an object as an operator does."""
        self.revision += 1
        self.objects[kind, name] = SharedObject(
            kind,
            name,
            self.revision,
            is_deleted,
            content,
            read_authored_version(kind, content),
        )
        self.is_changed.set()
        self.is_changed = asyncio.Event()

    async def list_objects(self, kind, *, is_stale_allowed):
        """Return all objects that are not deleted."""
        self._check()
        self.fresh_list_count += not is_stale_allowed
        found = tuple(
            each
            for each in self.objects.values()
            if each.kind is kind and not each.is_deleted
        )
        newest = max(
            (each.version for each in found if kind is not SharedKind.MEMBER),
            default=0,
        )
        return Listing(kind, found, self.revision, newest)

    async def watch(self, kind, since_revision, wait_ms):
        """Wait for changes, forever if watches are silent."""
        while True:
            self._check()
            found = [
                each
                for each in self.objects.values()
                if each.kind is kind and each.version > since_revision
            ]
            if found and not self.are_watches_silent:
                return found, self.revision
            await self.is_changed.wait()

    async def put_member(self, member) -> None:
        """Store an entry without a new store revision."""
        self._check()
        self.write_count += 1
        self.objects[member.kind, member.name] = member

    async def write_object(self, written, held, *, is_status=False):
        """Write an object or its status if the stored one is as ``held``."""
        self._check()
        self.written.append(written)
        if self.write_delay_s:
            await asyncio.sleep(self.write_delay_s)
        stored = self.objects.get((written.kind, written.name))
        if stored is not None and stored.is_deleted:
            stored = None
        if stored != held:
            raise CornelbeamError(ErrorCode.STORE_CONFLICT, 'write')
        content = written.content
        if is_status:
            content = with_status(stored.content, content)
        self.put(written.kind, written.name, content)
        if self.lost_answer_count:
            self.lost_answer_count -= 1
            raise CornelbeamError(
                ErrorCode.STORE_UNAVAILABLE,
                'write',
                run_state=RunState.UNKNOWN,
            )
        return self.objects[written.kind, written.name]

    async def close(self) -> None:
        """Do nothing."""

    def _check(self) -> None:
        if self.is_down:
            raise CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'call')


def with_status(order, status) -> bytes:
    """Return an encoded order with another status."""
    fields = msgspec.json.decode(order)
    stated = msgspec.json.decode(status)
    fields['state'] = stated['state']
    fields['state_version'] = stated['to_version']
    return msgspec.json.encode(fields)


_FIRST_PORT = 10_240
_PORT_COUNT = 20_000
# Concurrent test runs start at different ports.
_ports = itertools.cycle(
    _FIRST_PORT + (os.getpid() * 97 + number) % _PORT_COUNT
    for number in range(_PORT_COUNT)
)


def free_address(host=CALLER_HOST) -> str:
    """Return an address that is not in use.

    The port is below the ephemeral range: otherwise an outgoing connection
    could take it before the daemon binds it.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return f'{host}:{port}'


def free_listeners() -> dict[str, str]:
    """Return a free address for each listener of a sidecar."""
    names = ('callers', 'peers', 'registration', 'readiness', 'metrics')
    return {name: free_address() for name in names}


def route(name, kind, **changes) -> RouteRule:
    """Create a route of the host ``yard``."""
    values = {
        'name': name,
        'host': 'yard',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'shares': (ServiceShare(SERVICE, 1),),
        'timeout_ms': 4000,
        'objective_ms': 2000,
        'max_target_count': 2,
        'priority': 1,
    }
    return RouteRule(**(values | changes))


def configuration(version=1, routes=(), services=(SERVICE,)) -> bytes:
    """Encode a configuration with a read, a booking and more routes."""
    return msgspec.json.encode(
        RoutingConfiguration(
            version,
            (
                route('read', RequestKind.IDEMPOTENT),
                route('book', RequestKind.NON_IDEMPOTENT),
                *routes,
            ),
            tuple(ServiceRule(name, '/health', 100, 5.0) for name in services),
        ),
    )


class Node:
    """One instance: a sidecar, its target and a caller."""

    def __init__(
        self, number, domain, store, service=SERVICE, version='', bounds=()
    ) -> None:
        """Choose free addresses for the listeners."""
        self.version = version
        self.bounds = {'grace_s': 5, **dict(bounds)}
        self.service = service
        self.name = f'place-{number}'
        self.domain = domain
        self.store = store
        self.target = FakeTarget(f'i-{number}')
        self.addresses = free_listeners()
        self.sidecar: Sidecar | None = None
        self.sequence = 0

    async def start(self, group) -> None:
        """Start the target and its sidecar."""
        if not self.target.port:
            await self.target.start()
        settings = msgspec.convert(
            {
                'instance': {
                    'name': self.name,
                    'service': self.service,
                    'domain': self.domain,
                },
                'listeners': self.addresses,
                'backend_server': {
                    'address': f'{TARGET_HOST}:{self.target.port}',
                    'heartbeat_interval_ms': 1500,
                },
                'store': {'address': 'unused'},
                'bounds': BOUNDS | self.bounds,
            },
            MeshSettings,
        )
        self.sidecar = Sidecar(settings, FakeAdapter(), self.store)
        group.start_soon(self.sidecar.run)

    def send_heartbeat(
        self, *, started_ms=1, instance='', is_draining=False
    ) -> None:
        """Pass a heartbeat of the target to the sidecar."""
        self.sequence += 1
        self.sidecar.registration.handle_heartbeat(
            Heartbeat(
                instance=instance or self.target.instance,
                started_ms=started_ms,
                sequence=self.sequence,
                service=self.service,
                domain=self.domain,
                address=f'{TARGET_HOST}:{self.target.port}',
                slot_count=8,
                is_draining=is_draining,
                cold_remaining_ms=0,
                version=self.version,
            ),
        )

    async def send_request(
        self,
        path='/read/1',
        method='GET',
        body=b'',
        from_host=CALLER_HOST,
        listener='callers',
        **fields,
    ):
        """Send a request; return status line, header fields and body."""
        reader, writer = await asyncio.open_connection(
            *self.addresses[listener].split(':'),
            local_addr=(from_host, 0),
        )
        try:
            writer.write(head(path, method, body, **fields) + body)
            async with asyncio.timeout(WAIT_LIMIT_S):
                return await read_message(reader)
        finally:
            writer.close()


def head(path, method='GET', body=b'', **fields) -> bytes:
    """Render the head of a caller's request."""
    stated = {
        'host': 'yard',
        'x-attempt': 'a1',
        'content-length': str(len(body)),
    }
    stated.update({name.replace('_', '-'): fields[name] for name in fields})
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {stated[name]}' for name in stated)
    return '\r\n'.join((*lines, '', '')).encode()


async def wait_until(is_true) -> None:
    """Poll until a condition holds that no event signals."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not is_true():
            await asyncio.sleep(0)


class Lifetime:
    """Runs a sidecar until ``end``, which is as abrupt as a kill."""

    def __init__(self, group) -> None:
        """Run in a task group."""
        self._group = group
        self._scope = anyio.CancelScope()
        self._has_ended = asyncio.Event()

    def start_soon(self, run) -> None:
        """Start the sidecar."""
        self._group.start_soon(self._run, run)

    async def _run(self, run) -> None:
        with self._scope:
            await run()
        self._has_ended.set()

    async def end(self) -> None:
        """End the sidecar without a planned stop."""
        self._scope.cancel()
        await self._has_ended.wait()


class Harness:
    """Nodes in two failure domains that share one store."""

    def __init__(self, group) -> None:
        """Start without nodes."""
        self.group = group
        self.store = FakeStore()
        self.nodes: list[Node] = []
        self.bounds: dict[str, float] = {}

    async def add_node(
        self, domain='north', service=SERVICE, group=None, version=''
    ) -> Node:
        """Start a node and wait until all nodes know its target."""
        node = Node(
            len(self.nodes) + 1,
            domain,
            self.store,
            service,
            version,
            self.bounds,
        )
        self.nodes.append(node)
        await node.start(group or self.group)
        await wait_until(node.sidecar.store_sync.is_listed.is_set)
        node.send_heartbeat()
        await wait_until(node.sidecar.admission.is_open)
        for other in self.nodes:
            await wait_until(partial(other.knows, node))
        return node


async def start_serving(harness, placement, extra_route) -> list[Node]:
    """Start a node for callers and two with targets; return all three.

    With the placement ``local`` the first target is beside the callers, with
    ``remote`` neither is. The configuration has one more route.
    """
    harness.store.put(
        SharedKind.CONFIGURATION, 'main', configuration(2, (extra_route,))
    )
    near = await harness.add_node()
    far = [await harness.add_node('south') for _ in range(2)]
    await wait_until(lambda: near.sidecar.state.route_table.version == 2)
    if placement == 'remote':
        near.send_heartbeat(is_draining=True)
        return [near, *far]
    far[1].send_heartbeat(is_draining=True)
    await wait_until(lambda: not near.knows(far[1]))
    return [near, near, far[0]]


def knows(node, other) -> bool:
    """Return whether a sidecar sends requests to another node's target."""
    serving = node.sidecar.state.members.serving(other.service, frozenset())
    return other.name in {record.name for record in serving}


Node.knows = knows


@contextlib.contextmanager
def paused(connections):
    """Leave unread what arrives over connections."""
    for connection in connections:
        connection._transport.pause_reading()
    try:
        yield
    finally:
        for connection in connections:
            if not connection.is_closed:
                connection._transport.resume_reading()
