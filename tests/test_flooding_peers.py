"""Peers that send faster than they can be served must not keep the router from serving the others."""

from __future__ import annotations

import itertools
import json
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import gevent
import gevent.socket
import pytest

from barleywheel.core.deadlines import Deadlines
from barleywheel.net import sockets
from barleywheel.net.buffer import Buffer
from barleywheel.net.connection import Connection
from barleywheel.net.journal import JournalClient, Poller
from barleywheel.snmp.agent import Agent
from barleywheel.wire import jsonlines, m3ua, sip
from tests.m3ua_harness import M3uaPeer
from tests.network_harness import SETTINGS, Hub, answer_call, running_network, start_thread
from tests.test_m3ua import M3UA_CONFIG

REF = "9b1f03aa5c7e2d41"
AIM_S = SETTINGS["classes"][0]["aim_us"] / 1e6  # of the class "voice"
FLOOD_PIECE_BYTES = 1 << 19
MAX_READS = 200  # after which the endless peers of the tests without a process end
# A greenlet whose socket is readable needs one pass of the event loop to start waiting and one to be woken.
MAX_READS_BEFORE_OTHERS = 4
UNKNOWN_CLASS = {
    "t": "new",
    "ref": "0" * 16,
    "f": {"class": "nonesuch", "left": "3000", "key": "7f3a", "extras": "dest:1;width:1;via:-1"},
}
SHORT_REQUEST = json.dumps(UNKNOWN_CLASS).encode() + b"\n"
LONG_REQUEST = json.dumps(UNKNOWN_CLASS | {"d": "x" * 150}).encode() + b"\n"
HEARTBEAT = b'{"t":"hb","ref":"1","c":0}\n'
NOTIFY = (
    b"NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP hub\r\nCall-ID: x\r\nCSeq: 7 NOTIFY\r\n"
    b"X-State: x0:20;x1:20\r\nContent-Length: 0\r\n\r\n"
)
BEAT = m3ua.encode(m3ua.MessageCode.BEAT, {m3ua.Tag.HEARTBEAT_DATA: bytes(400)})


