"""A runtime on virtual time: greenlets in a fixed order, and a clock that moves when all of them wait."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet

MOST_TURNS = 20_000  # of greenlets within one instant: more of them is a loop that never waits


class Stuck(Exception):
    """Greenlets kept running and time stood still."""


class VirtualEvent:
    """A flag as ``core.runtime.Event``."""

    __slots__ = ("_runtime", "_up", "_waiting")

    def __init__(self, runtime: VirtualRuntime) -> None:
        self._runtime, self._up = runtime, False
        self._waiting: list[Waiter] = []

    def is_set(self) -> bool:
        """Whether the flag is up."""
        return self._up

    def set(self) -> None:
        """Put the flag up."""
        self._up = True
        if self._waiting:
            for waiter in self._waiting:
                waiter.wake()
            self._waiting = []

    def clear(self) -> None:
        """Take the flag down."""
        self._up = False

    def wait(self, timeout: float | None = None) -> bool:
        """Block until the flag is up or the time is over; whether it was put up."""
        if self._up:
            return True
        waiter = Waiter(self._runtime)
        self._waiting.append(waiter)
        woken = waiter.wait(timeout)
        if not woken and waiter in self._waiting:
            self._waiting.remove(waiter)
        return woken


class Waiter:
    """One greenlet that waits once, for a wake-up or for a time."""

    __slots__ = ("_runtime", "_greenlet", "_woken", "_over")

    def __init__(self, runtime: VirtualRuntime) -> None:
        self._runtime = runtime
        self._greenlet: greenlet.greenlet | None = greenlet.getcurrent()
        self._woken = self._over = False

    def wake(self) -> None:
        """Let it go on in the next turn; a second time does nothing."""
        if not self._over:
            self._woken = self._over = True
            self._runtime.ready.append(self._greenlet)

    def _late(self) -> None:
        if not self._over:
            self._over = True
            self._runtime.ready.append(self._greenlet)

    def wait(self, timeout: float | None) -> bool:
        """Block; whether it was woken."""
        if timeout is not None:
            self._runtime.after(max(0, int(timeout * 1e6)), self._late)
        try:
            self._runtime.hub.switch()
        finally:
            self._over, self._greenlet = True, None
        return self._woken


class VirtualRuntime:
    """See ``core.runtime.Runtime``. The greenlet that made it drives it by ``run``."""

    def __init__(self, start_us: int, seed: int) -> None:
        self.time_us, self.skew_us = start_us, 0  # skew: what the Unix clock was set by since the start
        self.ready: deque[Any] = deque()
        self.hub = greenlet.getcurrent()
        self.faults: list[BaseException] = []  # what greenlets ended by
        self.turns = 0
        self.alive: dict[greenlet.greenlet, None] = {}
        self._timers: list[tuple[int, int, Callable[[], object]]] = []
        self._number = 0
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
                self.faults.append(error)
                if on_error is not None:
                    on_error(error)
            finally:
                self.alive.pop(made, None)

        made = greenlet.greenlet(body, self.hub)
        self.alive[made] = None
        self.ready.append(made)

    def event(self) -> VirtualEvent:
        """See ``Runtime``."""
        return VirtualEvent(self)

    def token(self) -> str:
        """See ``Runtime``."""
        return f"{self._random.getrandbits(64):016x}"

    # For the driver.

    def after(self, us: int, action: Callable[[], object]) -> None:
        """Run an action, which must not block, so many microseconds from now."""
        self._number += 1
        heapq.heappush(self._timers, (self.time_us + us, self._number, action))

    def settle(self) -> None:
        """Let every greenlet run until all of them wait; time stands still."""
        ready, most = self.ready, self.turns + MOST_TURNS
        while ready:
            ready.popleft().switch()
            self.turns += 1
            if self.turns > most:
                raise Stuck(f"{MOST_TURNS} turns within one instant")

    def run(self, us: int) -> None:
        """Let so much time pass."""
        until, timers = self.time_us + us, self._timers
        self.settle()
        while timers and timers[0][0] <= until:
            self.time_us = max(self.time_us, timers[0][0])
            heapq.heappop(timers)[2]()
            self.settle()
        self.time_us = until

    def end(self) -> None:
        """End every greenlet where it waits."""
        while self.alive:
            one = next(iter(self.alive))
            self.alive.pop(one)
            one.throw(greenlet.GreenletExit)
        self.ready.clear()
        self._timers.clear()
