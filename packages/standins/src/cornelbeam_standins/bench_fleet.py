"""Fleet for measurements: many daemons and one fast backend per service."""

import random
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self, final

import httpx
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from cornelbeam_standins.processes import (
    ManagedProcess,
    start_module,
    start_standin,
)

_LOOPBACK: Final = '127.0.0.1'
# Starting an interpreter takes most of a second of CPU time, so only a few
# daemons start at once.
_START_BATCH_SIZE: Final = 6
_INTRODUCER_COUNT: Final = 3
_TIMEOUT_S: Final = 30


@final
class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Shape of a fleet; each daemon calls ``called_count`` services."""

    daemon_count: int
    service_count: int = 3
    domain_count: int = 3
    called_count: int = 2


@final
class BenchNode:
    """One daemon of the fleet and its addresses."""

    __slots__ = ('addresses', 'domain', 'name', 'path', 'process', 'service')

    def __init__(self, name: str, service: str, domain: str) -> None:
        """Initialize without starting the daemon."""
        self.name = name
        self.service = service
        self.domain = domain
        self.path = Path()
        self.process: ManagedProcess | None = None
        self.addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Process ID, or 0 before the daemon starts."""
        return 0 if self.process is None else self.process.pid

    @property
    def caller_port(self) -> int:
        """Port of the caller listener."""
        return int(self.addresses['caller'].rpartition(':')[2])

    def read_status(self) -> dict[str, Any]:
        """Read the status from the admin endpoint."""
        return dict(msgspec.json.decode(self._get('status')))

    def read_counters(self, name: str) -> dict[tuple[str, ...], float]:
        """Read the values of one counter by its label values."""
        text = self._get('metrics').decode()
        return {
            tuple(sample.labels.values()): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name.startswith(name)
        }

    def read_log(self) -> list[dict[str, Any]]:
        """Read the JSON lines that the daemon has logged."""
        if self.process is None:
            return []
        lines = self.process.read_errors().splitlines()
        return [
            msgspec.json.decode(line) for line in lines if line.startswith('{')
        ]

    def _get(self, path: str) -> bytes:
        response = httpx.get(
            f'http://{self.addresses["admin"]}/{path}',
            trust_env=False,
            timeout=_TIMEOUT_S,
        )
        return response.raise_for_status().content


@final
class BenchFleet:
    """All processes of a fleet; the context manager kills them on exit."""

    def __init__(self, plan: FleetPlan, directory: Path) -> None:
        """Start the Object API, the backend servers and then the daemons."""
        self.plan = plan
        self.nodes: list[BenchNode] = []
        self._directory = directory
        self._secret = directory / 'secret'
        self._secret.write_text('for measurements only', encoding='ascii')
        self._stack = ExitStack()
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise

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
        return f'http://{self._store.address}'

    @property
    def secret(self) -> bytes:
        """Secret that all daemons share."""
        return self._secret.read_bytes()

    def read_calls(self) -> dict[str, int]:
        """Read the number of Object API calls by operation."""
        counts = httpx.get(
            f'{self.store_url}/control/counts',
            trust_env=False,
            timeout=_TIMEOUT_S,
        ).json()
        return dict(counts['calls'])

    def restart(self, node: BenchNode) -> None:
        """Kill a daemon and start a new one on other free ports."""
        if node.process is not None:
            node.process.close()
        self._launch(node)
        _wait_listening(node)

    def choose_node(
        self, rng: random.Random, *, is_relay: bool
    ) -> BenchNode | None:
        """Choose a random daemon that is, or is not, a relay.

        Return ``None`` if there is none.
        """
        candidates = [
            node
            for node in self.nodes
            if node.read_status()['is_relay'] is is_relay
        ]
        return rng.choice(candidates) if candidates else None

    def _start(self) -> None:
        self._store = self._stack.enter_context(
            start_standin('object-api', '--port', '0'),
        )
        self._services = [
            f'service-{index}' for index in range(self.plan.service_count)
        ]
        self._backends = {
            service: self._stack.enter_context(
                start_standin('fast-backend', '--port', '0'),
            )
            for service in self._services
        }
        self._stack.callback(self._close_daemons)
        starting: list[BenchNode] = []
        for index in range(self.plan.daemon_count):
            starting.append(self._add(index))
            # Introducers start one by one: later daemons need their addresses.
            if len(starting) == _START_BATCH_SIZE or index < _INTRODUCER_COUNT:
                _wait_all(starting)
        _wait_all(starting)

    def _add(self, index: int) -> BenchNode:
        service = self._services[index % len(self._services)]
        # Spreads the members of each service over all failure domains.
        domain_index = index // len(self._services) + index
        node = BenchNode(
            f'target-{index}',
            service,
            f'domain-{domain_index % self.plan.domain_count}',
        )
        node.path = self._directory / f'{node.name}.jsonc'
        self._launch(node)
        self.nodes.append(node)
        return node

    def _launch(self, node: BenchNode) -> None:
        node.path.write_bytes(msgspec.json.encode(self._make_settings(node)))
        node.process = start_module(
            f'daemon of {node.name}',
            'cornelbeam_daemon.cli',
            '--settings',
            str(node.path),
        )

    def _make_settings(self, node: BenchNode) -> dict[str, Any]:
        backend = self._backends[node.service].address
        other_services = [
            service for service in self._services if service != node.service
        ]
        return {
            'instance': {
                'name': node.name,
                'service': node.service,
                'domain': node.domain,
                'region': 'loopback',
            },
            'caller_listener': {'host': _LOOPBACK},
            'peer_listener': {'host': _LOOPBACK},
            'admin_listener': {'host': _LOOPBACK},
            'backend_server': {
                'port': int(backend.rpartition(':')[2]),
                'slot_count': 200,
                'cold_slot_count': 200,
            },
            'object_api': {'base_url': self.store_url},
            'fleet': {
                'secret_file': str(self._secret),
                'introducers': [
                    introducer.addresses['peer']
                    for introducer in self.nodes[:_INTRODUCER_COUNT]
                    if introducer is not node
                ],
                'called_services': other_services[: self.plan.called_count],
            },
            'log': {'level': 'INFO', 'is_json': True},
        }

    def _close_daemons(self) -> None:
        for node in self.nodes:
            if node.process is not None:
                node.process.close()


def _wait_all(starting: list[BenchNode]) -> None:
    for node in starting:
        _wait_listening(node)
    starting.clear()


def _wait_listening(node: BenchNode) -> None:
    if node.process is None:
        return
    _, *fields = node.process.read_line().split()
    node.addresses = dict(field.split('=') for field in fields)
