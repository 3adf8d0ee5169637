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
    ``grace_s`` seconds. No request runs that was sent more than
    ``revocation_ms`` after its API key was revoked; without the setting, a
    daemon that is cut off serves keys that it doesn't know to be revoked.
    In a window of ``quota_window_s`` seconds at most the limit of a tenant,
    exceeded by the ratio ``quota_overage``, plus ``quota_slack_count`` of its
    requests run.
    In a rollout, a bad version receives at most ``exposure_share`` of the
    requests of its service plus ``exposure_slack_count``, and none later than
    ``rollback_ms`` after it has shown to be bad. Without ``exposure_share``
    there are no rollouts. No decision reads ``rollback_ms``, as a version is
    stopped at once.
    """

    retry_ratio: float = 0.2
    retry_slack_count: float = 60
    retry_window_s: float = 10
    cold_factor: float = 1.5
    cold_slack_count: float = 5
    grace_s: float = 6
    revocation_ms: Annotated[int, msgspec.Meta(ge=1)] | None = None
    quota_window_s: Annotated[float, msgspec.Meta(gt=0)] = 5
    quota_overage: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    quota_slack_count: Annotated[float, msgspec.Meta(ge=0)] = 20
    exposure_share: float | None = None
    exposure_slack_count: float = 50
    rollback_ms: float = 5000


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
