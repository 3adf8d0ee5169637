"""Tests of write conflicts between operators and of lost answers."""

import pytest

ONCE = {'kind': 'selector', 'name': 'once', 'spec': {'repeat': 'never'}}
RIVAL = ('selector', 'once', {'repeat': 'allowed'})


class TestRaces:
    """Guards against silently overwriting another operator's change."""

    def test_loser_sees_what_changed(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {'priority': 1})
        terminal.store.rivals = [RIVAL]
        assert terminal.run('apply', write_file(ONCE)) == 5
        assert 'expected version 1, but the store has' in terminal.stderr
        assert 'version 2, rival' in terminal.stderr
        assert '-  "priority": 1' in terminal.stdout
        assert '+  "repeat": "allowed"' in terminal.stdout
        assert terminal.store.state.find('selector', 'once').version == 2

    def test_version_named_in_the_file(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {'priority': 1})
        terminal.store.seed(*RIVAL)
        assert terminal.run('apply', write_file({**ONCE, 'version': 1})) == 5
        assert 'expected version 1' in terminal.stderr
        assert not terminal.store.write_ids
        assert terminal.run('apply', write_file({**ONCE, 'version': 2})) == 0

    def test_version_zero_must_not_exist(self, terminal, write_file):
        terminal.store.seed(*RIVAL)
        assert terminal.run('apply', write_file({**ONCE, 'version': 0})) == 5

    def test_label_keeps_labels_of_a_rival(self, terminal):
        terminal.store.seed('labels', 't1', {'labels': {'tier': 'gold'}})
        terminal.store.rivals = [
            ('labels', 't1', {'labels': {'tier': 'gold', 'disk': 'ssd'}}),
        ]
        assert terminal.run('label', 't1', 'tier=silver') == 5
        assert '+    "disk": "ssd"' in terminal.stdout
        assert terminal.run('label', 't1', 'tier=silver') == 0
        labels = terminal.store.state.find('labels', 't1').spec['labels']
        assert labels == {'tier': 'silver', 'disk': 'ssd'}

    @pytest.mark.parametrize('moment', ['rivals', 'early_rivals'])
    def test_new_labels_of_a_rival(self, terminal, moment):
        rival = ('labels', 't1', {'labels': {'disk': 'ssd'}})
        setattr(terminal.store, moment, [rival])
        assert terminal.run('label', 't1', 'tier=silver') == 5
        labels = terminal.store.state.find('labels', 't1').spec['labels']
        assert labels == {'disk': 'ssd'}

    def test_deleted_meanwhile(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {'priority': 1})
        terminal.store.rivals = [('selector', 'once', None)]
        assert terminal.run('apply', write_file(ONCE)) == 5
        assert 'deleted as version 2, rival' in terminal.stderr


class TestLostAnswers:
    """Guards against a wrong report about a write whose answer was lost."""

    def outcome(self, terminal, file):
        content = terminal.run_json('apply', file)
        report = content['objects'][0]
        return report['outcome'], report['detail']

    def test_took_effect(self, terminal, write_file):
        terminal.store.script = ['lost']
        outcome, detail = self.outcome(terminal, write_file(ONCE))
        assert outcome == 'written'
        assert 'the write took effect' in detail
        assert terminal.store.write_ids == ['write-1']

    def test_sent_again_with_the_same_write_id(self, terminal, write_file):
        terminal.store.script = ['dropped', 'dropped', 'ok']
        outcome, detail = self.outcome(terminal, write_file(ONCE))
        assert outcome == 'written'
        assert 'took effect once' in detail
        assert terminal.store.write_ids == ['write-1', 'write-1', 'write-1']
        assert terminal.store.state.find('selector', 'once').version == 1

    def test_another_write_came_first(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {})
        terminal.store.script = ['dropped']
        terminal.store.rivals = [RIVAL]
        outcome, detail = self.outcome(terminal, write_file(ONCE))
        assert outcome == 'conflict'
        assert 'did not take effect' in detail

    def test_several_writes_followed(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {})
        terminal.store.script = ['dropped']
        terminal.store.rivals = [RIVAL, ('selector', 'once', {'priority': 3})]
        assert terminal.run('apply', write_file(ONCE)) == 7
        assert 'it is unknown whether write write-1' in terminal.stderr
        assert '+  "priority": 3' in terminal.stdout

    def test_store_stays_down(self, terminal, write_file):
        terminal.store.script = ['lost-and-down']
        assert terminal.run('apply', write_file(ONCE)) == 7
        assert len(terminal.pauses) == 5
        assert 'run diff once it does' in terminal.stderr

    @pytest.mark.parametrize('step', ['lost', 'dropped'])
    def test_lost_answer_of_a_deletion(self, terminal, step):
        terminal.store.seed('selector', 'once', {})
        terminal.store.script = [step]
        assert terminal.run('delete', 'selector', 'once') == 0
        assert terminal.store.state.find('selector', 'once').is_deleted

    def test_refused_write_is_not_sent_again(self, terminal, write_file):
        terminal.store.script = ['refused']
        assert terminal.run('apply', write_file(ONCE)) == 6
        assert terminal.store.write_ids == ['write-1']
