"""Command line that starts any of the stand-ins."""

import asyncio
from functools import partial

import anyio
import defopt
import msgspec

from cornelbeam_standins.asgi import serve_application
from cornelbeam_standins.backend_server import serve_backend
from cornelbeam_standins.fast_backend import serve_fast
from cornelbeam_standins.load_caller import LoadPlan, measure
from cornelbeam_standins.object_api import ObjectApi


def object_api(*, port: int) -> None:
    """Serve a stand-in Object API on loopback.

    :param port: Port to listen on; 0 chooses a free one.
    """
    anyio.run(partial(serve_application, ObjectApi(), port))


def backend_server(
    *,
    port: int,
    control_port: int = 0,
    name: str = 'backend',
) -> None:
    """Serve a stand-in backend server on loopback.

    :param port: Main port; 0 chooses a free one.
    :param control_port: Port that stays open while the server refuses
        connections; 0 chooses a free one.
    :param name: Name that appears in the answers.
    """
    anyio.run(serve_backend, name, port, control_port)


def fast_backend(*, port: int, body_bytes: int = 64) -> None:
    """Serve constant answers for latency measurements.

    :param port: Port to listen on; 0 chooses a free one.
    :param body_bytes: Body size of each answer in bytes.
    """
    asyncio.run(serve_fast(port, body_bytes))


def load(
    *,
    port: int,
    host: str = '127.0.0.1',
    service: str = 'bench',
    path: str = '/item/1',
    concurrency: tuple[int, ...] = (1, 16, 64),
    calls: int = 20_000,
    warm_up: int = 1_000,
    pids: tuple[int, ...] = (),
) -> None:
    """Run a closed-loop load test; print one JSON line per concurrency.

    :param port: Port to call.
    :param host: IP address to call.
    :param service: Service to call, sent as the Host header.
    :param path: Path of each call.
    :param concurrency: Numbers of connections, each with one call at a time.
    :param calls: Number of measured calls per concurrency.
    :param warm_up: Number of unmeasured calls before them.
    :param pids: Processes whose CPU time per call is reported.
    """
    for connection_count in concurrency:
        plan = LoadPlan(
            host=host,
            port=port,
            service=service,
            path=path,
            concurrency=connection_count,
            call_count=calls,
            warm_up_count=warm_up,
            pids=pids,
        )
        load_result = asyncio.run(measure(plan))
        print(msgspec.json.encode(load_result).decode(), flush=True)


def main() -> None:
    """Run the command named by the arguments."""
    defopt.run(
        {
            'object-api': object_api,
            'backend-server': backend_server,
            'fast-backend': fast_backend,
            'load': load,
        },
    )
