"""Timers of the whole process, kept in one sorted list that a single greenlet runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from sortedcontainers import SortedList

from barleywheel.core import runtime
from barleywheel.core.runtime import now_us

log = logging.getLogger(__name__)
# An action that runs this long after it was due shows that something has kept the event loop from running.
MAX_ACTION_DELAY_US = 100_000
DELAY_LOG_INTERVAL_US = 1_000_000
# Due time in microseconds, sequence number, action. The number is unique, so that actions, which have no
# order, are never compared.
DeadlineHandle = tuple[int, int, Callable[[], Any]]


class Deadlines:
    """Runs actions when they are due. An action must not block: it would delay all others."""

    def __init__(self) -> None:
        self._due: SortedList = SortedList()
        self._last_number = 0
        self._first_changed = runtime.event()
        self._next_delay_log_us = 0

    def schedule(self, due_us: int, action: Callable[[], Any]) -> DeadlineHandle:
        """Schedule an action; the handle is for ``cancel``."""
        self._last_number += 1
        handle = (due_us, self._last_number, action)
        self._due.add(handle)
        if self._due[0] is handle:
            self._first_changed.set()
        return handle

    def cancel(self, handle: DeadlineHandle) -> None:
        """Remove an action; no error if it has already run."""
        self._due.discard(handle)

    def run_due(self, now: int) -> None:
        """Run the actions due at ``now`` or before."""
        if self._due:
            self._log_delay(now - self._due[0][0], now)
        while self._due and self._due[0][0] <= now:
            action = self._due.pop(0)[2]
            try:
                action()
            except Exception:  # an error in one action must not stop the others
                log.exception("deadline action failed")

    def _log_delay(self, delay_us: int, now: int) -> None:
        if delay_us > MAX_ACTION_DELAY_US and now >= self._next_delay_log_us:
            self._next_delay_log_us = now + DELAY_LOG_INTERVAL_US
            log.warning("event loop delayed, timers run late: late_ms=%d", delay_us // 1000)

    def run(self) -> None:
        """Run due actions for ever; sleep until the next one is due or an earlier one is scheduled."""
        while True:
            self._first_changed.clear()
            self.run_due(now_us())
            wait = (self._due[0][0] - now_us()) / 1e6 if self._due else None
            if wait is None or wait > 0:
                self._first_changed.wait(wait)
