"""Settings of a daemon: keys with units, defaults, ranges and descriptions.

This module is the single source of truth for settings keys. The validation,
its messages and the table in ``docs/settings.md`` are derived from it.
"""

from typing import Annotated, Final, Literal

import msgspec

from cornelbeam_settings.field_metadata import (
    address_list,
    integer,
    ip_address_text,
    name,
    optional_address,
    quantity,
    service_list,
    service_name,
    text,
    url,
    url_path_text,
)

_DAY_MS: Final = 86_400_000
_MAX_PORT: Final = 65_535
_MEBIBYTE: Final = 1_048_576


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all sections: immutable, rejects unknown keys."""


class InstanceSettings(Section, frozen=True):
    """Identity of this instance."""

    name: Annotated[str, name('Name of the target, unique in the fleet.')]
    service: Annotated[
        str,
        service_name(
            'Service that the backend server provides; callers specify it as'
            ' the first label of the Host header.',
        ),
    ]
    domain: Annotated[str, name('Failure domain of the instance.')]
    region: Annotated[str, name('Region of the failure domain.')]
    labels: Annotated[
        dict[str, str],
        text(
            'Initial labels of the target; a labels object of the same name in'
            ' the Object API replaces them.',
        ),
    ] = msgspec.field(default_factory=dict)


class ListenerSettings(Section, frozen=True):
    """Address to accept connections on."""

    host: Annotated[str, ip_address_text('IP address to listen on.')]
    port: Annotated[
        int,
        integer('Port to listen on; 0 selects any free port.', 0, _MAX_PORT),
    ] = 0


class PeerListenerSettings(ListenerSettings, frozen=True):
    """Listener for other daemons and the address announced to them."""

    announced_address: Annotated[
        str,
        optional_address(
            'Address (ip:port) announced to other daemons if they reach this'
            ' one at a different address than it listens on; empty announces'
            ' the listening address.',
        ),
    ] = ''


class BackendServerSettings(Section, frozen=True):
    """The backend server beside the daemon."""

    port: Annotated[
        int,
        integer('Port of the backend server.', 1, _MAX_PORT),
    ]
    host: Annotated[
        str, ip_address_text('IP address of the backend server.')
    ] = '127.0.0.1'
    slot_count: Annotated[
        int,
        quantity(
            'Concurrent requests that the warm backend server can process;'
            ' upper bound of the admission limit.',
            'requests',
            1,
            10_000,
        ),
    ] = 20
    connection_count: Annotated[
        int,
        quantity(
            'Connections kept open to the backend server.',
            'connections',
            1,
            10_000,
        ),
    ] = 240
    cold_slot_count: Annotated[
        int,
        quantity(
            'Concurrent requests that the cold backend server can process;'
            ' initial admission limit. At most slot_count.',
            'requests',
            1,
            10_000,
        ),
    ] = 2
    probe_path: Annotated[
        str,
        url_path_text(
            'Path of the health endpoint that active probes request.'
        ),
    ] = '/healthz'


class ObjectApiSettings(Section, frozen=True):
    """Access to the Object API of the platform."""

    base_url: Annotated[
        str,
        url('URL of the Object API.'),
    ]
    timeout_ms: Annotated[
        int,
        quantity('Time to wait for a response.', 'ms', 10, 60_000),
    ] = 2000


class FleetSettings(Section, frozen=True):
    """Communication with the other daemons of the fleet."""

    secret_file: Annotated[
        str,
        text(
            'File with the secret shared by all daemons; read once at startup.',
            min_length=1,
        ),
    ]
    introducers: Annotated[
        list[str],
        address_list(
            'Addresses (ip:port) of daemons to ask when the Object API does'
            ' not respond.',
        ),
    ] = msgspec.field(default_factory=list)
    called_services: Annotated[
        list[str],
        service_list(
            'Services called through this daemon; it keeps a view of their'
            ' targets. Requests for other services are refused with'
            ' unknown_service.',
        ),
    ] = msgspec.field(default_factory=list)
    ping_period_ms: Annotated[
        int,
        quantity(
            'Interval between pings to other daemons of the service.',
            'ms',
            50,
            60_000,
        ),
    ] = 1000
    suspicion_ms: Annotated[
        int,
        quantity(
            'Time that an unresponsive daemon has to refute the suspicion'
            ' before it is declared dead. At least ping_period_ms.',
            'ms',
            50,
            600_000,
        ),
    ] = 3000
    view_period_ms: Annotated[
        int,
        quantity(
            'Interval between refreshes of the view of a called service.',
            'ms',
            100,
            600_000,
        ),
    ] = 5000


class LimitsSettings(Section, frozen=True):
    """Limits on sizes, times and rates."""

    head_bytes: Annotated[
        int,
        quantity('Maximum size of a request head.', 'bytes', 1024, _MEBIBYTE),
    ] = 65_536
    body_bytes: Annotated[
        int,
        quantity(
            'Maximum size of a request body.',
            'bytes',
            0,
            1024 * _MEBIBYTE,
        ),
    ] = 64 * _MEBIBYTE
    memory_mb: Annotated[
        int,
        quantity(
            'Memory of the machine, a quarter of which may hold bodies and'
            ' answers; 0 for what the operating system states.',
            'MB',
            0,
            1_000_000,
        ),
    ] = 0
    pipelined_count: Annotated[
        int,
        quantity(
            'Requests of one caller connection that are read before the first'
            ' is answered. Those that may repeat run at the same time.',
            'requests',
            1,
            1000,
        ),
    ] = 8
    queue_count: Annotated[
        int,
        quantity(
            'Maximum number of requests queued for the backend server.',
            'requests',
            0,
            10_000,
        ),
    ] = 20
    queue_ms: Annotated[
        int,
        quantity('Maximum time in that queue.', 'ms', 0, 60_000),
    ] = 100
    default_timeout_ms: Annotated[
        int,
        quantity(
            'Timeout of a request for which neither the caller nor a selector'
            ' nor the service specifies one. At least queue_ms.',
            'ms',
            1,
            _DAY_MS,
        ),
    ] = 10_000
    silence_ms: Annotated[
        int,
        quantity(
            'Time without data on a connection with pending calls after which'
            ' their outcome is queried over a new connection.',
            'ms',
            100,
            60_000,
        ),
    ] = 2000
    drain_ms: Annotated[
        int,
        quantity(
            'Maximum time that a planned stop waits for requests in flight.',
            'ms',
            0,
            _DAY_MS,
        ),
    ] = 600_000
    probe_per_s: Annotated[
        float,
        quantity(
            'Rate of active probes of the backend server, for all callers'
            ' together.',
            'probes/s',
            0,
            1000,
        ),
    ] = 1.0
    probe_burst_count: Annotated[
        int,
        quantity(
            'Maximum number of probes in a burst.',
            'probes',
            1,
            1000,
        ),
    ] = 2
    retry_ratio: Annotated[
        float,
        quantity(
            'Retries and hedges allowed per successful call.',
            'retries/call',
            0,
            1,
        ),
    ] = 0.1
    retry_min_per_s: Annotated[
        float,
        quantity(
            'Rate of retries and hedges that is always allowed.',
            'retries/s',
            0,
            1000,
        ),
    ] = 1.0


class PolicySettings(Section, frozen=True):
    """Policies for choosing between eligible targets."""

    selection: Annotated[
        Literal[
            'power_of_two',
            'power_of_three',
            'least_outstanding',
            'weighted_reports',
            'subset',
        ],
        text('Algorithm that chooses among the eligible targets.'),
    ] = 'power_of_three'


class LogSettings(Section, frozen=True):
    """Logging to standard error."""

    level: Annotated[
        Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'],
        text('Lowest level that is logged.'),
    ] = 'INFO'
    is_json: Annotated[
        bool,
        text('Write one JSON object per line instead of text.'),
    ] = False


class DaemonSettings(Section, frozen=True):
    """Settings of ``cornelbeam-daemon``, with one field per section."""

    instance: InstanceSettings
    caller_listener: Annotated[
        ListenerSettings,
        text('HTTP listener for callers.'),
    ]
    peer_listener: Annotated[
        PeerListenerSettings,
        text(
            'Listener for other daemons. The address is announced to them, so'
            ' it must belong to one interface.',
        ),
    ]
    admin_listener: Annotated[
        ListenerSettings,
        text('HTTP listener for operators and the metrics collector.'),
    ]
    backend_server: BackendServerSettings
    object_api: ObjectApiSettings
    fleet: FleetSettings
    limits: LimitsSettings = LimitsSettings()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
