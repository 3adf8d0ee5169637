"""Daemons as processes of the deploy file, on loopback addresses."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import uuid
from pathlib import Path

from http_io import call

ROOT = Path(__file__).resolve().parents[2]
_DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
_SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
BOUNDS = {
    'seed_lag_s': 3,
    'address_reuse_s': 2,
    'stable_window_ms': 3000,
    'ack_timeout_ms': 4000,
    'catchup_s': 4,
    'drain_timeout_ms': 2000,
    'grace_period_s': 6,
    'loss_slack_ms': 200,
    'configuration_apply_ms': 2000,
    'revert_slack_ms': 250,
    'max_stretch_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_slack': 60,
    'cold_factor': 1.5,
    'cold_slack': 5,
    'evacuation_ms': 5000,
    'recovery_s': 15,
    'probes_per_s': 60,
}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = Path(path).open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def __call__(self, what, **fields):
        since_s = time.monotonic() - self._started_s
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{since_s:8.3f} {what} {text}\n')
        self._file.flush()


def _look_up(fields, name):
    for part in name.split('.'):
        if not isinstance(fields, dict) or part not in fields:
            return None
        fields = fields[part]
    return fields


def render_template(text, fields):
    """Fill in the template of the settings, as DEPLOY.md describes it."""

    def section(found):
        is_set = bool(_look_up(fields, found.group(2)))
        return found.group(3) if is_set == (found.group(1) == '#') else ''

    def value(found):
        stated = _look_up(fields, found.group(1))
        if found.group(2):
            return json.dumps(stated)
        return '' if stated is None else str(stated)

    return _VALUE.sub(value, _SECTION.sub(section, text))


def free_port(host):
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Machine:
    """Addresses, settings and the daemon process of one machine."""

    def __init__(self, fleet, number, zone, service):
        self.fleet = fleet
        self.name = f'sidecar-{zone}-{number}'
        self.zone = zone
        self.service = service
        self.host = f'127.{fleet.net}.1.{number}'
        store_host = f'127.{fleet.net}.2.{number}'
        self.store_address = f'{store_host}:{free_port(store_host)}'
        taken = set()
        self.addresses = {}
        for name in ('inbound', 'outbound', 'ready', 'control', 'app'):
            port = free_port(self.host)
            while port in taken:
                port = free_port(self.host)
            taken.add(port)
            self.addresses[name] = f'{self.host}:{port}'
        self.process = None
        self.is_expected = False
        self._settings = fleet.folder / f'{self.name}.json'
        self._log = fleet.folder / f'{self.name}.log'

    @property
    def outbound(self):
        """Where its consumers connect."""
        return self.addresses['outbound']

    def write_settings(self):
        """Write the settings file."""
        role = _DEPLOY['roles']['sidecar']
        template = (ROOT / role['template']).read_text()
        listen = {
            name: self.addresses[name]
            for name in ('inbound', 'outbound', 'ready', 'control')
        }
        fields = {
            'node_name': self.name,
            'service': self.service,
            'zone': self.zone,
            'ip_address': self.host,
            'listen_addresses': listen,
            'application_address': self.addresses['app'],
            'heartbeat_interval_ms': 1500,
            'platform': {'address': self.store_address},
            'limits': {'memory_mb': 300},
            'bounds': {**BOUNDS, **self.fleet.more_bounds},
        }
        self._settings.write_text(render_template(template, fields))

    async def start(self):
        """Start the daemon."""
        self.write_settings()
        role = _DEPLOY['roles']['sidecar']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['CORNELBEAM_NODE_FILE'] = str(self._settings)
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_expected = True
        self.fleet.record('daemon starts', machine=self.name)

    def signal(self, number):
        """Send a signal to the daemon."""
        self.fleet.record(
            'signal', machine=self.name, signal=signal.Signals(number).name
        )
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self.is_expected = False
        self.process.send_signal(number)

    async def kill(self):
        """Kill the daemon and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        """Ask the daemon whether it is ready."""
        try:
            answer = await call(
                self.addresses['ready'],
                'GET',
                '/cornelbeam/readiness',
                timeout_s=0.5,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def log_text(self):
        """Return what the daemon has written."""
        return self._log.read_text(errors='replace')


class Fleet:
    """Machines with one daemon each, in a temporary folder."""

    def __init__(self, record, **more_bounds):
        self.record = record
        self.more_bounds = more_bounds
        self.net = 16 + os.getpid() % 200
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.machines = []

    def add(self, zone, service):
        """Add a machine without starting it."""
        machine = Machine(self, len(self.machines) + 1, zone, service)
        self.machines.append(machine)
        return machine

    async def wait_ready(self, timeout_s=20):
        """Wait until all daemons are ready."""
        async with asyncio.timeout(timeout_s):
            for machine in self.machines:
                while not await machine.is_ready():
                    await asyncio.sleep(0.1)

    def ended_by_themselves(self):
        """Return the machines whose daemons ended without a signal."""
        return [
            machine.name
            for machine in self.machines
            if machine.is_expected and machine.process.returncode is not None
        ]

    async def close(self):
        """End all processes."""
        for machine in self.machines:
            if machine.process is None or machine.process.returncode is not None:
                continue
            machine.process.kill()
            await machine.process.wait()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            Path(kept).mkdir(parents=True, exist_ok=True)
            for machine in self.machines:
                (Path(kept) / f'{machine.name}.log').write_text(
                    machine.log_text()
                )
        self._folder.cleanup()


def manifest(version, routes, services, **more):
    """Return a manifest; routes hold name, kind, prefix and service."""
    return {
        'version': f'{version:08x}',
        'limits': {
            'header_bytes': 16384,
            'body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'listeners': [
            {
                'host': 'front.example',
                'rules': [
                    {
                        'name': name,
                        'kind': kind,
                        'latency_objective_ms': 600,
                        'priority': 1,
                        'match': {'path_prefix': prefix},
                        'action': {
                            'service': service,
                            'timeout_ms': 1500,
                            'max_attempts': 2,
                        },
                    }
                    for name, kind, prefix, service in routes
                ],
            }
        ],
        'clusters': [
            {
                'name': service,
                'health_check_path': '/health',
                'max_connections': 240,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 3.0,
                'cold_per_s': 5.9,
            }
            for service in services
        ],
        **more,
    }


class Consumer:
    """Sends requests and keeps what was answered."""

    def __init__(self, record):
        self.record = record
        self.sent = {}
        self.answers = {}

    async def send(
        self, machine, method, path, body=b'', left_ms=1500, headers=()
    ):
        """Send a request with an id of its own; return (id, status)."""
        attempt = uuid.uuid4().hex[:16]
        self.sent[attempt] = time.monotonic()
        self.record('sent', attempt=attempt, at=machine.name, path=path)
        try:
            answer = await call(
                machine.outbound,
                method,
                path,
                [
                    ('host', 'front.example'),
                    ('x-attempt-id', attempt),
                    ('x-deadline-remaining', str(left_ms)),
                    *headers,
                ],
                body,
                timeout_s=left_ms / 1000 + 1,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        else:
            status = answer.status
        self.answers[attempt] = status
        self.record('answered', attempt=attempt, status=status)
        return attempt, status


def has_trouble():
    """Return whether the script causes its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(main):
    """Run a case; return 2 if it couldn't run."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return 2


def finish(code, text, record):
    """Write the verdict and return the exit code."""
    record('verdict', code=code, text=text)
    sys.stdout.write(f'{text}\n')
    return code
