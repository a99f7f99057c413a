"""All deadlines in one sorted structure, swept each turn."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from sortedcontainers import SortedList

from barleywheel.core import runtime
from barleywheel.core.runtime import now_us

log = logging.getLogger(__name__)
DeadlineHandle = tuple[int, int, Callable[[], Any]]


class Deadlines:
    """Actions by due time. An action must not block."""

    def __init__(self) -> None:
        self._due: SortedList = SortedList()  # the running number keeps actions from being compared
        self._number = 0
        self._wake = runtime.event()

    def schedule(self, due_us: int, action: Callable[[], Any]) -> DeadlineHandle:
        """Run the action at the given time."""
        self._number += 1
        handle = (due_us, self._number, action)
        self._due.add(handle)
        if self._due[0] is handle:
            self._wake.set()
        return handle

    def cancel(self, handle: DeadlineHandle) -> None:
        """Forget a deadline, whether it has come or not."""
        self._due.discard(handle)

    def run_due(self, now: int) -> None:
        """Run what is due."""
        while self._due and self._due[0][0] <= now:
            action = self._due.pop(0)[2]
            try:
                action()
            except Exception:  # one action's fault must not stop the others'
                log.exception("deadline action failed")

    def run(self) -> None:
        """Sweep for ever, once a turn."""
        while True:
            self._wake.clear()
            self.run_due(now_us())
            wait = (self._due[0][0] - now_us()) / 1e6 if self._due else None
            if wait is None or wait > 0:
                self._wake.wait(wait)
