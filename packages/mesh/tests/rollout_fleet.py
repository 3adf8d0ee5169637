"""Nodes with targets of two versions, an order and callers."""

import asyncio
import contextlib
import time

import msgspec
from cornelbeam_core.rollout_orders import RolloutOrder, RolloutStep
from cornelbeam_core.shared_objects import SharedKind
from mesh_harness import SERVICE, wait_until

OLD, NEW = 'v1', 'v2'
# Orders run by a faster clock, as most of their time is a wait.
SPEED = 3
DURATION_S = 9
SENDER_COUNT = 4


class RolloutFleet:
    """Three nodes of the old version and three of the new one."""

    def __init__(self, harness) -> None:
        """Start without nodes."""
        self.harness = harness
        harness.bounds = {'exposure_share': 0.1, 'exposure_slack_count': 50}
        self.old = []
        self.new = []
        self.statuses = []
        self.answers = []

    async def start(self, old_count=3, new_count=3, lifetime=None) -> None:
        """Start the nodes."""
        for number in range(old_count + new_count):
            nodes, version = self.old, OLD
            if number >= old_count:
                nodes, version = self.new, NEW
            node = await self.harness.add_node(
                'south' if number % 2 else 'north', version=version
            )
            node.sidecar.state.rollouts.now_s = fast_clock
            nodes.append(node)

    def order(self, to_version=NEW, duration_s=DURATION_S, created='1') -> None:
        """Write an order as an operator does; a stored status stays."""
        stored = self.stored_order()
        self.harness.store.put(
            SharedKind.ROLLOUT,
            SERVICE,
            msgspec.json.encode(
                RolloutOrder(
                    SERVICE,
                    to_version,
                    duration_s,
                    created,
                    None if stored is None else stored.state,
                    '' if stored is None else stored.state_version,
                )
            ),
        )

    def stored_order(self) -> RolloutOrder | None:
        """Return the order that the store holds."""
        stored = self.harness.store.objects.get((SharedKind.ROLLOUT, SERVICE))
        if stored is None:
            return None
        return msgspec.json.decode(stored.content, type=RolloutOrder)

    def stored_step(self) -> RolloutStep | None:
        """Return the progress that the store holds."""
        stored = self.harness.store.objects.get(
            (SharedKind.ROLLOUT_STEP, SERVICE)
        )
        if stored is None:
            return None
        return msgspec.json.decode(stored.content, type=RolloutStep)

    @property
    def state(self) -> str:
        """State that the status holds, empty without one."""
        order = self.stored_order()
        if order is None or order.state is None:
            return ''
        return order.state.value

    def statuses_written(self) -> list[str]:
        """Return the states of all writes of a status, in order."""
        return [
            msgspec.json.decode(written.content)['state']
            for written in self.harness.store.written
            if written.kind is SharedKind.ROLLOUT
        ]

    def owner(self):
        """Return the node that owns the order."""
        name = self.stored_step().owner
        return next(node for node in self.harness.nodes if node.name == name)

    async def until(self, *states) -> None:
        """Wait for a state of the order."""
        await wait_until(lambda: self.state in states)

    def received(self, nodes) -> int:
        """Return the number of requests that targets have received."""
        return sum(len(node.target.requests) for node in nodes)

    @contextlib.asynccontextmanager
    async def traffic(self, nodes=None, path='/read/1'):
        """Send requests through nodes, each after the answer to the last."""
        senders = [
            asyncio.create_task(self._send(nodes or self.old, number, path))
            for number in range(SENDER_COUNT)
        ]
        try:
            yield
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)

    async def _send(self, nodes, number, path) -> None:
        while True:
            node = nodes[number % len(nodes)]
            line, _, _ = await node.send_request(path)
            self.answers.append(line)
            await asyncio.sleep(0.02)


def fast_clock() -> float:
    """Return a time that passes faster than that of the event loop."""
    return time.monotonic() * SPEED
