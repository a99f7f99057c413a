"""Input that cannot be read ends the peer's connection and nothing else, and leaves nothing behind."""

from __future__ import annotations

import logging
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import gevent
import pytest

from barleywheel.config import M3uaConfig, PeerConfig
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import Attempt, AttemptResult, AttemptStatus, Call, PlaceAttempt, Request
from barleywheel.core.release import EstablishedCalls
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade
from barleywheel.fronts.m3ua import Link, M3uaFront
from barleywheel.fronts.platform import Caller, PlatformFront
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.net.hub import Hub as PooledHub
from barleywheel.net.hub import HubConnection
from barleywheel.net.hubs import HubPool
from barleywheel.snmp.agent import Agent
from barleywheel.virtual import environment
from barleywheel.wire import jsonlines, m3ua, sip
from tests.network_harness import WAIT_TIMEOUT_S, Hub, answer_call, running_network

REF = "9b1f03aa5c7e2d41"
DESCRIPTORS = 32  # half of them are callers' connections


@pytest.mark.parametrize(
    "data",
    [
        b"\n" * 5000,
        b" \r\n\t" * 5000,
        b'{"t":"hb","ref":"\\ud800","c":0}\n',
        b'{"t":"new","ref":"\\ud800","f":{}}\n',
    ],
    ids=["line feeds", "blank lines", "test with a lone surrogate", "set-up with a lone surrogate"],
)
def test_connections_with_unreadable_input_do_not_keep_their_places(tmp_path: Path, data: bytes) -> None:
    # Guards against a router that lets nobody in any more after some bad clients (review/2).
    with running_network(tmp_path, Hub("h1", 1, answer_call), sockets=DESCRIPTORS) as harness:
        for _ in range(DESCRIPTORS):
            bad = harness.caller()
            bad.sock.sendall(data)
            assert bad.closed.wait(WAIT_TIMEOUT_S)
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)


def test_blank_lines_between_messages_are_skipped(tmp_path: Path) -> None:
    # Guards against a mend that refuses what was always accepted.
    with running_network(tmp_path, Hub("h1", 1, answer_call)) as harness:
        caller = harness.caller()
        for number in range(4):
            caller.sock.sendall(b"\r\n  \n" * 200)
            caller.send("hb", str(number), c=0)
            caller.receive("hb_ok", str(number))


class SocketWithInput:
    """A connected socket on which a few bytes are received, and nothing more."""

    def __init__(self) -> None:
        self.closed = False

    def recv_into(self, buffer: memoryview) -> int:
        buffer[:1] = b"x"
        return 1

    def close(self) -> None:
        self.closed = True

    def send(self, data: bytes, flags: int = 0, timeout: float | None = None) -> int:
        return len(data)


def fail(*_: object) -> None:
    raise RuntimeError("a defect")


def call_manager_stub() -> Any:
    abandoned: list[str] = []
    established = SimpleNamespace(release_all_at_hub=lambda name: None)
    return SimpleNamespace(
        abandon=abandoned.append, abandoned=abandoned, established=established, carriers={}
    )


