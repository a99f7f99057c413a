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
from barleywheel.standins import Broken
from barleywheel.virtual.runtime import VirtualRuntime, Waiter

WINDOW = 64 * 1024  # what a stream takes from a writer whose peer does not read


class Party(Protocol):
    """A model's side of one stream: told what comes; it writes and closes by its ``Wire``."""

    def received(self, data: bytes) -> None:
        """Bytes came."""

    def closed(self, reset: bool) -> None:
        """The other side ended the stream."""


class Wire:
    """How a model holds a stream: write, close, and stop reading for a while."""

    def __init__(self, network: VirtualNetwork, address: Address) -> None:
        self._network, self.address = network, address  # the address is that of the model's end
        self.party: Party | None = None
        self.open = True
        self.stream = Stream(network.runtime, self)
        self.reading, self.silent = True, False
        self._unread = 0

    def write(self, data: bytes) -> bool:
        """Send to the parts; False where the stream has ended."""
        if not self.open:
            return False
        if not self.silent:
            self.stream.arrive(data)
        return True

    def close(self, reset: bool = False) -> None:
        """End the stream."""
        if self.open:
            self.open = False
            if not self.silent:
                self.stream.end(reset)

    def read_on(self, reading: bool) -> None:
        """Stop reading, or go on."""
        self.reading = reading
        if reading:
            self._unread = 0
            self.stream.may_write()

    # From the stream.

    def room(self) -> int:
        """How much the parts may write now."""
        return WINDOW - self._unread

    def take(self, data: bytes) -> None:
        """The parts wrote this."""
        if self.silent:
            return
        if not self.reading:
            self._unread += len(data)  # it has left the parts: whoever watches is told
        if self.open and self.party is not None:
            try:
                self.party.received(data)
            except Broken as error:  # the model's complaint, not the writer's fault to handle
                self._network.complaints.append(str(error))

    def ended(self, reset: bool) -> None:
        """The parts closed."""
        if self.open and not self.silent:
            self.open = False
            if self.party is not None:
                self.party.closed(reset)


class Stream:
    """The parts' end of a stream, as ``net.sockets.Socket``."""

    def __init__(self, runtime: VirtualRuntime, wire: Wire) -> None:
        self.runtime, self.wire = runtime, wire
        self._come: deque[bytes] = deque()
        self._eof = self._reset = self._closed = False
        self._timeout: float | None = None
        self._reader: Waiter | None = None
        self._writers: list[Waiter] = []

    # The model's side.

    def arrive(self, data: bytes) -> None:
        """Bytes for the parts."""
        if data and not self._closed:
            self._come.append(data)
            self._wake()

    def end(self, reset: bool) -> None:
        """The model ended the stream; a reset takes what was not read with it."""
        self._eof, self._reset = True, reset
        if reset:
            self._come.clear()
        self._wake()
        self.may_write()

    def may_write(self) -> None:
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
        while not self._come:
            self._usable()
            if self._reset:
                raise ConnectionResetError(errno.ECONNRESET, "reset")
            if self._eof:
                return 0
            self._reader = waiter = Waiter(self.runtime)
            if not waiter.wait(self._timeout):
                self._reader = None
                raise TimeoutError("timed out")
        self._usable()
        data = self._come.popleft()
        count = min(len(data), len(buffer))
        buffer[:count] = data[:count]
        if count < len(data):
            self._come.appendleft(data[count:])
        return count

    def send(self, data: bytes | bytearray, flags: int = 0, timeout: float | None = None) -> int:
        """See ``Socket``."""
        while True:
            self._usable()
            if self._eof:
                raise BrokenPipeError(errno.EPIPE, "gone")
            room = self.wire.room()
            if room > 0:
                self.wire.take(bytes(data[:room]))
                return min(room, len(data))
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
            unread = bool(self._come)
            self._come.clear()
            self._wake()
            self.may_write()
            self.wire.ended(unread)

    def _usable(self) -> None:
        if self._closed:
            raise OSError(errno.EBADF, "closed")


