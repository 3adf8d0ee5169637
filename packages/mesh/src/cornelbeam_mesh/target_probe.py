"""Health probes of the target on this instance.

They report its speed and cold time when no answers to requests do.
"""

import asyncio
import re
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

from cornelbeam_mesh.admission import AdmissionController
from cornelbeam_mesh.members import TargetEntry
from cornelbeam_mesh.platform_adapter import Heartbeat, PlatformAdapter
from cornelbeam_mesh.target_observer import TargetObserver

_log = get_log('backend')
# A target may become cold at any time, which only its health answers report. It
# is probed after this period, and earlier once the calls that have started
# since the last probe are this share of what it withstands in a second.
PROBE_PERIOD_S: Final = 0.6
UNPROBED_START_SHARE: Final = 0.25
# An unreachable target is probed more often to detect that it is back.
UNREACHABLE_PERIOD_S: Final = 0.15
# Probe period while calls wait because the host is slow.
SLOW_QUEUE_PERIOD_S: Final = 0.025
# A longer measurement is too late for the call that waits for it.
MEASURE_TIMEOUT_S: Final = 0.02
# Operators allow 60 probes per second and target, averaged over a day.
MAX_PROBES_PER_S: Final = 40
PROBE_BURST_COUNT: Final = 40
PROBE_TIMEOUT_S: Final = 1.0
_COLD_PATTERN: Final = re.compile(rb'\d{1,9}')


