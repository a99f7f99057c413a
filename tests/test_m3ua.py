"""The second front: the real program between a stand-in M3UA peer, JSON callers and hubs."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from barleywheel.net.buffer import Buffer
from barleywheel.wire import isup, m3ua
from tests import m3ua_harness
from tests.m3ua_harness import ACM, ANM, IAM, REL, RLC, M3uaPeer
from tests.network_harness import DESCRIPTION, Hub, NetworkHarness, SipMessage, answer_call, running_network

REF = "9b1f03aa5c7e2d41"
CONF = """
[m3ua]
listen = "127.0.0.1:%d"
point_code = 100
rlc_ms = %d
beat_ms = %d
[m3ua.classes]
voice = { category = 10, patience_ms = 3000 }
gold = { category = 11, patience_ms = 2000 }
[m3ua.numbers]
7 = 1
8 = 2
[[m3ua.peer]]
point_code = 200
asp = 1
circuits = "1-%d"
%s
"""


@contextmanager
def front(
    tmp: Path,
    *hubs: Hub,
    cell: int | None = None,
    circuits: int = 8,
    rlc_ms: int = 60000,
    beat_ms: int = 60000,
) -> Iterator[tuple[NetworkHarness, M3uaPeer]]:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    conf = tmp / "m3ua.toml"
    conf.write_text(CONF % (port, rlc_ms, beat_ms, circuits, "" if cell is None else f"cell = {cell}"))
    for hub in hubs:
        hub.expects_early_connection = hub.cell != cell
    with running_network(tmp, *hubs, args=(str(conf),)) as harness:
        yield harness, M3uaPeer(port)


def invites(hub: Hub) -> list[SipMessage]:
    return [m for m in hub.inbox if m.method == "INVITE"]


# Calls that the peer places.


def test_a_call_from_the_peer_stands_and_is_released_by_the_hub(tmp_path: Path) -> None:
    hub = Hub("h1", 1, lambda m: m.answer(200, b"from the hub"))
    with front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION, category=11)
        peer.receive_isup(ACM, 3)
        assert peer.receive_isup(ANM, 3).description == b"from the hub"
        (sent,) = invites(hub)
        assert sent.start_line == "INVITE sip:7f3a@net SIP/2.0"
        assert (sent.headers["Subject"], sent.body) == ("gold", DESCRIPTION)
        hub.send_bye(sent.ref, 41)
        assert peer.receive_isup(REL, 3).cause == 41
        peer.send_isup(3, RLC)
        peer.send_iam(3, b"again")
        peer.receive_isup(ANM, 3)


def test_the_peers_release_reaches_the_hub(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)
        peer.send_rel(3, 31)
        peer.receive_isup(RLC, 3)
        assert hub.inbox.wait_and_pop(lambda m: m.method == "BYE").headers["Reason"] == "Q.850;cause=31"


def test_a_set_up_that_the_peer_gives_up_gets_no_answer(tmp_path: Path) -> None:
    hub = Hub("h1", 1)
    with front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        sent = hub.inbox.wait_and_pop(lambda m: m.method == "INVITE")
        peer.send_rel(3, 16)
        peer.receive_isup(RLC, 3)
        hub.inbox.wait_and_pop(lambda m: m.method == "CANCEL")
        sent.answer(200, DESCRIPTION)
        hub.inbox.wait_and_pop(lambda m: m.method == "BYE")
        assert not [m for m in peer.inbox if m.type in (ANM, REL)]


@pytest.mark.parametrize(
    ("category", "digits", "cause"), [(9, b"\xf7", 95), (10, b"\xf9", 95), (10, b"\x28", 42)]
)
def test_calls_that_cannot_be_served_are_released_with_a_cause(
    tmp_path: Path, category: int, digits: bytes, cause: int
) -> None:
    """Unknown category, unknown number, and an exchange that the hub list does not have."""
    with front(tmp_path, Hub("h1", 1)) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION, category, digits)
        assert peer.receive_isup(REL, 3).cause == cause


def test_an_answer_deadline_releases_the_circuit(tmp_path: Path) -> None:
    hub = Hub("h1", 1)
    with front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION, category=11)
        assert peer.receive_isup(REL, 3).cause == 41
        hub.inbox.wait_and_pop(lambda m: m.method == "CANCEL")


def test_an_answer_too_long_for_the_wire_is_one_release(tmp_path: Path) -> None:
    hub = Hub("h1", 1, lambda m: m.answer(200, b"x" * 300))
    with front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        assert peer.receive_isup(REL, 3).cause == 127
        hub.inbox.wait_and_pop(lambda m: m.method == "BYE")


# Calls placed at the peer.


def test_a_call_is_placed_at_the_peer(tmp_path: Path) -> None:
    with front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF)
        iam = peer.receive_isup(IAM)
        # the higher point code has the even circuits: odd ones are ours
        assert iam.cic % 2 == 1 and iam.body[3] == 10 and DESCRIPTION in iam.body and b"\xf7\xa3" in iam.body
        peer.send_isup(iam.cic, ACM, b"\x16\4\0")
        peer.send_anm(iam.cic, b"from the peer")
        assert caller.receive("up", REF)["d"] == "from the peer"
        peer.send_rel(iam.cic, 31)
        peer.receive_isup(RLC, iam.cic)
        assert caller.receive("down", REF)["c"] == 31


@pytest.mark.parametrize(("cause", "answer"), [(17, 41), (31, 41), (41, 41), (42, 42), (27, 42), (111, 41)])
def test_causes_of_the_peer_are_mapped(tmp_path: Path, cause: int, answer: int) -> None:
    with front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF)
        iam = peer.receive_isup(IAM)
        peer.send_rel(iam.cic, cause)
        peer.receive_isup(RLC, iam.cic)
        assert caller.receive("down", REF)["c"] == answer


def test_no_circuit_goes_on_over_a_tandem(tmp_path: Path) -> None:
    tandem = Hub("h2", 2, answer_call)
    with front(tmp_path, Hub("h1", 1), tandem, cell=1, circuits=1) as (harness, peer):
        peer.connect().send_iam(1, DESCRIPTION, digits=b"\xf8")  # takes the only one
        peer.receive_isup(ANM, 1)
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        assert [m.ref for m in invites(tandem)][-1] == REF


def test_a_call_that_nobody_answers_is_released_at_the_peer(tmp_path: Path) -> None:
    with front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF, left="900")
        cic = peer.receive_isup(IAM).cic
        assert peer.receive_isup(REL, cic).cause == 102
        assert caller.receive("down", REF)["c"] == 41
        peer.send_anm(cic, b"late")
        peer.send_isup(cic, RLC)
        caller.send("hb", "1", c=0)
        caller.receive("hb_ok", "1")
        assert not caller.inbox


@pytest.mark.parametrize(("cic", "wins"), [(1, "ours"), (2, "theirs")])
def test_dual_seizure(tmp_path: Path, cic: int, wins: str) -> None:
    """Circuit 1 is ours by Q.764, circuit 2 the peer's: the side that has it keeps it."""
    hub = Hub("h2", 2, answer_call)
    with front(tmp_path, Hub("h1", 1), hub, cell=1, circuits=cic + 1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        first = []
        if cic == 2:  # the odd ones are taken first, so that 2 is all that is left
            for at in range(2):
                caller.send_new(f"{at:016x}")
                first.append(peer.receive_isup(IAM).cic)
                peer.send_anm(first[-1], b"")
        caller.send_new(REF)
        assert peer.receive_isup(IAM).cic == cic
        peer.send_iam(cic, DESCRIPTION, digits=b"\xf8")  # at the same moment
        if wins == "ours":
            peer.send_anm(cic, b"kept")
            assert caller.receive("up", REF)["d"] == "kept" and not invites(hub)
        else:
            peer.receive_isup(ANM, cic)  # the peer's call has it; ours found no other and went over a tandem
            caller.receive("up", REF)
            assert {m.ref for m in invites(hub)} > {REF}


# The link.


def test_link_drop_mid_call(tmp_path: Path) -> None:
    """Open set-ups end as reset, standing calls survive, a waiting release goes out exactly once."""
    hub = Hub("h1", 1, lambda m: answer_call(m) if m.body.startswith(b"up") else None)
    with front(tmp_path, hub) as (harness, peer):
        peer.connect()
        for cic, text in ((1, b"up kept"), (2, b"up released"), (3, b"open")):
            peer.send_iam(cic, text)
        for cic in (1, 2):
            peer.receive_isup(ANM, cic)
        kept, released, waiting = (
            hub.inbox.wait_and_pop(lambda m, t=t: m.body == t)  # type: ignore[misc]
            for t in (b"up kept", b"up released", b"open")
        )
        peer.drop()
        hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("CANCEL", waiting.ref))
        hub.send_bye(released.ref, 16)
        hub.inbox.wait_and_pop(lambda m: m.method == "SIP/2.0")  # it is heard, and waits in line
        peer.connect()
        assert peer.receive_isup(REL, 2).cause == 16
        assert peer.receive_isup(REL, 3).cause == 41
        peer.send_isup(3, RLC)
        peer.send_isup(2, RLC)
        peer.send_rel(1, 31)  # the standing call is still there to be released
        peer.receive_isup(RLC, 1)
        assert hub.inbox.wait_and_pop(lambda m: m.method == "BYE").ref == kept.ref
        peer.drop()
        peer.connect()
        peer.send(m3ua_harness.BEAT, {0x09: b"end"})
        peer.receive(m3ua_harness.BEAT_ACK)
        assert not [m for m in peer.inbox if m.type == REL], "a release went out twice"


