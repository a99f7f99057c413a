"""The journal service: long poll over HTTP/1.1, as PROTOCOL words it."""

from __future__ import annotations

import json
import re
from typing import Any

from barleywheel.standins import Broken, Later, Line

GET = re.compile(rb"GET /journal\?tail=(\d+)&max_wait=(\d+) HTTP/1\.1\r\nHost: [^\r\n]+\r\n\r\n")


class Poll:
    """One connection of the router's."""

    def __init__(self, journal: Journal, wire: Line) -> None:
        self.journal, self.wire, self.open = journal, wire, True
        self.tail: int | None = None  # of the request that waits
        self._in = b""
        self._number = 0

    def received(self, data: bytes) -> None:
        """See ``virtual.network.Party``."""
        self._in += data
        if b"\r\n\r\n" not in self._in:
            return
        found = GET.fullmatch(self._in)
        if not found:
            raise Broken(f"journal: {self._in[:80]!r}")
        self._in = b""
        wait_ms = int(found[2])
        if not 0 <= wait_ms <= 5000:
            raise Broken(f"journal: asked to wait {wait_ms} ms")
        self.tail, self._number = int(found[1]), self._number + 1
        number = self._number
        self.journal.asked(self)
        if self.tail is not None:
            self.journal.later(wait_ms * 1000, lambda: self._due(number))

    def _due(self, number: int) -> None:
        if number == self._number and self.tail is not None and self.open:
            self.journal.give(self)

    def closed(self, reset: bool) -> None:
        """See ``virtual.network.Party``."""
        self.open = False
        if self in self.journal.polls:
            self.journal.polls.remove(self)


class Journal:
    """Numbered events, and who waits for them.

    ``mode``: ``ok``; ``stall`` answers nothing; ``cut`` breaks off in the middle of an answer; ``garble``
    answers with ``spoilt`` in place of the JSON; ``raw`` answers with ``spoilt`` alone.
    """

    def __init__(self, later: Later) -> None:
        self.later = later
        self.entries: list[dict[str, Any]] = []
        self.pos = 0
        self.polls: list[Poll] = []
        self.mode, self.spoilt = "ok", b""

    def connected(self, wire: Line) -> Poll:
        """The router connects."""
        poll = Poll(self, wire)
        self.polls.append(poll)
        return poll

    def tell(self, endpoints: list[dict[str, Any]], snapshot: bool = False, skip: int = 0) -> int:
        """One more event; returns its number. ``skip`` leaves out as many numbers before it."""
        self.pos += 1 + skip
        self.entries.append(
            {"pos": self.pos, "hosts": {"index": self.pos, "snapshot": snapshot, "endpoints": endpoints}}
        )
        for poll in list(self.polls):
            if poll.tail is not None:
                self.asked(poll)
        return self.pos

    def after(self, tail: int) -> dict[str, Any]:
        """What is later than an event."""
        return {"pos": self.pos, "entries": [entry for entry in self.entries if entry["pos"] > tail]}

    def asked(self, poll: Poll) -> None:
        """Answer at once where there is something to tell."""
        if self.mode != "ok" or poll.tail is not None and self.pos > poll.tail:
            self.give(poll)

    def give(self, poll: Poll) -> None:
        """Answer a request."""
        if self.mode == "stall" or poll.tail is None:
            return
        body = json.dumps(self.after(poll.tail)).encode()
        poll.tail = None
        if self.mode == "garble":
            body = self.spoilt
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.mode == "raw":
            data = self.spoilt
        if self.mode == "cut":
            data = data[: len(data) - 9]
        poll.wire.write(data)
        if self.mode in ("cut", "raw"):
            poll.wire.close()
            poll.closed(False)
