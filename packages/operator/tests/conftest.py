"""A scripted Object API and a terminal that runs commands against it."""

import io
import itertools
import json

import httpx
import pytest
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState
from cornelbeam_object_api.client import StoreConflictError
from cornelbeam_operator.cli import run
from cornelbeam_operator.session import Environment
from cornelbeam_standins.object_store import ObjectStore, VersionConflictError


class ScriptedStore:
    """In-process Object API client that uses the state of the stand-in.

    ``script`` holds one step for each of the next writes:

    - ``ok``: it succeeds;
    - ``lost``: it takes effect, but the answer is lost;
    - ``lost-and-down``: as ``lost``, and the store is unavailable afterwards;
    - ``dropped``: it has no effect, and the answer is lost;
    - ``refused``: it has no effect and is known not to have run.

    ``rivals`` holds concurrent writes that precede the next write, and
    ``early_rivals`` those that follow the next read.
    """

    def __init__(self):
        self.state = ObjectStore()
        self.script = []
        self.rivals = []
        self.early_rivals = []
        self.write_ids = []
        self.is_unavailable = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        """Keep the state for the next command."""

    async def get(self, kind, name):
        found = await self.read_back(kind, name)
        return None if found is None or found.is_deleted else found

    async def read_back(self, kind, name):
        self._check_available()
        found = self.state.find(kind, name)
        for rival in self.early_rivals:
            self.seed(*rival)
        self.early_rivals = []
        return found

    async def list_kind(self, kind):
        self._check_available()
        return self.state.list_kind(kind)

    async def put(self, kind, name, spec, expected_version, write_id):
        return self._write(kind, name, spec, expected_version, write_id)

    async def delete(self, kind, name, expected_version, write_id):
        return self._write(kind, name, None, expected_version, write_id)

    def seed(self, kind, name, spec):
        """Write as a concurrent operator."""
        found = self.state.find(kind, name)
        is_missing = found is None or found.is_deleted
        version = 0 if is_missing else found.version
        return self.state.write(kind, name, spec, version, 'rival')

    def _write(self, kind, name, spec, expected_version, write_id):
        self.write_ids.append(write_id)
        for rival in self.rivals:
            self.seed(*rival)
        self.rivals = []
        step = self.script.pop(0) if self.script else 'ok'
        if step == 'refused':
            raise _unavailable(RunState.NOT_RUN)
        if step == 'dropped':
            raise _unavailable(RunState.UNKNOWN)
        try:
            stored = self.state.write(
                kind,
                name,
                spec,
                expected_version,
                write_id,
            )
        except VersionConflictError as conflict:
            raise StoreConflictError('put', '', '', conflict.current) from None
        if step == 'ok':
            return stored
        self.is_unavailable = step == 'lost-and-down'
        raise _unavailable(RunState.UNKNOWN)

    def _check_available(self):
        if self.is_unavailable:
            raise _unavailable(RunState.NOT_RUN)


def _unavailable(run_state):
    return CornelbeamError(
        ErrorCode.STORE_UNAVAILABLE,
        'put',
        run_state=run_state,
    )


class Terminal:
    """Runs commands and captures their output.

    ``answers`` maps requests to daemons, such as ``GET 10.0.0.1/status``, to
    lists of answers or errors, of which the last one is repeated. ``pauses``
    lists how long the last commands slept, in seconds.
    """

    def __init__(self, store):
        self.store = store
        self.answers = {}
        self.stdout = ''
        self.stderr = ''
        self.pauses = []

    def run(self, *arguments):
        stdout, stderr = io.StringIO(), io.StringIO()
        numbers = itertools.count(1)
        environment = Environment(
            open_store=lambda url, timeout_ms: self.store,
            transport=httpx.MockTransport(self._answer),
            stdout=stdout,
            stderr=stderr,
            variables={},
            make_write_id=lambda: f'write-{next(numbers)}',
            now=lambda: sum(self.pauses),
            sleep=self._pause,
        )
        try:
            return run(arguments, environment).value
        finally:
            self.stdout = stdout.getvalue()
            self.stderr = stderr.getvalue()

    def run_json(self, *arguments):
        exit_code = self.run(*arguments, '--json')
        assert not self.stderr
        content = json.loads(self.stdout)
        assert content['exit_code'] == exit_code
        return content

    def _answer(self, request):
        key = f'{request.method} {request.url.host}{request.url.path}'
        answers = self.answers.get(key)
        if not answers:
            raise httpx.ConnectError('refused')
        answer = answers[0] if len(answers) == 1 else answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return httpx.Response(200, json=answer)

    async def _pause(self, pause_s):
        self.pauses.append(pause_s)


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def terminal(store):
    return Terminal(store)


@pytest.fixture
def write_file(tmp_path):
    def write(content):
        text = content if isinstance(content, str) else json.dumps(content)
        path = tmp_path / 'objects.jsonc'
        path.write_text(text)
        return str(path)

    return write