def test_a_placed_set_up_is_reset_by_a_link_drop(tmp_path: Path) -> None:
    with front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF)
        cic = peer.receive_isup(IAM).cic
        peer.drop()
        assert caller.receive("down", REF)["c"] == 41
        peer.connect()
        assert peer.receive_isup(REL, cic).cause == 41


def test_a_release_without_rlc_goes_out_again_and_the_circuit_is_blocked(tmp_path: Path) -> None:
    with front(tmp_path, Hub("h1", 1), rlc_ms=50) as (harness, peer):
        peer.connect().send_iam(1, DESCRIPTION, category=9)
        for _ in range(3):
            peer.receive_isup(REL, 1)
        harness.wait_for(lambda: "circuit blocked" in harness.log_text())
        peer.send_iam(1, DESCRIPTION, category=9)
        harness.wait_for(lambda: "taken circuit" in harness.log_text())


def test_the_asps_states_and_their_errors(tmp_path: Path) -> None:
    with front(tmp_path, Hub("h1", 1, answer_call)) as (_, peer):
        peer.connect(active=False)

        def error(code: int) -> None:
            assert peer.receive(m3ua_harness.ERR).params[0x0C][3] == code

        peer.send(m3ua_harness.ASPAC, {})
        error(0x06)
        peer.send_iam(1, DESCRIPTION)
        error(0x06)
        peer.send(m3ua_harness.ASPUP, {0x11: b"\0\0\0\7"})
        error(0x1A)
        peer.send(0x0999, {})
        error(0x03)
        peer.send(0x0309, {})
        error(0x04)
        peer.sock.sendall(struct.pack(">BBHI", 2, 0, m3ua_harness.BEAT, 8))
        error(0x01)
        peer.send(m3ua_harness.ASPUP, {0x11: b"\0\0\0\1"})
        peer.receive(m3ua_harness.ASPUP_ACK)
        assert peer.receive(m3ua_harness.NTFY).params[0x0D] == b"\0\1\0\2"
        peer.send(m3ua_harness.ASPAC, {0x06: b"\0\0\0\2"})
        error(0x19)
        peer.send(m3ua_harness.ASPAC, {0x06: b"\0\0\0\1"})
        peer.receive(m3ua_harness.ASPAC_ACK)
        assert peer.receive(m3ua_harness.NTFY).params[0x0D] == b"\0\1\0\3"
        peer.send(m3ua_harness.DATA, {})
        error(0x16)
        peer.send(m3ua_harness.DAUD, {0x12: b"\0\0\0\x64"})
        assert peer.receive(m3ua_harness.DAVA).params[0x12] == b"\0\0\0\x64"
        peer.send(m3ua_harness.ASPIA, {})
        peer.receive(m3ua_harness.ASPIA_ACK)
        peer.send(m3ua_harness.ASPDN, {})
        peer.receive(m3ua_harness.ASPDN_ACK)


