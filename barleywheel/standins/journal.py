"""The journal service: long poll over HTTP/1.1, as PROTOCOL words it."""

from __future__ import annotations

import json
import re
from typing import Any

from barleywheel.standins import ProtocolError, Scheduler, Transport

GET_REQUEST = re.compile(rb"GET /journal\?tail=(\d+)&max_wait=(\d+) HTTP/1\.1\r\nHost: [^\r\n]+\r\n\r\n")


class PollConnection:
    """One connection of the router's."""

    def __init__(self, journal: Journal, transport: Transport) -> None:
        self.journal, self.transport, self.open = journal, transport, True
        self.tail: int | None = None  # of the request that waits
        self._buffer = b""
        self._number = 0

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``."""
        self._buffer += data
        if b"\r\n\r\n" not in self._buffer:
            return
        match = GET_REQUEST.fullmatch(self._buffer)
        if not match:
            raise ProtocolError(f"journal: {self._buffer[:80]!r}")
        self._buffer = b""
        wait_ms = int(match[2])
        if not 0 <= wait_ms <= 5000:
            raise ProtocolError(f"journal: asked to wait {wait_ms} ms")
        self.tail, self._number = int(match[1]), self._number + 1
        number = self._number
        self.journal.respond_if_ready(self)
        if self.tail is not None:
            self.journal.schedule(wait_ms * 1000, lambda: self._on_wait_over(number))

    def _on_wait_over(self, number: int) -> None:
        if number == self._number and self.tail is not None and self.open:
            self.journal.respond(self)

    def connection_lost(self, reset: bool) -> None:
        """See ``virtual.network.StreamHandler``."""
        self.open = False
        if self in self.journal.polls:
            self.journal.polls.remove(self)


class Journal:
    """Numbered events, and who waits for them.

    ``mode``: ``ok``; ``stall`` answers nothing; ``cut`` breaks off in the middle of an answer; ``garble``
    answers with ``bad_body`` in place of the JSON; ``raw`` answers with ``bad_body`` alone.
    """

    def __init__(self, schedule: Scheduler) -> None:
        self.schedule = schedule
        self.entries: list[dict[str, Any]] = []
        self.pos = 0
        self.polls: list[PollConnection] = []
        self.mode, self.bad_body = "ok", b""

    def accept_connection(self, transport: Transport) -> PollConnection:
        """The router connects."""
        poll = PollConnection(self, transport)
        self.polls.append(poll)
        return poll

    def publish(self, endpoints: list[dict[str, Any]], snapshot: bool = False, skip: int = 0) -> int:
        """One more event; returns its number. ``skip`` leaves out as many numbers before it."""
        self.pos += 1 + skip
        self.entries.append(
            {"pos": self.pos, "hosts": {"index": self.pos, "snapshot": snapshot, "endpoints": endpoints}}
        )
        for poll in list(self.polls):
            if poll.tail is not None:
                self.respond_if_ready(poll)
        return self.pos

    def entries_after(self, tail: int) -> dict[str, Any]:
        """What is later than an event."""
        return {"pos": self.pos, "entries": [entry for entry in self.entries if entry["pos"] > tail]}

    def respond_if_ready(self, poll: PollConnection) -> None:
        """Answer at once where there is something to tell."""
        if self.mode != "ok" or poll.tail is not None and self.pos > poll.tail:
            self.respond(poll)

    def respond(self, poll: PollConnection) -> None:
        """Answer a request."""
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
