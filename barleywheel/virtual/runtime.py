"""A runtime on virtual time: greenlets run in a fixed order; the clock advances when all of them wait."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet

# More greenlet switches than this without the clock advancing are taken for a loop that never waits.
MAX_SWITCHES_PER_INSTANT = 20_000


class BusyLoopError(Exception):
    """Greenlets kept running without virtual time advancing."""


class VirtualEvent:
    """A flag on virtual time; see ``core.runtime.Event``."""

    __slots__ = ("_runtime", "_is_set", "_waiters")

    def __init__(self, runtime: VirtualRuntime) -> None:
        self._runtime, self._is_set = runtime, False
        self._waiters: list[Waiter] = []

    def is_set(self) -> bool:
        """Whether the flag is set."""
        return self._is_set

    def set(self) -> None:
        """Set the flag and wake every waiting greenlet."""
        self._is_set = True
        if self._waiters:
            for waiter in self._waiters:
                waiter.wake()
            self._waiters = []

    def clear(self) -> None:
        """Clear the flag."""
        self._is_set = False

    def wait(self, timeout: float | None = None) -> bool:
        """Block until the flag is set or the time-out expires; return whether it was set."""
        if self._is_set:
            return True
        waiter = Waiter(self._runtime)
        self._waiters.append(waiter)
        woken = waiter.wait(timeout)
        if not woken and waiter in self._waiters:
            self._waiters.remove(waiter)
        return woken


class Waiter:
    """One wait of the current greenlet, ended by a wake-up or a time-out."""

    __slots__ = ("_runtime", "_greenlet", "_woken", "_done")

    def __init__(self, runtime: VirtualRuntime) -> None:
        self._runtime = runtime
        self._greenlet: greenlet.greenlet | None = greenlet.getcurrent()
        self._woken = self._done = False

    def wake(self) -> None:
        """Append the greenlet to the ready queue; does nothing once the wait is over."""
        if not self._done:
            self._woken = self._done = True
            self._runtime.ready_greenlets.append(self._greenlet)

    def _on_timeout(self) -> None:
        if not self._done:
            self._done = True
            self._runtime.ready_greenlets.append(self._greenlet)

    def wait(self, timeout: float | None) -> bool:
        """Block; return True if woken, False on time-out."""
        if timeout is not None:
            self._runtime.after(max(0, int(timeout * 1e6)), self._on_timeout)
        try:
            self._runtime.driver.switch()
        finally:
            self._done, self._greenlet = True, None
        return self._woken


class VirtualRuntime:
    """Implements ``core.runtime.Runtime``. The greenlet that creates it advances time by calling ``run``."""

    def __init__(self, start_us: int, seed: int) -> None:
        # skew_us is the offset of the Unix clock from the virtual clock; changing it sets the Unix clock.
        self.time_us, self.skew_us = start_us, 0
        self.ready_greenlets: deque[Any] = deque()
        self.driver = greenlet.getcurrent()
        self.uncaught_errors: list[BaseException] = []  # exceptions that ended a greenlet
        self.switch_count = 0
        self.live_greenlets: dict[greenlet.greenlet, None] = {}
        self._timers: list[tuple[int, int, Callable[[], object]]] = []
        self._timer_sequence = 0  # orders timers that expire at the same time by creation
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
            self.ready_greenlets.append(greenlet.getcurrent())
            self.driver.switch()

    def yield_to_event_loop(self) -> None:
        """See ``Runtime``."""
        self.sleep(0)

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

        new_greenlet = greenlet.greenlet(body, self.driver)
        self.live_greenlets[new_greenlet] = None
        self.ready_greenlets.append(new_greenlet)

    def event(self) -> VirtualEvent:
        """See ``Runtime``."""
        return VirtualEvent(self)

    def token(self) -> str:
        """See ``Runtime``."""
        return f"{self._random.getrandbits(64):016x}"

    # Used by the driving greenlet and the models.

    def after(self, us: int, action: Callable[[], object]) -> None:
        """Run ``action``, which must not block, ``us`` microseconds from now."""
        self._timer_sequence += 1
        heapq.heappush(self._timers, (self.time_us + us, self._timer_sequence, action))

    def run_ready(self) -> None:
        """Run greenlets until all of them wait, without advancing time."""
        ready, limit = self.ready_greenlets, self.switch_count + MAX_SWITCHES_PER_INSTANT
        while ready:
            ready.popleft().switch()
            self.switch_count += 1
            if self.switch_count > limit:
                raise BusyLoopError(f"{MAX_SWITCHES_PER_INSTANT} greenlet switches without time advancing")

    def run(self, us: int) -> None:
        """Advance time by ``us`` microseconds, running timers and greenlets as they come due."""
        end_us, timers = self.time_us + us, self._timers
        self.run_ready()
        while timers and timers[0][0] <= end_us:
            self.time_us = max(self.time_us, timers[0][0])
            heapq.heappop(timers)[2]()
            self.run_ready()
        self.time_us = end_us

    def stop(self) -> None:
        """Kill every greenlet at the point where it waits."""
        while self.live_greenlets:
            live = next(iter(self.live_greenlets))
            self.live_greenlets.pop(live)
            live.throw(greenlet.GreenletExit)
        self.ready_greenlets.clear()
        self._timers.clear()