def test_a_callers_connection_is_forgotten_whatever_ends_it(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a dead connection among the callers after an exception that nobody foresaw.
    for module, name in ((jsonlines, "parse_next"), (PlatformFront, "_handle_message")):
        with monkeypatch.context() as patch:
            patch.setattr(jsonlines, "parse_next", lambda buffer: {"t": "hb"})
            patch.setattr(module, name, fail)
            sock, call_manager = SocketWithInput(), call_manager_stub()
            front = PlatformFront(call_manager, Deadlines(), 4)
            conn = Connection(cast(sockets.Socket, sock), "peer", front.deadlines, 1_000_000)
            caller = Caller(front, conn)
            caller.refs.add(REF)
            front.callers[caller] = None
            front._serve(caller)
            assert not front.callers and sock.closed and call_manager.abandoned == [REF]
    assert [record.levelno for record in caplog.records] == [logging.ERROR] * 2


def test_a_hubs_connection_is_forgotten_and_its_set_ups_end_whatever_ends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against dead connections that use up the four of a hub, and set-ups that wait on them.
    monkeypatch.setattr(sip, "parse_next", fail)
    sock, call_manager = SocketWithInput(), call_manager_stub()
    pool = HubPool(call_manager, cast(Any, None), Deadlines(), 1_000_000)
    hub = PooledHub(b"h1", "127.0.0.1:1")
    conn = HubConnection(cast(sockets.Socket, sock), "h1", pool.deadlines)
    hub.connections.append(conn)
    attempt = Attempt(cast(Any, SimpleNamespace(attempts=1)), b"h1", 1_000_000, lambda name: True)
    conn.setups[REF, 1] = attempt
    pool._read(hub, conn)
    assert not hub.connections and not conn.setups and sock.closed
    assert attempt.wait().status is AttemptStatus.RESET


def test_an_exchanges_link_is_forgotten_whatever_ends_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against dead links that use up those that the front accepts.
    monkeypatch.setattr(m3ua, "parse_next", fail)
    conf = M3uaConfig(
        "127.0.0.1:1", 100, 2, 1, 15000, 30000, 5000, {}, {}, [PeerConfig(200, None, [1], None)]
    )
    front = M3uaFront(conf, call_manager_stub(), cast(Any, None), Deadlines())
    sock = SocketWithInput()
    link = Link(cast(sockets.Socket, sock), "peer", front.deadlines, 1_000_000, False)
    link.exchange = front.peers[200]
    front.peers[200].link = link
    front._serve(link)
    assert not front.links and front.peers[200].link is None and sock.closed


def test_a_failed_receive_does_not_end_the_snmp_agent() -> None:
    # Guards against an agent that is silent for good after one error of its socket.
    received: list[bytes] = []

    def recvfrom(max_bytes: int) -> tuple[bytes, tuple[str, int]]:
        if len(received) == 2:
            raise gevent.GreenletExit
        received.append(b"garbage")
        if len(received) == 1:
            raise ConnectionRefusedError("of an earlier datagram")
        return received[-1], ("127.0.0.1", 1)

    agent = Agent.__new__(Agent)
    agent.sock, agent.community = cast(Any, SimpleNamespace(recvfrom=recvfrom)), b"public"
    gevent.spawn(agent.run).get(timeout=WAIT_TIMEOUT_S)
    assert len(received) == 2


class RecordingCarrier:
    """A carrier whose attempts are answered at once; it records what is ended."""

    def __init__(self, answers: bool) -> None:
        self.answers = answers
        self.ended: list[str] = []

    def place(self, attempt: Attempt) -> None:
        if not self.answers:
            raise RuntimeError("a defect")
        attempt.finish(AttemptResult(AttemptStatus.ANSWERED))

    def cancel(self, attempt: Attempt) -> None:
        self.ended.append("cancelled")

    def release(self, leg: object, cause: int) -> None:
        self.ended.append("released")


@pytest.mark.parametrize(("answers", "ended"), [(True, "released"), (False, "cancelled")])
def test_a_call_that_an_exception_ends_leaves_nothing_behind(answers: bool, ended: str) -> None:
    # Guards against a call that goes on at the hub, and its later release as a second answer to its caller.
    forgotten: list[object] = []
    facade = SimpleNamespace(
        knows_class=lambda name: True,
        decide_new_call=lambda call: PlaceAttempt(b"h1", 1_000_000),
        report_answered=fail,
        forget=forgotten.append,
        is_ready=lambda hub: True,
        cell_of=lambda hub: 1,
    )
    rejected: list[object] = []
    origin = SimpleNamespace(reject=lambda request, rejection: rejected.append(rejection))
    deadlines = Deadlines()
    manager = CallManager(cast(Any, facade), deadlines, EstablishedCalls(deadlines))
    carrier = manager.default_carrier = RecordingCarrier(answers)
    manager.accept(Request(REF, "voice", 1_000_000, 1, "7f3a", b"", now_us(), cast(Any, origin)))
    gevent.sleep(0.01)
    assert carrier.ended == [ended] and len(rejected) == len(forgotten) == 1
    assert not manager.open_calls and REF in manager.established.recently_ended


def test_a_second_exception_does_not_end_the_clean_up(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a call that stays in the facade because the decision module fails to drop it as well.
    conf = environment.base_config()
    facade = ControllerFacade(conf.settings, conf.names, 1, Deadlines())
    call = Call(cast(Any, SimpleNamespace(ref=REF)), 1)
    facade._calls[1] = call
    monkeypatch.setattr(facade._module, "handle", fail)
    facade.forget(call)
    assert not facade._calls and len(caplog.records) == 1


def test_a_full_front_lets_others_in_after_connections_end_mid_message(tmp_path: Path) -> None:
    # Guards against places that are kept by connections which are cut off within a message.
    with running_network(tmp_path, Hub("h1", 1, answer_call), sockets=DESCRIPTORS) as harness:
        for _ in range(DESCRIPTORS):
            with socket.create_connection(harness.address) as sock:
                sock.sendall(b'{"t":"hb","ref":"1"')
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
