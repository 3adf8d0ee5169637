"""What the gate beside a target allows while an order runs."""

import msgspec
import pytest
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.placement import Candidate
from cornelbeam_core.rollout_orders import (
    OrderState,
    Phase,
    RolloutOrder,
    RolloutStep,
)
from cornelbeam_core.shared_objects import SharedKind, SharedObject
from cornelbeam_mesh.members import MemberEntry, Members, TargetEntry
from cornelbeam_mesh.rollout_gate import CLOSING_DELAY_S, RolloutGate
from cornelbeam_mesh.rollout_ledger import GateLedger
from cornelbeam_mesh.rollout_view import RolloutView
from cornelbeam_wire.gen import messages

SERVICE = 'yard'
DURATION_S = 12


class GateBench:
    """Gate of one version, with a clock and a store that tests set."""

    def __init__(self, version) -> None:
        """Start with one target of each version and no order."""
        self.now_s = 100
        self.is_store_reachable = True
        self.members = Members('v1')
        self.targets = {}
        for name in ('v1', 'v2', 'v3'):
            target = TargetEntry(name, 1, 1, SERVICE, 6, False, name)
            self.targets[name] = target
            self.members.update(
                MemberEntry(
                    name, 'north', f'10.0.0.{name[1]}:1', 1, 1, False, target
                )
            )
        self.view = RolloutView(self.members, lambda: self.now_s)
        self.gate = RolloutGate(
            self.view,
            lambda: self.targets[version],
            None,
            None,
            lambda: self.is_store_reachable,
            lambda: True,
        )

    def apply(self, kind, value) -> None:
        """Receive an object."""
        content = msgspec.json.encode(value)
        shared_object = SharedObject(kind, SERVICE, 1, False, content)
        if kind is SharedKind.ROLLOUT:
            self.view.apply_order(shared_object, 'store')
        else:
            self.view.apply_step(shared_object, 'store')

    def order(self, to_version='v2', state=None, state_version='') -> None:
        """Receive an order; its status is about it or another version."""
        self.apply(
            SharedKind.ROLLOUT,
            RolloutOrder(
                SERVICE,
                to_version,
                DURATION_S,
                '1',
                state,
                state_version or to_version,
            ),
        )

    def step(self, phase, number=1) -> None:
        """Receive a step."""
        self.apply(
            SharedKind.ROLLOUT_STEP,
            RolloutStep(SERVICE, '1/v2', 'v1', number, phase, 0.1, 0, 10),
        )

    def grant(self, count, number=1, phase=Phase.TRIAL):
        """Receive a query of the owner; return the counts."""
        return self.gate.answer_query(
            messages.RolloutQuery(SERVICE, '1/v2', number, phase, count)
        )

    def withdraw(self, name) -> None:
        """Remove the target of a version."""
        self.members.remove(name)
        self.view.forget_versions()

    def drain(self, name) -> None:
        """Let the target of a version accept no more requests."""
        entry = self.members.get(name)
        self.members.update(
            msgspec.structs.replace(
                entry,
                sequence=entry.sequence + 1,
                target=msgspec.structs.replace(
                    entry.target, sequence=2, is_draining=True
                ),
            )
        )
        self.view.forget_versions()

    def arranged(self) -> list[str]:
        """Return the versions that a sender may send a request to."""
        ranked = [
            Candidate(entry.name, 1, 0, False)
            for entry in self.members.entries()
        ]
        return [each.name for each in self.view.arrange(SERVICE, ranked)]

    @property
    def is_open(self) -> bool:
        """Whether the gate lets a request pass now."""
        try:
            self.gate.check()
        except CornelbeamError:
            return False
        return True


class TestNewVersion:
    """Guards against more requests than the owner has granted."""

    def test_nothing_before_the_first_grant(self):
        bench = GateBench('v2')
        assert bench.is_open
        bench.order()
        assert not bench.is_open
        bench.step(Phase.TRIAL)
        assert not bench.is_open

    def test_late_query_takes_nothing_back_and_adds_nothing(self):
        bench = GateBench('v2')
        bench.order()
        bench.grant(2, number=5)
        bench.grant(9, number=4)
        passed_count = 0
        while bench.is_open:
            bench.gate._start('read')
            passed_count += 1
        assert passed_count == 2

    def test_stopped_stays_stopped(self):
        bench = GateBench('v2')
        bench.order()
        bench.grant(9, phase=Phase.STOPPED)
        bench.step(Phase.FINAL, number=7)
        assert not bench.is_open

    def test_cut_off_gate_uses_up_its_grant_only(self):
        bench = GateBench('v2')
        bench.order()
        bench.grant(1)
        bench.is_store_reachable = False
        bench.gate._start('read')
        bench.now_s += DURATION_S
        assert not bench.is_open

    @pytest.mark.parametrize('state', [OrderState.ROLLED_BACK, None])
    def test_earlier_version_stays_out_during_a_second_order(self, state):
        bench = GateBench('v2')
        bench.order(state=state)
        bench.order('v3')
        assert not bench.is_open


