"""Recording of scrapes from admin endpoints at a fixed interval."""

import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Final, final

import anyio
import httpx
import msgspec

from cornelbeam_report.scrapes import Scrape

# Low enough for a small operator machine.
_MAX_CONNECTION_COUNT: Final = 50


@final
@dataclass(frozen=True, slots=True)
class Endpoint:
    """An admin endpoint and the instance that serves it."""

    instance: str
    domain: str
    url: str


class _Status(msgspec.Struct, frozen=True):
    """Fields of ``GET /status`` that a recording needs."""

    name: str
    domain: str


async def find_endpoints(
    client: httpx.AsyncClient,
    urls: Sequence[str],
) -> list[Endpoint]:
    """Return the instance and failure domain of every admin endpoint.

    Raise ``httpx.HTTPError`` if an endpoint cannot be reached. Without that
    instance, the recording would make the service look better than it was.
    """
    found = []
    for url in urls:
        answer = await client.get(f'{url}/status')
        answer.raise_for_status()
        status = msgspec.json.decode(answer.content, type=_Status)
        found.append(
            Endpoint(status.name, status.domain, url),
        )
    return found


async def record_scrapes(
    client: httpx.AsyncClient,
    endpoints: Sequence[Endpoint],
    period_s: float,
    scrape_count: int,
) -> AsyncIterator[Scrape]:
    """Scrape all endpoints ``scrape_count`` times, every ``period_s`` seconds.

    A round omits endpoints that do not answer. In the report, the next
    successful scrape covers the gap.
    """
    limiter = anyio.CapacityLimiter(_MAX_CONNECTION_COUNT)
    start_s = anyio.current_time()
    for round_index in range(scrape_count):
        due_s = start_s + round_index * period_s
        await anyio.sleep(max(0, due_s - anyio.current_time()))
        scrapes: list[Scrape] = []
        async with anyio.create_task_group() as tasks:
            for endpoint in endpoints:
                tasks.start_soon(_scrape, client, limiter, endpoint, scrapes)
        for scrape in sorted(scrapes, key=lambda each: each.instance):
            yield scrape


async def _scrape(
    client: httpx.AsyncClient,
    limiter: anyio.CapacityLimiter,
    endpoint: Endpoint,
    scrapes: list[Scrape],
) -> None:
    async with limiter:
        try:
            answer = await client.get(f'{endpoint.url}/metrics')
        except httpx.HTTPError:
            return
    if answer.is_success:
        scrapes.append(
            Scrape(
                time.time(), endpoint.instance, endpoint.domain, answer.text
            ),
        )
