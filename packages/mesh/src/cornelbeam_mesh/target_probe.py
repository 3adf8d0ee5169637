"""Asks the target how it does when its answers don't tell."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import anyio
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.routes import ServiceRule
from cornelbeam_core.target_gate import TargetGate
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.edge import Edge
from cornelbeam_mesh.gate_keeper import GateKeeper
from cornelbeam_mesh.members import TargetEntry

_log = get_log('backend')
# A target may turn cold at any moment, and only its health answers say so:
# at a usual rate it bears what arrives within this time.
PROBE_PERIOD_S: Final = 0.3
# A target that can't be reached is asked more often: it may be back.
SUSPICION_PERIOD_S: Final = 0.15
PROBE_TIMEOUT_S: Final = 1.0
_MS_PER_S: Final = 1000


@final
class TargetProbe:
    """Keeps the gate informed of the target's load and cold time."""

    __slots__ = (
        '_address',
        '_client',
        '_edge',
        '_gate',
        '_is_suspected',
        '_keeper',
        '_loop',
        '_service',
        '_target',
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
        self._is_suspected = asyncio.Event()

    def suspect(self) -> None:
        """Ask soon: a request has failed."""
        self._is_suspected.set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            target = self._target()
            service = self._service()
            if target is not None and service is not None:
                await self._probe(target, service)
            period_s = PROBE_PERIOD_S
            if not self._keeper.is_reachable:
                period_s = SUSPICION_PERIOD_S
            with anyio.move_on_after(period_s):
                await self._is_suspected.wait()
                await anyio.sleep(SUSPICION_PERIOD_S)
            self._is_suspected.clear()

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
        self._keeper.note_load(headers)
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
            cold_ms / _MS_PER_S,
            service.cold_per_s,
        )
