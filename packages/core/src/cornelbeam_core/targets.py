"""Targets: a backend server together with the daemon beside it."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, final

USUAL_PERCENT: Final = 100


@final
@dataclass(frozen=True, slots=True)
class Target:
    """One backend server as other daemons know it.

    ``address`` is the ``ip:port`` at which its daemon accepts peers.
    ``incarnation`` identifies the run of that daemon; a replaced instance has
    a new one.
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
    """Load of a target at the time its daemon sent an answer.

    ``limit`` is the admission limit in concurrent requests and
    ``service_time_us`` the smoothed service time of the backend server.
    ``wait_ms`` is the expected wait for a slot of a request that arrives now,
    and ``slowdown_percent`` the current duration of work on the host relative
    to the usual one, which is 100. While a target states a rate that it
    accepts, ``paced_wait_ms`` is the wait for it, and ``wait_ms`` that of a
    call for which no other target has room.
    """

    in_flight: int
    limit: int
    queue_length: int
    service_time_us: int
    is_leaving: bool
    wait_ms: int = 0
    slowdown_percent: int = USUAL_PERCENT
    paced_wait_ms: int = 0
