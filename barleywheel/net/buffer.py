"""One growing buffer a connection, read into and compacted in place."""

from __future__ import annotations

from typing import Any

from barleywheel.net.sockets import Socket

START_SIZE = 4096


class Buffer:
    """Bytes read and not yet consumed, between ``start`` and ``end`` of one bytearray."""

    def __init__(self) -> None:
        self.data = bytearray(START_SIZE)
        self.start = self.end = 0
        self.parsed_head: Any = None  # what a codec made of the first bytes; forgotten when any are taken
        self._mark, self._searched = b"", 0

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, sock: Socket) -> int:
        """Read once from the socket; 0 at its end."""
        self.reserve()
        with memoryview(self.data) as view:
            count: int = sock.recv_into(view[self.end :])
        self.end += count
        return count

    def reserve(self) -> None:
        """Make room behind the end: by compacting, and by growing only where that is not enough."""
        if self.start == self.end:
            self.start = self.end = 0
        if self.end < len(self.data):
            return
        if self.start:
            kept = self.end - self.start
            self.data[:kept] = self.data[self.start : self.end]
            self.start, self.end = 0, kept
        if self.end > len(self.data) // 2:
            self.data.extend(bytes(len(self.data)))

    def searched(self, mark: bytes) -> int:
        """How many bytes from the start are known not to begin the mark."""
        return self._searched if mark == self._mark else 0

    def find(self, mark: bytes) -> int:
        """Where the mark stands, counted from the start; -1 if it does not.

        What was searched in vain is not searched again: a message that comes byte by byte would cost the
        square of its length.
        """
        at = self.data.find(mark, self.start + self.searched(mark), self.end)
        if at < 0:
            self._mark, self._searched = mark, max(0, len(self) - len(mark) + 1)
            return -1
        return at - self.start

    def peek(self, count: int) -> bytes:
        """The first bytes, which stay."""
        return bytes(self.data[self.start : min(self.start + count, self.end)])

    def take(self, count: int) -> bytes:
        """The first bytes, which go."""
        taken = self.peek(count)
        self.start += len(taken)
        self.parsed_head, self._searched = None, 0
        return taken
