"""Takes over orders that no other daemon carries out, and writes progress."""

import heapq
import math
import zlib
from collections.abc import Callable, Coroutine
from typing import Any, Final, final

import anyio
import msgspec
from cornelbeam_core.rollout_orders import OrderState, RolloutStep
from cornelbeam_core.rollout_plan import ExposureBound
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_daemon.control_messages import Messenger
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.fleet_state import FleetState
from cornelbeam_mesh.members import MemberEntry
from cornelbeam_mesh.platform_adapter import Store
from cornelbeam_mesh.rollout_driver import RolloutDriver
from cornelbeam_mesh.rollout_gate import RolloutGate
from cornelbeam_mesh.rollout_view import ServiceRollout
from cornelbeam_mesh.settings import MeshBounds
from cornelbeam_mesh.store_sync import ROLLOUT_KINDS

_log = get_log('rollout')
TICK_S: Final = 0.5
# Daemons that may take an order over. More of them would make more store calls
# if the store refuses the first ones.
CANDIDATE_COUNT: Final = 8
# Silence of an owner after which the first candidate takes over, and the
# additional time of each further one. Daemons beside targets of the service are
# asked twice a second; others only see the steps, every 4 s at least.
TAKEOVER_S: Final = 6.0
ASKED_TAKEOVER_S: Final = 1.6
TAKEOVER_STEP_S: Final = 0.7
# A write that failed is repeated after this time. It doubles with each failure
# up to the maximum for orders that are refused or were due long ago: the status
# of the others must be written in time once the store takes it.
RETRY_S: Final = 1.0
MAX_RETRY_S: Final = 60.0
URGENT_AFTER_S: Final = 60.0


@final
class _Failures:
    """Failed writes of an order since the last one that succeeded."""

    __slots__ = ('count', 'failed_s', 'logged', 'order_key')

    def __init__(self, order_key: str) -> None:
        """Start without failures."""
        self.order_key = order_key
        self.count = 0
        self.failed_s = float('-inf')
        # Sentences already logged about the order.
        self.logged: set[str] = set()

    def note(self, now_s: float) -> None:
        """Record a failure."""
        self.count += 1
        self.failed_s = now_s

    def retry_s(self, rollout: ServiceRollout, now_s: float) -> float:
        """Return the time from the last failure to the next write."""
        due_s = rollout.order.duration_s + URGENT_AFTER_S
        is_urgent = rollout.age_s(now_s) <= due_s
        if is_urgent and not rollout.order.find_problem():
            return RETRY_S
        # The exponent is bounded, as large ones overflow.
        exponent = min(10, max(0, self.count - 1))
        return min(MAX_RETRY_S, math.ldexp(RETRY_S, exponent))

    def is_new(self, sentence: str) -> bool:
        """Return whether a sentence is to be logged, once for the order."""
        is_new = sentence not in self.logged
        self.logged.add(sentence)
        return is_new


