"""Settings of the daemon for routes by host and path."""

from pathlib import Path
from typing import Annotated

import msgspec
from cornelbeam_core.errors import CornelbeamError, ErrorCode
from cornelbeam_daemon.pipelining import DEFAULT_PIPELINED_COUNT
from cornelbeam_settings.jsonc_document import DocumentError, parse_document
from cornelbeam_settings.model import Section


class MeshInstance(Section, frozen=True):
    """Name, service and failure domain of this instance."""

    name: str
    service: str
    domain: str


class MeshListeners(Section, frozen=True):
    """Addresses that the daemon listens on, as ``ip:port``.

    ``callers`` accepts requests of callers on this instance, ``peers`` the
    connections of other daemons and ``registration`` the heartbeats of the
    backend server.
    """

    callers: str
    peers: str
    registration: str
    readiness: str
    metrics: str

    @property
    def addresses(self) -> tuple[str, ...]:
        """All addresses."""
        return (
            self.callers,
            self.peers,
            self.registration,
            self.readiness,
            self.metrics,
        )


class MeshBackendServer(Section, frozen=True):
    """The backend server on this instance; ``address`` is ``ip:port``."""

    address: str
    heartbeat_interval_ms: int


class MeshStore(Section, frozen=True):
    """The platform's store; ``address`` is ``ip:port``."""

    address: str


class MeshBounds(Section, frozen=True):
    """Limits that the daemon guarantees.

    In a window of ``retry_window_s`` seconds a service receives at most
    ``retry_ratio`` retries per request plus ``retry_slack_count``. A cold
    target receives at most ``cold_factor`` times the rate that it states plus
    ``cold_slack_count`` requests per second. A stopping daemon exits within
    ``grace_s`` seconds.
    """

    retry_ratio: float = 0.2
    retry_slack_count: float = 60
    retry_window_s: float = 10
    cold_factor: float = 1.5
    cold_slack_count: float = 5
    grace_s: float = 6


class MeshLimits(Section, frozen=True):
    """Limits of what callers may occupy.

    Of each connection, ``pipelined_count`` requests are read before the first
    is answered. ``memory_mb`` is the memory of the machine, a quarter of which
    may hold bodies and answers; 0 for what the operating system states.
    """

    pipelined_count: Annotated[int, msgspec.Meta(ge=1)] = (
        DEFAULT_PIPELINED_COUNT
    )
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0


class MeshLog(Section, frozen=True):
    """Lowest level of logged lines, and whether they are JSON."""

    level: str = 'info'
    is_json: bool = True


class MeshSettings(Section, frozen=True):
    """All settings of the daemon."""

    instance: MeshInstance
    listeners: MeshListeners
    backend_server: MeshBackendServer
    store: MeshStore
    bounds: MeshBounds = MeshBounds()
    limits: MeshLimits = MeshLimits()
    log: MeshLog = MeshLog()


def load_mesh_settings(path: str) -> MeshSettings:
    """Load a settings file in JSON with comments.

    Raise ``settings_invalid``, which names the file and the problem.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
        return msgspec.convert(parse_document(text).content, MeshSettings)
    except (OSError, DocumentError, msgspec.ValidationError) as error:
        raise CornelbeamError(
            ErrorCode.SETTINGS_INVALID,
            'settings',
            path,
            str(error),
        ) from error


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``.

    >>> split_address('10.0.0.1:80')
    ('10.0.0.1', 80)
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
