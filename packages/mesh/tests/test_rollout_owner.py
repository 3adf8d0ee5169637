"""Owners of orders whose writes fail."""

import asyncio

import pytest
from cornelbeam_core.rollout_orders import RolloutOrder
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
        )
        self.order()

    def order(self, to_version='v2') -> None:
        """Replace the order by another one that can't be carried out."""
        self.rollouts._rollouts[SERVICE] = ServiceRollout(
            RolloutOrder(SERVICE, to_version, 0), frozenset(), self.now_s
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
