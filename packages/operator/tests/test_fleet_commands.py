"""Tests of the commands for failure domains, labels, daemons and routes."""

import httpx
import pytest

ADMIN = '10.0.0.1:9100'


def seed_domains(store, **domains):
    for name, is_in_service in domains.items():
        store.seed('failure-domain', name, {'is_in_service': is_in_service})


class TestDomains:
    """Guards against changing the wrong or the last failure domain."""

    def test_out_and_back(self, terminal, store):
        seed_domains(store, Langley=True, Mission=True)
        assert terminal.run('take-out', 'Langley') == 0
        found = store.state.find('failure-domain', 'Langley')
        assert found.spec == {'is_in_service': False}
        assert terminal.run('take-out', 'Langley') == 0
        assert 'unchanged' in terminal.stdout
        assert terminal.run('bring-back', 'Langley') == 0
        found = store.state.find('failure-domain', 'Langley')
        assert found.spec == {'is_in_service': True}

    def test_misspelled_name_creates_nothing(self, terminal, store):
        seed_domains(store, Langley=True, Mission=True)
        assert terminal.run('take-out', 'Langly') == 4
        assert 'did you mean "Langley"?' in terminal.stderr
        assert store.state.find('failure-domain', 'Langly') is None

    def test_last_one_needs_a_confirmation(self, terminal, store):
        seed_domains(store, Langley=True, Mission=False)
        assert terminal.run('take-out', 'Langley') == 3
        assert terminal.run('take-out', 'Langley', '--allow-last') == 0

    def test_two_operators_take_out_the_last_two(self, terminal, store):
        seed_domains(store, Langley=True, Mission=True)
        store.rivals = [
            ('failure-domain', 'Mission', {'is_in_service': False}),
        ]
        assert terminal.run('take-out', 'Langley') == 0
        assert 'no failure domain is in service' in terminal.stderr

    def test_dry_run(self, terminal, store):
        seed_domains(store, Langley=True, Mission=True)
        assert terminal.run('take-out', 'Langley', '--dry-run') == 0
        assert store.state.revision == 2


class TestLabels:
    """Guards against lost or malformed labels."""

    def test_set_and_remove(self, terminal, store):
        assert terminal.run('label', 't1', 'tier=gold', 'trial=1') == 0
        assert terminal.run('label', 't1', 'tier=silver', 'trial-') == 0
        found = store.state.find('labels', 't1')
        assert found.spec == {'labels': {'tier': 'silver'}}

    def test_label_that_daemons_set(self, terminal):
        assert terminal.run('label', 't1', 'domain=Mission') == 0
        assert '"domain" has no effect' in terminal.stderr

    @pytest.mark.parametrize(
        ('target', 'change', 'exit_code'),
        [('t1', 'tier', 2), ('t1', '=gold', 3), ('t/1', 'tier=gold', 3)],
    )
    def test_malformed(self, terminal, store, target, change, exit_code):
        assert terminal.run('label', target, change) == exit_code
        assert not store.state.revision


class TestWait:
    """Guards against reporting a change as in force while a member lags."""

    def test_waits_for_the_last_member(self, terminal, store):
        store.seed('service', 'windows', {})
        members = [{'name': 'a', 'revision': 1}, {'name': 'b', 'revision': 0}]
        late = {'members': members}
        done = {'members': [{**each, 'revision': 1} for each in members]}
        terminal.answers['GET 10.0.0.1/fleet'] = [late, late, done]
        assert terminal.run('wait', ADMIN) == 0
        assert terminal.stdout == 'revision 1 is in force at 2 members\n'
        assert len(terminal.pauses) == 2

    def test_names_who_lags(self, terminal):
        members = [
            {'name': 'a', 'revision': 6},
            {'name': 'b', 'revision': 7},
            {'name': 'c', 'revision': 1, 'state': 'dead'},
        ]
        terminal.answers['GET 10.0.0.1/fleet'] = [{'members': members}]
        content = terminal.run_json(
            'wait',
            ADMIN,
            '10.0.0.2:9100',
            '--revision',
            '7',
            '--wait-s',
            '2',
        )
        assert content['exit_code'] == 8
        assert content['lagging'] == [
            'a is at revision 6',
            '10.0.0.2:9100 does not answer: refused',
        ]

    def test_outdated_revision_of_a_member_is_ignored(self, terminal):
        for number, revision in enumerate((7, 5), start=1):
            answer = {'members': [{'name': 'a', 'revision': revision}]}
            terminal.answers[f'GET 10.0.0.{number}/fleet'] = [answer]
        addresses = (ADMIN, '10.0.0.2:9100')
        assert terminal.run('wait', *addresses, '--revision', '7') == 0

    def test_latest_revision_covers_a_deletion(self, terminal, store):
        store.seed('service', 'windows', {})
        store.seed('service', 'windows', None)
        members = [{'name': 'a', 'revision': 1}]
        terminal.answers['GET 10.0.0.1/fleet'] = [{'members': members}]
        assert terminal.run('wait', ADMIN) == 8

    def test_known_revision_needs_no_store(self, terminal, store):
        store.is_unavailable = True
        members = [{'name': 'a', 'revision': 7}]
        terminal.answers['GET 10.0.0.1/fleet'] = [{'members': members}]
        assert terminal.run('wait', ADMIN) == 6
        assert terminal.run('wait', ADMIN, '--revision', '7') == 0

    def test_needs_an_address(self, terminal):
        assert terminal.run('wait') == 2


