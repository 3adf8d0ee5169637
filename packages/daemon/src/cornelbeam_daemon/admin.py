"""Admin HTTP endpoints: health, metrics, status, routing and draining."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs

import msgspec
from cornelbeam_core.errors import CornelbeamError
from cornelbeam_core.requests import RequestFacts
from cornelbeam_core.selection import TargetState
from cornelbeam_core.selectors import Route
from hypercorn.asyncio import serve
from hypercorn.config import Config
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from cornelbeam_daemon.logs import get_log

if TYPE_CHECKING:
    from cornelbeam_daemon.daemon import Daemon

_log = get_log('admin')
Query = dict[str, str]
Document = dict[str, Any]
Endpoint = Callable[['Daemon', Query], Document]
RouteKey = tuple[str, str]
EndpointDecorator = Callable[[Endpoint], Endpoint]

GRACEFUL_TIMEOUT_S: Final = 0.5

#: Handlers of the endpoints by method and path.
ENDPOINTS: Final[dict[RouteKey, Endpoint]] = {}


def endpoint(method: str, path: str) -> EndpointDecorator:
    """Register the decorated function as the handler of an endpoint.

    The handler returns a document that is sent as JSON.
    """

    def register(handler: Endpoint) -> Endpoint:  # noqa: WPS430 - decorator
        ENDPOINTS[method, path] = handler
        return handler

    return register


@endpoint('GET', '/healthz')
def show_health(daemon: 'Daemon', query: Query) -> Document:
    """Report that the event loop is running, and whether the daemon drains."""
    return {'is_leaving': daemon.backend_side.is_leaving}


@endpoint('GET', '/status')
def show_status(daemon: 'Daemon', query: Query) -> Document:
    """Show the identity, load and configuration revision of this daemon."""
    load = daemon.backend_side.load
    return {
        'name': daemon.own.name,
        'service': daemon.own.service,
        'domain': daemon.own.domain,
        'address': daemon.own.address,
        'incarnation': daemon.own.incarnation,
        'is_leaving': daemon.backend_side.is_leaving,
        'is_domain_in_service': daemon.table.is_own_domain_in_service,
        'is_relay': daemon.fleet.introducers.is_relay(),
        'revision': daemon.config.state.revision,
        'members': dict(daemon.fleet.member_counts()),
        'limit': load.limit,
        'in_flight': load.in_flight,
        'queue_length': load.queue_length,
        'caller_in_flight': daemon.caller_side.in_flight,
    }


@endpoint('GET', '/config')
def show_config(daemon: 'Daemon', query: Query) -> Document:
    """Show the version of each configuration object in force."""
    state = daemon.config.state
    return {
        'revision': state.revision,
        'digest': state.digest,
        'objects': [
            {
                'kind': config_object.kind,
                'name': config_object.name,
                'version': config_object.version,
            }
            for config_object in state.objects()
        ],
    }


@endpoint('GET', '/fleet')
def show_fleet(daemon: 'Daemon', query: Query) -> Document:
    """Show the known members of this service and the revision of each."""
    own = {daemon.own.name: daemon.config.state.revision}
    member_fields = {
        member.target.name: {
            'state': member.state.name.lower(),
            'service': member.target.service,
            'domain': member.target.domain,
            'address': member.target.address,
        }
        for member in daemon.fleet.membership.view()
    }
    revisions = {**daemon.fleet.revisions, **own}
    return {
        'members': [
            {'name': name, 'revision': revisions.get(name, 0), **fields}
            for name, fields in sorted(member_fields.items())
        ],
    }


@endpoint('GET', '/explain')
def explain(daemon: 'Daemon', query: Query) -> Document:
    """Show which selectors match a request and which targets are eligible."""
    facts = RequestFacts(
        query.get('service', ''),
        query.get('method', 'GET'),
        query.get('path', '/'),
        {},
    )
    try:
        route = daemon.table.route(facts)
    except CornelbeamError as error:
        return {'code': error.code.value, 'detail': error.detail}
    now_s = asyncio.get_running_loop().time()
    eligible: list[str] = []
    left_out: dict[str, str] = {}
    in_service = {
        state.target.name: state for state in daemon.table.states(facts.service)
    }
    for target in daemon.table.all_targets(facts.service):
        state = in_service.get(target.name)
        reason = _exclusion_reason(route, state, now_s)
        if reason:
            left_out[target.name] = reason
        else:
            eligible.append(target.name)
    return {
        'selectors': list(route.selector_names),
        'target_labels': {
            label: sorted(allowed)
            for label, allowed in route.target_labels.items()
        },
        'is_repeatable': route.is_repeatable,
        'timeout_ms': route.timeout_ms,
        'eligible': eligible,
        'left_out': left_out,
    }


def _exclusion_reason(
    route: Route,
    state: TargetState | None,
    now_s: float,
) -> str:
    """Return why a target is not eligible, or an empty string if it is."""
    if state is None:
        return 'the failure domain is out of service'
    if route.is_eligible(state.target.labels):
        is_available = state.is_available(now_s)
        return '' if is_available else 'ejected, leaving or unreachable'
    return 'the labels do not match'


@endpoint('POST', '/drain')
def drain(daemon: 'Daemon', query: Query) -> Document:
    """Start a planned stop."""
    daemon.stop()
    return {'is_leaving': True}


async def serve_admin(daemon: 'Daemon', stop: asyncio.Event) -> None:
    """Serve the admin endpoints until ``stop`` is set.

    Hypercorn raises ``InvalidStateError`` when it is cancelled while a
    connection is open, so it is shut down by a trigger instead.
    """
    config = Config()
    config.bind = [f'fd://{daemon.sockets["admin"].fileno()}']
    config.include_server_header = False
    config.loglevel = 'ERROR'
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    app: Any = _make_app(daemon)
    try:
        await serve(app, config, shutdown_trigger=stop.wait)
    except asyncio.InvalidStateError:
        # Hypercorn 0.18 raises this if a connection is still open when its
        # graceful timeout ends; the server has stopped by then.
        _log.debug('admin connections closed after the graceful timeout')


def _make_app(daemon: 'Daemon') -> Callable[..., Awaitable[None]]:
    async def app(scope: Any, receive: Any, send: Any) -> None:  # noqa: WPS430
        if scope['type'] != 'http':
            return
        status, content_type, content = _answer(daemon, scope)
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-type', content_type.encode())],
            },
        )
        await send({'type': 'http.response.body', 'body': content})

    return app


def _answer(daemon: 'Daemon', scope: Any) -> tuple[int, str, bytes]:
    if scope['path'] == '/metrics':
        _refresh_gauges(daemon)
        return (
            200,
            CONTENT_TYPE_LATEST,
            generate_latest(
                daemon.metrics.registry,
            ),
        )
    handler = ENDPOINTS.get((scope['method'], scope['path']))
    if handler is None:
        return 404, 'application/json', b'{"error": "no such endpoint"}'
    parsed = parse_qs(scope['query_string'].decode())
    query = {name: values[-1] for name, values in parsed.items()}
    return 200, 'application/json', msgspec.json.encode(handler(daemon, query))


def _refresh_gauges(daemon: 'Daemon') -> None:
    load = daemon.backend_side.load
    metrics = daemon.metrics
    metrics.set_in_flight(daemon.caller_side.in_flight, load.in_flight)
    metrics.set_limit(load.limit)
    metrics.set_queue_length(load.queue_length)
    metrics.set_probe_tokens(daemon.prober.tokens())
    metrics.set_retry_tokens(daemon.caller_side.retry_tokens())
    metrics.set_members(daemon.fleet.member_counts())
    counts: dict[str, int] = {}
    for config_object in daemon.config.state.objects():
        counts[config_object.kind] = counts.get(config_object.kind, 0) + 1
    metrics.set_config(daemon.config.state.revision, counts)
