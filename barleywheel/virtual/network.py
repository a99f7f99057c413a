"""A network in memory: streams and datagrams between the parts and the models of ``barleywheel.standins``.

Bytes arrive at once; whatever delay a world wants, its models make. A model sees what the parts write in the
very instant in which they write it, so the order of what crosses a socket is exact.
"""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from barleywheel.net.sockets import Address
from barleywheel.standins import ProtocolError
from barleywheel.virtual.runtime import VirtualRuntime, Waiter

WINDOW_BYTES = 64 * 1024  # what a stream takes from a writer whose peer does not read


class StreamHandler(Protocol):
    """A model's side of one stream: told what comes; it writes and closes by its ``PeerSocket``."""

    def data_received(self, data: bytes) -> None:
        """Bytes came."""

    def connection_lost(self, reset: bool) -> None:
        """The other side ended the stream."""


class PeerSocket:
    """How a model holds a stream: write, close, and stop reading for a while."""

    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self._network, self.address = network, address  # the address is that of the model's end
        self.handler: StreamHandler | None = None
        self.open = True
        self.stream = Stream(network.runtime, self)
        self.reading, self.silent = True, False
        self._unread = 0

    def write(self, data: bytes) -> bool:
        """Send to the parts; False where the stream has ended."""
        if not self.open:
            return False
        if not self.silent:
            self.stream.deliver(data)
        return True

    def close(self, reset: bool = False) -> None:
        """End the stream."""
        if self.open:
            self.open = False
            if not self.silent:
                self.stream.close_from_peer(reset)

    def set_reading(self, reading: bool) -> None:
        """Stop reading, or go on."""
        self.reading = reading
        if reading:
            self._unread = 0
            self.stream.wake_writers()

    # From the stream.

    def free_window(self) -> int:
        """How much the parts may write now."""
        return WINDOW_BYTES - self._unread

    def on_data(self, data: bytes) -> None:
        """The parts wrote this."""
        if self.silent:
            return
        if not self.reading:
            self._unread += len(data)  # it has left the parts: whoever watches is told
        if self.open and self.handler is not None:
            try:
                self.handler.data_received(data)
            except ProtocolError as error:  # the model's complaint, not the writer's fault to handle
                self._network.protocol_errors.append(str(error))

    def on_close(self, reset: bool) -> None:
        """The parts closed."""
        if self.open and not self.silent:
            self.open = False
            if self.handler is not None:
                self.handler.connection_lost(reset)


class Stream:
    """The parts' end of a stream, as ``net.sockets.Socket``."""

    def __init__(self, runtime: VirtualRuntime, peer_socket: PeerSocket) -> None:
        self.runtime, self.peer_socket = runtime, peer_socket
        self._incoming: deque[bytes] = deque()
        self._eof = self._reset = self._closed = False
        self._timeout: float | None = None
        self._reader: Waiter | None = None
        self._writers: list[Waiter] = []

    # The model's side.

    def deliver(self, data: bytes) -> None:
        """Bytes for the parts."""
        if data and not self._closed:
            self._incoming.append(data)
            self._wake()

    def close_from_peer(self, reset: bool) -> None:
        """The model ended the stream; a reset takes what was not read with it."""
        self._eof, self._reset = True, reset
        if reset:
            self._incoming.clear()
        self._wake()
        self.wake_writers()

    def wake_writers(self) -> None:
        """There is room again."""
        for writer in self._writers:
            writer.wake()
        self._writers = []

    def _wake(self) -> None:
        if self._reader is not None:
            self._reader.wake()
            self._reader = None

    # The parts' side.

    def settimeout(self, seconds: float | None) -> None:
        """See ``Socket``."""
        self._timeout = seconds

    def recv_into(self, buffer: memoryview) -> int:
        """See ``Socket``."""
        while not self._incoming:
            self._check_open()
            if self._reset:
                raise ConnectionResetError(errno.ECONNRESET, "reset")
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
                raise BrokenPipeError(errno.EPIPE, "gone")
            free_window = self.peer_socket.free_window()
            if free_window > 0:
                self.peer_socket.on_data(bytes(data[:free_window]))
                return min(free_window, len(data))
            if timeout == 0.0:
                raise BlockingIOError(errno.EAGAIN, "no room")
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
            unread = bool(self._incoming)
            self._incoming.clear()
            self._wake()
            self.wake_writers()
            self.peer_socket.on_close(unread)

    def _check_open(self) -> None:
        if self._closed:
            raise OSError(errno.EBADF, "closed")


