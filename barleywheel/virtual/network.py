"""An in-memory network: streams and datagrams between the router and the models of ``barleywheel.standins``.

Bytes arrive without delay; a model that needs latency schedules it itself. A model receives the router's
bytes inside the call that writes them, so the order of events across all sockets is exact.
"""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from barleywheel.net.sockets import Address
from barleywheel.standins import ProtocolError
from barleywheel.virtual.runtime import VirtualRuntime, Waiter

SEND_WINDOW_BYTES = 64 * 1024  # what the router can write while the peer does not read


class StreamHandler(Protocol):
    """The model behind one stream: receives its events; writes and closes through its ``PeerSocket``."""

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the router."""

    def connection_lost(self, reset: bool) -> None:
        """Handle the end of the stream by the router."""


class PeerSocket:
    """A model's end of a stream, with which it writes, closes and pauses reading.

    While ``silent`` is set the peer has vanished from the network: nothing passes in either direction, and
    neither end sees the other close.
    """

    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self._network, self.address = network, address  # the address of the model's end
        self.handler: StreamHandler | None = None
        self.open = True
        self.stream = Stream(network.runtime, self)
        self.reading, self.silent = True, False
        self._unread_bytes = 0  # written by the router while reading is paused

    def write(self, data: bytes) -> bool:
        """Send to the router; return False if the stream has ended."""
        if not self.open:
            return False
        if not self.silent:
            self.stream.deliver(data)
        return True

    def close(self, reset: bool = False) -> None:
        """Close the stream, or reset it."""
        if self.open:
            self.open = False
            if not self.silent:
                self.stream.close_from_peer(reset)

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading; a paused reader fills the router's send window."""
        self.reading = reading
        if reading:
            self._unread_bytes = 0
            self.stream.wake_writers()

    # Called by the stream.

    def free_window(self) -> int:
        """The number of bytes that the router may write now."""
        return SEND_WINDOW_BYTES - self._unread_bytes

    def on_data(self, data: bytes) -> None:
        """Pass bytes written by the router to the handler."""
        if self.silent:
            return
        if not self.reading:
            self._unread_bytes += len(data)  # the router has sent them, so the handler is still notified
        if self.open and self.handler is not None:
            try:
                self.handler.data_received(data)
            except ProtocolError as error:  # recorded here; it must not surface in the router's write call
                self._network.protocol_errors.append(str(error))

    def on_close(self, reset: bool) -> None:
        """Pass the router's close to the handler."""
        if self.open and not self.silent:
            self.open = False
            if self.handler is not None:
                self.handler.connection_lost(reset)


class Stream:
    """The router's end of a stream; implements ``net.sockets.Socket``."""

    def __init__(self, runtime: VirtualRuntime, peer_socket: PeerSocket) -> None:
        self.runtime, self.peer_socket = runtime, peer_socket
        self._incoming: deque[bytes] = deque()
        self._eof = self._reset = self._closed = False
        self._timeout: float | None = None
        self._reader: Waiter | None = None
        self._writers: list[Waiter] = []

    # Called from the model's end.

    def deliver(self, data: bytes) -> None:
        """Queue bytes for the router to read."""
        if data and not self._closed:
            self._incoming.append(data)
            self._wake()

    def close_from_peer(self, reset: bool) -> None:
        """End the stream from the model's end; a reset also discards bytes not yet read."""
        self._eof, self._reset = True, reset
        if reset:
            self._incoming.clear()
        self._wake()
        self.wake_writers()

    def wake_writers(self) -> None:
        """Resume writers blocked on a full send window."""
        for writer in self._writers:
            writer.wake()
        self._writers = []

    def _wake(self) -> None:
        if self._reader is not None:
            self._reader.wake()
            self._reader = None

    # Called by the router.

    def settimeout(self, seconds: float | None) -> None:
        """See ``Socket``."""
        self._timeout = seconds

    def recv_into(self, buffer: memoryview) -> int:
        """See ``Socket``."""
        while not self._incoming:
            self._check_open()
            if self._reset:
                raise ConnectionResetError(errno.ECONNRESET, "connection reset")
            if self._eof:
                return 0
            self._reader = waiter = Waiter(self.runtime)
            if not waiter.wait(self._timeout):
                self._reader = None
                raise TimeoutError("timed out")
        self._check_open()
        data = self._incoming.popleft()
        count = min(len(data), len(buffer))
        buffer[:count] = data[:count]
        if count < len(data):
            self._incoming.appendleft(data[count:])
        return count

    def send(self, data: bytes | bytearray, flags: int = 0, timeout: float | None = None) -> int:
        """See ``Socket``."""
        while True:
            self._check_open()
            if self._eof:
                raise BrokenPipeError(errno.EPIPE, "broken pipe")
            free_window = self.peer_socket.free_window()
            if free_window > 0:
                self.peer_socket.on_data(bytes(data[:free_window]))
                return min(free_window, len(data))
            if timeout == 0.0:
                raise BlockingIOError(errno.EAGAIN, "send window full")
            waiter = Waiter(self.runtime)
            self._writers.append(waiter)
            if not waiter.wait(self._timeout):
                raise TimeoutError("timed out")

    def sendall(self, data: bytes) -> None:
        """See ``Socket``."""
        while data:
            data = data[self.send(data) :]

    def close(self) -> None:
        """See ``Socket``."""
        if not self._closed:
            self._closed = True
            has_unread = bool(self._incoming)  # closing with unread bytes resets, as TCP does
            self._incoming.clear()
            self._wake()
            self.wake_writers()
            self.peer_socket.on_close(has_unread)

    def _check_open(self) -> None:
        if self._closed:
            raise OSError(errno.EBADF, "socket closed")


