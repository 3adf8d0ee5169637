"""Asks the target how it does when its answers don't tell."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import anyio
from cornelbeam_core.budget import TokenBucket
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.routes import ServiceRule
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.gate_keeper import GateKeeper
from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.platform_adapter import Edge
from cornelbeam_mesh.target_exchange import note_load

_log = get_log('backend')
# A target may turn cold at any moment, and only its health answers say so:
# at a usual rate it bears what arrives within this time.
PROBE_PERIOD_S: Final = 0.3
# A target that can't be reached is asked more often: it may be back.
SUSPICION_PERIOD_S: Final = 0.15
# While calls wait for the end of a slow spell.
HOLD_PERIOD_S: Final = 0.025
# A measurement that takes longer comes too late for the call that wants it.
MEASURE_TIMEOUT_S: Final = 0.02
# Operators allow 60 probes a second and target over a day.
MAX_PROBES_PER_S: Final = 40
PROBE_BURST_COUNT: Final = 40
PROBE_TIMEOUT_S: Final = 1.0


@final
class TargetProbe:
    """Keeps the gate informed of the target's load and cold time."""

    __slots__ = (
        '_address',
        '_asked_at_s',
        '_asking',
        '_budget',
        '_client',
        '_edge',
        '_gate',
        '_is_wanted',
        '_keeper',
        '_loop',
        '_service',
        '_target',
        '_tells_speed',
    )

    def __init__(
        self,
        edge: Edge,
        address: str,
        gate: TargetGate,
        keeper: GateKeeper,
        client: BackendClient,
        target: Callable[[], TargetEntry | None],
        service: Callable[[], ServiceRule | None],
    ) -> None:
        """Probe the target that ``target`` gives by its service's rule."""
        self._edge = edge
        self._address = address
        self._gate = gate
        self._keeper = keeper
        self._client = client
        self._target = target
        self._service = service
        self._loop = asyncio.get_running_loop()
        self._is_wanted = asyncio.Event()
        self._asking: asyncio.Task[None] | None = None
        self._asked_at_s = float('-inf')
        self._tells_speed = True
        self._budget = TokenBucket(PROBE_BURST_COUNT, MAX_PROBES_PER_S)

    def suspect(self) -> None:
        """Ask soon: a request has failed."""
        self._is_wanted.set()

    async def measure(self) -> None:
        """Ask for the speed now, unless that takes long or was done often."""
        if not self._tells_speed:
            return
        if self._asking is None:
            if not self._budget.try_take(self._loop.time()):
                return
            self._ask_now()
        elif self._loop.time() - self._asked_at_s > MEASURE_TIMEOUT_S:
            return
        if self._asking is not None:
            await asyncio.wait((self._asking,), timeout=MEASURE_TIMEOUT_S)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            if self._asking is None:
                self._ask_now()
            if self._asking is not None:
                await asyncio.wait((self._asking,))
            self._is_wanted.clear()
            with anyio.move_on_after(self._choose_period_s()):
                await self._is_wanted.wait()
                await anyio.sleep(HOLD_PERIOD_S)

    def _choose_period_s(self) -> float:
        if not self._keeper.is_reachable:
            return SUSPICION_PERIOD_S
        is_held = self._gate.speed.is_slow and self._gate.waiting_count
        if is_held and self._budget.try_take(self._loop.time()):
            return HOLD_PERIOD_S
        return PROBE_PERIOD_S

    def _ask_now(self) -> None:
        target = self._target()
        service = self._service()
        if target is None or service is None:
            return
        self._asked_at_s = self._loop.time()
        self._asking = asyncio.ensure_future(self._probe(target, service))
        self._asking.add_done_callback(self._forget)

    def _forget(self, asking: 'asyncio.Task[None]') -> None:
        self._asking = None

    async def _probe(self, target: TargetEntry, service: ServiceRule) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                headers = await self._ask(service.health_path)
        except TimeoutError:
            # The health check may lie; requests decide.
            _log.info('probe without answer', instance=target.instance)
            return
        except CornelbeamError as error:
            if self._keeper.is_reachable:
                _log.warning(
                    'target out of reach',
                    instance=target.instance,
                    why=str(error),
                )
            self._keeper.is_reachable = False
            self._keeper.recheck()
            return
        named = fields.find(headers, self._edge.headers.instance)
        if named is not None and named.decode('latin-1') != target.instance:
            self._keeper.is_reachable = False
            self._keeper.recheck()
            return
        load = fields.find(headers, self._edge.headers.load)
        self._tells_speed = load is not None
        note_load(self._edge, self._gate.speed, headers, self._loop.time())
        self._note_cold(headers, service)
        if not self._keeper.is_reachable:
            self._keeper.is_reachable = True
            _log.info('target within reach', instance=target.instance)
        self._keeper.recheck()

    async def _ask(self, path: str) -> list[bytes]:
        connection = await self._client.acquire()
        body = BodyBuffer()
        body.finish()
        try:
            head = await connection.exchange(
                fields.render(
                    b'GET %b HTTP/1.1' % path.encode(),
                    [b'host', self._address.encode()],
                ),
                RequestBody(body).reader(),
                b'',
                is_complete=True,
                is_chunked=False,
                is_head_request=False,
            )
            while not head.body.is_ended:
                await head.body.read()
        except BaseException:
            connection.close()
            raise
        finally:
            self._client.release(connection)
        return head.headers

    def _note_cold(self, headers: list[bytes], service: ServiceRule) -> None:
        stated = fields.find(headers, self._edge.headers.cold_remaining_ms)
        cold_ms = 0
        if stated is not None and stated.isdigit():
            cold_ms = int(stated)
        self._gate.set_cold(
            self._loop.time(),
            cold_ms / MS_PER_S,
            service.cold_per_s,
        )
