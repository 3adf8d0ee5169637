"""Probe backend servers within a budget that all callers share."""

import asyncio
import random
from typing import Final, final

import anyio
from cornelbeam_core.budget import TokenBucket
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.selection import TargetState
from cornelbeam_settings import DaemonSettings
from cornelbeam_wire import Stream
from cornelbeam_wire.gen import messages

from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.backend_client import BackendClient
from cornelbeam_daemon.backend_side import BackendSide
from cornelbeam_daemon.bodies import BodyBuffer, RequestBody
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.convert import load_from_wire, load_to_wire
from cornelbeam_daemon.metrics import Metrics
from cornelbeam_daemon.routing_table import RoutingTable

PROBE_TIMEOUT_S: Final = 0.5
CHECK_PERIOD_S: Final = 0.25
EJECTION_EXTENSION_S: Final = 0.5
_MS_PER_S: Final = 1000
_FIRST_ERROR_STATUS: Final = 500


@final
class Prober:
    """Probes the backend server beside this daemon on request.

    A probe takes a token. Without a token the last result is returned with its
    age, and requests that arrive during a probe share its result. The cost is
    therefore independent of the number of requesting daemons.
    """

    __slots__ = (
        '_backend_side',
        '_bucket',
        '_client',
        '_is_healthy',
        '_loop',
        '_metrics',
        '_path',
        '_probe_task',
        '_probed_at_s',
    )

    def __init__(
        self,
        settings: DaemonSettings,
        client: BackendClient,
        backend_side: BackendSide,
        metrics: Metrics,
    ) -> None:
        """Start with a full budget, the backend server taken as healthy."""
        limits = settings.limits
        self._bucket = TokenBucket(
            limits.probe_burst_count,
            limits.probe_per_s,
        )
        self._path = settings.backend_server.probe_path.encode()
        self._client = client
        self._backend_side = backend_side
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._is_healthy = True
        self._probed_at_s = self._loop.time()
        self._probe_task: asyncio.Task[None] | None = None

    def tokens(self) -> float:
        """Return the number of probes that the budget allows now."""
        return self._bucket.tokens(self._loop.time())

    async def answer(self, stream: Stream, messenger: Messenger) -> None:
        """Answer a probe request."""
        await self._refresh()
        age_s = self._loop.time() - self._probed_at_s
        messenger.reply(
            stream,
            probe_reply=messages.ProbeReply(
                is_healthy=self._is_healthy,
                age_ms=round(age_s * _MS_PER_S),
                load=load_to_wire(self._backend_side.load),
            ),
        )

    async def _refresh(self) -> None:
        if self._probe_task is None:
            is_allowed = self._bucket.try_take(self._loop.time())
            self._metrics.count_probe(is_allowed)
            if not is_allowed:
                return
            self._probe_task = self._loop.create_task(self._probe())
        else:
            self._metrics.count_probe(False)
        await asyncio.shield(self._probe_task)

    async def _probe(self) -> None:
        self._is_healthy = await self._is_backend_healthy()
        self._probed_at_s = self._loop.time()
        self._probe_task = None

    async def _is_backend_healthy(self) -> bool:
        try:
            connection = await self._client.acquire()
        except CornelbeamError:
            return False
        body = BodyBuffer()
        body.finish()
        head = fields.render(
            b'GET %b HTTP/1.1' % self._path,
            [b'host', b'probe'],
        )
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await connection.exchange(
                    head,
                    RequestBody(body).reader(),
                    b'',
                    is_complete=True,
                    is_chunked=False,
                    is_head_request=False,
                )
                await answer.body.skip_health_body()
        except (TimeoutError, CornelbeamError):
            return False
        finally:
            self._client.release(connection)
        return answer.status < _FIRST_ERROR_STATUS


@final
class EjectedTargetProber:
    """Probes ejected targets before they receive calls again.

    A failed probe extends the ejection, so that no request of a caller is
    needed to test the target.
    """

    __slots__ = ('_loop', '_messenger', '_own_name', '_rng', '_table')

    def __init__(
        self,
        own_name: str,
        table: RoutingTable,
        messenger: Messenger,
        rng: random.Random,
    ) -> None:
        """Probe the targets of ``table``."""
        self._own_name = own_name
        self._table = table
        self._messenger = messenger
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Probe due targets periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S * self._rng.uniform(0.75, 1.25))
            await self.check_due()

    async def check_due(self) -> None:
        """Probe concurrently all targets whose ejection ends soon."""
        async with anyio.create_task_group() as group:
            for state in filter(self._is_due, self._table.all_states()):
                group.start_soon(self._check, state)

    def _is_due(self, state: TargetState) -> bool:
        if state.target.name == self._own_name:
            return False
        remaining_s = state.ejected_until_s - self._loop.time()
        return 0 < remaining_s <= 2 * CHECK_PERIOD_S

    async def _check(self, state: TargetState) -> None:
        is_healthy = False
        try:
            frame = await self._messenger.ask(
                state.target.address,
                probe_request=messages.ProbeRequest(caller=self._own_name),
            )
        except CornelbeamError:
            frame = messages.Frame(stream_id=0)
        if frame.probe_reply is not None:
            is_healthy = frame.probe_reply.is_healthy
            state.note_report(
                load_from_wire(frame.probe_reply.load),
                self._loop.time(),
            )
        if not is_healthy:
            state.ejected_until_s += EJECTION_EXTENSION_S
