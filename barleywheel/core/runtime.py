"""Runtime services for all other modules: clocks, greenlets, events and unguessable ids.

The router reads clocks through this module only. Production uses ``Gevent``; ``use_runtime`` replaces it, for
instance by the virtual runtime of ``barleywheel.virtual``, which runs the same code on a simulated clock.
Exactly one runtime is current in a process, so that it need not be passed around.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol, cast

import gevent
from gevent.event import Event as GeventEvent

# Not 0: gevent.sleep(0) only queues a callback, and gevent runs up to fifty of those before it polls sockets
# and timers. A timer is run by the poll.
EVENT_LOOP_YIELD_S = 1e-6


class Event(Protocol):
    """A flag that greenlets can wait for."""

    def is_set(self) -> bool:
        """Whether the flag is set."""

    def set(self) -> None:
        """Set the flag; waiting greenlets resume in the next turn."""

    def clear(self) -> None:
        """Clear the flag."""

    def wait(self, timeout: float | None = None) -> object:
        """Block until the flag is set, for at most ``timeout`` seconds; true if it is set."""


class Runtime(Protocol):
    """The services that a runtime provides."""

    def now_us(self) -> int:
        """Time in microseconds that never goes back."""

    def unix_us(self) -> int:
        """The system's Unix clock in microseconds, which may be set forward or back at any time."""

    def sleep(self, seconds: float) -> None:
        """Block this greenlet for so many seconds; 0 lets those run that are ready."""

    def yield_to_event_loop(self) -> None:
        """Block this greenlet until sockets and timers have been polled and what is ready has run."""

    def spawn(
        self, target: Callable[..., Any], *args: Any, on_error: Callable[[object], None] | None
    ) -> None:
        """Start a greenlet; ``on_error`` is called if an exception ends it."""

    def event(self) -> Event:
        """A new event, not set."""

    def token(self) -> str:
        """A new id of 16 hex digits."""


class Gevent:
    """The production runtime: gevent greenlets and the system's clocks."""

    def __init__(self) -> None:
        # Unix time at the start, advanced by the monotonic clock. If it followed the Unix clock and that
        # were set back by a second, every call deadline would come a second after its caller had gone.
        self._offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now_us(self) -> int:
        """See ``Runtime``."""
        return time.monotonic_ns() // 1000 + self._offset_us

    def unix_us(self) -> int:
        """See ``Runtime``."""
        return time.time_ns() // 1000

    def sleep(self, seconds: float) -> None:
        """See ``Runtime``."""
        gevent.sleep(seconds)

    def yield_to_event_loop(self) -> None:
        """See ``Runtime``."""
        gevent.sleep(EVENT_LOOP_YIELD_S)

    def spawn(
        self, target: Callable[..., Any], *args: Any, on_error: Callable[[object], None] | None
    ) -> None:
        """See ``Runtime``."""
        greenlet = gevent.spawn(target, *args)
        if on_error is not None:
            greenlet.link_exception(on_error)

    def event(self) -> Event:
        """See ``Runtime``."""
        return cast(Event, GeventEvent())

    def token(self) -> str:
        """See ``Runtime``."""
        return os.urandom(8).hex()


_gevent_runtime: Runtime = Gevent()
_current: Runtime = _gevent_runtime


def now_us() -> int:
    """Microseconds on the clock used throughout the program: Unix time at the start, never going back."""
    return _current.now_us()


def from_unix_us(unix_us: int) -> int:
    """Convert a Unix time to the clock of ``now_us``; the two differ once the system's clock has been set."""
    return unix_us - (_current.unix_us() - _current.now_us())


def sleep(seconds: float) -> None:
    """Block this greenlet for so many seconds; 0 lets those run that are ready."""
    _current.sleep(seconds)


def yield_to_event_loop() -> None:
    """Block this greenlet until sockets and timers have been polled and what is ready has run.

    Every loop that reads from a peer calls this, since a read returns without blocking while bytes are
    there: a peer that sends faster than they are handled would keep all other greenlets from running.
    """
    _current.yield_to_event_loop()


def spawn(target: Callable[..., Any], *args: Any, on_error: Callable[[object], None] | None = None) -> None:
    """Start a greenlet; ``on_error`` is called if an exception ends it."""
    _current.spawn(target, *args, on_error=on_error)


def event() -> Event:
    """A new event, not set."""
    return _current.event()


def token() -> str:
    """A new, unguessable call id of 16 hex digits."""
    return _current.token()


@contextmanager
def use_runtime(runtime: Runtime) -> Iterator[None]:
    """Make another runtime current for the block; objects made under one must not be used under another."""
    global _current
    previous, _current = _current, runtime
    try:
        yield
    finally:
        _current = previous
