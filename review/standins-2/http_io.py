"""Minimal HTTP/1.1 messages over asyncio streams."""

import asyncio
import socket
import struct


class Message:
    """Start line, header fields in lower case, and body."""

    def __init__(self, start, headers, body=b''):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Return the first value of a field."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def status(self):
        """Status of an answer."""
        return int(self.start.split()[1])


async def read_head(reader):
    """Read a start line and the header fields; ``None`` at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message, *, until_close=False):
    """Read the body that the header fields announce."""
    if 'chunked' in message.get('transfer-encoding').lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    length = message.get('content-length')
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b''


async def read_message(reader, *, until_close=False):
    """Read a whole message; ``None`` at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(
            reader, message, until_close=until_close
        )
    return message


def render(start, headers, body=b''):
    """Render a message with a length."""
    lines = [start]
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'content-length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


async def call(
    address, method, path, headers=(), body=b'', timeout_s=2.0, source=None
):
    """Send one request on a new connection and return the answer.

    ``source`` is the host of the machine that it comes from.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=None if source is None else (source, 0)
        )
        try:
            writer.write(
                render(
                    f'{method} {path} HTTP/1.1',
                    [*([] if any(k == 'host' for k, _ in headers) else [('host', address)]), *headers],
                    body,
                )
            )
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError('closed without an answer')
            return answer
        finally:
            writer.close()


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info('socket')
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
