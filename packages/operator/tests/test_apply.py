"""Tests of the subcommands apply, diff, get and delete."""

import pytest

ONCE = {'kind': 'selector', 'name': 'once', 'spec': {'repeat': 'never'}}
TIER = {'methods': ['POST'], 'target_labels': {'tier': ['gold']}}


def selector(name, tiers, **fields):
    spec = {'target_labels': {'tier': list(tiers)}, **fields}
    return {'kind': 'selector', 'name': name, 'spec': spec}


class TestApply:
    """Guards against writes that differ from the file."""

    def test_creates_then_finds_nothing_to_do(self, terminal, write_file):
        file = write_file(ONCE)
        assert terminal.run('apply', file) == 0
        assert terminal.stdout == (
            'selector/once created (version 1, revision 1, write write-1)\n'
        )
        assert terminal.run('apply', file) == 0
        assert terminal.stdout == 'selector/once unchanged (version 1)\n'
        assert terminal.store.state.revision == 1

    def test_spelled_out_default_is_no_change(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {'repeat': 'never'})
        spec = {'repeat': 'never', 'priority': 0, 'service': '*'}
        assert terminal.run('diff', write_file({**ONCE, 'spec': spec})) == 0

    def test_dry_run_writes_nothing(self, terminal, write_file):
        assert terminal.run('apply', write_file(ONCE), '--dry-run') == 0
        assert 'selector/once would be created' in terminal.stdout
        assert '+  "repeat": "never"' in terminal.stdout
        assert not terminal.store.write_ids

    def test_output_of_get_applies(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {})
        assert terminal.run('get', 'selector', 'once') == 0
        text = f'// read before\n{terminal.stdout}'
        changed = text.replace('{}', '{"repeat": "never"}')
        assert terminal.run('apply', write_file(changed)) == 0
        assert terminal.store.state.find('selector', 'once').version == 2

    def test_diff_exit_code_and_no_colour(self, terminal, write_file):
        terminal.store.seed('selector', 'once', {'repeat': 'allowed'})
        assert terminal.run('diff', write_file(ONCE)) == 1
        assert '-  "repeat": "allowed"' in terminal.stdout
        assert '+  "repeat": "never"' in terminal.stdout
        assert '\x1b' not in terminal.stdout

    def test_json_for_programs(self, terminal, write_file):
        content = terminal.run_json('apply', write_file([ONCE]))
        written = content['objects'][0]
        assert written['outcome'] == 'written'
        assert written['write_id'] == 'write-1'
        assert written['current']['version'] == 1
        assert not content['errors']

    def test_unavailable_store_ends_a_list(self, terminal, write_file):
        terminal.store.script = ['ok', 'refused']
        names = ['a', 'b', 'c']
        objects = [{**ONCE, 'name': name} for name in names]
        assert terminal.run('apply', write_file(objects)) == 6
        assert 'selector/a created' in terminal.stdout
        assert 'selector/b: not written' in terminal.stderr
        assert 'selector/c: not tried' in terminal.stderr

    def test_delete(self, terminal):
        terminal.store.seed('selector', 'once', {})
        assert terminal.run('delete', 'selector', 'once', '--version', '9') == 5
        assert terminal.run('delete', 'selector', 'once') == 0
        assert terminal.run('delete', 'selector', 'once') == 4
        assert terminal.run('get', 'selector', 'once') == 4
        assert terminal.run('get', 'selecto') == 3
        assert 'did you mean "selector"' in terminal.stderr


