"""Tests of errors, deadlines and the hop limit."""

import pytest
from cornelbeam_core.deadlines import check_deadline, check_hop_count
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState


class TestErrors:
    """Guards against a refusal that loses its code, step or peer."""

    def test_text_names_code_step_and_peer(self):
        error = CornelbeamError(ErrorCode.OVERLOADED, 'admission', 'yard-1')
        assert str(error) == 'overloaded at admission with yard-1'
        assert error.http_status == 503

    @pytest.mark.parametrize('code', list(ErrorCode))
    @pytest.mark.parametrize('run_state', list(RunState))
    def test_promise_needs_a_request_that_has_not_run(self, code, run_state):
        """After a 503 a caller repeats a booking, so it must not have run."""
        error = CornelbeamError(code, 'answer', run_state=run_state)
        if run_state is not RunState.NOT_RUN:
            assert error.http_status not in {408, 421, 429, 503}


class TestDeadlines:
    """Guards against forwarding requests past their deadline."""

    def test_deadline_in_the_past_is_not_run(self):
        with pytest.raises(CornelbeamError) as caught:
            check_deadline(1, 1, 'admission')
        assert caught.value.run_state is RunState.NOT_RUN

    def test_thirteen_hops_pass_and_fourteen_do_not(self):
        check_hop_count(13)
        with pytest.raises(CornelbeamError):
            check_hop_count(14)
