"""Tests of the commands with the real client and a stand-in process."""

import io
import json

import httpx
import pytest
from cornelbeam_operator.cli import run
from cornelbeam_operator.session import URL_VARIABLE, Environment
from cornelbeam_standins.processes import start_standin

ONCE = {'kind': 'selector', 'name': 'once', 'spec': {'repeat': 'never'}}


@pytest.fixture
def base_url():
    """Yield the URL of a stand-in Object API in a separate process."""
    with start_standin('object-api', '--port', '0') as process:
        yield f'http://{process.address}'


def run_json(base_url, *arguments):
    stdout = io.StringIO()
    environment = Environment(
        stdout=stdout,
        variables={URL_VARIABLE: base_url},
    )
    run([*arguments, '--json'], environment)
    return json.loads(stdout.getvalue())


def inject(base_url, **faults):
    httpx.post(f'{base_url}/control', json=faults, trust_env=False)


class TestRealClient:
    """Guards against misinterpreting errors of the real client."""

    def test_lost_answer(self, base_url, write_file):
        inject(base_url, lost_answer_count=1)
        content = run_json(base_url, 'apply', write_file(ONCE))
        assert content['exit_code'] == 0
        assert 'the write took effect' in content['objects'][0]['detail']

    def test_store_down(self, base_url, write_file):
        inject(base_url, is_down=True)
        content = run_json(base_url, 'apply', write_file(ONCE))
        assert content['exit_code'] == 6

    def test_version_named_by_get(self, base_url, write_file):
        run_json(base_url, 'apply', write_file(ONCE))
        read = run_json(base_url, 'get', 'selector', 'once')['objects'][0]
        newer = {**ONCE, 'spec': {'repeat': 'allowed'}}
        run_json(base_url, 'apply', write_file(newer))
        read['spec'] = {'priority': 1}
        content = run_json(base_url, 'apply', write_file(read))
        assert content['exit_code'] == 5
        assert content['objects'][0]['current']['version'] == 2

    def test_delete(self, base_url, write_file):
        run_json(base_url, 'apply', write_file(ONCE))
        inject(base_url, lost_answer_count=1)
        content = run_json(base_url, 'delete', 'selector', 'once')
        assert content['exit_code'] == 0
        assert run_json(base_url, 'get', 'selector')['objects'] == []
