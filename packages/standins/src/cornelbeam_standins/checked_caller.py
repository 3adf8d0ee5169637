"""Caller that checks each answer and each claim about its requests.

Every request has a unique key. The journals of the backend servers show how
often each key ran, so that ``audit`` finds duplicate runs and false claims
about runs.
"""

import enum
import hashlib
import random
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final, final

import anyio
import httpx

from cornelbeam_standins.photos import photo_digest, photo_parts

_TIMEOUT_S: Final = 60
_CONNECTION_COUNT: Final = 200
_MS_PER_S: Final = 1000
_READY_TIMEOUT_S: Final = 60
_RETRY_S: Final = 0.02
_BOOKING_METHOD: Final = 'POST'


@final
class CheckResult(enum.Enum):
    """Result of one request as its caller saw it.

    ``WHOLE`` is a complete and correct answer, ``WRONG`` an answer with the
    wrong content, ``REFUSED`` an error status, and ``CUT`` a connection that
    failed before the response was complete.
    """

    WHOLE = 'whole'
    WRONG = 'wrong'
    REFUSED = 'refused'
    CUT = 'cut'


@final
@dataclass(frozen=True, slots=True)
class CallRecord:
    """One request and its answer.

    ``code`` and ``ran`` are the ``cornelbeam-code`` and ``cornelbeam-ran``
    headers of a refusal. ``code`` is the status if a backend server refused,
    and the name of the exception if the connection failed.
    """

    key: str
    method: str
    path: str
    result: CheckResult
    code: str
    ran: str
    started_s: float
    latency_s: float
    server: str


