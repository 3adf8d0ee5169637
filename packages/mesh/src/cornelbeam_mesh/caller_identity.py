"""Whose request it is: the tenant of an API key, or the local backend server.

Backend servers show no key with the calls that they make for a request that
they run. Such a call comes from the backend server's own address and has no
more time left than a request that runs there. Callers on the instance may have
the same address, so one that knows no key can still pass as the backend server
while that runs a request with a later deadline; ``docs/design/tenants.md``
weighs this.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

from cornelbeam_core.call_origins import CallOrigins
from cornelbeam_core.deadlines import MS_PER_S
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_core.routes import RouteRule, RouteTable
from cornelbeam_core.tenants import TenantRule, TenantTable, digest_key
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.http_message import HttpRequest

from cornelbeam_mesh.platform_adapter import HeaderNames

__all__ = ('CallerIdentifier', 'read_api_key')

_SCHEME: Final = b'bearer'


def read_api_key(headers: list[bytes]) -> bytes | None:
    """Return the key of a request, or ``None`` if its head has no such field.

    Empty if the field is repeated or has another scheme, as no tenant holds an
    empty key.

    >>> read_api_key([b'authorization', b'Bearer secret'])
    b'secret'
    """
    stated = [
        headers[index + 1]
        for index in range(0, len(headers), 2)
        if headers[index] == fields.AUTHORIZATION
    ]
    if not stated:
        return None
    scheme, _, key = stated[0].strip().partition(b' ')
    if len(stated) > 1 or scheme.lower() != _SCHEME:
        return b''
    return key.strip()


@final
class CallerIdentifier:
    """Identifies callers by the tenants of the configuration in force."""

    __slots__ = (
        '_check_freshness',
        '_host',
        '_loop',
        '_names',
        '_origins',
        '_started_s',
    )

    def __init__(
        self,
        names: HeaderNames,
        host: str,
        origins: CallOrigins,
        check_freshness: Callable[[], None],
    ) -> None:
        """Know the backend server by its address ``host``.

        ``origins`` knows the requests that it runs. ``check_freshness`` raises
        an error if keys of the configuration may have been taken away.
        """
        self._names = names
        self._host = host
        self._origins = origins
        self._check_freshness = check_freshness
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    def identify(
        self,
        request: HttpRequest,
        route: RouteRule,
        table: RouteTable,
        own_deadline_s: float,
    ) -> TenantRule | None:
        """Return the tenant of a request, if it has one.

        ``own_deadline_s`` is the deadline that the request itself states.
        A public route needs none, and uses a key only if it is known to be
        valid. Raise ``unknown_api_key`` if another needs a key that a tenant
        holds, and ``configuration_stale`` if it is not known whether one still
        does.
        """
        if table.tenants is None:
            return None
        key = read_api_key(request.headers)
        if route.is_public:
            return self._find_proven(table.tenants, key)
        if key is None:
            self._check_backend_call(request, table, own_deadline_s)
            return None
        self._check_freshness()
        tenant = _find(table.tenants, key)
        if tenant is None:
            raise _unknown_key(f'no tenant, configuration {table.version}')
        return tenant

    def _find_proven(
        self, tenants: TenantTable, key: bytes | None
    ) -> TenantRule | None:
        """Return the tenant of a key on a public route.

        Without proof that the key is still valid, the request is served like
        one without a key.
        """
        tenant = _find(tenants, key)
        if tenant is None:
            return None
        try:
            self._check_freshness()
        except CornelbeamError:
            return None
        return tenant

    def _check_backend_call(
        self, request: HttpRequest, table: RouteTable, own_deadline_s: float
    ) -> None:
        """Raise an error unless the local backend server made the request."""
        if request.peer_host != self._host:
            raise _unknown_key('no key')
        left = fields.find(request.headers, self._names.remaining_ms)
        if left and self._origins.may_be_nested(own_deadline_s):
            return
        now_s = self._loop.time()
        if now_s < self._started_s + table.longest_timeout_ms / MS_PER_S:
            # The backend server may still run requests that an earlier run of
            # this daemon handed over, and a call for them is no unknown caller.
            raise CornelbeamError(
                ErrorCode.NO_ELIGIBLE_TARGET,
                'caller identity',
                detail='no key, and requests of an earlier run are not known',
            )
        raise _unknown_key('no key, and no running request has its deadline')


def _find(tenants: TenantTable, key: bytes | None) -> TenantRule | None:
    return None if key is None else tenants.find(digest_key(key))


def _unknown_key(detail: str) -> CornelbeamError:
    return CornelbeamError(
        ErrorCode.UNKNOWN_API_KEY, 'caller identity', detail=detail
    )
