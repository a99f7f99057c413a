"""A runtime on virtual time: greenlets in a fixed order, and a clock that moves when all of them wait."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet

MAX_TURNS_PER_INSTANT = 20_000  # of greenlets within one instant: more of them is a loop that never waits


class BusyLoopError(Exception):
    """Greenlets kept running and time stood still."""


class VirtualEvent:
    """A flag as ``core.runtime.Event``."""

    __slots__ = ("_runtime", "_is_set", "_waiters")

    def __init__(self, runtime: VirtualRuntime) -> None:
        self._runtime, self._is_set = runtime, False
        self._waiters: list[Waiter] = []

    def is_set(self) -> bool:
        """Whether the flag is up."""
        return self._is_set

    def set(self) -> None:
        """Put the flag up."""
        self._is_set = True
        if self._waiters:
            for waiter in self._waiters:
                waiter.wake()
            self._waiters = []

    def clear(self) -> None:
        """Take the flag down."""
        self._is_set = False

    def wait(self, timeout: float | None = None) -> bool:
        """Block until the flag is up or the time is over; whether it was put up."""
        if self._is_set:
            return True
        waiter = Waiter(self._runtime)
        self._waiters.append(waiter)
        woken = waiter.wait(timeout)
        if not woken and waiter in self._waiters:
            self._waiters.remove(waiter)
        return woken


class Waiter:
    """One greenlet that waits once, for a wake-up or for a time."""

    __slots__ = ("_runtime", "_greenlet", "_woken", "_done")

    def __init__(self, runtime: VirtualRuntime) -> None:
        self._runtime = runtime
        self._greenlet: greenlet.greenlet | None = greenlet.getcurrent()
        self._woken = self._done = False

    def wake(self) -> None:
        """Let it go on in the next turn; a second time does nothing."""
        if not self._done:
            self._woken = self._done = True
            self._runtime.ready.append(self._greenlet)

    def _on_timeout(self) -> None:
        if not self._done:
            self._done = True
            self._runtime.ready.append(self._greenlet)

    def wait(self, timeout: float | None) -> bool:
        """Block; whether it was woken."""
        if timeout is not None:
            self._runtime.after(max(0, int(timeout * 1e6)), self._on_timeout)
        try:
            self._runtime.hub.switch()
        finally:
            self._done, self._greenlet = True, None
        return self._woken


class VirtualRuntime:
    """See ``core.runtime.Runtime``. The greenlet that made it drives it by ``run``."""

    def __init__(self, start_us: int, seed: int) -> None:
        self.time_us, self.skew_us = start_us, 0  # skew: what the Unix clock was set by since the start
        self.ready: deque[Any] = deque()
        self.hub = greenlet.getcurrent()
        self.uncaught_errors: list[BaseException] = []  # what greenlets ended by
        self.turns = 0
        self.live_greenlets: dict[greenlet.greenlet, None] = {}
        self._timers: list[tuple[int, int, Callable[[], object]]] = []
        self._timer_number = 0
        self._random = random.Random(seed)

    def now_us(self) -> int:
        """See ``Runtime``."""
        return self.time_us

    def unix_us(self) -> int:
        """See ``Runtime``."""
        return self.time_us + self.skew_us

    def sleep(self, seconds: float) -> None:
        """See ``Runtime``."""
        if seconds > 0:
            Waiter(self).wait(seconds)
        else:
            self.ready.append(greenlet.getcurrent())
            self.hub.switch()

    def spawn(
        self, target: Callable[..., Any], *args: Any, on_error: Callable[[object], None] | None = None
    ) -> None:
        """See ``Runtime``."""

        def body() -> None:
            try:
                target(*args)
            except Exception as error:
                self.uncaught_errors.append(error)
                if on_error is not None:
                    on_error(error)
            finally:
                self.live_greenlets.pop(new_greenlet, None)

        new_greenlet = greenlet.greenlet(body, self.hub)
        self.live_greenlets[new_greenlet] = None
        self.ready.append(new_greenlet)

    def event(self) -> VirtualEvent:
        """See ``Runtime``."""
        return VirtualEvent(self)

    def token(self) -> str:
        """See ``Runtime``."""
        return f"{self._random.getrandbits(64):016x}"

    # For the driver.

    def after(self, us: int, action: Callable[[], object]) -> None:
        """Run an action, which must not block, so many microseconds from now."""
        self._timer_number += 1
        heapq.heappush(self._timers, (self.time_us + us, self._timer_number, action))

    def run_ready(self) -> None:
        """Let every greenlet run until all of them wait; time stands still."""
        ready, limit = self.ready, self.turns + MAX_TURNS_PER_INSTANT
        while ready:
            ready.popleft().switch()
            self.turns += 1
            if self.turns > limit:
                raise BusyLoopError(f"{MAX_TURNS_PER_INSTANT} turns within one instant")

    def run(self, us: int) -> None:
        """Let so much time pass."""
        until, timers = self.time_us + us, self._timers
        self.run_ready()
        while timers and timers[0][0] <= until:
            self.time_us = max(self.time_us, timers[0][0])
            heapq.heappop(timers)[2]()
            self.run_ready()
        self.time_us = until

    def stop(self) -> None:
        """End every greenlet where it waits."""
        while self.live_greenlets:
            one = next(iter(self.live_greenlets))
            self.live_greenlets.pop(one)
            one.throw(greenlet.GreenletExit)
        self.ready.clear()
        self._timers.clear()
