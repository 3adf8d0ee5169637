"""Settings of failure detection and the actions that it returns."""

from dataclasses import dataclass
from typing import final

from cornelbeam_core.members import MemberUpdate


@final
@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods and limits of failure detection.

    One member is pinged per ``ping_period_ms``. After ``ping_timeout_ms``
    without an ack, ``indirect_count`` other members are asked to ping it. At
    the end of the period it is suspected, and ``suspicion_ms`` later it is
    declared dead. ``tick`` must be called at least three times per
    ``ping_timeout_ms``; a gap longer than that timeout is treated as a pause
    of this process.

    Up to ``dead_limit`` dead members are remembered, each for
    ``dead_keep_ms``. Every ``dead_ping_every``-th ping goes to one of them, to
    rediscover members that were only partitioned.
    """

    ping_period_ms: int = 1000
    ping_timeout_ms: int = 300
    suspicion_ms: int = 3000
    indirect_count: int = 3
    max_update_count: int = 6
    max_health_score: int = 8
    transmit_factor: int = 3
    dead_keep_ms: int = 86_400_000
    dead_limit: int = 64
    dead_ping_every: int = 5


@final
@dataclass(frozen=True, slots=True)
class SendPing:
    """Ping a member; its ack goes to ``Membership.on_ack``."""

    name: str
    address: str
    updates: tuple[MemberUpdate, ...]


@final
@dataclass(frozen=True, slots=True)
class SendIndirectPing:
    """Ask the daemon at ``via_address`` to ping a member on behalf of this one.

    The ack that it relays goes to ``Membership.on_ack`` as well.
    """

    via_address: str
    name: str
    address: str


@final
@dataclass(frozen=True, slots=True)
class MemberChanged:
    """The entry of a member changed; ``previous`` is ``None`` if it is new."""

    update: MemberUpdate
    previous: MemberUpdate | None


@final
@dataclass(frozen=True, slots=True)
class SelfReplaced:
    """A later incarnation of this daemon exists, so this one must stop."""

    incarnation: int


MembershipAction = SendPing | SendIndirectPing | MemberChanged | SelfReplaced