@pytest.mark.parametrize(
    ("news", "answer"),
    [
        ((m3ua_harness.DUNA, {}), 42),
        ((m3ua_harness.SCON, {0x205: b"\0\0\0\1"}), 42),
        ((m3ua_harness.DAVA, {}), None),
    ],
)
def test_news_of_the_network(tmp_path: Path, news: tuple[int, dict[int, bytes]], answer: int | None) -> None:
    with front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        peer.send(news[0], {0x12: b"\0\0\0\xc8"} | news[1])
        peer.send(m3ua_harness.BEAT, {0x09: b"told"})
        peer.receive(m3ua_harness.BEAT_ACK)
        caller = harness.caller()
        caller.send_new(REF)
        if answer is None:
            peer.receive_isup(IAM)
        else:
            assert caller.receive("down", REF)["c"] == answer


def test_a_silent_link_is_closed(tmp_path: Path) -> None:
    with front(tmp_path, Hub("h1", 1), beat_ms=100) as (harness, peer):
        peer.connect()
        peer.receive(m3ua_harness.BEAT)
        harness.wait_for(lambda: "no answer to BEAT" in harness.log_text())


@pytest.mark.parametrize(
    "data",
    [
        b"\1\0\1\1\0\0\0\3",
        b"\1\0\1\1\7\0\0\0",
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">BBHIHH", 1, 0, 0x101, 12, 0x210, 400),
    ],
)
def test_garbage_closes_that_link_only(tmp_path: Path, data: bytes) -> None:
    with front(tmp_path, Hub("h1", 1, answer_call)) as (harness, peer):
        peer.connect()
        bad = M3uaPeer(peer.port).connect(active=False)
        bad.sock.sendall(data)
        harness.wait_for(lambda: "malformed input" in harness.log_text())
        for body in (b"", b"\0", b"\1\0\1", b"\1\0\x0c\xff"):  # and ISUP cut short harms nobody
            peer.send(m3ua_harness.DATA, {0x210: struct.pack(">IIBBBB", 200, 100, 5, 2, 0, 0) + body})
        peer.send_iam(5, DESCRIPTION)
        peer.receive_isup(ANM, 5)