@final
@dataclass(frozen=True, slots=True)
class Audit:
    """Keys of the requests that violate an invariant.

    - ``wrong``: the answer had the wrong content.
    - ``duplicate_runs``: a booking ran more than once.
    - ``false_not_run_claims``: a request ran although its refusal said that
      it did not.
    - ``answers_without_run``: a request was answered but never ran.
    """

    wrong: tuple[str, ...]
    duplicate_runs: tuple[str, ...]
    false_not_run_claims: tuple[str, ...]
    answers_without_run: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether no invariant is violated."""
        return not (
            self.wrong
            or self.duplicate_runs
            or self.false_not_run_claims
            or self.answers_without_run
        )


@final
class CheckedCaller:
    """Calls services through a given daemon or one chosen at random."""

    def __init__(
        self,
        daemon_urls: Sequence[str],
        rng: random.Random,
        deadline_ms: int = 10_000,
    ) -> None:
        """Initialize the caller; ``rng`` makes its choices reproducible."""
        self.records: list[CallRecord] = []
        self.daemon_urls = list(daemon_urls)
        self._rng = rng
        self._deadline_ms = deadline_ms
        self._call_count = 0
        self._http = httpx.AsyncClient(
            timeout=_TIMEOUT_S,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=_CONNECTION_COUNT,
                max_keepalive_connections=_CONNECTION_COUNT,
            ),
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def read_item(self, service: str, daemon_url: str = '') -> CallRecord:
        """Read an item; the answer must repeat the path and the key."""
        path = f'/item/{self._rng.randrange(1000)}'
        return await self._call(
            'GET', service, path, {'path': path}, daemon_url
        )

    async def book(self, service: str, daemon_url: str = '') -> CallRecord:
        """Book; the answer must report the first run and the body's digest."""
        body = self._rng.randbytes(100)
        expected = {
            'path': '/booking',
            'run_count': 1,
            'sha256': hashlib.sha256(body).hexdigest(),
        }
        return await self._call(
            _BOOKING_METHOD,
            service,
            '/booking',
            expected,
            daemon_url,
            content=body,
        )

    async def send_photo(
        self,
        service: str,
        size_bytes: int,
        daemon_url: str = '',
    ) -> CallRecord:
        """Upload a photo in chunks; the answer must contain its digest."""
        expected = {
            'path': '/photo/new',
            'size_bytes': size_bytes,
            'sha256': photo_digest(size_bytes),
        }
        return await self._call(
            'PUT',
            service,
            '/photo/new',
            expected,
            daemon_url,
            content=_stream_photo(size_bytes),
            headers={'content-length': str(size_bytes)},
        )

    async def fetch_photo(
        self,
        service: str,
        size_bytes: int,
        daemon_url: str = '',
    ) -> CallRecord:
        """Download a photo; its digest must match."""
        return await self._call(
            'GET',
            service,
            f'/photo/{size_bytes}',
            {'sha256': photo_digest(size_bytes)},
            daemon_url,
        )

    async def wait_for_service(self, service: str, daemon_url: str) -> None:
        """Wait until a service answers correctly through a daemon.

        The requests made until then are not recorded. Raise ``TimeoutError``
        after 60 s.
        """
        with anyio.fail_after(_READY_TIMEOUT_S):
            while True:
                record = await self.read_item(service, daemon_url)
                self.records.remove(record)
                if record.result is CheckResult.WHOLE:
                    return
                await anyio.sleep(_RETRY_S)

    def audit(self, runs: Iterable[Mapping[str, Any]]) -> Audit:
        """Check all records against the journals of all backend servers."""
        run_counts: Counter[str] = Counter()
        for run in runs:
            run_counts[run['key']] += run['count']
        return Audit(
            wrong=self._keys_with(CheckResult.WRONG),
            duplicate_runs=tuple(
                record.key
                for record in self.records
                if record.method == _BOOKING_METHOD
                and run_counts[record.key] > 1
            ),
            false_not_run_claims=tuple(
                record.key
                for record in self.records
                if record.ran == 'no' and run_counts[record.key]
            ),
            answers_without_run=tuple(
                key
                for key in self._keys_with(CheckResult.WHOLE)
                if not run_counts[key]
            ),
        )

    def _keys_with(self, result: CheckResult) -> tuple[str, ...]:
        return tuple(
            record.key for record in self.records if record.result is result
        )

    async def _call(
        self,
        method: str,
        service: str,
        path: str,
        expected: dict[str, Any],
        daemon_url: str,
        *,
        content: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> CallRecord:
        self._call_count += 1
        key = f'{method.lower()}-{self._call_count}'
        started_s = time.monotonic()
        result, code, ran, server = CheckResult.CUT, '', '', ''
        try:
            response = await self._http.request(
                method,
                (daemon_url or self._rng.choice(self.daemon_urls)) + path,
                content=content,
                headers={
                    'host': service,
                    'x-request-key': key,
                    'cornelbeam-deadline-ms': str(self._deadline_ms),
                    **(headers or {}),
                },
            )
        except httpx.TransportError as error:
            code = type(error).__name__
        else:
            result, server = _check_response(response, expected, key)
            if result is CheckResult.REFUSED:
                code = response.headers.get(
                    'cornelbeam-code',
                    str(response.status_code),
                )
                ran = response.headers.get('cornelbeam-ran', '')
        record = CallRecord(
            key=key,
            method=method,
            path=path,
            result=result,
            code=code,
            ran=ran,
            started_s=started_s,
            latency_s=time.monotonic() - started_s,
            server=server,
        )
        self.records.append(record)
        return record


def percentile_ms(records: Iterable[CallRecord], fraction: float) -> float:
    """Return a percentile of the latencies of correct answers in ms.

    Return 0 if there is no correct answer.
    """
    latencies_s = sorted(
        record.latency_s
        for record in records
        if record.result is CheckResult.WHOLE
    )
    if not latencies_s:
        return 0
    rank = min(len(latencies_s) - 1, int(fraction * len(latencies_s)))
    return latencies_s[rank] * _MS_PER_S


def _check_response(
    response: httpx.Response,
    expected: dict[str, Any],
    key: str,
) -> tuple[CheckResult, str]:
    if not response.is_success:
        return CheckResult.REFUSED, ''
    if response.headers.get('content-type') == 'image/x-known':
        digest = hashlib.sha256(response.content).hexdigest()
        is_equal = digest == expected['sha256']
        return (CheckResult.WHOLE if is_equal else CheckResult.WRONG), ''
    try:
        body = response.json()
    except ValueError:
        return CheckResult.WRONG, ''
    expected_fields = expected | {'key': key}
    has_all = expected_fields.items() <= body.items()
    return (CheckResult.WHOLE if has_all else CheckResult.WRONG), body['server']


async def _stream_photo(size_bytes: int) -> Any:
    for part in photo_parts(size_bytes):
        yield part
