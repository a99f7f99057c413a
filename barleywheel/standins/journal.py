"""The journal service: long polling over HTTP/1.1, as the platform's PROTOCOL specifies."""

from __future__ import annotations

import json
import re
from typing import Any

from barleywheel.standins import ProtocolError, Scheduler, Transport

GET_REQUEST = re.compile(rb"GET /journal\?tail=(\d+)&max_wait=(\d+) HTTP/1\.1\r\nHost: [^\r\n]+\r\n\r\n")


class PollConnection:
    """A connection on which the router polls, one request at a time."""

    def __init__(self, journal: Journal, transport: Transport) -> None:
        self.journal, self.transport, self.open = journal, transport, True
        self.tail: int | None = None  # event number in the pending request; None while there is none
        self._buffer = b""
        self._request_number = 0  # tells a wait that ends late from that of a newer request

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``."""
        self._buffer += data
        if b"\r\n\r\n" not in self._buffer:
            return
        match = GET_REQUEST.fullmatch(self._buffer)
        if not match:
            raise ProtocolError(f"journal: malformed request {self._buffer[:80]!r}")
        self._buffer = b""
        wait_ms = int(match[2])
        if not 0 <= wait_ms <= 5000:
            raise ProtocolError(f"journal: asked to wait {wait_ms} ms, more than 5000")
        self.tail, self._request_number = int(match[1]), self._request_number + 1
        request_number = self._request_number
        self.journal.respond_if_ready(self)
        if self.tail is not None:
            self.journal.schedule(wait_ms * 1000, lambda: self._on_wait_over(request_number))

    def _on_wait_over(self, request_number: int) -> None:
        if request_number == self._request_number and self.tail is not None and self.open:
            self.journal.respond(self)

    def connection_lost(self, reset: bool) -> None:
        """See ``virtual.network.StreamHandler``."""
        self.open = False
        if self in self.journal.polls:
            self.journal.polls.remove(self)


class Journal:
    """The numbered events and the connections that poll for them.

    ``mode``: ``ok`` serves normally; ``stall`` does not respond; ``cut`` closes the connection before the end
    of a response; ``garble`` sends ``bad_body`` as the body; ``raw`` sends ``bad_body`` as the whole response
    and closes.
    """

    def __init__(self, schedule: Scheduler) -> None:
        self.schedule = schedule
        self.entries: list[dict[str, Any]] = []
        self.pos = 0  # number of the latest event
        self.polls: list[PollConnection] = []
        self.mode, self.bad_body = "ok", b""

    def accept_connection(self, transport: Transport) -> PollConnection:
        """Accept a connection from the router."""
        poll = PollConnection(self, transport)
        self.polls.append(poll)
        return poll

    def publish(self, endpoints: list[dict[str, Any]], snapshot: bool = False, skip: int = 0) -> int:
        """Append an event and return its number; ``skip`` numbers before it are left unused."""
        self.pos += 1 + skip
        self.entries.append(
            {"pos": self.pos, "hosts": {"index": self.pos, "snapshot": snapshot, "endpoints": endpoints}}
        )
        for poll in list(self.polls):
            if poll.tail is not None:
                self.respond_if_ready(poll)
        return self.pos

    def entries_after(self, tail: int) -> dict[str, Any]:
        """The response for a poll: every event with a number above ``tail``."""
        return {"pos": self.pos, "entries": [entry for entry in self.entries if entry["pos"] > tail]}

    def respond_if_ready(self, poll: PollConnection) -> None:
        """Respond at once if there are newer events, or in any mode that spoils responses."""
        if self.mode != "ok" or poll.tail is not None and self.pos > poll.tail:
            self.respond(poll)

    def respond(self, poll: PollConnection) -> None:
        """Respond to the pending request as the mode says."""
        if self.mode == "stall" or poll.tail is None:
            return
        body = json.dumps(self.entries_after(poll.tail)).encode()
        poll.tail = None
        if self.mode == "garble":
            body = self.bad_body
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.mode == "raw":
            data = self.bad_body
        if self.mode == "cut":
            data = data[: len(data) - 9]
        poll.transport.write(data)
        if self.mode in ("cut", "raw"):
            poll.transport.close()
            poll.connection_lost(False)