class VirtualListener:
    """See ``net.sockets.Listener``."""

    def __init__(self, network: VirtualNetwork, address: Address, backlog: int) -> None:
        self._network, self.address, self.backlog = network, address, backlog
        self._incoming: deque[PeerSocket] = deque()
        self._reader: Waiter | None = None
        self._closed = False
        self.accept_failures = 0  # so many accepts fail for want of descriptors

    def add_pending(self, peer_socket: PeerSocket) -> bool:
        """Somebody connects; False where nobody listens or the backlog is full."""
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
            raise OSError(errno.EBADF, "closed")
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
    """See ``net.sockets.DatagramSocket``. What the parts send is handed to ``on_datagram``."""

    def __init__(self, network: VirtualNetwork) -> None:
        self._network = network
        self._incoming: deque[tuple[bytes, Address]] = deque()
        self._reader: Waiter | None = None
        self.on_datagram: Callable[[bytes, Address], None] | None = None

    def deliver(self, data: bytes, address: Address) -> None:
        """A datagram for the parts."""
        self._incoming.append((data, address))
        if self._reader is not None:
            self._reader.wake()

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        """See ``DatagramSocket``."""
        while not self._incoming:
            self._reader = Waiter(self._network.runtime)
            self._reader.wait(None)
            self._reader = None
        data, address = self._incoming.popleft()
        return data[:most], address

    def sendto(self, data: bytes, address: Address) -> int:
        """See ``DatagramSocket``."""
        if len(data) > 65507:
            raise OSError(errno.EMSGSIZE, "message too long")
        if self.on_datagram is not None:
            self.on_datagram(data, address)
        return len(data)


class VirtualNetwork:
    """Addresses and who is behind them. ``hosts`` has an entry for each address that the parts may reach.

    A host takes a ``PeerSocket`` and returns its ``StreamHandler``; None for "refused". An address in
    ``unreachable`` answers nothing, and one that is nowhere refuses.
    """

    def __init__(self, runtime: VirtualRuntime) -> None:
        self.runtime = runtime
        self.hosts: dict[Address, Callable[[PeerSocket], StreamHandler | None]] = {}
        self.unreachable: set[Address] = set()
        self.listeners: dict[Address, VirtualListener] = {}
        self.datagram_sockets: dict[Address, VirtualDatagrams] = {}
        self.protocol_errors: list[str] = []  # what models could not read

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
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        peer_socket.handler = handler
        return peer_socket.stream

    def listen(self, address: Address, backlog: int) -> VirtualListener:
        """See ``Network``."""
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, "in use")
        listener = self.listeners[address] = VirtualListener(self, address, backlog)
        return listener

    def datagrams(self, address: Address) -> VirtualDatagrams:
        """See ``Network``."""
        sock = self.datagram_sockets[address] = VirtualDatagrams(self)
        return sock

    def unread(self, sock: Any) -> int:
        """See ``Network``."""
        return sum(map(len, sock._incoming))

    def connect_to_router(
        self,
        listen_address: Address,
        own_address: Address,
        make_handler: Callable[[PeerSocket], StreamHandler],
    ) -> StreamHandler | None:
        """A model connects to the parts; None where nobody listens."""
        listener = self.listeners.get(listen_address)
        if listener is None:
            return None
        peer_socket = PeerSocket(self, own_address)
        peer_socket.handler = handler = make_handler(peer_socket)
        return handler if listener.add_pending(peer_socket) else None
