"""A TCP connection: a receive buffer that a codec takes messages from, and a bounded write queue."""

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
# A peer that reads too slowly is disconnected at this size, because its queue would exhaust memory.
MAX_WRITE_QUEUE_BYTES = 512 * 1024
MESSAGES_BEFORE_YIELD = 16  # messages of one read before the other greenlets run
WOULD_BLOCK_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK)
M = TypeVar("M")


class Connection:
    """A connected socket. Writing never blocks: what the socket does not accept is queued.

    The connection is closed if a message is still incomplete ``message_timeout_us`` after its first byte: a
    peer that never completes one would occupy the connection for ever. ``await_first_message`` also limits
    the time from the connect to the end of the first message.
    """

    def __init__(
        self,
        sock: sockets.Socket,
        peer: str,
        deadlines: Deadlines,
        message_timeout_us: int,
        await_first_message: bool = True,
    ) -> None:
        self.sock, self.peer = sock, peer
        self.open, self.reset = True, False
        self.ended_by_peer = False  # by its end of the stream or a reset, rather than by this side
        self.buffer = Buffer()
        self._queue = bytearray()
        self._data_queued = runtime.event()
        self._writer_started = False
        self._deadlines, self._message_timeout_us = deadlines, message_timeout_us
        self._message_timer: DeadlineHandle | None = None
        if await_first_message:
            self._start_message_timer()

    @property
    def can_write_now(self) -> bool:
        """Whether a write goes to the socket immediately: open, and nothing queued."""
        return self.open and not self._queue

    def unread(self) -> int:
        """Number of bytes received by the kernel and not yet read."""
        return sockets.unread(self.sock) if self.open else 0

    def peer_has_closed(self) -> bool:
        """Whether the peer has left, so that nothing written reaches it; there may be bytes left to read."""
        return not self.open or sockets.peer_has_closed(self.sock)

    def write(self, data: bytes) -> bool:
        """Send, or queue what the socket does not accept now; False if the connection is closed."""
        if not self.open:
            return False
        sent = 0
        if not self._queue:
            try:
                sent = self.sock.send(data, 0, timeout=0.0)
            except OSError as error:
                if error.errno not in WOULD_BLOCK_ERRNOS:
                    self.close(reset=True)
                    return False
        if sent < len(data):
            if len(self._queue) + len(data) - sent > MAX_WRITE_QUEUE_BYTES:
                log.warning("connection closed, write queue full: peer=%s", self.peer)
                self.close()
                return False
            self._queue += data[sent:]
            self._data_queued.set()
            if not self._writer_started:
                self._writer_started = True
                runtime.spawn(self._write_queued)
        return True

    def _write_queued(self) -> None:
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
        """Yield messages until the connection ends. A malformed one closes this connection only."""
        try:
            while self.open:
                if self.buffer.fill(self.sock) == 0:
                    self.ended_by_peer = True
                    return
                self.buffer.more_unread = self.buffer.is_full and self.unread() > 0
                yield from self._buffered_messages(parse_next)
                if len(self.buffer) and self._message_timer is None and self.open:
                    self._start_message_timer()
                runtime.yield_to_event_loop()
        except Malformed as error:
            log.warning("connection closed, malformed input: peer=%s %s", self.peer, error)
        except OSError as error:
            self.reset = self.reset or error.errno == errno.ECONNRESET
        except Exception:  # a defect of the codec; what one peer sends must end no more than its connection
            log.exception("connection closed, input could not be parsed: peer=%s", self.peer)
        finally:
            self.close(self.reset)

    def _buffered_messages(self, parse_next: Callable[[Buffer], M | None]) -> Iterator[M]:
        """Yield the complete messages in the buffer."""
        count = 0
        while self.open and (message := parse_next(self.buffer)) is not None:
            self._cancel_message_timer()
            yield message
            count += 1
            if count % MESSAGES_BEFORE_YIELD == 0:
                runtime.yield_to_event_loop()

    def _start_message_timer(self) -> None:
        self._message_timer = self._deadlines.schedule(
            now_us() + self._message_timeout_us, self._on_message_timeout
        )

    def _cancel_message_timer(self) -> None:
        if self._message_timer is not None:
            self._deadlines.cancel(self._message_timer)
            self._message_timer = None

    def _on_message_timeout(self) -> None:
        self._message_timer = None
        log.info(
            "connection closed, message not complete in time: peer=%s bytes=%d", self.peer, len(self.buffer)
        )
        self.close()

    def close(self, reset: bool = False) -> None:
        """Close the connection; has no effect if it is closed already."""
        if self.open:
            self.open, self.reset = False, reset
            self.ended_by_peer = self.ended_by_peer or reset
            self._cancel_message_timer()
            self._data_queued.set()
            self.sock.close()
