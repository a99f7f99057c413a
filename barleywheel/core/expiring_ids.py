"""A set of ids that forgets each one after a time, and the oldest ones when it is full."""

from __future__ import annotations

from barleywheel.core.deadlines import Deadlines
from barleywheel.core.runtime import now_us

SWEEP_INTERVAL_US = 1_000_000


class ExpiringIds:
    """Ids with a common time to live. One timer serves them all, while there are any."""

    def __init__(self, deadlines: Deadlines, ttl_us: int, max_ids: int) -> None:
        self._deadlines, self._ttl_us, self._max_ids = deadlines, ttl_us, max_ids
        self._expires_us: dict[str, int] = {}  # in the order in which they expire
        self._sweep_scheduled = False

    def __contains__(self, ref: object) -> bool:
        return ref in self._expires_us

    def __len__(self) -> int:
        return len(self._expires_us)

    def add(self, ref: str) -> None:
        """Remember an id from now on; has no effect if it is remembered already."""
        if ref in self._expires_us:
            return
        self._expires_us[ref] = now_us() + self._ttl_us
        if len(self._expires_us) > self._max_ids:
            self._discard_oldest()
        self._schedule_sweep()

    def _discard_oldest(self) -> None:
        del self._expires_us[next(iter(self._expires_us))]

    def _schedule_sweep(self) -> None:
        if self._expires_us and not self._sweep_scheduled:
            self._sweep_scheduled = True
            self._deadlines.schedule(now_us() + SWEEP_INTERVAL_US, self._sweep)

    def _sweep(self) -> None:
        self._sweep_scheduled = False
        now = now_us()
        while self._expires_us and next(iter(self._expires_us.values())) <= now:
            self._discard_oldest()
        self._schedule_sweep()
