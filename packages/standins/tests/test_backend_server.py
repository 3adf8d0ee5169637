"""Tests of the faults that the stand-in backend server injects."""

import httpx
import pytest
from cornelbeam_standins.photos import photo_digest, photo_parts
from cornelbeam_standins.processes import start_standin

SIZE_BYTES = 300_001


@pytest.fixture
def server():
    """Yield a client of a stand-in and the URL of its control endpoints."""
    with start_standin('backend-server', '--port', '0') as process:
        control = process.wait_listening(is_main=False)
        client = httpx.Client(
            base_url=f'http://{process.address}',
            trust_env=False,
        )
        with client:
            yield client, f'http://{control}/control'
        process.request_stop()
        assert not process.wait()


def inject(control, **faults):
    """Inject faults into the stand-in."""
    httpx.post(control, json=faults, trust_env=False).raise_for_status()


def read(control, name):
    """Read the journal or the counters."""
    return httpx.get(f'{control}/{name}', trust_env=False).json()


class TestWork:
    """Guards against a journal or a photo that hides a wrong answer."""

    def test_journal_counts_each_booking_by_its_key(self, server):
        client, control = server
        for key in ('a', 'b', 'a'):
            client.post(
                '/booking', content=b'1', headers={'x-request-key': key}
            )
        runs = read(control, 'runs')
        assert [(run['key'], run['count']) for run in runs] == [
            ('a', 2),
            ('b', 1),
        ]

    def test_both_ends_compute_the_same_photo(self, server):
        client, _ = server
        sent = client.put('/photo/1', content=photo_parts(SIZE_BYTES)).json()
        assert sent['size_bytes'] == SIZE_BYTES
        assert sent['sha256'] == photo_digest(SIZE_BYTES)
        fetched = client.get(f'/photo/{SIZE_BYTES}').content
        assert fetched == b''.join(photo_parts(SIZE_BYTES))


class TestFaults:
    """Guards against an injected fault that has no effect."""

    @pytest.mark.parametrize('path', ['/item/1', f'/photo/{SIZE_BYTES}'])
    def test_truncated_answer_ends_early_and_only_once(self, server, path):
        client, control = server
        inject(control, truncate_count=1)
        with pytest.raises(httpx.RemoteProtocolError):
            client.get(path)
        assert client.get(path).is_success

    def test_refused_connections_come_back(self, server):
        client, control = server
        inject(control, is_refusing=True)
        with pytest.raises(httpx.TransportError):
            while True:
                client.get('/item/1')
        with pytest.raises(httpx.ConnectError):
            while True:
                client.get('/item/1')
        inject(control, is_refusing=False)
        while True:
            try:
                client.get('/item/1').raise_for_status()
            except httpx.ConnectError:
                continue
            break

    def test_cold_server_collapses_on_one_request_too_many(self, server):
        client, control = server
        inject(control, cold_limit=1, collapse_ms=60_000, stall_ms=1)
        with client.stream('GET', '/photo/50000000'):
            assert client.get('/item/1').status_code == 503
        counts = read(control, 'counts')
        assert (counts['collapses'], counts['cold_peak']) == (1, 1)

    def test_refused_work_is_not_run(self, server):
        client, control = server
        for fault, status in (('is_draining', 503), ('is_failing', 500)):
            inject(control, **{fault: True})
            assert client.post('/booking').status_code == status
            inject(control, **{fault: False})
        assert not read(control, 'runs')

    def test_health_and_load_reports_can_be_false(self, server):
        client, control = server
        inject(control, is_draining=True, claimed_health='ok')
        inject(control, claimed_in_flight=7)
        assert client.get('/health').json() == 'ok'
        assert client.get('/load').json() == {'in_flight': 7}
