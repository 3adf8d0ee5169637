"""Orders of rollouts as this daemon knows them, and the choice of versions."""

import random
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, final

import msgspec
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.placement import Candidate
from cornelbeam_core.rollout_orders import (
    OrderState,
    Phase,
    RolloutOrder,
    RolloutStep,
    active_names,
)
from cornelbeam_core.shared_objects import SharedObject
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.members import Members

_log = get_log('rollout')
_order_decoder: Final = msgspec.json.Decoder(RolloutOrder)
_step_decoder: Final = msgspec.json.Decoder(RolloutStep)
_ENDED_PHASES: Final = {
    OrderState.COMPLETED: Phase.FINAL,
    OrderState.ROLLED_BACK: Phase.STOPPED,
}


# Step of the errors with which gates refuse what a rollout does not allow.
REFUSAL_STEP: Final = 'rollout'


def replacement_detail(order: RolloutOrder) -> str:
    """Return the detail of a refusal because of the final phase."""
    return f'its version is replaced by order {order.key}'


@final
class ServiceRollout:
    """The newest order of a service and its progress.

    ``phase`` only increases; it is ``None`` before the first step.
    ``ended`` is the final state, also if a restored store has lost it.
    Versions in ``rejected`` belong to earlier orders that did not complete.
    """

    __slots__ = (
        'able_sign_s',
        'ended',
        'order',
        'phase',
        'rejected',
        'seen_s',
        'sign_s',
        'step',
        'step_seen_s',
    )

    def __init__(
        self, order: RolloutOrder, rejected: frozenset[str], now_s: float
    ) -> None:
        """Start an order that this daemon has just learned of."""
        self.order = order
        self.rejected = rejected
        self.phase: Phase | None = None
        self.step: RolloutStep | None = None
        self.ended: OrderState | None = None
        self.seen_s = now_s
        self.step_seen_s = float('-inf')
        # Last time that the owner has shown that it is there.
        self.sign_s = float('-inf')
        # The same of an owner that reaches the store.
        self.able_sign_s = float('-inf')

    @property
    def share(self) -> float:
        """Share of the requests that goes to the new version."""
        if self.phase is Phase.TRIAL and self.step is not None:
            return self.step.share
        return int(self.phase is Phase.FINAL)

    def age_s(self, now_s: float) -> float:
        """Return the age of the order, as observed here or recorded."""
        age_s = now_s - self.seen_s
        if self.step is None:
            return age_s
        recorded_s = self.step.age_ms / MS_PER_S
        return max(age_s, recorded_s + now_s - self.step_seen_s)

    def note_sign(self, now_s: float, *, is_able: bool) -> None:
        """Record that the owner is there, and whether it can write."""
        self.sign_s = now_s
        if is_able:
            self.able_sign_s = now_s

    def note_phase(self, phase: Phase) -> None:
        """Record a phase that the owner or a gate has stated."""
        if self.phase is None or phase > self.phase:
            self.phase = phase

    def note_order(self, order: RolloutOrder) -> None:
        """Record a changed status or duration of the same order."""
        self.order = order
        if order.ended_state is not None:
            self.ended = order.ended_state
            self.phase = _ENDED_PHASES[order.ended_state]


@final
@dataclass(frozen=True, slots=True)
class _Versions:
    """Daemons beside targets of the new version, and of those it replaces.

    If only rejected versions are left, these count as old ones, and
    ``are_rejected_used`` holds: a service must not be left without targets.
    ``is_new_serving`` holds if a target of the new version accepts requests.
    """

    new: frozenset[str]
    old: frozenset[str]
    are_rejected_used: bool
    is_new_serving: bool


