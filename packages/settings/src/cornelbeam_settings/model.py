"""The settings of a daemon: keys, units, defaults, ranges and their meaning.

This module is the only place that describes a key. The checks, the messages
and the table in ``docs/settings.md`` are derived from it.
"""

from typing import Annotated, Final, Literal

import msgspec

from cornelbeam_settings.units import (
    address_list,
    ip_host,
    name,
    number,
    optional_address,
    path_text,
    service_list,
    service_name,
    size,
    text,
    url,
)

_DAY_MS: Final = 86_400_000
_MAX_PORT: Final = 65_535
_MEBIBYTE: Final = 1_048_576


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections: immutable, unknown keys are errors."""


class InstanceSettings(Section, frozen=True):
    """Who this instance is."""

    name: Annotated[str, name('Name of the target, unique in the fleet.')]
    service: Annotated[
        str,
        service_name(
            'Service that the backend server provides; callers name it as'
            ' the first label of the Host header.',
        ),
    ]
    domain: Annotated[str, name('Failure domain of the instance.')]
    region: Annotated[str, name('Region of the failure domain.')]
    labels: Annotated[
        dict[str, str],
        text(
            'Labels the target starts with; a labels object of the same name'
            ' in the Object API replaces them.',
        ),
    ] = msgspec.field(default_factory=dict)


class ListenerSettings(Section, frozen=True):
    """An address to accept connections at."""

    host: Annotated[str, ip_host('IP number to listen at.')]
    port: Annotated[
        int,
        number('Port to listen at; 0 takes any free port.', 0, _MAX_PORT),
    ] = 0


class PeerListenerSettings(ListenerSettings, frozen=True):
    """Where other daemons connect, and the address they are told."""

    announced_address: Annotated[
        str,
        optional_address(
            'Address (ip:port) announced to other daemons when they reach'
            ' this one at another address than it listens at; empty announces'
            ' the listening address.',
        ),
    ] = ''


class BackendServerSettings(Section, frozen=True):
    """The backend server beside the daemon."""

    port: Annotated[
        int,
        number('Port of the backend server.', 1, _MAX_PORT),
    ]
    host: Annotated[str, ip_host('IP number of the backend server.')] = (
        '127.0.0.1'
    )
    slot_count: Annotated[
        int,
        size(
            'Requests the warm backend server can work on at once; upper'
            ' bound of the admission limit.',
            'requests',
            1,
            10_000,
        ),
    ] = 20
    connection_count: Annotated[
        int,
        size(
            'Connections kept to the backend server.',
            'connections',
            1,
            10_000,
        ),
    ] = 240
    cold_slot_count: Annotated[
        int,
        size(
            'Requests the backend server can work on at once while it is'
            ' cold; the admission limit starts here. At most slot_count.',
            'requests',
            1,
            10_000,
        ),
    ] = 2
    probe_path: Annotated[
        str,
        path_text('Path of the health endpoint that probes request.'),
    ] = '/healthz'


class ObjectApiSettings(Section, frozen=True):
    """The Object API of the platform."""

    base_url: Annotated[
        str,
        url('URL of the Object API.'),
    ]
    timeout_ms: Annotated[
        int,
        size('Time to wait for an answer.', 'ms', 10, 60_000),
    ] = 2000


class FleetSettings(Section, frozen=True):
    """The other daemons."""

    secret_file: Annotated[
        str,
        text(
            'File with the secret that all daemons share; its content is'
            ' read once at the start.',
            min_length=1,
        ),
    ]
    introducers: Annotated[
        list[str],
        address_list(
            'Addresses (ip:port) of daemons to ask when the Object API does'
            ' not answer.',
        ),
    ] = msgspec.field(default_factory=list)
    called_services: Annotated[
        list[str],
        service_list(
            'Services called through this daemon; it keeps a view of their'
            ' targets. Requests for others are refused as unknown_service.',
        ),
    ] = msgspec.field(default_factory=list)
    ping_period_ms: Annotated[
        int,
        size(
            'Time between two pings to other daemons of the service.',
            'ms',
            50,
            60_000,
        ),
    ] = 1000
    suspicion_ms: Annotated[
        int,
        size(
            'Time a silent daemon may refute the suspicion before it counts'
            ' as dead. At least ping_period_ms.',
            'ms',
            50,
            600_000,
        ),
    ] = 3000
    view_period_ms: Annotated[
        int,
        size(
            'Time between two refreshes of the view of a called service.',
            'ms',
            100,
            600_000,
        ),
    ] = 5000


class LimitsSettings(Section, frozen=True):
    """Bounds on sizes, times and rates."""

    head_bytes: Annotated[
        int,
        size('Longest head of a request.', 'bytes', 1024, _MEBIBYTE),
    ] = 65_536
    body_bytes: Annotated[
        int,
        size(
            'Longest body of a request.',
            'bytes',
            0,
            1024 * _MEBIBYTE,
        ),
    ] = 64 * _MEBIBYTE
    queue_count: Annotated[
        int,
        size(
            'Requests that may wait beside the backend server.',
            'requests',
            0,
            10_000,
        ),
    ] = 20
    queue_ms: Annotated[
        int,
        size('Longest wait in that queue.', 'ms', 0, 60_000),
    ] = 100
    default_timeout_ms: Annotated[
        int,
        size(
            'Time for a request when neither the caller nor a selector nor'
            ' the service states one. At least queue_ms.',
            'ms',
            1,
            _DAY_MS,
        ),
    ] = 10_000
    silence_ms: Annotated[
        int,
        size(
            'Silence of a connection with waiting calls after which the'
            ' outcome is asked over a new connection.',
            'ms',
            100,
            60_000,
        ),
    ] = 2000
    drain_ms: Annotated[
        int,
        size(
            'Longest wait of a planned stop for requests in flight.',
            'ms',
            0,
            _DAY_MS,
        ),
    ] = 600_000
    probe_per_s: Annotated[
        float,
        size(
            'Active probes of the backend server, for all callers together.',
            'probes/s',
            0,
            1000,
        ),
    ] = 1.0
    probe_burst_count: Annotated[
        int,
        size(
            'Probes that may follow each other at once.',
            'probes',
            1,
            1000,
        ),
    ] = 2
    retry_ratio: Annotated[
        float,
        size(
            'Retries and hedges allowed for each successful call.',
            'retries/call',
            0,
            1,
        ),
    ] = 0.1
    retry_min_per_s: Annotated[
        float,
        size(
            'Retries and hedges always allowed.',
            'retries/s',
            0,
            1000,
        ),
    ] = 1.0


class PolicySettings(Section, frozen=True):
    """Rules that decide between eligible targets."""

    selection: Annotated[
        Literal[
            'power_of_two',
            'power_of_three',
            'least_outstanding',
            'weighted_reports',
            'subset',
        ],
        text('How a target is chosen among the eligible ones.'),
    ] = 'power_of_three'


class LogSettings(Section, frozen=True):
    """Log lines on standard error."""

    level: Annotated[
        Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'],
        text('Lowest level that is written.'),
    ] = 'INFO'
    is_json: Annotated[
        bool,
        text('One JSON object a line instead of text.'),
    ] = False


class DaemonSettings(Section, frozen=True):
    """Settings of ``cornelbeam-daemon``, one field per section."""

    instance: InstanceSettings
    caller_listener: Annotated[
        ListenerSettings,
        text('Where callers connect, by HTTP.'),
    ]
    peer_listener: Annotated[
        PeerListenerSettings,
        text(
            'Where other daemons connect. The address is announced to them,'
            ' so it names one interface.',
        ),
    ]
    admin_listener: Annotated[
        ListenerSettings,
        text('Where operators and the collector of metrics connect, by HTTP.'),
    ]
    backend_server: BackendServerSettings
    object_api: ObjectApiSettings
    fleet: FleetSettings
    limits: LimitsSettings = LimitsSettings()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
