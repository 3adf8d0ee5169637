"""Tests of recording scrapes."""

import anyio
import httpx
from cornelbeam_report.recording import find_endpoints, record_scrapes
from cornelbeam_report.scrapes import Scrape

_URLS = ('http://10.0.0.1:9100', 'http://10.0.0.2:9100')


class TestRecorder:
    """Guards against one unreachable instance spoiling a round of scrapes."""

    def test_rounds(self) -> None:
        """An instance that does not answer is missing from that round only."""
        scrapes = anyio.run(_record)
        names = [scrape.instance for scrape in scrapes]
        assert names == ['yard-1', 'yard-2', 'yard-1', 'yard-1', 'yard-2']
        assert {scrape.domain for scrape in scrapes} == {'Langley'}
        assert all(scrape.text == 'metrics' for scrape in scrapes)


async def _record() -> list[Scrape]:
    scraped: list[str] = []

    def answer(request: httpx.Request) -> httpx.Response:
        number = request.url.host[-1]
        if request.url.path == '/status':
            status = {'name': f'yard-{number}', 'domain': 'Langley'}
            return httpx.Response(200, json=status)
        scraped.append(number)
        if scraped.count('2') == 2 and number == '2':
            raise httpx.ConnectError('refused')
        return httpx.Response(200, text='metrics')

    transport = httpx.MockTransport(answer)
    async with httpx.AsyncClient(transport=transport) as client:
        endpoints = await find_endpoints(client, _URLS)
        return [one async for one in record_scrapes(client, endpoints, 0, 3)]