class VirtualListener:
    """A listening socket; implements ``net.sockets.Listener``."""

    def __init__(self, network: VirtualNetwork, address: Address, backlog: int) -> None:
        self._network, self.address, self.backlog = network, address, backlog
        self._incoming: deque[PeerSocket] = deque()
        self._reader: Waiter | None = None
        self._closed = False
        self.accept_failures = 0  # number of coming accepts that fail with EMFILE

    def add_pending(self, peer_socket: PeerSocket) -> bool:
        """Queue a connection to accept; return False if the listener is closed or its backlog full."""
        if self._closed or len(self._incoming) >= self.backlog:
            return False
        self._incoming.append(peer_socket)
        if self._reader is not None:
            self._reader.wake()
        return True

    def accept(self) -> tuple[Stream, Address]:
        """See ``Listener``."""
        while not self._incoming and not self._closed:
            self._reader = Waiter(self._network.runtime)
            self._reader.wait(None)
            self._reader = None
        if self._closed:
            raise OSError(errno.EBADF, "socket closed")
        if self.accept_failures:
            self.accept_failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        peer_socket = self._incoming.popleft()
        return peer_socket.stream, peer_socket.address

    def close(self) -> None:
        """See ``Listener``."""
        self._closed = True
        self._network.listeners.pop(self.address, None)
        for peer_socket in self._incoming:
            peer_socket.stream.close()
        if self._reader is not None:
            self._reader.wake()


class VirtualDatagrams:
    """A UDP socket; implements ``net.sockets.DatagramSocket``. Datagrams sent go to ``on_datagram``."""

    def __init__(self, network: VirtualNetwork) -> None:
        self._network = network
        self._incoming: deque[tuple[bytes, Address]] = deque()
        self._reader: Waiter | None = None
        self.on_datagram: Callable[[bytes, Address], None] | None = None

    def deliver(self, data: bytes, address: Address) -> None:
        """Queue a datagram for the router to receive."""
        self._incoming.append((data, address))
        if self._reader is not None:
            self._reader.wake()

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        """See ``DatagramSocket``."""
        while not self._incoming:
            self._reader = Waiter(self._network.runtime)
            self._reader.wait(None)
            self._reader = None
        data, address = self._incoming.popleft()
        return data[:max_bytes], address

    def sendto(self, data: bytes, address: Address) -> int:
        """See ``DatagramSocket``."""
        if len(data) > 65507:  # the largest UDP payload over IPv4
            raise OSError(errno.EMSGSIZE, "message too long")
        if self.on_datagram is not None:
            self.on_datagram(data, address)
        return len(data)


class VirtualNetwork:
    """Implements ``net.sockets.Network``. ``hosts`` maps each address that accepts connections to its model.

    A host takes a ``PeerSocket`` and returns its ``StreamHandler``, or None to refuse the connection.
    Connecting to an address in ``unreachable`` times out; any other unknown address refuses.
    """

    def __init__(self, runtime: VirtualRuntime) -> None:
        self.runtime = runtime
        self.hosts: dict[Address, Callable[[PeerSocket], StreamHandler | None]] = {}
        self.unreachable: set[Address] = set()
        self.listeners: dict[Address, VirtualListener] = {}
        self.datagram_sockets: dict[Address, VirtualDatagrams] = {}
        self.protocol_errors: list[str] = []  # messages of ProtocolErrors raised by models

    def connect(self, address: Address, timeout_s: float) -> Stream:
        """See ``Network``."""
        if address in self.unreachable:
            self.runtime.sleep(timeout_s)
            raise TimeoutError("timed out")
        self.runtime.sleep(0)
        host = self.hosts.get(address)
        peer_socket = PeerSocket(self, address)
        handler = host(peer_socket) if host is not None and address not in self.unreachable else None
        if handler is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connection refused")
        peer_socket.handler = handler
        return peer_socket.stream

    def listen(self, address: Address, backlog: int) -> VirtualListener:
        """See ``Network``."""
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        listener = self.listeners[address] = VirtualListener(self, address, backlog)
        return listener

    def datagrams(self, address: Address) -> VirtualDatagrams:
        """See ``Network``."""
        sock = self.datagram_sockets[address] = VirtualDatagrams(self)
        return sock

    def unread(self, sock: Any) -> int:
        """See ``Network``."""
        return sum(map(len, sock._incoming))

    def peer_has_closed(self, sock: Any) -> bool:
        """See ``Network``."""
        return bool(sock._eof or sock._reset)

    def connect_to_router(
        self,
        listen_address: Address,
        own_address: Address,
        make_handler: Callable[[PeerSocket], StreamHandler],
    ) -> StreamHandler | None:
        """Connect a model to the router; None if nothing listens there or the backlog is full."""
        listener = self.listeners.get(listen_address)
        if listener is None:
            return None
        peer_socket = PeerSocket(self, own_address)
        peer_socket.handler = handler = make_handler(peer_socket)
        return handler if listener.add_pending(peer_socket) else None
