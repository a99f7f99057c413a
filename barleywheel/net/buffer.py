"""Receive buffer of a connection: grows as needed and is compacted in place."""

from __future__ import annotations

from typing import Any

from barleywheel.net.sockets import Socket

INITIAL_BUFFER_BYTES = 4096


class Buffer:
    """Bytes received and not yet consumed: those between ``start`` and ``end`` of a bytearray."""

    def __init__(self) -> None:
        self.data = bytearray(INITIAL_BUFFER_BYTES)
        self.start = self.end = 0
        self.parsed_head: Any = None  # a codec's parsed message head; dropped when bytes are taken
        self.more_unread = False  # set by the reader: more has been received than the last read had space for
        self.skipped_bytes = 0  # by skip_leading since bytes were last taken
        self._searched_mark, self._searched_bytes = b"", 0

    def __len__(self) -> int:
        return self.end - self.start

    @property
    def is_full(self) -> bool:
        """Whether the last read used all the space that it had."""
        return self.end == len(self.data)

    def fill(self, sock: Socket) -> int:
        """Read once from the socket; 0 at the end of the stream."""
        self.reserve()
        with memoryview(self.data) as view:
            count: int = sock.recv_into(view[self.end :])
        self.end += count
        return count

    def reserve(self) -> None:
        """Free space at the end, by compacting the buffer and growing it only where that is not enough."""
        if self.start == self.end:
            self.start = self.end = 0
        if self.end < len(self.data):
            return
        if self.start:
            size = self.end - self.start
            self.data[:size] = self.data[self.start : self.end]
            self.start, self.end = 0, size
        if self.end > len(self.data) // 2:
            self.data.extend(bytes(len(self.data)))

    def searched(self, mark: bytes) -> int:
        """Return how many bytes at the start are known not to begin the mark."""
        return self._searched_bytes if mark == self._searched_mark else 0

    def find(self, mark: bytes) -> int:
        """Return the offset of the mark from the start, or -1.

        Bytes that were searched without a match are not searched again, because a message received byte by
        byte would otherwise take quadratic time.
        """
        position = self.data.find(mark, self.start + self.searched(mark), self.end)
        if position < 0:
            self._searched_mark, self._searched_bytes = mark, max(0, len(self) - len(mark) + 1)
            return -1
        return position - self.start

    def skip_leading(self, characters: bytes) -> None:
        """Consume the bytes at the start that are among the characters, and count them."""
        if self.start < self.end and self.data[self.start] in characters:
            count = len(self) - len(self.peek(len(self)).lstrip(characters))
            self.start += count
            self.skipped_bytes += count
            self._searched_bytes = 0

    def peek(self, count: int) -> bytes:
        """Return the first bytes without consuming them."""
        return bytes(self.data[self.start : min(self.start + count, self.end)])

    def take(self, count: int) -> bytes:
        """Return the first bytes and consume them."""
        taken = self.peek(count)
        self.start += len(taken)
        self.parsed_head, self.skipped_bytes, self._searched_bytes = None, 0, 0
        return taken
