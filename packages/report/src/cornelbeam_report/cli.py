"""Command line of ``cornelbeam-burn``."""

import sys
from pathlib import Path
from typing import Final

import anyio
import defopt
import httpx
import msgspec
from cornelbeam_core.errors import CornelbeamError

from cornelbeam_report.burn import build_report
from cornelbeam_report.objectives import load_objectives
from cornelbeam_report.recording import find_endpoints, record_scrapes
from cornelbeam_report.rendering import render_report
from cornelbeam_report.scrapes import read_scrapes
from cornelbeam_report.table import read_recording

_TIMEOUT_S: Final = 5


def report(recording: Path, objectives: Path, *, json: bool = False) -> None:
    """Report how fast a recording burned the budgets of its objectives.

    :param recording: file with one JSON line per scrape
    :param objectives: objectives in JSON with comments
    :param json: write one JSON object instead of text
    """
    loaded = load_objectives(objectives)
    with recording.open('rb') as lines:
        counted = read_recording(read_scrapes(lines), loaded)
    burn = build_report(counted, loaded)
    if json:
        encoded = msgspec.json.format(msgspec.json.encode(burn), indent=2)
        sys.stdout.write(f'{encoded.decode()}\n')
        return
    sys.stdout.write(render_report(burn))


def record(
    recording: Path,
    *urls: str,
    period_ms: int = 15000,
    scrape_count: int = 240,
) -> None:
    """Record the metrics of daemons, to report on later.

    :param recording: file to append to, one JSON line per scrape
    :param urls: admin endpoints, for example http://10.0.0.7:9100
    :param period_ms: time from one round of scrapes to the next
    :param scrape_count: number of rounds
    """
    anyio.run(_record, recording, urls, period_ms / 1000, scrape_count)


async def _record(
    recording: Path,
    urls: tuple[str, ...],
    period_s: float,
    scrape_count: int,
) -> None:
    async with httpx.AsyncClient(timeout=_TIMEOUT_S) as client:
        endpoints = await find_endpoints(client, urls)
        with recording.open('ab') as lines:
            async for scrape in record_scrapes(
                client,
                endpoints,
                period_s,
                scrape_count,
            ):
                lines.write(msgspec.json.encode(scrape))
                lines.write(b'\n')
                lines.flush()


def main(argv: list[str] | None = None) -> None:
    """Run the command line; on failure print a line and exit with status 1."""
    try:
        defopt.run([report, record], argv=argv, cli_options='has_default')
    except (CornelbeamError, OSError, httpx.HTTPError) as error:
        sys.exit(f'cornelbeam-burn: {error}')
