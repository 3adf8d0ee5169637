"""Orders of rollouts and the targets that get their share."""

import pytest
from cornelbeam_core.rollout_orders import (
    OrderState,
    RolloutOrder,
    active_names,
)


class TestOrders:
    """Guards against orders that are revived, or carried out by mistake."""

    @pytest.mark.parametrize(
        'duration_s', [0, -1, 4, 1e9, float('nan'), float('inf')]
    )
    def test_unreasonable_duration(self, duration_s):
        assert RolloutOrder('yard', 'v2', duration_s).find_problem()

    def test_status_of_an_earlier_version_does_not_end_an_order(self):
        order = RolloutOrder('yard', 'v3', 9, '7', OrderState.COMPLETED, 'v2')
        assert order.ended_state is None

    def test_status_keeps_an_order_ended(self):
        order = RolloutOrder('yard', 'v2', 9, '7', OrderState.ROLLED_BACK, 'v2')
        assert order.ended_state is OrderState.ROLLED_BACK

    def test_active_targets_only_join_when_the_share_grows(self):
        names = [f'place-{number}' for number in range(20)]
        few, spare = active_names('7/v2', names, 0.1)
        more, _ = active_names('7/v2', reversed(names), 0.3)
        assert few + spare == more[: len(few) + 1]

    def test_each_active_target_is_loaded_as_after_completion(self):
        names = [f'place-{number}' for number in range(36)]
        assert len(active_names('7/v2', names, 0.1)[0]) == 4
        assert len(active_names('7/v2', names[:6], 0.1)[0]) == 1
