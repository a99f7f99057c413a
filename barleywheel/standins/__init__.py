"""Models of the router's peers: callers, build hubs, the journal service and an M3UA exchange.

Each is a state machine without I/O or a clock, with a strict codec of its own that shares no code with
``barleywheel.wire``. A model receives bytes and writes bytes to a ``Transport``; it reports what it received
to a callback, a hub to its ``HubObserver``. Sockets and time belong to the code that drives the models
(``barleywheel.virtual.environment`` in memory).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Transport(Protocol):
    """A model's end of a stream."""

    def write(self, data: bytes) -> bool:
        """Send; return False if the stream has ended."""

    def close(self, reset: bool = False) -> None:
        """Close the stream, or reset it."""


# Arguments: delay in microseconds, action.
Scheduler = Callable[[int, Callable[[], object]], None]


class ProtocolError(Exception):
    """The router sent a malformed message, or one that the peer does not expect."""
