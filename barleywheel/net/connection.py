"""A connection: one buffer in, one bounded queue out, messages cut off by a codec."""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable, Iterator
from typing import TypeVar

import gevent
import gevent.socket
from gevent.event import Event

from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

log = logging.getLogger(__name__)
QUEUE_LIMIT = 512 * 1024  # a peer that reads so much too slowly is cut off: it must not take our memory
BLOCKED = (errno.EAGAIN, errno.EWOULDBLOCK)
M = TypeVar("M")


class Connection:
    """A connected socket. Writing never blocks: what the socket does not take waits in the queue."""

    def __init__(self, sock: gevent.socket.socket, peer: str) -> None:
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        self.sock, self.peer = sock, peer
        self.open, self.reset = True, False
        self.buffer = Buffer()
        self._queue = bytearray()
        self._more = Event()
        self._writer: gevent.Greenlet[[], None] | None = None

    @property
    def clear(self) -> bool:
        """Whether a byte written now leaves now."""
        return self.open and not self._queue

    def write(self, data: bytes) -> bool:
        """Send, or queue what the socket does not take now; False if the connection is closed."""
        if not self.open:
            return False
        sent = 0
        if not self._queue:
            try:
                sent = self.sock.send(data, 0, timeout=0.0)  # type: ignore[call-arg]
            except OSError as error:
                if error.errno not in BLOCKED:
                    self.close(reset=True)
                    return False
        if sent < len(data):
            if len(self._queue) + len(data) - sent > QUEUE_LIMIT:
                log.warning("connection closed, its write queue is full: peer=%s", self.peer)
                self.close()
                return False
            self._queue += data[sent:]
            self._more.set()
            if self._writer is None:
                self._writer = gevent.spawn(self._drain)
        return True

    def _drain(self) -> None:
        while self.open:
            if not self._queue:
                self._more.clear()
                self._more.wait()
                continue
            try:
                sent = self.sock.send(self._queue[:65536])
            except OSError:
                self.close(reset=True)
                return
            del self._queue[:sent]

    def messages(self, cut: Callable[[Buffer], M | None]) -> Iterator[M]:
        """Messages until the connection ends. What is malformed ends it, and it alone."""
        try:
            while self.open:
                if self.buffer.fill(self.sock) == 0:
                    return
                while self.open and (message := cut(self.buffer)) is not None:
                    yield message
        except Malformed as error:
            log.warning("connection closed, malformed input: peer=%s %s", self.peer, error)
        except OSError as error:
            self.reset = self.reset or error.errno == errno.ECONNRESET
        finally:
            self.close(self.reset)

    def close(self, reset: bool = False) -> None:
        """Close; a second time does nothing."""
        if self.open:
            self.open, self.reset = False, reset
            self._more.set()
            self.sock.close()
