"""Small fleet of processes on loopback, for the demo and for tests.

The fleet has one stand-in Object API and, for each target, one stand-in
backend server with a daemon beside it. The settings files of the daemons are
written to a given directory.
"""

import itertools
import os
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, final

import httpx
import msgspec

from cornelbeam_standins.processes import (
    ManagedProcess,
    ProcessError,
    spawn_standin,
    start_module,
)

_LOOPBACK: Final = '127.0.0.1'
_READY_TIMEOUT_S: Final = 60
_POLL_INTERVAL_S: Final = 0.02
_CONTROL_TIMEOUT_S: Final = 30
# Below the ephemeral port range of Linux: an outgoing connection could
# otherwise take a port between its choice and the start of its daemon.
_FIRST_PORT: Final = 20_000
_PORT_COUNT: Final = 12_000


@final
class Node:
    """One target: a backend server, its daemon and their addresses."""

    __slots__ = (
        '_directory',
        'admin_port',
        'backend',
        'caller_port',
        'control_url',
        'daemon',
        'domain',
        'name',
        'peer_address',
        'service',
    )

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        directory: Path,
        ports: Iterator[int],
    ) -> None:
        """Start the backend server and reserve ports for the daemon."""
        self.name = name
        self.service = service
        self.domain = domain
        self.caller_port = next(ports)
        self.admin_port = next(ports)
        self.peer_address = f'{_LOOPBACK}:{next(ports)}'
        self.backend = spawn_standin(
            'backend-server',
            '--port',
            '0',
            '--name',
            name,
        )
        self.control_url = ''
        self.daemon: ManagedProcess | None = None
        self._directory = directory

    @property
    def caller_url(self) -> str:
        """URL at which callers reach the daemon."""
        return f'http://{_LOOPBACK}:{self.caller_port}'

    @property
    def admin_url(self) -> str:
        """URL at which operators reach the daemon."""
        return f'http://{_LOOPBACK}:{self.admin_port}'

    def wait_backend(self) -> None:
        """Wait until the backend server listens."""
        self.backend.wait_listening()
        control = self.backend.wait_listening(is_main=False)
        self.control_url = f'http://{control}/control'

    def start_daemon(self, settings: dict[str, Any]) -> None:
        """Write the settings file and start the daemon with it."""
        path = self._directory / f'{self.name}.jsonc'
        path.write_bytes(msgspec.json.encode(settings))
        self.daemon = start_module(
            f'daemon of {self.name}',
            'cornelbeam_daemon.cli',
            '--settings',
            str(path),
        )

    def wait_daemon(self) -> None:
        """Wait until the daemon accepts connections of callers and operators.

        Raise ``ProcessError`` if it was not started or does not listen.
        """
        if self.daemon is None:
            raise ProcessError(f'the daemon of {self.name} was not started')
        for port in (self.caller_port, self.admin_port):
            wait_until_listening(self.daemon, port)

    def inject(self, **faults: Any) -> None:
        """Inject faults into the backend server."""
        post_control(self.control_url, faults)

    def read_runs(self) -> list[dict[str, Any]]:
        """Read the run journal of the backend server."""
        return list(read_json(f'{self.control_url}/runs'))

    def read_counts(self) -> dict[str, int]:
        """Read the counters of the backend server."""
        return dict(read_json(f'{self.control_url}/counts'))


