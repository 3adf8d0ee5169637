"""ASGI helpers and the HTTP server that the stand-in servers share."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Listener = socket.socket
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

# By default hypercorn closes a connection after 5 s without requests or after
# 1,000 requests, which a measurement would count as failures. It also keeps a
# connection that the peer has closed until the idle timeout, so the timeout
# is no longer than tests need.
_KEEP_ALIVE_S: Final = 120
_KEEP_ALIVE_REQUEST_COUNT: Final = 1_000_000_000
_BACKLOG: Final = 4_096
_GRACE_S: Final = 1


class DisconnectError(Exception):
    """The peer closed the connection before its request was complete."""


async def read_parts(receive: Receive) -> AsyncIterator[bytes]:
    """Yield the parts of a request body as they arrive.

    Raise ``DisconnectError`` if the peer disconnects before the end.
    """
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise DisconnectError
        yield message.get('body', b'')
        has_more = message.get('more_body', False)


async def read_body(receive: Receive) -> bytes:
    """Read and return the whole request body."""
    parts = [part async for part in read_parts(receive)]
    return b''.join(parts)


def read_header(scope: Scope, name: bytes) -> str:
    """Return the first header of a lower-case name, or an empty string."""
    for header_name, header_text in scope['headers']:
        if header_name == name:
            return str(header_text.decode('latin-1'))
    return ''


def read_query(scope: Scope) -> dict[str, str]:
    """Return the first value of each query parameter."""
    parsed = parse_qs(scope['query_string'].decode('ascii'))
    return {name: texts[0] for name, texts in parsed.items()}


async def send_start(
    send: Send,
    status: int,
    size_bytes: int,
    content_type: bytes = b'application/json',
) -> None:
    """Send the status and headers of an answer of a known size."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', content_type),
                (b'content-length', str(size_bytes).encode()),
            ],
        },
    )


async def send_body(send: Send, body: bytes, *, has_more: bool = False) -> None:
    """Send one part of an answer's body."""
    await send(
        {'type': 'http.response.body', 'body': body, 'more_body': has_more},
    )


async def send_json(send: Send, status: int, content: object) -> None:
    """Send a complete answer with a JSON body."""
    body = msgspec.json.encode(content)
    await send_start(send, status, len(body))
    await send_body(send, body)


async def accept_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the startup and shutdown events of the server."""
    await receive()
    await send({'type': 'lifespan.startup.complete'})
    await receive()
    await send({'type': 'lifespan.shutdown.complete'})


def bind_loopback(port: int) -> Listener:
    """Return a listening loopback socket; port 0 picks a free port."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(('127.0.0.1', port))
    # Connections that arrive before the server accepts wait in the backlog.
    bound.listen(_BACKLOG)
    return bound


def announce(port: int) -> None:
    """Print the line from which the parent process reads the port."""
    print(f'listening 127.0.0.1:{port}', flush=True)


async def serve_listener(
    application: Application,
    listener: Listener,
    wait_stop: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve on a bound socket until ``wait_stop`` returns, then close it.

    Without ``wait_stop``, serve until SIGTERM or SIGINT.
    """
    config = Config()
    config.bind = [f'fd://{listener.detach()}']
    config.backlog = _BACKLOG
    config.graceful_timeout = _GRACE_S
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _KEEP_ALIVE_REQUEST_COUNT
    config.errorlog = None
    await serve(
        application,  # type: ignore[arg-type]
        config,
        shutdown_trigger=wait_stop,
    )


async def serve_application(application: Application, port: int) -> None:
    """Print the port, then serve on loopback until SIGTERM or SIGINT."""
    listener = bind_loopback(port)
    announce(listener.getsockname()[1])
    await serve_listener(application, listener)
