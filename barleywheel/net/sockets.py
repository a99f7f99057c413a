"""Interface to sockets: connect, listen, datagrams. In production these are gevent's sockets.

The interface covers only what this program uses. ``use_network`` replaces the real network by another
implementation, such as the in-memory one of ``barleywheel.virtual``.
"""

from __future__ import annotations

import fcntl
import logging
import select
import sys
import termios
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol, cast

import gevent.socket

from barleywheel.core import runtime

log = logging.getLogger(__name__)
ACCEPT_RETRY_DELAY_S = 0.05
Address = tuple[str, int]


class Socket(Protocol):
    """A connected TCP socket; calls block the greenlet. Errors are OSError, a time-out is TimeoutError."""

    def recv_into(self, buffer: memoryview) -> int:
        """Read at least one byte into the buffer; 0 at the end of the stream."""

    def send(self, data: bytes | bytearray, flags: int = 0, timeout: float | None = None) -> int:
        """Write as much as the socket accepts; with a time-out of 0.0, raise EAGAIN if that is nothing."""

    def sendall(self, data: bytes) -> None:
        """Write all of the data."""

    def settimeout(self, seconds: float | None) -> None:
        """Limit how long each later call may block."""

    def close(self) -> None:
        """Close the socket; calls blocked on it raise OSError."""


class Listener(Protocol):
    """A listening socket."""

    def accept(self) -> tuple[Socket, Address]:
        """Block until a peer connects; OSError if the socket is closed or no descriptor is free."""

    def close(self) -> None:
        """Stop listening."""


def accepted_connections(
    listener: Listener, is_closed: Callable[[], bool]
) -> Iterator[tuple[Socket, Address]]:
    """Accept connections until ``is_closed()``; a failure, such as no free descriptor, is retried."""
    while not is_closed():
        try:
            accepted = listener.accept()
        except OSError as error:
            if not is_closed():
                log.warning("accept failed: %s", error)
                runtime.sleep(ACCEPT_RETRY_DELAY_S)
            continue
        yield accepted
        runtime.yield_to_event_loop()


class DatagramSocket(Protocol):
    """A bound UDP socket."""

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        """Block until a datagram is received."""

    def sendto(self, data: bytes, address: Address) -> int:
        """Send a datagram."""


class Network(Protocol):
    """Creates sockets."""

    def connect(self, address: Address, timeout_s: float) -> Socket:
        """Connect over TCP; blocks until it is established, refused or timed out (OSError)."""

    def listen(self, address: Address, backlog: int) -> Listener:
        """Listen on TCP."""

    def datagrams(self, address: Address) -> DatagramSocket:
        """Bind a UDP socket."""

    def unread(self, sock: Socket) -> int:
        """Number of bytes that an open socket has received and that are not yet read."""

    def peer_has_closed(self, sock: Socket) -> bool:
        """Whether the peer has ended its stream or reset the connection, whatever is left to read."""


def set_tcp_nodelay(sock: Any) -> None:
    """Disable Nagle's algorithm, so that each message is sent immediately."""
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


class GeventListener:
    """A real listening socket; what it accepts has TCP_NODELAY set."""

    def __init__(self, address: Address, backlog: int) -> None:
        self._sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        self._sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(backlog)

    def accept(self) -> tuple[Socket, Address]:
        """See ``Listener``."""
        while True:
            sock, address = self._sock.accept()
            try:
                set_tcp_nodelay(sock)
            except OSError:  # the peer has already reset the connection
                sock.close()
                runtime.yield_to_event_loop()
                continue
            return cast(Socket, sock), address[:2]

    def close(self) -> None:
        """See ``Listener``."""
        self._sock.close()


class GeventNetwork:
    """The network of the operating system, through gevent."""

    def connect(self, address: Address, timeout_s: float) -> Socket:
        """See ``Network``."""
        sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            sock.settimeout(timeout_s)
            sock.connect(address)
            sock.settimeout(None)
            set_tcp_nodelay(sock)
        except BaseException:
            sock.close()
            raise
        return cast(Socket, sock)

    def listen(self, address: Address, backlog: int) -> Listener:
        """See ``Network``."""
        return GeventListener(address, backlog)

    def datagrams(self, address: Address) -> DatagramSocket:
        """See ``Network``."""
        sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
        sock.bind(address)
        return cast(DatagramSocket, sock)

    def unread(self, sock: Any) -> int:
        """See ``Network``."""
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)

    def peer_has_closed(self, sock: Any) -> bool:
        """See ``Network``."""
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))


_gevent_network: Network = GeventNetwork()
_active_network: Network = _gevent_network


def parse(address: str) -> Address:
    """Split an address into host and port; ValueError if it is invalid."""
    host, _, port = address.rpartition(":")
    number = int(port)
    if not host or not 0 <= number <= 65535:
        raise ValueError(f"invalid address: {address!r}")
    return host, number


def connect(address: str, timeout_s: float) -> Socket:
    """Connect over TCP with TCP_NODELAY; OSError if that fails, ValueError if the address is invalid."""
    return _active_network.connect(parse(address), timeout_s)


def listen(address: str, backlog: int) -> Listener:
    """Listen on TCP."""
    return _active_network.listen(parse(address), backlog)


def datagrams(address: str) -> DatagramSocket:
    """Bind a UDP socket."""
    return _active_network.datagrams(parse(address))


def unread(sock: Socket) -> int:
    """Number of bytes that an open socket has received and that are not yet read."""
    return _active_network.unread(sock)


def peer_has_closed(sock: Socket) -> bool:
    """Whether the peer has ended its stream or reset the connection, whatever is left to read."""
    return _active_network.peer_has_closed(sock)


@contextmanager
def use_network(network: Network) -> Iterator[None]:
    """Use another network within the context."""
    global _active_network
    previous, _active_network = _active_network, network
    try:
        yield
    finally:
        _active_network = previous
