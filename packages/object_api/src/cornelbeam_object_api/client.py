"""Client of the Object API: versions, conditional updates and watches."""

from collections.abc import Iterable
from typing import Any, Final, Self, TypeVar, final
from urllib.parse import quote

import httpx
import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode, RunState

_MS_PER_S: Final = 1000
_CONFLICT: Final = 409
_UNAVAILABLE: Final = 503
_FIRST_SERVER_ERROR: Final = 500
# Errors that are raised before any byte of the request is sent.
_NOT_SENT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)

_Decoded = TypeVar('_Decoded')


@final
class StoredObject(msgspec.Struct, frozen=True):
    """One object of the Object API.

    ``version`` counts the writes to this object, and ``revision`` is the
    position of its last write among all writes to the store. Both only grow,
    also when an object is deleted and created again. ``write_id`` was chosen
    by the last writer.
    """

    kind: str
    name: str
    version: int
    revision: int
    write_id: str
    is_deleted: bool
    spec: dict[str, Any]


@final
class ObjectList(msgspec.Struct, frozen=True):
    """Objects in revision order.

    The list is complete up to ``revision`` of the store.
    """

    objects: tuple[StoredObject, ...]
    revision: int


@final
class StoreConflictError(CornelbeamError):
    """Raised when the expected version is not the stored one.

    Nothing was written. ``current`` is the stored object: a tombstone
    (``is_deleted``) after a deletion, ``None`` when it never existed.
    """

    def __init__(
        self,
        step: str,
        peer: str,
        detail: str,
        current: StoredObject | None,
    ) -> None:
        """Keep the stored object, so that the conflict can be shown."""
        super().__init__(ErrorCode.STORE_CONFLICT, step, peer, detail)
        self.current = current