@final
class RolloutOwner:
    """Owner of orders: at most one daemon for each, by conditional writes."""

    __slots__ = (
        '_announce',
        '_bound',
        '_drivers',
        '_failures',
        '_gate',
        '_is_store_reachable',
        '_messenger',
        '_name',
        '_start_task',
        '_state',
        '_store',
        '_writing',
    )

    def __init__(
        self,
        name: str,
        bound: ExposureBound,
        state: FleetState,
        gate: RolloutGate,
        store: Store,
        is_store_reachable: Callable[[], bool],
        messenger: Messenger,
        start_task: Callable[[Coroutine[Any, Any, None]], None],
        announce: Callable[[SharedObject], None],
    ) -> None:
        """Own orders as the daemon ``name``, beside whose target ``gate`` is.

        Nothing is written while the store is unreachable. ``announce`` sends
        steps that have been written to all daemons.
        """
        self._announce = announce
        self._name = name
        self._bound = bound
        self._state = state
        self._gate = gate
        self._store = store
        self._is_store_reachable = is_store_reachable
        self._messenger = messenger
        self._start_task = start_task
        # By service.
        self._drivers: dict[str, RolloutDriver] = {}
        self._failures: dict[str, _Failures] = {}
        # Services for which a write is on its way.
        self._writing: set[str] = set()

    async def run(self) -> None:
        """Look after all orders until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            for rollout in self._state.rollouts.all():
                if rollout.order.ended_state is None:
                    self._try_look_after(rollout)
                else:
                    self._drivers.pop(rollout.order.service, None)

    def _try_look_after(self, rollout: ServiceRollout) -> None:
        """Look after an order, whose faults must not end the daemon."""
        try:
            self._look_after(rollout)
        except Exception as error:
            self._log_fault(rollout, error)

    async def _tick(self, driver: RolloutDriver) -> None:
        try:
            await driver.tick()
        except Exception as error:
            self._log_fault(driver.rollout, error)

    def _log_fault(self, rollout: ServiceRollout, error: Exception) -> None:
        if self._failures_of(rollout).is_new(repr(error)):
            _log.error(
                'order not carried out',
                service=rollout.order.service,
                why=repr(error),
            )

    def _look_after(self, rollout: ServiceRollout) -> None:
        service = rollout.order.service
        driver = self._drivers.get(service)
        if driver is not None and driver.rollout is not rollout:
            driver = None
            self._drivers.pop(service)
        step = rollout.step
        is_owner = step is not None and step.owner == self._name
        if not is_owner:
            self._drivers.pop(service, None)
            if self._is_store_reachable() and self._may_take_over(rollout):
                self._take_over(rollout)
            return
        if driver is None:
            # This daemon has restarted, or its first write has been confirmed
            # by the watch only.
            driver = self._make_driver(rollout)
        if rollout.ended is not None:
            # A restored store has lost the status.
            self._write_status(rollout, rollout.ended)
        elif not rollout.order.is_running:
            self._write_status(rollout, OrderState.RUNNING)
        if rollout.ended is None and not driver.is_busy:
            self._start_task(self._tick(driver))

    def _make_driver(self, rollout: ServiceRollout) -> RolloutDriver:
        driver = RolloutDriver(
            self._name,
            rollout,
            self._bound,
            self._state,
            self._gate,
            self._messenger,
            self._write_step,
            self._write_status,
            self._is_store_reachable,
        )
        self._drivers[rollout.order.service] = driver
        return driver

    def _take_over(self, rollout: ServiceRollout) -> None:
        if rollout.order.find_problem():
            if self._failures_of(rollout).is_new('order refused'):
                _log.warning(
                    'order refused',
                    service=rollout.order.service,
                    why=rollout.order.find_problem(),
                )
            self._write_status(rollout, OrderState.ROLLED_BACK)
            return
        driver = self._make_driver(rollout)
        self._write_step(driver.first_step(self._state.rollouts.now_s()))

    def is_candidate(self) -> bool:
        """Return whether this daemon may carry out an order that is known."""
        return any(
            self._rank(rollout) is not None
            for rollout in self._state.rollouts.all()
        )

    def _may_take_over(self, rollout: ServiceRollout) -> bool:
        now_s = self._state.rollouts.now_s()
        rank = self._rank(rollout)
        if rank is None:
            return False
        wait_s = rank * TAKEOVER_STEP_S
        if rollout.step is None:
            return now_s - rollout.seen_s >= wait_s
        own_entry = self._state.members.get(self._name)
        is_asked = own_entry is not None and own_entry.serves(
            rollout.order.service
        )
        wait_s += ASKED_TAKEOVER_S if is_asked else TAKEOVER_S
        return now_s - rollout.able_sign_s >= wait_s

    def _rank(self, rollout: ServiceRollout) -> int | None:
        """Return the position of this daemon among the candidates.

        Daemons beside the new version come first: their gates know of a
        missing owner by themselves.
        """
        order = rollout.order

        def sort_key(entry: MemberEntry) -> tuple[int, int]:  # noqa: WPS430
            distance = 2
            if entry.target is not None and entry.serves(order.service):
                distance = int(entry.target.version != order.to_version)
            digest = zlib.crc32(f'{order.key}/{entry.name}'.encode())
            return distance, digest

        candidates = heapq.nsmallest(
            CANDIDATE_COUNT,
            (
                entry
                for entry in self._state.members.entries()
                if not entry.is_leaving
            ),
            key=sort_key,
        )
        names = [entry.name for entry in candidates]
        return names.index(self._name) if self._name in names else None

    def _write_step(self, step: RolloutStep) -> None:
        _log.debug(
            'step planned',
            service=step.service,
            number=step.number,
            phase=step.phase.name.lower(),
            share=step.share,
            reserved_count=step.reserved_count,
        )
        self._start_write(
            step.service,
            SharedObject(
                SharedKind.ROLLOUT_STEP,
                step.service,
                0,
                is_deleted=False,
                content=msgspec.json.encode(step),
            ),
            self._state.get(SharedKind.ROLLOUT_STEP, step.service),
        )

    def _write_status(self, rollout: ServiceRollout, state: OrderState) -> bool:
        """Start to write a status; return whether that was possible."""
        order = rollout.order
        held = self._state.get(SharedKind.ROLLOUT, order.service)
        if held is None or self._state.rollouts.get(order.service) is not (
            rollout
        ):
            return False
        status = {'state': state.value, 'to_version': order.to_version}
        return self._start_write(
            order.service,
            SharedObject(
                SharedKind.ROLLOUT,
                order.service,
                0,
                is_deleted=False,
                content=msgspec.json.encode(status),
            ),
            held,
        )

    def _start_write(
        self, service: str, written: SharedObject, held: SharedObject | None
    ) -> bool:
        """Start a write unless one is on its way or has just failed.

        What is not written now is decided again at the next tick.
        """
        rollout = self._state.rollouts.get(service)
        if rollout is None or service in self._writing:
            return False
        now_s = self._state.rollouts.now_s()
        failures = self._failures_of(rollout)
        if now_s - failures.failed_s < failures.retry_s(rollout, now_s):
            return False
        if not self._is_store_reachable():
            return False
        self._writing.add(service)
        self._start_task(self._write(service, written, held, failures))
        return True

    def _failures_of(self, rollout: ServiceRollout) -> _Failures:
        service = rollout.order.service
        failures = self._failures.get(service)
        if failures is None or failures.order_key != rollout.order.key:
            failures = _Failures(rollout.order.key)
            self._failures[service] = failures
        return failures

    async def _write(
        self,
        service: str,
        written: SharedObject,
        held: SharedObject | None,
        failures: _Failures,
    ) -> None:
        is_status = written.kind is SharedKind.ROLLOUT
        try:
            stored = await self._store.write_object(
                written, held, is_status=is_status
            )
        except Exception as error:
            # If it was written all the same, the watch reports it. No fault of
            # one order may end the daemon.
            failures.note(self._state.rollouts.now_s())
            why = str(error) or repr(error)
            if failures.is_new(why):
                _log.info(
                    'progress not written',
                    service=service,
                    kind=written.kind.value,
                    why=why,
                )
        else:
            failures.count = 0
            if is_status:
                _log.info(
                    'status written',
                    service=service,
                    status=written.content.decode(),
                )
            self._state.merge([stored], 'store')
            if not is_status:
                self._announce(stored)
        finally:
            self._writing.discard(service)


def rollout_kinds(bounds: MeshBounds) -> tuple[SharedKind, ...]:
    """Return the kinds to watch; none where there are no rollouts."""
    return () if bounds.exposure_share is None else ROLLOUT_KINDS


def make_rollout_owner(
    name: str,
    bounds: MeshBounds,
    state: FleetState,
    gate: RolloutGate,
    store: Store,
    is_store_reachable: Callable[[], bool],
    messenger: Messenger,
    start_task: Callable[[Coroutine[Any, Any, None]], None],
    announce: Callable[[SharedObject], None],
) -> RolloutOwner | None:
    """Return an owner, ``None`` where there are no rollouts."""
    if bounds.exposure_share is None:
        return None
    return RolloutOwner(
        name,
        ExposureBound(bounds.exposure_share, bounds.exposure_slack_count),
        state,
        gate,
        store,
        is_store_reachable,
        messenger,
        start_task,
        announce,
    )
