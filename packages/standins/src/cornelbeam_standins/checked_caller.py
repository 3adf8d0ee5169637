"""A caller that checks each answer and what it is told about its requests.

Every request has a key of its own. The journals of the backend servers show
how often each key ran, so that ``audit`` finds duplicate runs and wrong
claims about runs.
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
_READY_LIMIT_S: Final = 60
_RETRY_S: Final = 0.02
_BOOKING: Final = 'POST'


@final
class CheckResult(enum.Enum):
    """What became of one request, as its caller saw it."""

    WHOLE = 'whole'
    WRONG = 'wrong'
    REFUSED = 'refused'
    CUT = 'cut'


@final
@dataclass(frozen=True, slots=True)
class CallRecord:
    """One request and its answer.

    ``code`` and ``ran`` are the ``cornelbeam-code`` and ``cornelbeam-ran``
    headers of a refusal, or the status when a backend server refused.
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
    """Keys of requests for which an invariant broke; empty when none did."""

    wrong: tuple[str, ...]
    run_twice: tuple[str, ...]
    run_though_told_not: tuple[str, ...]
    not_run_though_answered: tuple[str, ...]

    @property
    def is_clean(self) -> bool:
        """Whether no invariant broke."""
        return not (
            self.wrong
            or self.run_twice
            or self.run_though_told_not
            or self.not_run_though_answered
        )


@final
class CheckedCaller:
    """Calls services through any of the given daemons, chosen at random."""

    def __init__(
        self,
        entry_urls: Sequence[str],
        rng: random.Random,
        deadline_ms: int = 10_000,
    ) -> None:
        """Prepare the caller; ``rng`` makes the choices repeatable."""
        self.records: list[CallRecord] = []
        self.entry_urls = list(entry_urls)
        self._rng = rng
        self._deadline_ms = deadline_ms
        self._number = 0
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

    async def read_item(self, service: str, entry: str = '') -> CallRecord:
        """Read an item; the answer must repeat the path and the key."""
        path = f'/item/{self._rng.randrange(1000)}'
        return await self._call('GET', service, path, {'path': path}, entry)

    async def book(self, service: str, entry: str = '') -> CallRecord:
        """Book; the answer must be of the first run and of this body."""
        body = self._rng.randbytes(100)
        expected = {
            'path': '/booking',
            'run_count': 1,
            'sha256': hashlib.sha256(body).hexdigest(),
        }
        return await self._call(
            _BOOKING,
            service,
            '/booking',
            expected,
            entry,
            content=body,
        )

    async def send_photo(
        self,
        service: str,
        size_bytes: int,
        entry: str = '',
    ) -> CallRecord:
        """Upload a photo in parts; the answer must have its digest."""
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
            entry,
            content=_stream_photo(size_bytes),
            headers={'content-length': str(size_bytes)},
        )

    async def fetch_photo(
        self,
        service: str,
        size_bytes: int,
        entry: str = '',
    ) -> CallRecord:
        """Download a photo and compare its digest."""
        return await self._call(
            'GET',
            service,
            f'/photo/{size_bytes}',
            {'sha256': photo_digest(size_bytes)},
            entry,
        )

    async def wait_for_service(self, service: str, entry: str) -> None:
        """Wait until a daemon gives a whole answer of a service.

        The requests until then aren't recorded.
        """
        with anyio.fail_after(_READY_LIMIT_S):
            while True:
                record = await self.read_item(service, entry)
                self.records.remove(record)
                if record.result is CheckResult.WHOLE:
                    return
                await anyio.sleep(_RETRY_S)

    def audit(self, runs: Iterable[Mapping[str, Any]]) -> Audit:
        """Compare what was told with the journals of all backend servers."""
        run_counts: Counter[str] = Counter()
        for run in runs:
            run_counts[run['key']] += run['count']
        return Audit(
            wrong=self._keys_of(CheckResult.WRONG),
            run_twice=tuple(
                each.key
                for each in self.records
                if each.method == _BOOKING and run_counts[each.key] > 1
            ),
            run_though_told_not=tuple(
                each.key
                for each in self.records
                if each.ran == 'no' and run_counts[each.key]
            ),
            not_run_though_answered=tuple(
                key
                for key in self._keys_of(CheckResult.WHOLE)
                if not run_counts[key]
            ),
        )

    def _keys_of(self, result: CheckResult) -> tuple[str, ...]:
        return tuple(each.key for each in self.records if each.result is result)

    async def _call(
        self,
        method: str,
        service: str,
        path: str,
        expected: dict[str, Any],
        entry: str,
        *,
        content: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> CallRecord:
        self._number += 1
        key = f'{method.lower()}-{self._number}'
        started_s = time.monotonic()
        result, code, ran, server = CheckResult.CUT, '', '', ''
        try:
            response = await self._http.request(
                method,
                (entry or self._rng.choice(self.entry_urls)) + path,
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
            result, server = _judge(response, expected, key)
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


def percentile_ms(records: Iterable[CallRecord], share: float) -> float:
    """Give the nearest-rank latency of whole answers; 0 when there is none."""
    latencies_s = sorted(
        each.latency_s for each in records if each.result is CheckResult.WHOLE
    )
    if not latencies_s:
        return 0
    rank = min(len(latencies_s) - 1, int(share * len(latencies_s)))
    return latencies_s[rank] * _MS_PER_S


def _judge(
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
        answer = response.json()
    except ValueError:
        return CheckResult.WRONG, ''
    wanted = expected | {'key': key}
    is_right = wanted.items() <= answer.items()
    return (CheckResult.WHOLE if is_right else CheckResult.WRONG), answer[
        'server'
    ]


async def _stream_photo(size_bytes: int) -> Any:
    for part in photo_parts(size_bytes):
        yield part
