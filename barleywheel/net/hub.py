"""A build hub, its connections, and the state of an attempt on one of them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import Attempt, Call
from barleywheel.core.runtime import now_us
from barleywheel.net import sockets
from barleywheel.net.connection import Connection

MAX_CONNECTIONS_PER_HUB = 4
# Hubs write each message in one piece, so the rest of an incomplete one is not expected after this.
MESSAGE_TIMEOUT_US = 250_000
# Ended set-ups remembered per connection, so that a late 200 for one of them is released with a BYE.
MAX_ENDED_SETUPS_PER_CONNECTION = 512


class HubConnection(Connection):
    """A connection to a hub, with the set-ups that are open on it."""

    def __init__(self, sock: sockets.Socket, peer: str, deadlines: Deadlines) -> None:
        super().__init__(sock, peer, deadlines, MESSAGE_TIMEOUT_US, await_first_message=False)
        self.setups: dict[tuple[str, int], Attempt] = {}
        # Ended without an established call; a late 200 for one of these is answered with a BYE.
        self.ended_setups: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.opened_us = self.last_received_us = now_us()
        self.silence_check_scheduled = False
        self.suspect = False  # the hub may be unreachable; cleared when a message is read

    def remember_ended(self, key: tuple[str, int]) -> None:
        """Remember a set-up that ended without an established call."""
        self.ended_setups[key] = None
        if len(self.ended_setups) > MAX_ENDED_SETUPS_PER_CONNECTION:
            self.ended_setups.popitem(last=False)


class HubAttempt:
    """Carrier state of an attempt: its connection, CSeq and called number."""

    def __init__(self, conn: HubConnection, cseq: int, called_number: str) -> None:
        self.conn, self.cseq, self.called_number = conn, cseq, called_number


@dataclass(slots=True)
class PendingRelease:
    """A BYE that waits for a connection to its hub."""

    expires_us: int
    ref: str
    cseq: int
    called_number: str
    cause: int


class Hub:
    """A build hub: its address, its connections and what waits for one."""

    def __init__(self, name: bytes, address: str, since_ms: int = 0) -> None:
        self.name, self.address = name, address
        self.since_ms = since_ms  # Unix time of its process's start, if it is listed with one, else 0
        self.connections: list[HubConnection] = []
        self.connecting = 0  # connects in progress
        self.gone = False  # removed from the hub list
        self.last_received_us = now_us()
        # The last_received_us for which a release of the hub's calls is already scheduled.
        self.release_scheduled_for_silence_since_us = 0
        # A connection opened from this time on makes the hub repeat the releases that were lost with another.
        self.repeat_due_us: int | None = None
        self.maintenance_needed = runtime.event()
        self.connect_attempt_ended = runtime.event()
        self.pending_releases: list[PendingRelease] = []

    @property
    def repeat_is_due(self) -> bool:
        """Whether a connection is to be opened so that the hub repeats its releases."""
        return self.repeat_due_us is not None and self.repeat_due_us <= now_us()

    @property
    def has_most_connections(self) -> bool:
        """Whether no further connection to the hub is allowed."""
        return len(self.connections) + self.connecting >= MAX_CONNECTIONS_PER_HUB

    def idle_connections(self) -> list[HubConnection]:
        """The connections without an open set-up."""
        return [conn for conn in self.connections if not conn.setups]

    def usable_connection(self, call: Call | None = None) -> HubConnection | None:
        """Return a connection for a new set-up: nothing queued, no incomplete message read, not suspect.

        A call that is sent to the same hub again needs a connection that has not carried it before: hubs
        answer every INVITE of a call with CSeq 1, so only the connection tells the answers apart.
        """
        ready = [
            c
            for c in self.connections
            if c.can_write_now
            and not c.suspect
            and not len(c.buffer)
            and (call is None or c not in call.carrier_data)
        ]
        return min(ready, key=lambda c: len(c.setups)) if ready else None