class VirtualListener:
    """See ``net.sockets.Listener``."""

    def __init__(self, network: VirtualNetwork, address: Address, backlog: int) -> None:
        self._network, self.address, self.backlog = network, address, backlog
        self._come: deque[Wire] = deque()
        self._reader: Waiter | None = None
        self._closed = False
        self.failing = 0  # so many accepts fail for want of descriptors

    def arrive(self, wire: Wire) -> bool:
        """Somebody connects; False where nobody listens or the backlog is full."""
        if self._closed or len(self._come) >= self.backlog:
            return False
        self._come.append(wire)
        if self._reader is not None:
            self._reader.wake()
        return True

    def accept(self) -> tuple[Stream, Address]:
        """See ``Listener``."""
        while not self._come and not self._closed:
            self._reader = Waiter(self._network.runtime)
            self._reader.wait(None)
            self._reader = None
        if self._closed:
            raise OSError(errno.EBADF, "closed")
        if self.failing:
            self.failing -= 1
            raise OSError(errno.EMFILE, "too many open files")
        wire = self._come.popleft()
        return wire.stream, wire.address

    def close(self) -> None:
        """See ``Listener``."""
        self._closed = True
        self._network.listeners.pop(self.address, None)
        for wire in self._come:
            wire.stream.close()
        if self._reader is not None:
            self._reader.wake()


class VirtualDatagrams:
    """See ``net.sockets.DatagramSocket``. What the parts send is handed to ``heard``."""

    def __init__(self, network: VirtualNetwork) -> None:
        self._network = network
        self._come: deque[tuple[bytes, Address]] = deque()
        self._reader: Waiter | None = None
        self.heard: Callable[[bytes, Address], None] | None = None

    def arrive(self, data: bytes, address: Address) -> None:
        """A datagram for the parts."""
        self._come.append((data, address))
        if self._reader is not None:
            self._reader.wake()

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        """See ``DatagramSocket``."""
        while not self._come:
            self._reader = Waiter(self._network.runtime)
            self._reader.wait(None)
            self._reader = None
        data, address = self._come.popleft()
        return data[:most], address

    def sendto(self, data: bytes, address: Address) -> int:
        """See ``DatagramSocket``."""
        if len(data) > 65507:
            raise OSError(errno.EMSGSIZE, "message too long")
        if self.heard is not None:
            self.heard(data, address)
        return len(data)


class VirtualNetwork:
    """Addresses and who is behind them. ``hosts`` has an entry for each address that the parts may reach.

    A host takes a ``Wire`` and returns its ``Party``; None for "refused". An address in ``cut_off`` answers
    nothing, and one that is nowhere refuses.
    """

    def __init__(self, runtime: VirtualRuntime) -> None:
        self.runtime = runtime
        self.hosts: dict[Address, Callable[[Wire], Party | None]] = {}
        self.cut_off: set[Address] = set()
        self.listeners: dict[Address, VirtualListener] = {}
        self.bound: dict[Address, VirtualDatagrams] = {}
        self.complaints: list[str] = []  # what models could not read

    def connect(self, address: Address, timeout_s: float) -> Stream:
        """See ``Network``."""
        if address in self.cut_off:
            self.runtime.sleep(timeout_s)
            raise TimeoutError("timed out")
        self.runtime.sleep(0)
        host = self.hosts.get(address)
        wire = Wire(self, address)
        party = host(wire) if host is not None and address not in self.cut_off else None
        if party is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        wire.party = party
        return wire.stream

    def listen(self, address: Address, backlog: int) -> VirtualListener:
        """See ``Network``."""
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, "in use")
        made = self.listeners[address] = VirtualListener(self, address, backlog)
        return made

    def datagrams(self, address: Address) -> VirtualDatagrams:
        """See ``Network``."""
        made = self.bound[address] = VirtualDatagrams(self)
        return made

    def unread(self, sock: Any) -> int:
        """See ``Network``."""
        return sum(map(len, sock._come))

    def dial(self, to: Address, own: Address, party: Callable[[Wire], Party]) -> Party | None:
        """A model connects to the parts; None where nobody listens."""
        listener = self.listeners.get(to)
        if listener is None:
            return None
        wire = Wire(self, own)
        wire.party = made = party(wire)
        return made if listener.arrive(wire) else None
