"""What the router serves and is served by, as plain models: callers, build hubs, the journal, M3UA exchanges.

Each is a state machine free of I/O and clock, with a strict codec of its own that shares nothing with
``barleywheel.wire``. A model is told bytes and writes bytes on a ``Transport``; what it hears is told to a
``HubObserver``. Whoever drives it (``barleywheel.virtual.environment`` in memory) owns sockets and time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Transport(Protocol):
    """A model's end of a stream."""

    def write(self, data: bytes) -> bool:
        """Send; False where the stream has ended."""

    def close(self, reset: bool = False) -> None:
        """End the stream."""


Scheduler = Callable[[int, Callable[[], object]], None]  # run this so many microseconds from now


class ProtocolError(Exception):
    """The router wrote what its peers could not read, or what no peer expects."""
