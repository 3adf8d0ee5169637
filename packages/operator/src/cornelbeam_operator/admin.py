"""Client of the admin endpoints of daemons."""

from collections.abc import Mapping
from typing import Any, Final, final

import httpx
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

_MS_PER_S: Final = 1000
# Failures that arise before any byte of the request was sent.
_NOT_SENT: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@final
class AdminClient:
    """Calls admin endpoints by ``ip:port``."""

    __slots__ = ('_http',)

    def __init__(
        self,
        timeout_ms: int,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Prepare the client; ``transport`` replaces the network in tests."""
        self._http = httpx.AsyncClient(
            timeout=timeout_ms / _MS_PER_S,
            transport=transport,
            # Proxy variables of the environment don't concern the fleet.
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(
        self,
        address: str,
        path: str,
        query: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        """Read a JSON object; errors are ``peer_unreachable``."""
        return await self._call('GET', address, path, query)

    async def post(self, address: str, path: str) -> dict[str, Any]:
        """Ask for an action.

        The error ``peer_unreachable`` carries ``UNKNOWN`` when the request
        may have arrived.
        """
        return await self._call('POST', address, path, None)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        query: Mapping[str, str] | None,
    ) -> dict[str, Any]:
        step = f'{method} {path}'
        url = f'http://{address}{path}'
        try:
            response = await self._http.request(method, url, params=query)
        except (httpx.TransportError, httpx.InvalidURL) as error:
            run_state = RunState.UNKNOWN
            if isinstance(error, (*_NOT_SENT, httpx.InvalidURL)):
                run_state = RunState.NOT_RUN
            detail = str(error) or type(error).__name__
            raise _failure(step, address, detail, run_state) from error
        return _decode(step, address, response)


def _decode(
    step: str,
    address: str,
    response: httpx.Response,
) -> dict[str, Any]:
    if not response.is_success:
        detail = f'status {response.status_code}: {response.text[:200]}'
        raise _failure(step, address, detail, RunState.NOT_RUN)
    try:
        content = response.json() if response.content else {}
    except ValueError as error:
        raise _failure(
            step,
            address,
            f'unreadable answer: {error}',
            RunState.UNKNOWN,
        ) from error
    if isinstance(content, dict):
        return content
    raise _failure(step, address, 'the answer is no object', RunState.UNKNOWN)


def _failure(
    step: str,
    address: str,
    detail: str,
    run_state: RunState,
) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.PEER_UNREACHABLE,
        step,
        address,
        detail,
        run_state=run_state,
    )