@final
class Fleet:
    """All processes of a fleet; the context manager kills them on exit."""

    def __init__(self, directory: Path) -> None:
        """Start the Object API; settings are written to ``directory``."""
        self.nodes: dict[str, Node] = {}
        # By section, settings that override or extend those of each daemon.
        self.settings: dict[str, dict[str, Any]] = {}
        self._directory = directory
        self._announced: dict[str, str] = {}
        self._ports = _free_ports()
        self._secret = directory / 'fleet-secret'
        self._secret.write_text('for tests only', encoding='ascii')
        self._stack = ExitStack()
        self.object_api = spawn_standin('object-api', '--port', '0')
        self._stack.callback(self.object_api.close)

    def __enter__(self) -> Self:
        """Return the fleet itself."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill all processes that are still running."""
        self._stack.close()

    @property
    def store_url(self) -> str:
        """URL of the Object API."""
        if not self.object_api.address:
            self.object_api.wait_listening()
        return f'http://{self.object_api.address}'

    @property
    def services(self) -> list[str]:
        """Distinct services of all targets."""
        return list(dict.fromkeys(each.service for each in self.nodes.values()))

    def add(self, name: str, service: str, domain: str) -> Node:
        """Start a backend server; ``start`` starts its daemon."""
        node = Node(name, service, domain, self._directory, self._ports)
        self._stack.callback(self._close_node, node)
        self.nodes[name] = node
        return node

    def start(self) -> None:
        """Start the daemons not yet started and wait until they listen."""
        waiting = [node for node in self.nodes.values() if not node.daemon]
        for unready in waiting:
            unready.wait_backend()
        for node in waiting:
            node.start_daemon(self.make_settings(node))
        for started in waiting:
            started.wait_daemon()

    def announce_proxy_port(self, node: Node) -> int:
        """Announce a free port as the peer address of a node; return the port.

        A proxy that listens there then carries all connections of other
        daemons to the node. Call this before the daemon starts.
        """
        port = next(self._ports)
        self._announced[node.name] = f'{_LOOPBACK}:{port}'
        return port

    def restart_daemon(self, node: Node) -> None:
        """Start a new daemon in place of one that has exited."""
        if node.daemon is not None:
            node.daemon.close()
        node.start_daemon(self.make_settings(node))
        node.wait_daemon()

    def make_settings(self, node: Node) -> dict[str, Any]:
        """Return the settings of a daemon."""
        host, port = node.peer_address.split(':')
        backend_host, backend_port = node.backend.address.split(':')
        settings: dict[str, dict[str, Any]] = {
            'instance': {
                'name': node.name,
                'service': node.service,
                'domain': node.domain,
                'region': 'loopback',
            },
            'caller_listener': {'host': _LOOPBACK, 'port': node.caller_port},
            'peer_listener': {
                'host': host,
                'port': int(port),
                'announced_address': self._announced.get(node.name, ''),
            },
            'admin_listener': {'host': _LOOPBACK, 'port': node.admin_port},
            'backend_server': {
                'host': backend_host,
                'port': int(backend_port),
                'probe_path': '/health',
            },
            'object_api': {'base_url': self.store_url},
            'fleet': {
                'introducers': self._list_introducers(node),
                'called_services': self.services,
                'secret_file': str(self._secret),
            },
        }
        for section, keys in self.settings.items():
            settings[section] = settings.get(section, {}) | keys
        return settings

    def read_runs(self) -> list[dict[str, Any]]:
        """Read the run journals of all backend servers."""
        journals = [node.read_runs() for node in self.nodes.values()]
        return list(itertools.chain.from_iterable(journals))

    def inject(self, **faults: Any) -> None:
        """Inject faults into the Object API."""
        post_control(f'{self.store_url}/control', faults)

    def run_cornelbeamctl(self, *arguments: str) -> tuple[int, str]:
        """Run ``cornelbeamctl``; return its exit status and its output."""
        with start_module(
            'cornelbeamctl',
            'cornelbeam_operator.cli',
            *arguments,
            '--object-api',
            self.store_url,
        ) as command:
            output = command.read_output()
            return command.wait(), output + command.read_errors()

    def admin_addresses(self) -> list[str]:
        """Return the admin address of each daemon for ``cornelbeamctl``."""
        return [
            f'{_LOOPBACK}:{node.admin_port}' for node in self.nodes.values()
        ]

    def _list_introducers(self, node: Node) -> list[str]:
        return [
            self._announced.get(other.name, other.peer_address)
            for other in self.nodes.values()
            if other is not node
        ]

    def _close_node(self, node: Node) -> None:
        node.backend.close()
        if node.daemon is not None:
            node.daemon.close()


def wait_until_listening(process: ManagedProcess, port: int) -> None:
    """Wait until a process accepts connections on a loopback port.

    Raise ``ProcessError`` if it exits or does not listen within 60 s.
    """
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            socket.create_connection(
                (_LOOPBACK, port), _READY_TIMEOUT_S
            ).close()
        except OSError:
            if not process.is_running:
                break
            time.sleep(_POLL_INTERVAL_S)
        else:
            return
    raise ProcessError(
        f'{process.name} does not listen; standard error: '
        f'{process.read_errors()}',
    )


def read_json(url: str) -> Any:
    """Read a JSON resource of a stand-in or a daemon."""
    response = httpx.get(url, trust_env=False, timeout=_CONTROL_TIMEOUT_S)
    response.raise_for_status()
    return response.json()


def post_control(url: str, faults: dict[str, Any]) -> None:
    """Inject faults into a stand-in."""
    httpx.post(
        url,
        json=faults,
        trust_env=False,
        timeout=_CONTROL_TIMEOUT_S,
    ).raise_for_status()


def _free_ports() -> Iterator[int]:
    # Concurrent test runs start their search at different ports.
    start = os.getpid() * 97
    for step in range(_PORT_COUNT):
        port = _FIRST_PORT + (start + step) % _PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                continue
        yield port