class TestDaemons:
    """Guards against wrong reports about a daemon that did not answer."""

    def test_drain(self, terminal):
        terminal.answers['POST 10.0.0.1/drain'] = [{}]
        assert terminal.run('drain', ADMIN) == 0

    def test_drain_dry_run(self, terminal):
        terminal.answers['GET 10.0.0.1/status'] = [{'in_flight': 3}]
        assert terminal.run('drain', ADMIN, '--dry-run') == 0
        assert 'in_flight: 3' in terminal.stdout

    @pytest.mark.parametrize(
        ('status', 'exit_code'),
        [
            ({'is_leaving': True}, 0),
            ({'is_leaving': False}, 6),
            (httpx.ReadError('reset'), 7),
        ],
    )
    def test_lost_answer(self, terminal, status, exit_code):
        terminal.answers['POST 10.0.0.1/drain'] = [httpx.ReadError('reset')]
        terminal.answers['GET 10.0.0.1/status'] = [status]
        assert terminal.run('drain', ADMIN) == exit_code

    def test_unreachable(self, terminal):
        assert terminal.run('drain', ADMIN) == 6
        assert terminal.run('status', ADMIN) == 6
        assert 'peer_unreachable at GET /status' in terminal.stderr

    def test_status_of_the_store(self, terminal, store):
        seed_domains(store, Langley=True, Mission=False)
        assert terminal.run('status') == 0
        assert 'revision: 2' in terminal.stdout
        assert 'Mission: "out of service (version 1, rival)"' in terminal.stdout


class TestExplain:
    """Guards against explanations that differ from the actual routing."""

    @pytest.fixture(autouse=True)
    def objects(self, store):
        seed_domains(store, Langley=False)
        store.seed('service', 'billing-desk', {})
        store.seed('labels', 't1', {'labels': {'tier': 'gold'}})
        store.seed('labels', 't2', {'labels': {}})
        store.seed('selector', 'all', {'timeout_ms': 9})
        store.seed(
            'selector',
            'once',
            {
                'priority': 5,
                'methods': ['POST'],
                'header_equals': {'desk': '1'},
                'target_labels': {'tier': ['gold']},
                'repeat': 'never',
            },
        )

    def explain(self, terminal, *arguments):
        content = terminal.run_json('explain', 'billing-desk', *arguments)
        return content['explanation']

    def test_reasons(self, terminal):
        explanation = self.explain(terminal, 'post', '/payments', 'Desk=1')
        assert explanation['selectors_that_apply'] == ['once']
        assert explanation['selectors_overridden'] == {
            'all': 'priority 0 is below 5',
        }
        assert explanation['targets_eligible_by_labels'] == ['t1']
        assert explanation['targets_excluded_by_labels'] == {
            't2': 'label tier is missing, allowed: gold',
        }
        assert not explanation['is_repeatable']
        assert explanation['domains_out_of_service'] == ['Langley']

    def test_reasons_against_a_match(self, terminal):
        explanation = self.explain(terminal, 'GET', '/')
        assert explanation['selectors_that_apply'] == ['all']
        assert explanation['timeout_ms'] == 9
        assert explanation['selectors_not_matching'] == {
            'once': 'method GET is not one of POST; header desk is not "1"',
        }

    def test_labels_that_daemons_set(self, terminal, store):
        labels = {'domain': ['Langley']}
        store.seed('selector', 'near', {'priority': 9, 'target_labels': labels})
        explanation = self.explain(terminal, 'GET', '/')
        assert explanation['targets_eligible_by_labels'] == ['t1', 't2']

    def test_asks_a_daemon(self, terminal):
        terminal.answers['GET 10.0.0.1/explain'] = [{'eligible': ['t1']}]
        explanation = self.explain(terminal, 'GET', '/', '--admin', ADMIN)
        assert explanation == {'eligible': ['t1']}


class TestCommandLine:
    """Guards against help without examples or exit codes."""

    @pytest.mark.parametrize(
        ('arguments', 'text'),
        [
            (['--help'], 'another write came first'),
            (['apply', '--help'], 'cornelbeamctl apply selectors.jsonc'),
            (['take-out', '--help'], 'cornelbeamctl take-out depot-east'),
        ],
    )
    def test_help(self, terminal, capsys, arguments, text):
        with pytest.raises(SystemExit) as caught:
            terminal.run(*arguments)
        assert caught.value.code == 0
        assert text in capsys.readouterr().out

    def test_wrong_arguments(self, terminal, capsys):
        with pytest.raises(SystemExit) as caught:
            terminal.run('take-in', 'Langley')
        assert caught.value.code == 2
        assert 'take-in' in capsys.readouterr().err
