"""M3UA front: the program running between a simulated M3UA peer, JSON callers and hubs."""

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
from tests import m3ua_harness, network_harness
from tests.m3ua_harness import ACM, ANM, IAM, REL, RLC, M3uaPeer
from tests.network_harness import DESCRIPTION, Hub, NetworkHarness, SipMessage, answer_call, running_network

REF = "9b1f03aa5c7e2d41"
M3UA_CONFIG = """
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
def running_front(
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
    conf.write_text(M3UA_CONFIG % (port, rlc_ms, beat_ms, circuits, "" if cell is None else f"cell = {cell}"))
    for hub in hubs:
        hub.expects_early_connection = hub.cell != cell
    with running_network(tmp, *hubs, args=(str(conf),)) as harness:
        yield harness, M3uaPeer(port)


def invites(hub: Hub) -> list[SipMessage]:
    return [m for m in hub.inbox if m.method == "INVITE"]


# Calls that the peer places.


def test_a_call_from_the_peer_is_answered_and_then_released_by_the_hub(tmp_path: Path) -> None:
    hub = Hub("h1", 1, lambda m: m.answer(200, b"from the hub"))
    with running_front(tmp_path, hub) as (_, peer):
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
    with running_front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)
        peer.send_rel(3, 31)
        peer.receive_isup(RLC, 3)
        assert hub.inbox.wait_and_pop(lambda m: m.method == "BYE").headers["Reason"] == "Q.850;cause=31"


def test_a_set_up_released_by_the_peer_gets_no_answer(tmp_path: Path) -> None:
    hub = Hub("h1", 1)
    with running_front(tmp_path, hub) as (_, peer):
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
def test_calls_that_cannot_be_routed_are_released_with_a_cause(
    tmp_path: Path, category: int, digits: bytes, cause: int
) -> None:
    """Unknown category, unknown number, and an exchange without a hub in the hub list."""
    with running_front(tmp_path, Hub("h1", 1)) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION, category, digits)
        assert peer.receive_isup(REL, 3).cause == cause


def test_a_call_not_answered_in_time_is_released_at_the_peer(tmp_path: Path) -> None:
    hub = Hub("h1", 1)
    with running_front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION, category=11)
        assert peer.receive_isup(REL, 3).cause == 41
        hub.inbox.wait_and_pop(lambda m: m.method == "CANCEL")


def test_an_answer_too_long_for_isup_is_released_on_both_sides(tmp_path: Path) -> None:
    hub = Hub("h1", 1, lambda m: m.answer(200, b"x" * 300))
    with running_front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        assert peer.receive_isup(REL, 3).cause == 127
        hub.inbox.wait_and_pop(lambda m: m.method == "BYE")


# Calls placed at the peer.


def test_a_call_is_placed_at_the_peer(tmp_path: Path) -> None:
    with running_front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF)
        iam = peer.receive_isup(IAM)
        # the higher point code controls the even circuits: the router seizes an odd one
        assert iam.cic % 2 == 1 and iam.body[3] == 10 and DESCRIPTION in iam.body and b"\xf7\xa3" in iam.body
        peer.send_isup(iam.cic, ACM, b"\x16\4\0")
        peer.send_anm(iam.cic, b"from the peer")
        assert caller.receive("up", REF)["d"] == "from the peer"
        peer.send_rel(iam.cic, 31)
        peer.receive_isup(RLC, iam.cic)
        assert caller.receive("down", REF)["c"] == 31


@pytest.mark.parametrize(("cause", "answer"), [(17, 41), (31, 41), (41, 41), (42, 42), (27, 42), (111, 41)])
def test_release_causes_of_the_peer_are_mapped(tmp_path: Path, cause: int, answer: int) -> None:
    with running_front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF)
        iam = peer.receive_isup(IAM)
        peer.send_rel(iam.cic, cause)
        peer.receive_isup(RLC, iam.cic)
        assert caller.receive("down", REF)["c"] == answer


def test_a_call_without_an_idle_circuit_is_placed_over_a_tandem(tmp_path: Path) -> None:
    tandem = Hub("h2", 2, answer_call)
    with running_front(tmp_path, Hub("h1", 1), tandem, cell=1, circuits=1) as (harness, peer):
        peer.connect().send_iam(1, DESCRIPTION, digits=b"\xf8")  # seizes the only circuit
        peer.receive_isup(ANM, 1)
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        assert [m.ref for m in invites(tandem)][-1] == REF


def test_a_placed_call_without_an_answer_is_released_at_the_peer(tmp_path: Path) -> None:
    with running_front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
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


@pytest.mark.parametrize(("cic", "winner"), [(1, "router"), (2, "peer")])
def test_dual_seizure(tmp_path: Path, cic: int, winner: str) -> None:
    """By Q.764, the router controls circuit 1 and the peer circuit 2; the controlling side keeps it."""
    hub = Hub("h2", 2, answer_call)
    with running_front(tmp_path, Hub("h1", 1), hub, cell=1, circuits=cic + 1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        seized = []
        if cic == 2:  # the router seizes odd circuits first: occupy them, so that only 2 is idle
            for number in range(2):
                caller.send_new(f"{number:016x}")
                seized.append(peer.receive_isup(IAM).cic)
                peer.send_anm(seized[-1], b"")
        caller.send_new(REF)
        assert peer.receive_isup(IAM).cic == cic
        peer.send_iam(cic, DESCRIPTION, digits=b"\xf8")  # crosses the IAM of the router
        if winner == "router":
            peer.send_anm(cic, b"kept")
            assert caller.receive("up", REF)["d"] == "kept" and not invites(hub)
        else:
            # the circuit carries the peer's call; the caller's found no idle one and went over a tandem
            peer.receive_isup(ANM, cic)
            caller.receive("up", REF)
            assert {m.ref for m in invites(hub)} > {REF}


# Link and ASP states.


def test_a_link_drop_ends_open_set_ups_and_keeps_answered_calls(tmp_path: Path) -> None:
    """Set-ups not yet answered end as reset, answered calls are kept, a queued REL is sent exactly once."""
    hub = Hub("h1", 1, lambda m: answer_call(m) if m.body.startswith(b"up") else None)
    with running_front(tmp_path, hub) as (harness, peer):
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
        hub.inbox.wait_and_pop(lambda m: m.method == "SIP/2.0")  # the release is accepted, and REL is queued
        peer.connect()
        assert peer.receive_isup(REL, 2).cause == 16
        assert peer.receive_isup(REL, 3).cause == 41
        peer.send_isup(3, RLC)
        peer.send_isup(2, RLC)
        peer.send_rel(1, 31)  # the answered call still exists and can be released
        peer.receive_isup(RLC, 1)
        assert hub.inbox.wait_and_pop(lambda m: m.method == "BYE").ref == kept.ref
        peer.drop()
        peer.connect()
        peer.send(m3ua_harness.BEAT, {0x09: b"end"})
        peer.receive(m3ua_harness.BEAT_ACK)
        assert not [m for m in peer.inbox if m.type == REL], "a REL went out twice"


def test_a_rel_that_is_lost_with_its_link_is_sent_on_the_next_one(tmp_path: Path) -> None:
    # Guards against callers at an exchange that are told of a release when the RLC timer expires.
    hub = Hub("h1", 1, answer_call)
    with running_front(tmp_path, hub) as (_, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)
        hub.send_bye(invites(hub)[0].ref, 16)
        peer.receive_isup(REL, 3)  # lost with the link, as far as the exchange is concerned
        peer.drop()
        peer.connect()
        assert peer.receive_isup(REL, 3).cause == 16
        peer.send_isup(3, RLC)
        peer.send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)


def test_a_circuit_that_was_blocked_without_rlc_is_released_on_the_next_link(tmp_path: Path) -> None:
    # Guards against calls that stand for ever at an exchange whose link was dead while every REL was sent.
    hub = Hub("h1", 1, answer_call)
    with running_front(tmp_path, hub, rlc_ms=50) as (harness, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)
        hub.send_bye(invites(hub)[0].ref, 16)
        for _ in range(3):
            peer.receive_isup(REL, 3)
        harness.wait_for(lambda: "circuit blocked, no RLC received" in harness.log_text())
        peer.drop()
        peer.connect()
        assert peer.receive_isup(REL, 3).cause == 16


@contextmanager
def restarted_front(
    tmp: Path, hub: Hub
) -> Iterator[tuple[NetworkHarness, M3uaPeer, network_harness.Caller, str]]:
    """A program that was killed and started again while a call of its exchange stood on circuit 3."""
    with running_front(tmp, hub) as (harness, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)
        harness.process.kill()
        harness.process.wait()
        hub.conns.clear()
        (tmp / "log").write_text("")
        harness.start()
        peer.connect()
        caller = harness.caller()
        caller.send("hb", "1", c=0)
        caller.receive("hb_ok", "1")
        yield harness, peer, caller, invites(hub)[0].ref


def test_a_release_after_a_restart_reaches_the_exchange_and_nobody_else(tmp_path: Path) -> None:
    # Guards against calls of an exchange that stand for ever after a restart, and go to others (review/10).
    hub = Hub("h1", 1, answer_call)
    with restarted_front(tmp_path, hub) as (_, peer, caller, ref):
        hub.send_bye(ref, 16)
        assert peer.receive_isup(REL, 3).cause == 16
        peer.send_isup(3, RLC)
        caller.send("hb", "2", c=0)
        caller.receive("hb_ok", "2")
        assert not caller.inbox


def test_a_release_after_a_restart_waits_for_the_link(tmp_path: Path) -> None:
    # Guards against a release that is dropped because the exchange is not back yet.
    hub = Hub("h1", 1, answer_call)
    with restarted_front(tmp_path, hub) as (harness, peer, _, ref):
        peer.drop()
        harness.wait_for(lambda: "link down" in harness.log_text())
        hub.send_bye(ref, 16)
        hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("SIP/2.0", ref))
        peer.connect()
        assert peer.receive_isup(REL, 3).cause == 16


def test_a_release_after_a_restart_does_not_end_a_later_call_on_its_circuit(tmp_path: Path) -> None:
    # Guards against the release of an earlier call ending the call that the exchange has there now.
    hub = Hub("h1", 1, answer_call)
    with restarted_front(tmp_path, hub) as (_, peer, caller, ref):
        peer.send_iam(3, b"later")
        peer.receive_isup(ANM, 3)
        hub.send_bye(ref, 16)
        hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("SIP/2.0", ref))
        peer.send(m3ua_harness.BEAT, {0x09: b"end"})
        peer.receive(m3ua_harness.BEAT_ACK)
        assert not [m for m in peer.inbox if m.type == REL] and not caller.inbox


def test_a_json_caller_can_not_release_a_call_of_an_exchange(tmp_path: Path) -> None:
    # Guards against a stranger's release of a call whose id it has guessed.
    hub = Hub("h1", 1, answer_call)
    with running_front(tmp_path, hub) as (harness, peer):
        peer.connect().send_iam(3, DESCRIPTION)
        peer.receive_isup(ANM, 3)
        ref = invites(hub)[0].ref
        harness.caller().send("down", ref, c=16)
        harness.wait_for(lambda: "release of a call of another front ignored" in harness.log_text())
        hub.send_bye(ref, 31)
        assert peer.receive_isup(REL, 3).cause == 31
        assert not [m for m in hub.inbox if m.method == "BYE"]


def test_a_placed_set_up_ends_as_reset_when_the_link_drops(tmp_path: Path) -> None:
    with running_front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        caller = harness.caller()
        caller.send_new(REF)
        cic = peer.receive_isup(IAM).cic
        peer.drop()
        assert caller.receive("down", REF)["c"] == 41
        peer.connect()
        assert peer.receive_isup(REL, cic).cause == 41


def test_rel_without_rlc_is_repeated_and_then_the_circuit_is_blocked(tmp_path: Path) -> None:
    with running_front(tmp_path, Hub("h1", 1), rlc_ms=50) as (harness, peer):
        peer.connect().send_iam(1, DESCRIPTION, category=9)
        for _ in range(3):
            peer.receive_isup(REL, 1)
        harness.wait_for(lambda: "circuit blocked, no RLC received" in harness.log_text())
        peer.send_iam(1, DESCRIPTION, category=9)
        harness.wait_for(lambda: "IAM dropped, circuit not idle" in harness.log_text())


def test_asp_states_and_the_errors_for_unexpected_messages(tmp_path: Path) -> None:
    with running_front(tmp_path, Hub("h1", 1, answer_call)) as (_, peer):
        peer.connect(active=False)

        def expect_error(code: int) -> None:
            assert peer.receive(m3ua_harness.ERR).params[0x0C][3] == code

        peer.send(m3ua_harness.ASPAC, {})
        expect_error(0x06)
        peer.send_iam(1, DESCRIPTION)
        expect_error(0x06)
        peer.send(m3ua_harness.ASPUP, {0x11: b"\0\0\0\7"})
        expect_error(0x1A)
        peer.send(0x0999, {})
        expect_error(0x03)
        peer.send(0x0309, {})
        expect_error(0x04)
        peer.sock.sendall(struct.pack(">BBHI", 2, 0, m3ua_harness.BEAT, 8))
        expect_error(0x01)
        peer.send(m3ua_harness.ASPUP, {0x11: b"\0\0\0\1"})
        peer.receive(m3ua_harness.ASPUP_ACK)
        assert peer.receive(m3ua_harness.NTFY).params[0x0D] == b"\0\1\0\2"
        peer.send(m3ua_harness.ASPAC, {0x06: b"\0\0\0\2"})
        expect_error(0x19)
        peer.send(m3ua_harness.ASPAC, {0x06: b"\0\0\0\1"})
        peer.receive(m3ua_harness.ASPAC_ACK)
        assert peer.receive(m3ua_harness.NTFY).params[0x0D] == b"\0\1\0\3"
        peer.send(m3ua_harness.DATA, {})
        expect_error(0x16)
        peer.send(m3ua_harness.DAUD, {0x12: b"\0\0\0\x64"})
        assert peer.receive(m3ua_harness.DAVA).params[0x12] == b"\0\0\0\x64"
        peer.send(m3ua_harness.ASPIA, {})
        peer.receive(m3ua_harness.ASPIA_ACK)
        peer.send(m3ua_harness.ASPDN, {})
        peer.receive(m3ua_harness.ASPDN_ACK)


@pytest.mark.parametrize(
    ("status_message", "answer"),
    [
        ((m3ua_harness.DUNA, {}), 42),
        ((m3ua_harness.SCON, {0x205: b"\0\0\0\1"}), 42),
        ((m3ua_harness.DAVA, {}), None),
    ],
)
def test_network_status_messages_decide_whether_calls_are_placed(
    tmp_path: Path, status_message: tuple[int, dict[int, bytes]], answer: int | None
) -> None:
    with running_front(tmp_path, Hub("h1", 1), cell=1) as (harness, peer):
        peer.connect()
        peer.send(status_message[0], {0x12: b"\0\0\0\xc8"} | status_message[1])
        peer.send(m3ua_harness.BEAT, {0x09: b"told"})
        peer.receive(m3ua_harness.BEAT_ACK)
        caller = harness.caller()
        caller.send_new(REF)
        if answer is None:
            peer.receive_isup(IAM)
        else:
            assert caller.receive("down", REF)["c"] == answer


def test_a_silent_link_is_closed(tmp_path: Path) -> None:
    with running_front(tmp_path, Hub("h1", 1), beat_ms=100) as (harness, peer):
        peer.connect()
        peer.receive(m3ua_harness.BEAT)
        harness.wait_for(lambda: "link closed, nothing received for two BEAT periods" in harness.log_text())


@pytest.mark.parametrize(
    "data",
    [
        b"\1\0\1\1\0\0\0\3",
        b"\1\0\1\1\7\0\0\0",
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">BBHIHH", 1, 0, 0x101, 12, 0x210, 400),
    ],
)
def test_malformed_input_closes_only_its_own_link(tmp_path: Path, data: bytes) -> None:
    with running_front(tmp_path, Hub("h1", 1, answer_call)) as (harness, peer):
        peer.connect()
        malformed = M3uaPeer(peer.port).connect(active=False)
        malformed.sock.sendall(data)
        harness.wait_for(lambda: "malformed input" in harness.log_text())
        for body in (b"", b"\0", b"\1\0\1", b"\1\0\x0c\xff"):  # truncated ISUP is dropped
            peer.send(m3ua_harness.DATA, {0x210: struct.pack(">IIBBBB", 200, 100, 5, 2, 0, 0) + body})
        peer.send_iam(5, DESCRIPTION)
        peer.receive_isup(ANM, 5)


@pytest.mark.parametrize("size", [0, 1, 252])
def test_iam_is_unchanged_by_encoding_and_decoding(size: int) -> None:
    iam = isup.Message(5, isup.Type.IAM, "7f3a1", 11, description=bytes(size))
    buffer = Buffer()
    raw = m3ua.encode_transfer(m3ua.Transfer(1, 2, isup.encode(iam)), 7)
    buffer.data[: len(raw)], buffer.end = raw, len(raw)
    message = m3ua.parse_next(buffer)
    assert message is not None
    transfer = m3ua.decode_transfer(message)
    assert transfer is not None and isup.decode(transfer.user) == iam and len(buffer) == 0


# Both fronts side by side while a hub drains.


class HubScript:
    """Hub behaviour: answers as the description says, and records the begin and end of each attempt."""

    def __init__(self) -> None:
        self.attempt_spans: dict[str, list[tuple[float, float]]] = {}
        self.refused_refs: list[str] = []

    def __call__(self, message: SipMessage) -> None:
        step = message.body.split(b":")[1]
        direct = message.hub.cell == 1
        time.sleep(0.02)  # long enough that a second simultaneous attempt would overlap
        self.attempt_spans.setdefault(message.ref, []).append((message.received_at, time.time()))
        if step == b"crank" and direct:
            self.refused_refs.append(message.ref)
            message.answer(503, X_Note="congestion")
        elif step == b"error":
            message.answer(500)
        elif step == b"full":
            message.answer(503, X_Note="throttled")
        else:
            message.answer(200, b"made for " + step)


def test_both_fronts_give_the_same_answers_while_a_hub_drains(tmp_path: Path) -> None:
    """Calls cross the announcement of a drain on both fronts.

    Each call gets one final answer, the same on both fronts; no call has two attempts out at once; the
    draining hub gets no new set-up once the announcement is known.
    """
    script = HubScript()
    drained, tandem = Hub("h1", 1, script), Hub("h2", 2, script)
    with running_front(tmp_path, drained, tandem, circuits=31) as (harness, peer):
        peer.connect()
        caller = harness.caller()

        def place_on_both(cic: int, step: str) -> None:
            peer.send_iam(cic, f"m:{step}".encode())
            caller.send_new(f"{cic:016x}", body=f"j:{step}".encode())

        def wait_for_answers(cic: int) -> tuple[m3ua_harness.M3uaMessage, dict[str, Any]]:
            return (
                peer.inbox.wait_and_pop(lambda m: m.cic == cic and m.type in (ANM, REL)),
                caller.inbox.wait_and_pop(lambda m: m["ref"] == f"{cic:016x}"),
            )

        def place_and_compare(cic: int, step: str) -> tuple[str, int, bytes]:
            """Place the same call on both fronts at once and check that the answers are equal."""
            place_on_both(cic, step)
            to_peer, to_caller = wait_for_answers(cic)
            outcome = ("up", 0, to_peer.description) if to_peer.type == ANM else ("down", to_peer.cause, b"")
            assert outcome == (to_caller["t"], to_caller.get("c", 0), to_caller.get("d", "").encode())
            if to_peer.type == REL:
                peer.send_isup(cic, RLC)
            return outcome

        assert place_and_compare(1, "stand") == ("up", 0, b"made for stand")
        assert place_and_compare(2, "crank") == ("up", 0, b"made for crank")
        assert place_and_compare(3, "error") == ("down", 41, b"")
        answered = [m.ref for m in invites(drained) if m.body.endswith(b"stand")]
        assert len(answered) == 2

        published_at = time.time()
        harness.journal.publish(drained, status="Terminating")
        crossing = range(20, 30)  # calls placed while the drain is being announced
        for cic in crossing:
            place_on_both(cic, "stand")
            time.sleep(0.01)
        for cic in crossing:
            wait_for_answers(cic)
        harness.wait_for(lambda: "state=Terminating" in harness.log_text())
        drain_known_at = time.time()
        for cic in range(4, 8):
            assert place_and_compare(cic, "stand") == ("down", 42, b"")
        answered = [m.ref for m in invites(drained) if m.body.endswith(b"stand")]
        for ref in answered:  # the drained hub stops: its calls are released on both fronts
            drained.send_bye(ref, 41)
        assert peer.receive_isup(REL, 1).cause == 41 and caller.receive("down", f"{1:016x}")["c"] == 41
        peer.send_isup(1, RLC)
        harness.journal.publish(drained, status="Gone")
        fresh = Hub("h1b", 1, script)
        harness.journal.publish(fresh)
        harness.wait_for(lambda: fresh.conns)
        assert place_and_compare(8, "stand") == ("up", 0, b"made for stand")
        assert place_and_compare(9, "full") == ("down", 42, b"")

        late = [m for m in invites(drained) if m.received_at > max(published_at + 0.25, drain_known_at)]
        assert not late, "set-ups to the draining hub"
        for ref, spans in script.attempt_spans.items():
            assert all(end <= begin for (_, end), (begin, _) in zip(spans, spans[1:], strict=False)), ref
        assert [len(script.attempt_spans[ref]) for ref in script.refused_refs] == [2, 2]
        caller.send("hb", "1", c=0)
        peer.send(m3ua_harness.BEAT, {0x09: b"end"})
        caller.receive("hb_ok", "1")
        peer.receive(m3ua_harness.BEAT_ACK)
        released = {m.ref for m in invites(drained) if m.body == b"j:stand"} - {f"{1:016x}"}
        harness.wait_for(lambda: len(caller.inbox) >= len(released))
        assert {m["ref"] for m in caller.inbox} == released, "a second answer"
        assert len(caller.inbox) == len(released)
        cics_seen = [m.cic for m in peer.inbox if m.type in (ANM, REL)]
        assert len(cics_seen) == len(set(cics_seen)) and set(cics_seen) <= set(crossing), "a second answer"
