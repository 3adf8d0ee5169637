"""HTTP client for the admin endpoints of daemons."""

from collections.abc import Mapping
from typing import Any, Final, final

import httpx
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

_MS_PER_S: Final = 1000
# Errors that are raised before any byte of the request is sent.
_NOT_SENT: Final = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@final
class AdminClient:
    """Client for admin endpoints, each addressed as ``ip:port``."""

    __slots__ = ('_http',)

    def __init__(
        self,
        timeout_ms: int,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Initialize the client; tests pass a ``transport`` without network."""
        self._http = httpx.AsyncClient(
            timeout=timeout_ms / _MS_PER_S,
            transport=transport,
            # Requests to the fleet must not go through a proxy that the
            # environment configures.
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
        """Return the JSON object at a path.

        Raise ``CornelbeamError`` with ``peer_unreachable`` on failure.
        """
        return await self._call('GET', address, path, query)

    async def post(self, address: str, path: str) -> dict[str, Any]:
        """Trigger an action and return the JSON object of the answer.

        Raise ``CornelbeamError`` with ``peer_unreachable`` on failure; its run
        state is ``UNKNOWN`` if the request may have arrived.
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
    raise _failure(
        step, address, 'the answer is not a JSON object', RunState.UNKNOWN
    )


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
