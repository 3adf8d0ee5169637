"""What the target on this instance states about itself in its answers."""

import asyncio
from collections.abc import Callable
from typing import final

from cornelbeam_core.target_gate import TargetGate
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.platform_adapter import PlatformAdapter

_log = get_log('backend')


@final
class TargetObserver:
    """Reads the header fields of answers, of health checks too."""

    __slots__ = (
        '_adapter',
        '_gate',
        '_loop',
        '_on_departure',
        'limit_per_s',
    )

    def __init__(
        self,
        adapter: PlatformAdapter,
        gate: TargetGate,
        on_departure: Callable[[str], None],
    ) -> None:
        """Pass loads and rate limits on to ``gate``.

        ``on_departure`` is called with the name of a target that is leaving.
        """
        self._adapter = adapter
        self._gate = gate
        self._on_departure = on_departure
        self._loop = asyncio.get_running_loop()
        # Stated by the last answer; ``None`` without a limit.
        self.limit_per_s: float | None = None

    def note_answer(
        self, headers: list[bytes], instance: str, source: str
    ) -> None:
        """Record what an answer of ``instance`` states.

        ``source`` says what was answered, a request or a probe.
        """
        names = self._adapter.headers
        stated_load = fields.find(headers, names.load)
        load = None
        if stated_load is not None:
            load = self._adapter.read_load(stated_load)
        if load is not None:
            self._gate.speed.note(load.slowdown_percent, self._loop.time())
        self._note_limit(fields.find(headers, names.rate_limit), source)
        if states_departure(self._adapter, headers):
            self._on_departure(instance)

    def _note_limit(self, stated: bytes | None, source: str) -> None:
        limit_per_s = None
        if stated is not None:
            limit_per_s = self._adapter.read_rate_limit(stated)
        self._gate.rate_limit.note_stated(limit_per_s, self._loop.time())
        if limit_per_s == self.limit_per_s:
            return
        self.limit_per_s = limit_per_s
        if limit_per_s is None:
            _log.info('target states no rate limit any more', source=source)
            return
        _log.info(
            'target states a rate limit',
            limit_per_s=limit_per_s,
            source=source,
        )


def states_departure(adapter: PlatformAdapter, headers: list[bytes]) -> bool:
    """Return whether an answer says that its target is leaving."""
    stated = fields.find(headers, adapter.headers.leaving)
    return stated is not None and adapter.read_leaving(stated)