@pytest.mark.parametrize("size", [0, 1, 252])
def test_messages_survive_the_wire(size: int) -> None:
    iam = isup.Message(5, isup.Type.IAM, "7f3a1", 11, description=bytes(size))
    buffer = Buffer()
    raw = m3ua.encode_transfer(m3ua.Transfer(1, 2, isup.encode(iam)), 7)
    buffer.data[: len(raw)], buffer.end = raw, len(raw)
    message = m3ua.parse_next(buffer)
    assert message is not None
    transfer = m3ua.decode_transfer(message)
    assert transfer is not None and isup.decode(transfer.user) == iam and len(buffer) == 0


# The proof: both fronts side by side through a drain.


class Script:
    """A hub that answers as the description says, and notes when each set-up was out."""

    def __init__(self) -> None:
        self.out: dict[str, list[tuple[float, float]]] = {}
        self.cranked: list[str] = []

    def __call__(self, message: SipMessage) -> None:
        step = message.body.split(b":")[1]
        direct = message.hub.cell == 1
        time.sleep(0.02)  # long enough for a second attempt to overlap, if there were one
        self.out.setdefault(message.ref, []).append((message.received_at, time.time()))
        if step == b"crank" and direct:
            self.cranked.append(message.ref)
            message.answer(503, X_Note="congestion")
        elif step == b"error":
            message.answer(500)
        elif step == b"full":
            message.answer(503, X_Note="throttled")
        else:
            message.answer(200, b"made for " + step)


