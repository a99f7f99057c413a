"""A connection: one buffer in, one bounded queue out, messages cut off by a codec."""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable, Iterator
from typing import TypeVar

from barleywheel.core import runtime
from barleywheel.core.deadlines import DeadlineHandle, Deadlines
from barleywheel.core.runtime import now_us
from barleywheel.net import sockets
from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

log = logging.getLogger(__name__)
WRITE_QUEUE_LIMIT = 512 * 1024  # a peer that reads so much too slowly is cut off: it must not take our memory
MESSAGES_PER_TURN = 16  # messages of one peer after which the others get a turn
BLOCKED = (errno.EAGAIN, errno.EWOULDBLOCK)
M = TypeVar("M")


class Connection:
    """A connected socket. Writing never blocks: what the socket does not take waits in the queue.

    A message must be whole ``patience_us`` after its first byte, the first one after the connecting where
    ``first`` says so: half a message would hold its place for good.
    """

    def __init__(
        self, sock: sockets.Socket, peer: str, deadlines: Deadlines, patience_us: int, first: bool = True
    ) -> None:
        self.sock, self.peer = sock, peer
        self.open, self.reset = True, False
        self.buffer = Buffer()
        self._queue = bytearray()
        self._data_queued = runtime.event()
        self._writing = False
        self._deadlines, self._message_timeout_us = deadlines, patience_us
        self._message_timer: DeadlineHandle | None = None
        if first:
            self._start_message_timer()

    @property
    def can_write_now(self) -> bool:
        """Whether a byte written now leaves now."""
        return self.open and not self._queue

    def unread(self) -> int:
        """Bytes that have come and that nobody has read yet."""
        return sockets.unread(self.sock) if self.open else 0

    def write(self, data: bytes) -> bool:
        """Send, or queue what the socket does not take now; False if the connection is closed."""
        if not self.open:
            return False
        sent = 0
        if not self._queue:
            try:
                sent = self.sock.send(data, 0, timeout=0.0)
            except OSError as error:
                if error.errno not in BLOCKED:
                    self.close(reset=True)
                    return False
        if sent < len(data):
            if len(self._queue) + len(data) - sent > WRITE_QUEUE_LIMIT:
                log.warning("connection closed, its write queue is full: peer=%s", self.peer)
                self.close()
                return False
            self._queue += data[sent:]
            self._data_queued.set()
            if not self._writing:
                self._writing = True
                runtime.spawn(self._drain)
        return True

    def _drain(self) -> None:
        while self.open:
            if not self._queue:
                self._data_queued.clear()
                self._data_queued.wait()
                continue
            try:
                sent = self.sock.send(self._queue[:65536])
            except OSError:
                self.close(reset=True)
                return
            del self._queue[:sent]

    def messages(self, parse_next: Callable[[Buffer], M | None]) -> Iterator[M]:
        """Messages until the connection ends. What is malformed ends it, and it alone."""
        try:
            while self.open:
                if self.buffer.fill(self.sock) == 0:
                    return
                count = 0
                while self.open and (message := parse_next(self.buffer)) is not None:
                    self._cancel_message_timer()
                    yield message
                    count += 1
                    if count % MESSAGES_PER_TURN == 0:
                        runtime.sleep(0)
                if len(self.buffer) and self._message_timer is None and self.open:
                    self._start_message_timer()
        except Malformed as error:
            log.warning("connection closed, malformed input: peer=%s %s", self.peer, error)
        except OSError as error:
            self.reset = self.reset or error.errno == errno.ECONNRESET
        finally:
            self.close(self.reset)

    def _start_message_timer(self) -> None:
        self._message_timer = self._deadlines.schedule(
            now_us() + self._message_timeout_us, self._message_timed_out
        )

    def _cancel_message_timer(self) -> None:
        if self._message_timer is not None:
            self._deadlines.cancel(self._message_timer)
            self._message_timer = None

    def _message_timed_out(self) -> None:
        self._message_timer = None
        log.info("connection closed, no whole message in time: peer=%s bytes=%d", self.peer, len(self.buffer))
        self.close()

    def close(self, reset: bool = False) -> None:
        """Close; a second time does nothing."""
        if self.open:
            self.open, self.reset = False, reset
            self._cancel_message_timer()
            self._data_queued.set()
            self.sock.close()
