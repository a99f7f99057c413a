"""What the process gives to every part: time, greenlets, waits, and ids that nobody can guess.

This module alone owns time. ``Gevent`` is what serves; whatever is put in its place by ``use_runtime`` (the
virtual runtime of ``barleywheel.virtual``) runs the same parts on a clock of its own. One is in force in a
process at a time, so that no part has to be handed it.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol, cast

import gevent
from gevent.event import Event as GeventEvent


class Event(Protocol):
    """A flag that greenlets wait for."""

    def is_set(self) -> bool:
        """Whether the flag is up."""

    def set(self) -> None:
        """Put the flag up; whoever waits goes on in the next turn."""

    def clear(self) -> None:
        """Take the flag down."""

    def wait(self, timeout: float | None = None) -> object:
        """Block until the flag is up, or for so many seconds; true where it is up."""


class Runtime(Protocol):
    """The process as the parts see it."""

    def now_us(self) -> int:
        """Microseconds that never step back."""

    def unix_us(self) -> int:
        """The system's Unix clock, in microseconds; it may be set, either way, at any time."""

    def sleep(self, seconds: float) -> None:
        """Block this greenlet; 0 gives the others a turn."""

    def spawn(
        self, target: Callable[..., Any], *args: Any, on_error: Callable[[object], None] | None
    ) -> None:
        """Start a greenlet; ``on_error`` hears of its end by an exception."""

    def event(self) -> Event:
        """A new flag, down."""

    def token(self) -> str:
        """An id of 16 hex digits."""


class Gevent:
    """The real one."""

    def __init__(self) -> None:
        # Counted from the Unix clock at the start, then by the monotonic one: were the system's clock set
        # back by a second, every deadline of a call would come a second after its caller had gone.
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


_real: Runtime = Gevent()
_in_force: Runtime = _real


def now_us() -> int:
    """Microseconds by the one clock that there is here: Unix time at the start, and never a step back."""
    return _in_force.now_us()


def from_unix_us(unix_us: int) -> int:
    """A time of the system's Unix clock on the clock of ``now_us``: they differ once the former was set."""
    return unix_us - (_in_force.unix_us() - _in_force.now_us())


def sleep(seconds: float) -> None:
    """Block this greenlet for so many seconds; 0 gives the others a turn."""
    _in_force.sleep(seconds)


def spawn(target: Callable[..., Any], *args: Any, on_error: Callable[[object], None] | None = None) -> None:
    """Start a greenlet; ``on_error`` hears of its end by an exception."""
    _in_force.spawn(target, *args, on_error=on_error)


def event() -> Event:
    """A new flag, down."""
    return _in_force.event()


def token() -> str:
    """A fresh call id: 16 hex digits."""
    return _in_force.token()


@contextmanager
def use_runtime(runtime: Runtime) -> Iterator[None]:
    """Put another runtime in force for a while; what was made under one must not live on under another."""
    global _in_force
    before, _in_force = _in_force, runtime
    try:
        yield
    finally:
        _in_force = before