def test_both_fronts_give_the_same_answers_through_a_hub_drain(tmp_path: Path) -> None:
    script = Script()
    drained, tandem = Hub("h1", 1, script), Hub("h2", 2, script)
    with front(tmp_path, drained, tandem, circuits=31) as (harness, peer):
        peer.connect()
        caller = harness.caller()

        def ask(cic: int, step: str) -> None:
            peer.send_iam(cic, f"m:{step}".encode())
            caller.send_new(f"{cic:016x}", body=f"j:{step}".encode())

        def answers(cic: int) -> tuple[m3ua_harness.M3uaMessage, dict[str, Any]]:
            return (
                peer.inbox.wait_and_pop(lambda m: m.cic == cic and m.type in (ANM, REL)),
                caller.inbox.wait_and_pop(lambda m: m["ref"] == f"{cic:016x}"),
            )

        def both(cic: int, step: str) -> tuple[str, int, bytes]:
            """The same call on both fronts at once; the answers are the same."""
            ask(cic, step)
            a, b = answers(cic)
            ours = ("up", 0, a.description) if a.type == ANM else ("down", a.cause, b"")
            assert ours == (b["t"], b.get("c", 0), b.get("d", "").encode())
            if a.type == REL:
                peer.send_isup(cic, RLC)
            return ours

        assert both(1, "stand") == ("up", 0, b"made for stand")
        assert both(2, "crank") == ("up", 0, b"made for crank")
        assert both(3, "error") == ("down", 41, b"")
        standing = [m.ref for m in invites(drained) if m.body.endswith(b"stand")]
        assert len(standing) == 2

        told = time.time()
        harness.journal.publish(drained, status="Terminating")
        crossing = range(20, 30)  # calls that cross the news on both fronts
        for cic in crossing:
            ask(cic, "stand")
            time.sleep(0.01)
        for cic in crossing:
            answers(cic)
        harness.wait_for(lambda: "state=Terminating" in harness.log_text())
        known = time.time()
        for cic in range(4, 8):
            assert both(cic, "stand") == ("down", 42, b"")
        standing = [m.ref for m in invites(drained) if m.body.endswith(b"stand")]
        for ref in standing:  # the drained hub stops: calls through it are cut, on both fronts alike
            drained.send_bye(ref, 41)
        assert peer.receive_isup(REL, 1).cause == 41 and caller.receive("down", f"{1:016x}")["c"] == 41
        peer.send_isup(1, RLC)
        harness.journal.publish(drained, status="Gone")
        fresh = Hub("h1b", 1, script)
        harness.journal.publish(fresh)
        harness.wait_for(lambda: fresh.conns)
        assert both(8, "stand") == ("up", 0, b"made for stand")
        assert both(9, "full") == ("down", 42, b"")

        late = [m for m in invites(drained) if m.received_at > max(told + 0.25, known)]
        assert not late, "set-ups to the draining hub"
        for ref, spans in script.out.items():
            assert all(end <= begin for (_, end), (begin, _) in zip(spans, spans[1:], strict=False)), ref
        assert [len(script.out[ref]) for ref in script.cranked] == [2, 2]
        caller.send("hb", "1", c=0)
        peer.send(m3ua_harness.BEAT, {0x09: b"end"})
        caller.receive("hb_ok", "1")
        peer.receive(m3ua_harness.BEAT_ACK)
        cut = {m.ref for m in invites(drained) if m.body == b"j:stand"} - {f"{1:016x}"}
        harness.wait_for(lambda: len(caller.inbox) >= len(cut))
        assert {m["ref"] for m in caller.inbox} == cut, "a second answer"
        assert len(caller.inbox) == len(cut)
        more = [m.cic for m in peer.inbox if m.type in (ANM, REL)]
        assert len(more) == len(set(more)) and set(more) <= set(crossing), "a second answer"
