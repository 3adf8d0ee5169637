"""Owners of orders whose writes fail."""

import asyncio

import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.rollout_orders import OrderState, RolloutOrder
from cornelbeam_core.rollout_plan import ExposureBound
from cornelbeam_mesh import rollout_owner as owners
from cornelbeam_mesh.members import MemberEntry, Members
from cornelbeam_mesh.rollout_view import RolloutView, ServiceRollout

SERVICE = 'yard'


class StopError(Exception):
    """End of the time that the owner runs."""


class LogRecorder:
    """Log that keeps the sentences written to it."""

    def __init__(self) -> None:
        """Start empty."""
        self.sentences = []

    def note(self, sentence, **fields) -> None:
        """Keep a sentence."""
        self.sentences.append(sentence)

    info = note
    warning = note
    error = note


class OwnerBench:
    """Owner with an order to refuse, a clock and a store that always fails."""

    def __init__(self, monkeypatch, error) -> None:
        """Start with one order that can't be carried out."""
        self.now_s = 100
        self.error = error
        self.write_times = []
        self.tasks = []
        self.log = LogRecorder()
        monkeypatch.setattr(owners, 'anyio', self)
        monkeypatch.setattr(owners, '_log', self.log)
        self.members = Members('a')
        self.members.update(
            MemberEntry('a', 'north', '10.0.0.1:1', 1, 1, False, None)
        )
        self.rollouts = RolloutView(self.members, lambda: self.now_s)
        self.owner = owners.RolloutOwner(
            'a',
            ExposureBound(0.1, 50),
            self,
            None,
            self,
            lambda: True,
            None,
            lambda work: self.tasks.append(asyncio.create_task(work)),
            lambda step: None,
        )
        self.order()

    def order(self, to_version='v2', duration_s=0) -> None:
        """Replace the order; one without a duration can't be carried out."""
        self.rollouts._rollouts[SERVICE] = ServiceRollout(
            RolloutOrder(SERVICE, to_version, duration_s),
            frozenset(),
            self.now_s,
        )

    def get(self, kind, name) -> str:
        """Return any object that is held."""
        return 'held'

    async def write_object(self, written, held, *, is_status=False):
        """Fail."""
        self.write_times.append(self.now_s)
        raise self.error

    async def sleep(self, duration_s) -> None:
        """Let the started tasks run, and the time pass."""
        await asyncio.gather(*self.tasks)
        self.tasks.clear()
        self.now_s += duration_s
        if self.now_s > self.end_s:
            raise StopError

    async def write_status(self, rollout) -> None:
        """Let the owner write a status."""
        self.owner._write_status(rollout, OrderState.ROLLED_BACK)
        await asyncio.gather(*self.tasks)
        self.tasks.clear()

    def run(self, duration_s) -> None:
        """Let the owner run for some time."""
        self.end_s = self.now_s + duration_s
        with pytest.raises(StopError):
            asyncio.run(self.owner.run())


class TestFaults:
    """Guards against a fault of one order that ends the daemon."""

    def test_error_of_another_type_is_a_failed_write(self, monkeypatch):
        bench = OwnerBench(monkeypatch, ValueError('odd'))
        bench.run(2)
        assert len(bench.write_times) > 1
        assert 'progress not written' in bench.log.sentences

    def test_fault_of_the_loop_is_logged(self, monkeypatch):
        bench = OwnerBench(monkeypatch, None)
        bench.members = None
        bench.run(1)
        assert 'order not carried out' in bench.log.sentences


class TestRefusedOrder:
    """Guards against an order that makes store calls and logs without end."""

    def test_logs_and_calls_get_fewer(self, monkeypatch):
        bench = OwnerBench(
            monkeypatch, CornelbeamError(ErrorCode.STORE_CONFLICT, 'write')
        )
        bench.run(600)
        assert len(bench.log.sentences) == 2
        assert 10 <= len(bench.write_times) <= 20
        first, second, third = bench.write_times[:3]
        assert second - first <= 1
        assert third - second <= 2

    def test_next_order_is_written_at_once(self, monkeypatch):
        bench = OwnerBench(
            monkeypatch, CornelbeamError(ErrorCode.STORE_CONFLICT, 'write')
        )
        bench.run(600)
        count = len(bench.write_times)
        bench.order('v3')
        bench.run(1)
        assert len(bench.write_times) > count
        assert bench.log.sentences.count('order refused') == 2

    def test_status_of_a_running_order_is_tried_each_second(self, monkeypatch):
        bench = OwnerBench(
            monkeypatch, CornelbeamError(ErrorCode.STORE_UNAVAILABLE, 'write')
        )
        bench.order(duration_s=30)
        rollout = bench.rollouts.get(SERVICE)
        for _ in range(30):
            bench.now_s += 1
            count = len(bench.write_times)
            asyncio.run(bench.write_status(rollout))
            assert len(bench.write_times) == count + 1