class TestOldVersion:
    """Guards against requests that run when the old version is stopped."""

    def test_senders_have_time_to_learn_of_the_final_phase(self):
        bench = GateBench('v1')
        bench.order()
        bench.step(Phase.FINAL)
        assert bench.is_open
        assert bench.grant(0).phase == Phase.TRIAL
        bench.now_s += CLOSING_DELAY_S
        assert not bench.is_open
        assert bench.grant(0).phase == Phase.FINAL

    def test_cut_off_gate_closes_before_the_limit_and_opens_later(self):
        bench = GateBench('v1')
        bench.order()
        bench.grant(0)
        bench.is_store_reachable = False
        bench.now_s += DURATION_S - 4
        assert bench.is_open
        bench.now_s += 1
        assert not bench.is_open
        bench.now_s += 7
        assert bench.is_open

    def test_cut_off_gate_stays_open_after_the_version_was_stopped(self):
        bench = GateBench('v1')
        bench.order()
        bench.grant(0, phase=Phase.STOPPED)
        bench.is_store_reachable = False
        bench.now_s += DURATION_S - 1
        assert bench.is_open

    def test_gate_that_hears_of_the_owner_stays_open(self):
        bench = GateBench('v1')
        bench.order()
        bench.is_store_reachable = False
        bench.now_s += DURATION_S - 1
        bench.grant(0)
        assert bench.is_open

    def test_rolled_back_order_keeps_the_old_version(self):
        bench = GateBench('v1')
        bench.order(state=OrderState.ROLLED_BACK)
        assert bench.is_open


class TestCompletedOrder:
    """Guards against an ended order that blocks all later versions."""

    @pytest.mark.parametrize('version', ['v1', 'v3'])
    @pytest.mark.parametrize('leave', [GateBench.withdraw, GateBench.drain])
    def test_other_version_serves_once_the_new_one_has_left(
        self, version, leave
    ):
        bench = GateBench(version)
        bench.order(state=OrderState.COMPLETED)
        assert not bench.is_open
        leave(bench, 'v2')
        assert bench.is_open

    def test_old_version_stays_closed_in_the_final_phase(self):
        bench = GateBench('v1')
        bench.order()
        bench.step(Phase.FINAL)
        bench.withdraw('v2')
        assert bench.is_open
        bench.now_s += CLOSING_DELAY_S
        assert not bench.is_open

    def test_next_order_reported_with_the_completion_keeps_the_version(self):
        bench = GateBench('v2')
        bench.order()
        bench.step(Phase.FINAL)
        bench.order('v3', OrderState.COMPLETED, 'v2')
        assert bench.is_open
        assert bench.arranged() == ['v1', 'v2']

    def test_next_order_reported_with_the_rollback_keeps_it_out(self):
        bench = GateBench('v2')
        bench.order()
        bench.order('v3', OrderState.ROLLED_BACK, 'v2')
        assert not bench.is_open
        assert bench.arranged() == ['v1']


class TestRejectedVersion:
    """Guards against a service without targets, as all are rejected."""

    def test_last_other_version_serves_during_the_next_order(self):
        bench = GateBench('v2')
        bench.order()
        bench.order('v3')
        assert not bench.is_open
        bench.withdraw('v1')
        assert bench.is_open
        assert bench.arranged() == ['v2']


class TestWithdrawnRequest:
    """Guards against counts that fall, as those of a restarted daemon do."""

    def test_reported_count_never_falls(self):
        bench = GateBench('v2')
        bench.order()
        bench.grant(9)
        ledger = GateLedger('v2', 9)
        entry = bench.members.get('v2')
        bench.gate._start('read')
        counted = bench.gate._start('read')
        ledger.note(entry, bench.grant(9, 2), 1)
        bench.gate._withdraw(counted)
        ledger.note(entry, bench.grant(9, 3), 2)
        assert (ledger.total_count, ledger.spent_count) == (2, 9)
        bench.gate._start('read')
        bench.gate._start('read')
        ledger.note(entry, bench.grant(9, 4), 3)
        assert (ledger.total_count, ledger.spent_count) == (3, 9)

    def test_withdrawn_request_uses_no_grant_up(self):
        bench = GateBench('v2')
        bench.order()
        bench.grant(1)
        counted = bench.gate._start('read')
        bench.grant(1, 2)
        bench.gate._withdraw(counted)
        assert bench.is_open