@final
class ObjectApiClient:
    """Asynchronous client; use it as a context manager or call ``aclose``.

    Each call raises ``CornelbeamError`` with ``STORE_UNAVAILABLE`` when the
    store cannot be reached, answers 5xx, or its answer is lost. The
    ``run_state`` of the error is ``NOT_RUN`` when a write certainly had no
    effect, and ``UNKNOWN`` when it may have had one; ``read_back`` then shows
    by the ``write_id`` whether it had. Other error statuses raise
    ``PROTOCOL_VIOLATION``.
    """

    def __init__(
        self,
        base_url: str,
        timeout_ms: int,
        socket_options: Iterable[tuple[int, int, int]] = (),
    ) -> None:
        """Create the client without opening a connection.

        ``timeout_ms`` limits each call; ``watch`` adds its own wait to it.
        ``socket_options`` are those of its connections, as ``setsockopt``
        takes them.
        """
        self._base_url = base_url
        self._timeout_s = timeout_ms / _MS_PER_S
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=self._timeout_s,
            # Proxy environment variables must not redirect these requests.
            trust_env=False,
            transport=httpx.AsyncHTTPTransport(
                trust_env=False,
                # Loading the certificate authorities costs memory in each
                # daemon and is needed for https only.
                verify=base_url.startswith('https:'),
                socket_options=socket_options,
            ),
        )

    async def __aenter__(self) -> Self:
        """Return the client itself."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it does not exist or was deleted."""
        found = await self.read_back(kind, name)
        if found is None or found.is_deleted:
            return None
        return found

    async def read_back(self, kind: str, name: str) -> StoredObject | None:
        """Return an object or the tombstone of a deleted one.

        After a lost answer, an object with the ``write_id`` of the write
        shows that the write took effect.
        """
        step = f'read of {kind}/{name}'
        response = await self._call(step, 'GET', _object_path(kind, name))
        if response.status_code == httpx.codes.NOT_FOUND:
            return self._decode_optional(step, response)
        self._raise_for_status(step, response)
        return self._decode(step, response, StoredObject)

    async def list_kind(self, kind: str) -> ObjectList:
        """Return the existing objects of one kind."""
        step = f'list of {kind}'
        response = await self._call(step, 'GET', f'/v1/objects/{kind}')
        self._raise_for_status(step, response)
        return self._decode(step, response, ObjectList)

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        expected_version: int,
        write_id: str,
    ) -> StoredObject:
        """Write one object if its version is the expected one.

        ``expected_version`` 0 means that the object must not exist. Writing
        again with the same ``write_id`` after a lost answer is safe: it
        returns the object that the first attempt wrote. Raise
        ``StoreConflictError`` when another write came first.
        """
        return await self._write(
            'PUT',
            (kind, name),
            expected_version,
            write_id,
            msgspec.json.encode(spec),
        )

    async def delete(
        self,
        kind: str,
        name: str,
        expected_version: int,
        write_id: str,
    ) -> StoredObject:
        """Delete one object if its version is the expected one.

        Return the tombstone, whose version is higher than the object's. Raise
        ``StoreConflictError`` when another write came first.
        """
        return await self._write(
            'DELETE',
            (kind, name),
            expected_version,
            write_id,
            b'',
        )

    async def watch(self, since_revision: int, timeout_ms: int) -> ObjectList:
        """Wait for writes after a revision and return the written objects.

        Each object appears once, in its latest state; deleted ones appear as
        tombstones. The list is empty when nothing was written within
        ``timeout_ms``.
        """
        step = f'watch since {since_revision}'
        response = await self._call(
            step,
            'GET',
            '/v1/watch',
            params={'since': since_revision, 'timeout_ms': timeout_ms},
            timeout=self._timeout_s + timeout_ms / _MS_PER_S,
        )
        self._raise_for_status(step, response)
        return self._decode(step, response, ObjectList)

    async def _write(
        self,
        method: str,
        key: tuple[str, str],
        expected_version: int,
        write_id: str,
        content: bytes,
    ) -> StoredObject:
        kind, name = key
        step = f'{method.lower()} of {kind}/{name}'
        response = await self._call(
            step,
            method,
            _object_path(kind, name),
            params={'write_id': write_id},
            headers={'if-match': str(expected_version)},
            content=content,
        )
        if response.status_code == _CONFLICT:
            current = self._decode_optional(step, response)
            if current is not None and current.write_id == write_id:
                # An earlier attempt took effect, but its answer was lost.
                return current
            raise StoreConflictError(
                step,
                self._base_url,
                _describe_conflict(current, expected_version),
                current,
            )
        self._raise_for_status(step, response)
        return self._decode(step, response, StoredObject)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        **options: Any,
    ) -> httpx.Response:
        try:
            return await self._http.request(method, path, **options)
        except httpx.TransportError as error:
            run_state = RunState.UNKNOWN
            if isinstance(error, _NOT_SENT_ERRORS):
                run_state = RunState.NOT_RUN
            raise self._unavailable_error(
                step, repr(error), run_state
            ) from error

    def _raise_for_status(self, step: str, response: httpx.Response) -> None:
        if response.is_success:
            return
        detail = f'status {response.status_code}'
        if response.status_code == _UNAVAILABLE:
            raise self._unavailable_error(step, detail, RunState.NOT_RUN)
        if response.status_code >= _FIRST_SERVER_ERROR:
            raise self._unavailable_error(step, detail, RunState.UNKNOWN)
        raise CornelbeamError(
            ErrorCode.PROTOCOL_VIOLATION,
            step,
            self._base_url,
            f'{detail}: {response.text[:200]}',
        )

    def _decode_optional(
        self,
        step: str,
        response: httpx.Response,
    ) -> StoredObject | None:
        if response.content == b'null':
            return None
        return self._decode(step, response, StoredObject)

    def _decode(
        self,
        step: str,
        response: httpx.Response,
        expected: type[_Decoded],
    ) -> _Decoded:
        try:
            return msgspec.json.decode(response.content, type=expected)
        except msgspec.MsgspecError as error:
            raise self._unavailable_error(
                step,
                f'malformed response: {error}',
                RunState.UNKNOWN,
            ) from error

    def _unavailable_error(
        self,
        step: str,
        detail: str,
        run_state: RunState,
    ) -> CornelbeamError:
        return CornelbeamError(
            ErrorCode.STORE_UNAVAILABLE,
            step,
            self._base_url,
            detail,
            run_state=run_state,
        )


def _object_path(kind: str, name: str) -> str:
    return f'/v1/objects/{kind}/{quote(name, safe="")}'


def _describe_conflict(
    current: StoredObject | None,
    expected_version: int,
) -> str:
    if current is None:
        return f'the object does not exist, expected version {expected_version}'
    verb = 'deleted' if current.is_deleted else 'written'
    return (
        f'{verb} by {current.write_id} as version {current.version},'
        f' expected version {expected_version}'
    )