class TestFiles:
    """Guards against messages that do not locate the fault."""

    @pytest.mark.parametrize(
        ('text', 'message'),
        [
            ('{"kind": "selector",\n}', ':1: name: missing'),
            (
                '// one\n{"kind": "selector", "name": "a",\n'
                '"spec": {\n"repaet": 1}}',
                ':4: spec.repaet: unknown key "repaet", did you mean "repeat"',
            ),
            (
                '[{"kind": "selector", "name": "a", "spec": {}},\n'
                '{"kind": "selector", "name": "a", "spec": {}}]',
                ':2: 1: selector/a appears twice',
            ),
            (
                '{"kind": "selecto", "name": "a", "spec": {}}',
                ':1: kind: unknown kind "selecto", did you mean "selector"',
            ),
            (
                '{"kind": "labels", "name": "a/b", "spec": {"labels": {}}}',
                ':1: name: "a/b" is not a valid name',
            ),
            (
                '{"kind": "selector", "name": "a", "verson": 1, "spec": {}}',
                ':1: verson: unknown key, did you mean "version"?',
            ),
            (
                '{"kind": "selector", "name": "a", "version": true, "spec": 1}',
                ':1: spec: must be an object',
            ),
            ('[1]', ':1: 0: must be an object with kind'),
            ('{', ':1: Expecting property name'),
        ],
    )
    def test_fault_is_named(self, terminal, write_file, text, message):
        file = write_file(text)
        assert terminal.run('apply', file) == 3
        assert f'{file}{message}' in terminal.stderr
        assert not terminal.store.write_ids

    def test_missing_file(self, terminal):
        assert terminal.run('diff', 'none.jsonc') == 3
        assert "none.jsonc:1: can't be read" in terminal.stderr


class TestChecks:
    """Guards against selectors that leave a request without backend servers."""

    def test_contradiction_with_a_stored_selector(self, terminal, write_file):
        terminal.store.seed('selector', 'old', TIER)
        file = write_file([selector('new', ['silver'])])
        assert terminal.run('apply', file) == 3
        assert f'{file}:1: spec.target_labels: selectors' in terminal.stderr
        assert 'new, old' in terminal.stderr
        assert not terminal.store.write_ids

    def test_change_that_resolves_a_contradiction(self, terminal, write_file):
        terminal.store.seed('selector', 'a', TIER)
        terminal.store.seed(
            'selector',
            'b',
            {'target_labels': {'tier': ['silver']}},
        )
        unrelated = write_file({**ONCE, 'spec': {'priority': 9}})
        assert terminal.run('apply', unrelated) == 0
        assert terminal.run('delete', 'selector', 'a') == 0

    def test_order_avoids_a_passing_contradiction(self, terminal, write_file):
        terminal.store.seed('selector', 'a', TIER)
        terminal.store.seed('selector', 'b', {**TIER, 'repeat': 'never'})
        # Selector "b" must allow both tiers before "a" changes its tier.
        objects = [
            selector('a', ['silver']),
            selector('b', ['gold', 'silver']),
        ]
        content = terminal.run_json('apply', write_file(objects))
        assert [each['name'] for each in content['objects']] == ['b', 'a']
        assert 'until all' not in ' '.join(content['warnings'])

    def test_unavoidable_passing_contradiction(self, terminal, write_file):
        terminal.store.seed('selector', 'a', TIER)
        terminal.store.seed('selector', 'b', TIER)
        objects = [selector('a', ['silver']), selector('b', ['silver'])]
        assert terminal.run('apply', write_file(objects)) == 0
        assert 'until all objects are written' in terminal.stderr

    def test_contradiction_written_meanwhile(self, terminal, write_file):
        terminal.store.rivals = [('selector', 'rival', TIER)]
        file = write_file(selector('mine', ['silver']))
        assert terminal.run('apply', file) == 3
        assert 'written, but contradicts a concurrent write' in terminal.stderr

    def test_doubtful_names_are_warned_of(self, terminal, write_file):
        terminal.store.seed('service', 'billing-desk', {})
        terminal.store.seed('labels', 't1', {'labels': {'tier': 'gold'}})
        objects = [
            selector('a', ['bronze'], service='biling-desk', priority=2),
            {
                'kind': 'selector',
                'name': 'b',
                'spec': {'target_labels': {'teir': ['gold']}},
            },
        ]
        assert terminal.run('apply', write_file(objects), '--dry-run') == 0
        assert 'did you mean "billing-desk"?' in terminal.stderr
        assert 'has label "teir", did you mean "tier"?' in terminal.stderr
        assert 'one of the values: bronze' in terminal.stderr

    def test_bad_stored_object_does_not_stop_others(self, terminal, write_file):
        terminal.store.seed('selector', 'bad', {'repeat': 7})
        assert terminal.run('apply', write_file(ONCE)) == 0
        content = terminal.run_json('get', 'selector')
        assert len(content['objects']) == 2
