"""Listening sockets of the daemon."""

import socket
from typing import Final

LISTEN_BACKLOG: Final = 1024


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; raise ``OSError`` if binding fails."""
    listening = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
    # Accepted sockets inherit TCP_NODELAY. asyncio sets it only on sockets
    # created with an explicit protocol number; without it, an answer in
    # several writes waits about 40 ms for the caller's delayed acknowledgement.
    listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening
