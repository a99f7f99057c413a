"""Sockets as the parts above see them: connect, listen, datagrams. gevent's are what serves.

The seam is as narrow as the parts' use of sockets. ``use_network`` puts another network in the place of
the real one (``barleywheel.virtual`` has one in memory).
"""

from __future__ import annotations

import fcntl
import sys
import termios
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Protocol, cast

import gevent.socket

from barleywheel.core import runtime

Address = tuple[str, int]


class Socket(Protocol):
    """A connected stream, in gevent's blocking style. Errors are OSError; a time-out is TimeoutError."""

    def recv_into(self, buffer: memoryview) -> int:
        """Read at least one byte into the buffer; 0 at the end."""

    def send(self, data: bytes | bytearray, flags: int = 0, timeout: float | None = None) -> int:
        """Write what fits; with a time-out of 0.0, EAGAIN where nothing does."""

    def sendall(self, data: bytes) -> None:
        """Write all of it."""

    def settimeout(self, seconds: float | None) -> None:
        """Bound every further wait."""

    def close(self) -> None:
        """Close; whoever waits on it gets an OSError."""


class Listener(Protocol):
    """A listening socket."""

    def accept(self) -> tuple[Socket, Address]:
        """Block until somebody connects; OSError when closed or out of descriptors."""

    def close(self) -> None:
        """Listen no more."""


class DatagramSocket(Protocol):
    """A bound UDP socket."""

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        """Block until a datagram comes."""

    def sendto(self, data: bytes, address: Address) -> int:
        """Send one."""


class Network(Protocol):
    """Where sockets come from."""

    def connect(self, address: Address, timeout_s: float) -> Socket:
        """Connect over TCP; blocks until it is up, refused or timed out (OSError)."""

    def listen(self, address: Address, backlog: int) -> Listener:
        """Listen on TCP."""

    def datagrams(self, address: Address) -> DatagramSocket:
        """Bind a UDP socket."""

    def unread(self, sock: Socket) -> int:
        """Bytes that have come on an open socket and that nobody has read yet."""


def nodelay(sock: Any) -> None:
    """No waiting for more to send: each message leaves at once."""
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
                nodelay(sock)
            except OSError:  # reset before it was looked at
                sock.close()
                runtime.sleep(0)
                continue
            return cast(Socket, sock), address[:2]

    def close(self) -> None:
        """See ``Listener``."""
        self._sock.close()


class GeventNetwork:
    """The real one."""

    def connect(self, address: Address, timeout_s: float) -> Socket:
        """See ``Network``."""
        sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            sock.settimeout(timeout_s)
            sock.connect(address)
            sock.settimeout(None)
            nodelay(sock)
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


_real: Network = GeventNetwork()
_in_force: Network = _real


def parse(address: str) -> Address:
    """Host and port of an address; ValueError where there are none."""
    host, _, port = address.rpartition(":")
    number = int(port)
    if not host or not 0 <= number <= 65535:
        raise ValueError(f"no address: {address!r}")
    return host, number


def connect(address: str, timeout_s: float) -> Socket:
    """Connect over TCP with TCP_NODELAY; OSError where it can't be, ValueError where it is no address."""
    return _in_force.connect(parse(address), timeout_s)


def listen(address: str, backlog: int) -> Listener:
    """Listen on TCP."""
    return _in_force.listen(parse(address), backlog)


def datagrams(address: str) -> DatagramSocket:
    """Bind a UDP socket."""
    return _in_force.datagrams(parse(address))


def unread(sock: Socket) -> int:
    """Bytes that have come on an open socket and that nobody has read yet."""
    return _in_force.unread(sock)


@contextmanager
def use_network(network: Network) -> Iterator[None]:
    """Put another network in force for a while."""
    global _in_force
    before, _in_force = _in_force, network
    try:
        yield
    finally:
        _in_force = before