@final
class TargetProbe:
    """Probes the target and updates the gate's speed and cold time."""

    __slots__ = (
        '_adapter',
        '_address',
        '_admission',
        '_budget',
        '_client',
        '_gate',
        '_has_speed_report',
        '_is_requested',
        '_loop',
        '_observer',
        '_pending_probe',
        '_probed_at_s',
        '_service',
        '_target',
        '_unprobed_start_count',
    )

    def __init__(
        self,
        adapter: PlatformAdapter,
        address: str,
        gate: TargetGate,
        admission: AdmissionController,
        client: BackendClient,
        observer: TargetObserver,
        target: Callable[[], TargetEntry | None],
        service: Callable[[], ServiceRule | None],
    ) -> None:
        """Probe the target that ``target`` returns.

        ``service`` returns the rule of its service, with the health path. Its
        answers are passed to ``observer``.
        """
        self._adapter = adapter
        self._address = address
        self._gate = gate
        self._admission = admission
        self._client = client
        self._observer = observer
        self._target = target
        self._service = service
        self._loop = asyncio.get_running_loop()
        self._is_requested = asyncio.Event()
        self._pending_probe: asyncio.Task[None] | None = None
        self._probed_at_s = float('-inf')
        self._has_speed_report = True
        self._unprobed_start_count = 0
        self._budget = TokenBucket(PROBE_BURST_COUNT, MAX_PROBES_PER_S)

    def request_probe(self) -> None:
        """Probe soon, for example after a failed request."""
        self._is_requested.set()

    def note_start(self) -> None:
        """Count a call, which the target would not withstand if it were cold.

        Load that this answers: many daemons beside targets with few requests,
        whose probes would cost more than the requests.
        """
        self._unprobed_start_count += 1
        service = self._service()
        if service is None or service.cold_per_s is None:
            return
        bearable_count = UNPROBED_START_SHARE * service.cold_per_s
        is_due = self._unprobed_start_count > bearable_count
        if not is_due or self._pending_probe is not None:
            return
        if self._budget.try_take(self._loop.time()):
            self._start_probe()

    def note_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the slots and the cold time of an accepted heartbeat."""
        self._gate.resize(heartbeat.slot_count)
        service = self._service()
        # A late heartbeat may be older than the last health answer, so only
        # health answers end the cold time.
        if heartbeat.cold_remaining_ms > 0 and service is not None:
            self._set_cold(heartbeat.cold_remaining_ms, service)

    async def measure_speed(self) -> None:
        """Wait briefly for a probe that reports the current speed.

        Do nothing if the target reports no speed, if the probe budget is used
        up or if a probe has already taken too long.
        """
        if not self._has_speed_report:
            return
        if self._pending_probe is None:
            if not self._budget.try_take(self._loop.time()):
                return
            self._start_probe()
        elif self._loop.time() - self._probed_at_s > MEASURE_TIMEOUT_S:
            return
        if self._pending_probe is not None:
            await asyncio.wait(
                (self._pending_probe,), timeout=MEASURE_TIMEOUT_S
            )

    async def run(self) -> None:
        """Probe until cancelled."""
        period_s: float = 0
        while True:
            age_s = self._loop.time() - self._probed_at_s
            is_due = self._is_requested.is_set() or age_s >= period_s
            if is_due and self._pending_probe is None:
                self._start_probe()
            if self._pending_probe is not None:
                await asyncio.wait((self._pending_probe,))
            self._is_requested.clear()
            period_s = self._choose_period_s()
            age_s = self._loop.time() - self._probed_at_s
            wait_s = max(SLOW_QUEUE_PERIOD_S, period_s - age_s)
            with anyio.move_on_after(wait_s):
                await self._is_requested.wait()
                # Requests in quick succession lead to a single probe.
                await anyio.sleep(SLOW_QUEUE_PERIOD_S)

    def _choose_period_s(self) -> float:
        if not self._admission.is_reachable:
            return UNREACHABLE_PERIOD_S
        is_slow_queue = self._gate.speed.is_slow and self._gate.waiting_count
        if is_slow_queue and self._budget.try_take(self._loop.time()):
            return SLOW_QUEUE_PERIOD_S
        return PROBE_PERIOD_S

    def _start_probe(self) -> None:
        self._probed_at_s = self._loop.time()
        self._unprobed_start_count = 0
        target = self._target()
        service = self._service()
        if target is None or service is None:
            return
        self._pending_probe = asyncio.ensure_future(
            self._probe(target, service)
        )
        self._pending_probe.add_done_callback(self._clear_pending)

    def _clear_pending(self, probe: 'asyncio.Task[None]') -> None:
        self._pending_probe = None

    async def _probe(self, target: TargetEntry, service: ServiceRule) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                headers = await self._fetch_health(service.health_path)
        except TimeoutError:
            # Health checks may be wrong, so a timeout does not make the target
            # unreachable; failed requests decide that.
            _log.info('probe timed out', instance=target.instance)
            return
        except CornelbeamError as error:
            if self._admission.is_reachable:
                _log.warning(
                    'target unreachable',
                    instance=target.instance,
                    why=str(error),
                )
            self._admission.is_reachable = False
            self._admission.reevaluate_waiting()
            return
        reported_instance = fields.find(headers, self._adapter.headers.instance)
        if (
            reported_instance is not None
            and reported_instance.decode('latin-1') != target.instance
        ):
            self._admission.is_reachable = False
            self._admission.reevaluate_waiting()
            return
        load = fields.find(headers, self._adapter.headers.load)
        self._has_speed_report = load is not None
        self._observer.note_answer(headers, target.instance, 'probe')
        self._update_cold_time(headers, service)
        if not self._admission.is_reachable:
            self._admission.is_reachable = True
            _log.info('target reachable', instance=target.instance)
        self._admission.reevaluate_waiting()

    async def _fetch_health(self, path: str) -> list[bytes]:
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
                # Only answers to requests name an attempt.
                is_own_answer=lambda answered: (
                    not fields.find(answered, self._adapter.headers.attempt_id)
                ),
            )
            await head.body.skip_health_body()
        except BaseException:
            connection.close()
            raise
        finally:
            self._client.release(connection)
        return head.headers

    def _update_cold_time(
        self, headers: list[bytes], service: ServiceRule
    ) -> None:
        stated = fields.find(headers, self._adapter.headers.cold_remaining_ms)
        cold_ms = 0
        if stated is not None and _COLD_PATTERN.fullmatch(stated):
            cold_ms = int(stated)
        self._set_cold(cold_ms, service)

    def _set_cold(self, cold_ms: int, service: ServiceRule) -> None:
        self._gate.set_cold(
            self._loop.time(),
            cold_ms / MS_PER_S,
            service.cold_per_s,
        )
