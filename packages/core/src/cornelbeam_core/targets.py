"""Targets: a backend server together with the daemon beside it."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, final

USUAL_PERCENT: Final = 100


@final
@dataclass(frozen=True, slots=True)
class Target:
    """One backend server as other daemons know it.

    ``address`` is the ``ip:port`` at which its daemon accepts peers, and
    ``incarnation`` names the run of that daemon: a replaced instance has a
    new one.
    """

    name: str
    service: str
    domain: str
    address: str
    incarnation: int
    labels: Mapping[str, str]


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target as its daemon saw it when it sent an answer.

    ``limit`` is the admission limit in concurrent requests and
    ``service_time_us`` the smoothed time the backend server needs.
    ``wait_ms`` is the time that a request arriving now would wait for a slot
    and ``slowdown_percent`` how long work takes on that host at present, 100
    being as usual.
    """

    in_flight: int
    limit: int
    queue_length: int
    service_time_us: int
    is_leaving: bool
    wait_ms: int = 0
    slowdown_percent: int = USUAL_PERCENT