@final
class RolloutView:
    """Orders by service; empty where no operator has written any."""

    __slots__ = ('_members', '_rng', '_rollouts', '_versions', 'now_s')

    def __init__(
        self,
        members: Members,
        now_s: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Start without orders; ``members`` knows the versions of targets."""
        self._members = members
        self.now_s = now_s
        self._rng = rng or random.Random()
        self._rollouts: dict[str, ServiceRollout] = {}
        # By service, until members or orders change.
        self._versions: dict[str, _Versions] = {}

    def get(self, service: str) -> ServiceRollout | None:
        """Return the newest order of a service."""
        return self._rollouts.get(service)

    def all(self) -> Iterable[ServiceRollout]:
        """Return the newest order of each service."""
        return tuple(self._rollouts.values())

    def forget_versions(self) -> None:
        """Look up the versions again, as members have changed."""
        self._versions.clear()

    def apply_order(self, shared_object: SharedObject, source: str) -> None:
        """Take an order over that was written, changed or deleted."""
        self.forget_versions()
        name = shared_object.name
        known = self._rollouts.get(name)
        if shared_object.is_deleted:
            self._rollouts.pop(name, None)
            _log.info('order deleted', service=name, source=source)
            return
        try:
            order = _order_decoder.decode(shared_object.content)
        except (msgspec.MsgspecError, RecursionError) as error:
            _log.error('invalid order ignored', service=name, why=str(error))
            return
        if known is None or known.order.key != order.key:
            known = ServiceRollout(order, _rejected(known, order), self.now_s())
            self._rollouts[name] = known
            _log.info(
                'order received',
                service=name,
                to_version=order.to_version,
                duration_s=order.duration_s,
                why=order.find_problem(),
                source=source,
            )
        known.note_order(order)

    def apply_step(self, shared_object: SharedObject, source: str) -> None:
        """Take the progress of an order over."""
        known = self._rollouts.get(shared_object.name)
        if known is None or shared_object.is_deleted:
            return
        try:
            step = _step_decoder.decode(shared_object.content)
        except (msgspec.MsgspecError, RecursionError) as error:
            _log.error(
                'invalid step ignored',
                service=shared_object.name,
                why=str(error),
            )
            return
        if step.order_key != known.order.key:
            return
        if known.step is not None and step.number < known.step.number:
            return
        if known.step is None or known.step.share != step.share:
            _log.info(
                'share changed',
                service=step.service,
                to_version=known.order.to_version,
                share=step.share,
                phase=step.phase.name.lower(),
                owner=step.owner,
                source=source,
            )
        known.step = step
        known.step_seen_s = self.now_s()
        known.note_sign(known.step_seen_s, is_able=True)
        if known.ended is None:
            known.note_phase(step.phase)

    def is_mixed(self, rollout: ServiceRollout) -> bool:
        """Return whether targets of other versions than the new are known.

        False for an order that names no version: it changes nothing.
        """
        if not rollout.order.to_version:
            return False
        return bool(self._versions_of(rollout).old)

    def is_rejected(self, rollout: ServiceRollout, version: str) -> bool:
        """Return whether a version must get no requests during this order."""
        if version not in rollout.rejected:
            return False
        return not self._versions_of(rollout).are_rejected_used

    def is_replaced(self, rollout: ServiceRollout) -> bool:
        """Return whether only the new version may get requests.

        After the end of a completed order, other versions serve again once
        none of the new one accepts requests: it was withdrawn later.
        """
        if rollout.phase is not Phase.FINAL:
            return False
        is_ended = rollout.ended is not None
        return not is_ended or self._versions_of(rollout).is_new_serving

    def _versions_of(self, rollout: ServiceRollout) -> _Versions:
        service = rollout.order.service
        versions = self._versions.get(service)
        if versions is None:
            versions = _split_versions(rollout, self._members)
            self._versions[service] = versions
        return versions

    def arrange(
        self, service: str, ranked: list[Candidate]
    ) -> Sequence[Candidate]:
        """Return the candidates that a request may be sent to, best first.

        If the share sends it to the new version, the old one follows, as the
        gates of the new version may have no requests left that were granted.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return ranked
        if not self.is_mixed(rollout):
            return ranked
        versions = self._versions_of(rollout)
        share = rollout.share
        old: list[Candidate] = []
        if rollout.phase is not Phase.FINAL:
            old = [each for each in ranked if each.name in versions.old]
            if not share or self._rng.random() >= share:
                return old
        new = [each for each in ranked if each.name in versions.new]
        if rollout.phase is Phase.FINAL:
            # If none is left, the gates of the old version decide.
            return new or ranked
        names = [each.name for each in new]
        active, spare = active_names(rollout.order.key, names, share)
        first = [each for each in new if each.name in active]
        second = [each for each in new if each.name in spare]
        return first + second + old

    def note_refusal(self, service: str, error: CornelbeamError) -> None:
        """Learn from a gate that everything goes to the new version.

        A daemon may learn of the final phase later than the gates.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or error.step != REFUSAL_STEP:
            return
        if error.detail == replacement_detail(rollout.order):
            rollout.note_phase(Phase.FINAL)


def _rejected(
    known: ServiceRollout | None, order: RolloutOrder
) -> frozenset[str]:
    """Return the versions that a new order must not send anything to."""
    if known is None:
        return frozenset()
    rejected = known.rejected
    # A watch may report a completion only together with the next order.
    is_completed = known.ended is OrderState.COMPLETED or (
        order.state is OrderState.COMPLETED
        and order.state_version == known.order.to_version
    )
    if not is_completed:
        rejected |= {known.order.to_version}
    return rejected - {order.to_version}


def _split_versions(rollout: ServiceRollout, members: Members) -> _Versions:
    order = rollout.order
    new: set[str] = set()
    old: set[str] = set()
    rejected: set[str] = set()
    is_new_serving = False
    for entry in members.entries():
        if entry.target is None or entry.target.service != order.service:
            continue
        version = entry.target.version
        if version == order.to_version:
            new.add(entry.name)
            is_new_serving = is_new_serving or entry.is_serving
        elif version in rollout.rejected:
            rejected.add(entry.name)
        else:
            old.add(entry.name)
    are_rejected_used = bool(rejected) and not old
    return _Versions(
        frozenset(new),
        frozenset(rejected if are_rejected_used else old),
        are_rejected_used,
        is_new_serving,
    )
