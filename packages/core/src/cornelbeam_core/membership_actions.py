"""Settings of failure detection and the actions that it asks for."""

from dataclasses import dataclass
from typing import final

from cornelbeam_core.members import MemberUpdate


@final
@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods and bounds of failure detection.

    One member is pinged per ``ping_period_ms``. After ``ping_timeout_ms``
    without an ack, ``indirect_count`` others are asked to ping it; at the end
    of the period it is suspected, and after ``suspicion_ms`` dead. The tick
    must be called at least three times per ``ping_timeout_ms``: a longer gap
    than that timeout counts as a pause of this process.

    A dead member is remembered for ``dead_keep_ms``, at most ``dead_limit``
    of them, and one of them is pinged after every ``dead_ping_every`` other
    pings, which finds those that were only cut off.
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
    """Ask the daemon at ``via_address`` to ping a member for this one.

    The ack that it passes back goes to ``Membership.on_ack`` as well.
    """

    via_address: str
    name: str
    address: str


@final
@dataclass(frozen=True, slots=True)
class MemberChanged:
    """What holds for a member is new; ``previous`` held before, if known."""

    update: MemberUpdate
    previous: MemberUpdate | None


@final
@dataclass(frozen=True, slots=True)
class SelfReplaced:
    """A later run of this daemon's own name exists: this one must stop."""

    incarnation: int


MembershipAction = SendPing | SendIndirectPing | MemberChanged | SelfReplaced
