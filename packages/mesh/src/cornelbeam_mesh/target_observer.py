"""What the target on this instance states about itself in its answers."""

import asyncio
from typing import final

from cornelbeam_core.target_gate import TargetGate
from cornelbeam_daemon import headers as fields
from cornelbeam_daemon.logs import get_log

from cornelbeam_mesh.platform_adapter import PlatformAdapter

_log = get_log('backend')


@final
class TargetObserver:
    """Reads the header fields of answers, of health checks too."""

    __slots__ = ('_adapter', '_gate', '_loop', 'is_leaving', 'limit_per_s')

    def __init__(self, adapter: PlatformAdapter, gate: TargetGate) -> None:
        """Pass loads and rate limits on to ``gate``."""
        self._adapter = adapter
        self._gate = gate
        self._loop = asyncio.get_running_loop()
        # Stated by the last answer; ``None`` without a limit.
        self.limit_per_s: float | None = None
        self.is_leaving = False

    def note_answer(self, headers: list[bytes], source: str) -> None:
        """Record what an answer states; ``source`` says to what."""
        names = self._adapter.headers
        stated_load = fields.find(headers, names.load)
        load = None
        if stated_load is not None:
            load = self._adapter.read_load(stated_load)
        if load is not None:
            self._gate.speed.note(load.slowdown_percent, self._loop.time())
        self._note_limit(fields.find(headers, names.rate_limit), source)
        stated_leaving = fields.find(headers, names.leaving)
        if stated_leaving is not None:
            self._note_leaving(stated_leaving, source)

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

    def _note_leaving(self, stated: bytes, source: str) -> None:
        if self.is_leaving or not self._adapter.read_leaving(stated):
            return
        self.is_leaving = True
        _log.info('target states that it is leaving', source=source)