@contextmanager
def flooding(*socks: socket.socket, message: bytes, reads: bool = True) -> Iterator[None]:
    """Send the message again and again on each socket, without a pause, and read all that comes back."""
    piece = message * (FLOOD_PIECE_BYTES // len(message))
    stopped = threading.Event()

    def send(sock: socket.socket) -> None:
        with suppress(OSError):
            while not stopped.is_set():
                sock.sendall(piece)

    def discard(sock: socket.socket) -> None:
        with suppress(OSError):
            while sock.recv(1 << 18):
                pass

    for sock in socks:
        start_thread(send, sock)
        if reads:
            start_thread(discard, sock)
    try:
        yield
    finally:
        stopped.set()
        for sock in socks:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


call_numbers = itertools.count()  # every set-up gets a new id


def assert_calls_are_established_in_time(harness: Any, caller: Any) -> None:
    for _ in range(3):
        ref = f"a{next(call_numbers):015x}"
        caller.send_new(ref)
        caller.receive("up", ref, AIM_S)
        caller.send("down", ref, c=16)


@pytest.mark.parametrize(
    "message", [LONG_REQUEST, SHORT_REQUEST, HEARTBEAT], ids=["long", "short", "heartbeat"]
)
def test_callers_that_never_pause_do_not_delay_others(tmp_path: Path, message: bytes) -> None:
    # Guards against lost set-ups of all callers while one connection always has bytes to read (review/1).
    with running_network(tmp_path, Hub("h0", 0), Hub("h1", 1, answer_call)) as harness:
        caller = harness.caller()
        assert_calls_are_established_in_time(harness, caller)
        socks = [socket.create_connection(harness.address) for _ in range(3)]
        with flooding(*socks, message=message):
            assert_calls_are_established_in_time(harness, caller)


def test_a_hub_that_never_pauses_does_not_delay_others(tmp_path: Path) -> None:
    # Guards against the same starvation from a hub's side.
    hub = Hub("h1", 1, answer_call)
    flooding_hub = Hub("h2", 2)
    with running_network(tmp_path, Hub("h0", 0), hub, flooding_hub) as harness:
        with flooding(*flooding_hub.conns, message=NOTIFY, reads=False):
            assert_calls_are_established_in_time(harness, harness.caller())


def test_an_exchange_that_never_pauses_does_not_delay_others(tmp_path: Path) -> None:
    # Guards against the same starvation from the M3UA front.
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    conf = tmp_path / "extras.toml"
    conf.write_text(M3UA_CONFIG % (port, 15000, 30000, 8, ""))
    with running_network(tmp_path, Hub("h0", 0), Hub("h1", 1, answer_call), args=(str(conf),)) as harness:
        exchange = M3uaPeer(port).connect()
        with flooding(exchange.sock, message=BEAT, reads=False):
            assert_calls_are_established_in_time(harness, harness.caller())


class EndlessSource:
    """A socket, a listener and a datagram socket in one, with something to read at every call.

    ``reads_when_others_ran`` is the number of reads that were made before another greenlet, whose socket was
    readable from the start, has run.
    """

    def __init__(self, data: bytes) -> None:
        self.data, self.reads = data, 0
        self.reads_when_others_ran: int | None = None

    def _count_read(self) -> None:
        self.reads += 1
        if self.reads > MAX_READS:
            raise gevent.GreenletExit

    def recv_into(self, buffer: memoryview) -> int:
        self._count_read()
        count = min(len(buffer), len(self.data))
        buffer[:count] = self.data[:count]
        return count

    def accept(self) -> tuple[EndlessSource, tuple[str, int]]:
        self._count_read()
        return self, ("127.0.0.1", 1)

    def recvfrom(self, max_bytes: int) -> tuple[bytes, tuple[str, int]]:
        self._count_read()
        return self.data, ("127.0.0.1", 1)

    def send(self, data: bytes, flags: int = 0, timeout: float | None = None) -> int:
        return len(data)

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        return len(data)

    def settimeout(self, seconds: float | None) -> None:
        pass

    def close(self) -> None:
        pass

    def run_beside_another_reader(self, read: Callable[[], object]) -> None:
        ours, peer = gevent.socket.socketpair()
        peer.send(b"x")

        def other_reader() -> None:
            gevent.socket.wait_read(ours.fileno())
            self.reads_when_others_ran = self.reads

        greenlets: list[Any] = [gevent.spawn(other_reader), gevent.spawn(read)]
        gevent.get_hub().loop.update_now()  # else the time-out counts from when the loop last ran
        try:
            gevent.joinall(greenlets, timeout=10)
        finally:
            gevent.killall(greenlets)
            ours.close()
            peer.close()


def read_messages(source: EndlessSource, parse_next: Callable[[Buffer], Any]) -> None:
    connection = Connection(cast(sockets.Socket, source), "peer", Deadlines(), 1_000_000)
    network = SimpleNamespace(unread=lambda sock: len(sock.data))
    with sockets.use_network(cast(Any, network)):
        for _ in connection.messages(parse_next):
            pass


def accept_connections(source: EndlessSource) -> None:
    for _ in sockets.accepted_connections(cast(sockets.Listener, source), lambda: source.reads > MAX_READS):
        pass


def answer_datagrams(source: EndlessSource) -> None:
    agent = Agent.__new__(Agent)
    agent.sock, agent.community = cast(sockets.DatagramSocket, source), b"public"
    agent.run()


def read_journal_response(source: EndlessSource) -> None:
    client = JournalClient("127.0.0.1:1", cast(Any, SimpleNamespace()), cast(Any, SimpleNamespace()))
    Poller(client).read_response(cast(sockets.Socket, source), Buffer())


@pytest.mark.parametrize(
    ("data", "read"),
    [
        (LONG_REQUEST, lambda source: read_messages(source, jsonlines.parse_next)),
        (HEARTBEAT * 100, lambda source: read_messages(source, jsonlines.parse_next)),
        (NOTIFY, lambda source: read_messages(source, sip.parse_next)),
        (b"\r\n" * 2000, lambda source: read_messages(source, sip.parse_next)),
        (BEAT, lambda source: read_messages(source, m3ua.parse_next)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n", read_journal_response),
        (b"garbage", answer_datagrams),
        (b"", accept_connections),
    ],
    ids=["long lines", "short lines", "sip", "sip keep-alives", "m3ua", "journal", "snmp", "connections"],
)
def test_a_source_that_never_runs_empty_lets_other_sockets_be_read(
    data: bytes, read: Callable[[EndlessSource], object]
) -> None:
    # Guards against a loop that yields to other greenlets but not to the event loop, which polls the sockets.
    source = EndlessSource(data)
    source.run_beside_another_reader(lambda: read(source))
    assert source.reads > MAX_READS_BEFORE_OTHERS and source.reads_when_others_ran is not None
    assert source.reads_when_others_ran <= MAX_READS_BEFORE_OTHERS


def test_a_delayed_event_loop_is_logged_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a stuck event loop of which no log line tells.
    deadlines = Deadlines()
    for due_us in (0, 150_000, 1_400_000):
        deadlines.schedule(due_us, lambda: None)
    for now_us in (50_000, 300_000, 1_600_000):
        deadlines.run_due(now_us)
    assert [record.getMessage() for record in caplog.records] == [
        "event loop delayed, timers run late: late_ms=150",
        "event loop delayed, timers run late: late_ms=200",
    ]
