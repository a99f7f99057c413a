"""The real program between simulated callers, hubs and a journal service."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, cast

import gevent.socket
import pytest

from barleywheel import config
from barleywheel.core.deadlines import Deadlines
from barleywheel.fronts.platform import Caller, PlatformFront
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.router import Router
from tests.network_harness import (
    DESCRIPTION,
    ROOT,
    SETTINGS,
    WAIT_TIMEOUT_S,
    Hub,
    Journal,
    SipMessage,
    answer_call,
    running_network,
)

REF = "9b1f03aa5c7e2d41"
OTHER_REF = "9b1f03aa5c7e2d42"


def never_answer(_: SipMessage) -> None:
    """Behaviour of a hub that accepts an INVITE and sends no response."""


def refuse_with(status: int, note: str = "") -> Any:
    return lambda message: message.answer(status, X_Note=note)


def wait_for_invite(hub: Hub, ref: str = REF) -> SipMessage:
    return hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("INVITE", ref))


def wait_for_message(hub: Hub, method: str, ref: str = REF) -> SipMessage:
    return hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == (method, ref))


def test_a_call_is_established_and_the_hubs_release_reaches_the_caller(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        caller = harness.caller()
        caller.send("hb", "1", c=0)
        assert caller.receive("hb_ok", "1")["c"] == 1
        caller.send_new(REF)
        answer = caller.receive("up", REF)
        assert answer["d"].encode("utf-8", "surrogateescape") == DESCRIPTION
        sent = wait_for_invite(hub)
        assert sent.body == DESCRIPTION and sent.start_line.startswith("INVITE sip:7f3a@net ")
        assert sent.headers["Subject"] == "voice" and 0 < int(sent.headers["X-Patience"]) <= 1200
        wait_for_message(hub, "ACK")
        hub.send_bye(REF, 41)
        assert caller.receive("down", REF)["c"] == 41


def test_idle_connections_are_closed_at_the_connection_limit(tmp_path: Path) -> None:
    """Callers that keep an idle connection open must not use up the limit (half of 48 descriptors)."""
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub, sockets=48) as harness:
        working = harness.caller()
        idle = []
        for _ in range(30):
            idle.append(harness.caller())
            idle[-1].send("hb", "1", c=0)
            idle[-1].receive("hb_ok", "1")
            working.send("hb", "1", c=0)
            working.receive("hb_ok", "1")
        idle[-1].send_new(REF)
        idle[-1].receive("up", REF)
        working.send_new(OTHER_REF)
        working.receive("up", OTHER_REF)
        assert idle[0].closed.wait(WAIT_TIMEOUT_S) and not idle[-2].closed.is_set()


def test_connections_with_established_calls_are_closed_last(tmp_path: Path) -> None:
    """Releases are reported on them; a peer on another connection may not be a caller."""
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub, sockets=48) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        for _ in range(30):
            idle = harness.caller()
            idle.send("hb", "1", c=0)
            idle.receive("hb_ok", "1")
        harness.wait_for(lambda: harness.log_text().count("idle connection closed") >= 6)
        hub.send_bye(REF, 16)
        assert caller.receive("down", REF)["c"] == 16


def test_no_connection_with_unread_bytes_is_closed_at_the_connection_limit(tmp_path: Path) -> None:
    """A connection just accepted may hold a set-up that its reader has not read yet."""
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub, sockets=48) as harness:
        harness.process.send_signal(signal.SIGSTOP)  # so that connects and set-ups are all pending at once
        callers = [harness.caller() for _ in range(40)]
        for at, caller in enumerate(callers[:12]):
            caller.send_new(f"{at:016x}")
        harness.process.send_signal(signal.SIGCONT)
        for at, caller in enumerate(callers[:12]):
            assert caller.inbox.wait_and_pop(lambda m: m["ref"] == f"{at:016x}")["t"] in ("up", "down")  # noqa: B023
        harness.wait_for(lambda: "idle connection closed" in harness.log_text())


def test_the_connection_closed_at_the_limit_is_one_without_unread_bytes() -> None:
    """Of the idle ones; the others hold a set-up that their readers have not read yet."""
    front = PlatformFront(cast(Any, None), Deadlines(), 3)
    peers = []
    for index in range(3):
        ours, peer = gevent.socket.socketpair()
        peers.append(peer)
        conn = Connection(cast(sockets.Socket, ours), str(index), front.deadlines, 1_000_000)
        front.callers[Caller(front, conn)] = None
    for peer in (peers[0], peers[2]):
        peer.send(b'{"t":"new"}')
    assert front._close_idle_connection()
    assert [caller.conn.peer for caller in front.callers] == ["0", "2"]
    assert not front._close_idle_connection()
    for caller in front.callers:
        caller.conn.close()


def test_shutdown_closes_idle_connections_and_answers_open_set_ups(tmp_path: Path) -> None:
    """If idle connections stayed open, a set-up received on one just before the exit would get no answer."""
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        idle, busy = harness.caller(), harness.caller()
        idle.send("hb", "1", c=0)
        idle.receive("hb_ok", "1")
        busy.send_new(REF)
        sent = wait_for_invite(hub)
        harness.process.send_signal(signal.SIGTERM)
        assert idle.closed.wait(WAIT_TIMEOUT_S) and not busy.closed.is_set()
        sent.answer(200, DESCRIPTION)
        # The attempt may have timed out before this answer.
        assert busy.inbox.wait_and_pop(lambda m: m["ref"] == REF)["t"] in (
            "up",
            "down",
        )
        assert busy.closed.wait(WAIT_TIMEOUT_S)
        assert harness.process.wait(WAIT_TIMEOUT_S) == 0
        harness.process.poll = lambda: None  # type: ignore[method-assign]


@pytest.mark.parametrize("start", [b"", b'{"t":"new","ref":"9b'])
def test_a_connection_without_a_complete_message_is_closed(tmp_path: Path, start: bytes) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        incomplete, good = harness.caller(), harness.caller()
        incomplete.sock.sendall(start)
        good.send_new(REF)
        good.receive("up", REF)
        assert incomplete.closed.wait(WAIT_TIMEOUT_S) and not good.closed.is_set()


def test_duplicate_and_unknown_answers_are_only_acknowledged(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        sent = wait_for_invite(hub)
        sent.headers["Call-ID"] = OTHER_REF
        sent.answer(200, b"not ours")
        sent.headers["Call-ID"] = REF
        sent.answer(200, DESCRIPTION)
        sent.answer(200, DESCRIPTION)
        assert caller.receive("up", REF)["d"].encode("utf-8", "surrogateescape") == DESCRIPTION
        for ref in (REF, REF, OTHER_REF):
            wait_for_message(hub, "ACK", ref)
        hub.send_request(sent.sock, "OPTIONS sip:ping@net", "last")
        wait_for_message(hub, "SIP/2.0", "last")  # so the hub has received everything sent before it
        assert not [m for m in hub.inbox if m.method == "BYE"] and not caller.inbox


@pytest.mark.parametrize("length", ["9", "100", "3000000000", "-5", "x", ""])
def test_an_answer_with_a_wrong_content_length_is_not_passed_on(tmp_path: Path, length: str) -> None:
    """Message boundaries are lost: open set-ups on the connection fail, the next call uses a new one."""
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF, left="2000")
        caller.send_new(OTHER_REF, left="2000")
        one, two = wait_for_invite(hub), wait_for_invite(hub, OTHER_REF)
        head = f"SIP/2.0 200 X\r\nCall-ID: {REF}\r\nCSeq: 1 INVITE\r\nContent-Length: {length}\r\n\r\n"
        more = f"SIP/2.0 200 X\r\nCall-ID: {OTHER_REF}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\nz"
        assert one.sock is two.sock
        one.sock.sendall(head.encode() + DESCRIPTION + more.encode())
        caller.receive("down", REF)
        caller.receive("down", OTHER_REF)
        third = REF[:-1] + "9"
        caller.send_new(third)
        again = wait_for_invite(hub, third)
        assert again.sock is not one.sock
        again.answer(200, DESCRIPTION)
        caller.receive("up", third)


@pytest.mark.parametrize("ignores_options", [True, False])
def test_an_incomplete_answer_does_not_delay_other_calls(tmp_path: Path, ignores_options: bool) -> None:
    hub = Hub("h1", 1, never_answer)
    hub.ignores_options = ignores_options
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        sent = wait_for_invite(hub)
        sent.sock.sendall(b"SIP/2.0 200 OK\r\nCall-ID: 9b1f")
        if not hub.ignores_options:
            harness.wait_for(lambda: "start line within a header" in harness.log_text())
        harness.wait_for(lambda: "hub connection lost" in harness.log_text())
        caller.send_new(OTHER_REF)
        again = wait_for_invite(hub, OTHER_REF)
        assert again.sock is not sent.sock
        again.answer(200, DESCRIPTION)
        caller.receive("up", OTHER_REF)


@pytest.mark.parametrize("same_connection", [True, False])
def test_a_callers_release_reaches_the_hub_from_any_connection(tmp_path: Path, same_connection: bool) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        (caller if same_connection else harness.caller()).send("down", REF, c=31)
        assert wait_for_message(hub, "BYE").headers["Reason"] == "Q.850;cause=31"


@pytest.mark.parametrize(
    ("status", "note", "causes", "second"),
    [
        (503, "throttled", (42,), False),  # full
        (486, "engaged", (41,), False),  # error: the call may have run
        (500, "", (41,), False),
        (504, "", (41,), False),  # reset: not sent again
        (480, "congestion", (), True),  # not sent: retried over a tandem
        (503, "congestion", (), True),
        (503, "remote_throttled", (42,), False),
    ],
)
def test_refusals_of_a_hub(
    tmp_path: Path, status: int, note: str, causes: tuple[int, ...], second: bool
) -> None:
    direct, tandem = Hub("h1", 1, refuse_with(status, note)), Hub("h2", 2, answer_call)
    with running_network(tmp_path, direct, tandem) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        if second:
            caller.receive("up", REF)
            # A hub answers its first INVITE of a call with CSeq 1, whatever another hub has received.
            assert wait_for_invite(tandem).headers["CSeq"] == "1 INVITE"
        else:
            assert caller.receive("down", REF)["c"] in causes
            assert not tandem.inbox
        wait_for_message(direct, "ACK")


def test_a_call_that_failed_is_sent_again_over_another_connection(tmp_path: Path) -> None:
    """Hubs answer every INVITE of a call with CSeq 1, so two attempts on one connection look the same."""
    hub = Hub("h1", 1, lambda m: None if m.ref == REF else m.answer(500))
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        for at in range(4):  # a failed call is retried only after several errors of the hub
            caller.send_new(f"{at:016x}")
            assert caller.receive("down", f"{at:016x}")["c"] == 41
        caller.send_new(REF)
        first = wait_for_invite(hub)
        first.answer(500)
        second = wait_for_invite(hub)
        assert second.sock is not first.sock and second.headers["CSeq"] == "1 INVITE"
        first.answer(500)  # a duplicate must not be taken for the answer of the second attempt
        second.answer(200, DESCRIPTION)
        caller.receive("up", REF)


def test_a_silent_connection_is_pinged_and_replaced(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    hub.ignores_options = True
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        sent = wait_for_invite(hub)
        hub.inbox.wait_and_pop(lambda m: m.method == "OPTIONS")
        assert caller.receive("down", REF)["c"] == 41  # long before the attempt times out
        assert (
            "closed, no answer to OPTIONS" in harness.log_text() and "end=timeout" not in harness.log_text()
        )
        caller.send_new(OTHER_REF)
        again = wait_for_invite(hub, OTHER_REF)
        assert again.sock is not sent.sock


def test_calls_of_a_gone_hub_are_released_although_another_hub_has_its_address(tmp_path: Path) -> None:
    """After the old hub's connection is lost, the reconnect reaches the new hub at the same address."""
    old = Hub("h1", 1, answer_call)
    with running_network(tmp_path, old) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        old.conns.pop().shutdown(2)
        harness.wait_for(lambda: old.conns)
        harness.journal.publish(old, status="Gone")
        assert caller.receive("down", REF, timeout_s=5.0)["c"] == 41


def test_calls_of_a_hub_that_was_started_again_are_released(tmp_path: Path) -> None:
    # Guards against callers that are never told after a hub was lost and back as a new process (review/9).
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        old_connection = hub.conns[-1]
        time.sleep(0.05)
        started_ms = int(time.time() * 1000)
        old_connection.shutdown(socket.SHUT_RDWR)  # the new process is there before the list tells of it
        harness.wait_for(lambda: hub.conns[-1] is not old_connection)
        time.sleep(0.05)
        caller.send_new(OTHER_REF)
        caller.receive("up", OTHER_REF)
        harness.journal.publish(hub, since=started_ms)
        assert caller.receive("down", REF, timeout_s=1.0)["c"] == 41
        harness.journal.publish(hub, since=started_ms)  # listed once more, unchanged
        caller.send("hb", "1", c=0)
        caller.receive("hb_ok", "1")
        assert not caller.inbox  # the new process has the other call


def test_calls_of_a_draining_hub_are_kept_whatever_start_it_is_listed_with(tmp_path: Path) -> None:
    # Guards against taking a hub that drains for a new process.
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        harness.journal.publish(hub, status="Terminating", since=int(time.time() * 1000) + 1000)
        harness.wait_for(lambda: "state=Terminating" in harness.log_text())
        assert not caller.inbox
        hub.send_bye(REF, 16)
        assert caller.receive("down", REF)["c"] == 16


def test_a_new_hub_at_the_address_of_a_listed_one_has_taken_its_place(tmp_path: Path) -> None:
    # Guards against work for a hub that has gone which is sent to the one that is now at its address.
    old = Hub("h1", 1, answer_call)
    with running_network(tmp_path, old) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        new = Hub("h2", 2, answer_call)
        new.listener.shutdown(socket.SHUT_RDWR)  # else the thread in accept keeps it open
        new.listener.close()
        new.port = old.port
        harness.journal.publish(new)  # the list doesn't tell yet that the old one has gone
        assert caller.receive("down", REF, timeout_s=1.0)["c"] == 41
        in_transit = "dest:1;width:1;via:0;transit:1"  # goes to its destination or nowhere
        caller.send_new(OTHER_REF, extras=in_transit)
        caller.receive("down", OTHER_REF)
        caller.send_new(REF[:-1] + "9", to=2)
        caller.receive("up", REF[:-1] + "9")


def test_a_hub_that_has_moved_is_followed_to_its_new_address(tmp_path: Path) -> None:
    # Guards against set-ups that go on to the address of a process that has ended.
    old = Hub("h1", 1, answer_call)
    with running_network(tmp_path, old) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        moved = Hub("h1", 1, answer_call)
        harness.journal.publish(moved)
        assert caller.receive("down", REF, timeout_s=1.0)["c"] == 41
        harness.wait_for(lambda: moved.conns)
        caller.send_new(OTHER_REF)
        wait_for_invite(moved, OTHER_REF)
        caller.receive("up", OTHER_REF)


def test_a_release_of_a_failed_call_is_not_a_second_answer(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF, left="600")
        wait_for_invite(hub)
        assert caller.receive("down", REF)["c"] == 41
        hub.send_bye(REF, 16)
        hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("SIP/2.0", REF))
        caller.send("hb", "1", c=0)
        caller.receive("hb_ok", "1")
        assert not caller.inbox


def test_a_timed_out_attempt_is_cancelled_and_its_late_answer_released(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF, left="900")
        sent = wait_for_invite(hub)
        cancel = wait_for_message(hub, "CANCEL")
        assert cancel.headers["CSeq"] == "1 CANCEL"
        assert caller.receive("down", REF)["c"] == 41
        sent.answer(200, DESCRIPTION)
        wait_for_message(hub, "ACK")
        wait_for_message(hub, "BYE")
        assert not caller.inbox  # one final answer


def test_attempts_follow_each_other_and_a_late_answer_counts_only_for_its_own(tmp_path: Path) -> None:
    first, second = Hub("h1", 1, refuse_with(503, "congestion")), Hub("h2", 2, never_answer)
    with running_network(tmp_path, first, second) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        early, sent = wait_for_invite(first), wait_for_invite(second)
        assert early.received_at <= sent.received_at
        early.answer(200, b"late")  # for the attempt that has ended
        wait_for_message(first, "BYE")
        assert not caller.inbox
        sent.answer(200, DESCRIPTION)
        assert caller.receive("up", REF)["d"].encode("utf-8", "surrogateescape") == DESCRIPTION


def test_an_abandoned_set_up_gets_no_answer(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        sent = wait_for_invite(hub)
        caller.send("down", REF, c=16)
        wait_for_message(hub, "CANCEL")
        sent.answer(200, DESCRIPTION)
        wait_for_message(hub, "BYE")
        caller.send("hb", "1", c=0)
        caller.receive("hb_ok", "1")
        assert not caller.inbox


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
def test_no_set_up_goes_to_a_draining_or_gone_hub(tmp_path: Path, status: str) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        harness.journal.publish(hub, status=status)
        harness.wait_for(lambda: f"state={status}" in harness.log_text())
        caller = harness.caller()
        caller.send_new(REF)
        assert caller.receive("down", REF)["c"] == 42
        assert not [m for m in hub.inbox if m.method == "INVITE"]


def test_a_stalled_poll_is_reconnected_and_a_reused_address_is_followed(tmp_path: Path) -> None:
    old = Hub("h1", 1, never_answer)
    with running_network(tmp_path, old) as harness:
        harness.journal.stall = True
        polls = len(harness.journal.polls)
        harness.wait_for(lambda: len(harness.journal.polls) >= polls + 2)
        harness.journal.stall = False
        port = old.port
        old.kill()
        new = Hub("h1b", 1, answer_call)
        new.listener.close()
        new.listen(port)
        harness.journal.publish(old, status="Gone")
        harness.journal.publish(new, since=int(time.time() * 1000) - 60_000)
        harness.wait_for(lambda: new.conns)
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)


def test_a_call_to_a_hub_that_refuses_connects_is_refused(tmp_path: Path) -> None:
    hub = Hub("h1", 1)
    with running_network(tmp_path, hub) as harness:
        hub.kill()
        harness.wait_for(lambda: "connect to hub failed" in harness.log_text())
        caller = harness.caller()
        caller.send_new(REF)
        assert caller.receive("down", REF)["c"] == 42


def test_a_lost_connection_fails_set_ups_and_keeps_established_calls(tmp_path: Path) -> None:
    hub = Hub("h1", 1, lambda m: answer_call(m) if m.ref == REF else None)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        caller.send_new(OTHER_REF)
        wait_for_invite(hub, OTHER_REF)
        hub.conns.pop().shutdown(2)
        assert caller.receive("down", OTHER_REF)["c"] == 41
        harness.wait_for(lambda: hub.conns)  # reconnected, so its calls may still be established
        assert not caller.inbox
        hub.send_bye(REF, 16)
        assert caller.receive("down", REF)["c"] == 16


def test_calls_of_a_killed_hub_are_released(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        hub.kill()
        assert caller.receive("down", REF)["c"] == 41


def test_calls_of_a_vanished_hub_are_released(tmp_path: Path) -> None:
    """The hub can no longer report their ends, and callers must be notified within 8 s of an end."""
    hub, reachable = Hub("h1", 1, answer_call), Hub("h2", 2, answer_call)
    with running_network(tmp_path, hub, reachable) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.send_new(OTHER_REF, to=2)
        caller.receive("up", REF)
        caller.receive("up", OTHER_REF)
        hub.vanish()
        assert caller.receive("down", REF)["c"] == 41
        assert "calls released, hub unreachable" in harness.log_text()
        assert not caller.inbox  # the other hub is silent too, but reachable: its call remains


def test_calls_of_a_draining_hub_continue_while_it_refuses_connections(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        hub.listener.shutdown(socket.SHUT_RDWR)
        hub.listener.close()
        # The hub is silent, so a connect is tried every 3 s.
        harness.wait_for(lambda: harness.log_text().count("connect to hub failed") >= 3)
        assert not caller.inbox and "calls released, hub unreachable" not in harness.log_text()
        hub.send_bye(REF, 41)
        assert caller.receive("down", REF)["c"] == 41


def test_a_release_after_a_restart_waits_for_a_callers_connection(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        harness.process.kill()
        harness.process.wait()
        hub.conns.clear()
        (tmp_path / "log").write_text("")
        harness.start()
        hub.send_bye(REF, 16)
        wait_for_message(hub, "SIP/2.0")  # the release is received, but no caller is connected yet
        stranger, caller = harness.caller(), harness.caller()
        caller.send("hb", "1", c=0)
        assert caller.receive("down", REF)["c"] == 16
        assert not stranger.inbox  # it has sent nothing, so it may not be a caller


def test_a_release_goes_to_a_caller_and_not_to_an_unknown_peer(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        first, working = harness.caller(), harness.caller()
        working.send_new(OTHER_REF)
        working.receive("up", OTHER_REF)
        first.send_new(REF)
        first.receive("up", REF)
        first.sock.shutdown(socket.SHUT_RDWR)
        strangers = [harness.caller() for _ in range(5)]
        for stranger in strangers:
            stranger.send("down", REF[:-1] + "0", c=16)
            stranger.receive("ack", REF[:-1] + "0")
        hub.send_bye(REF, 16)
        assert working.receive("down", REF)["c"] == 16


@pytest.mark.parametrize(
    "line",
    [
        b"no json\n",
        b"[]\n",
        b'{"t":"new","ref":"zz","f":{}}\n',
        b'{"t":5}\n',
        b"{" * 20000 + b"\n",
        b"x" * 17000,
        b'{"t":"new","ref":"9b1f03aa5c7e2d41","f":3}\n',
        b"\xff\n",
        b'{"t":"tell","ref":"9b1f03aa5c7e2d41","f":{}}\n',
    ],
)
def test_malformed_input_from_a_caller_closes_that_connection_only(tmp_path: Path, line: bytes) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        good, bad = harness.caller(), harness.caller()
        bad.sock.sendall(line)
        assert bad.closed.wait(WAIT_TIMEOUT_S)
        assert "malformed input" in harness.log_text()
        good.send_new(REF)
        good.receive("up", REF)


@pytest.mark.parametrize(
    "fields",
    [
        {"class": "no such"},
        {"left": "soon"},
        {"left": "-5"},
        {"left": "nan"},
        {"extras": "dest:x"},
        {"extras": ""},
        {"key": "a\r\nX: y"},
        {"key": ""},
        {"left": "10100"},
        {"extras": "dest:1;width:nan"},
        {"extras": "dest:1;width:0"},
        {"extras": "dest:1;width:1e9"},
        {"extras": "dest:1;via:x"},
        {"body": "y" * 15_950},
    ],
)
def test_invalid_set_ups_are_rejected_immediately(tmp_path: Path, fields: dict[str, Any]) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF, body=fields.pop("body", "").encode(), **fields)
        assert caller.receive("down", REF)["c"] == 95
        assert not [m for m in hub.inbox if m.method == "INVITE"]


def test_a_duplicate_call_id_is_rejected_immediately(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        sent = wait_for_invite(hub)
        caller.send_new(REF)
        assert caller.receive("down", REF)["c"] == 95
        sent.answer(200)
        caller.receive("up", REF)


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"x" * 17000,
        b"SIP/2.0 200 OK\r\nnocolon\r\n\r\n",
        b"SIP/2.0 200 OK\r\nContent-Length: 99999\r\n\r\n",
    ],
)
def test_malformed_input_from_a_hub_closes_that_connection_only(tmp_path: Path, garbage: bytes) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, hub) as harness:
        hub.conns.pop().sendall(garbage)
        harness.wait_for(lambda: hub.conns)  # reconnected
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)


def test_a_caller_that_does_not_read_does_not_block_others(tmp_path: Path) -> None:
    hub = Hub("h1", 1, lambda m: m.answer(200, b"y" * 14000))
    with running_network(tmp_path, hub) as harness:
        slow, quick = harness.caller(), harness.caller()
        slow.sock.setsockopt(6, 10, 1)  # TCP_WINDOW_CLAMP: the kernel accepts little data that is not read
        for at in range(60):
            slow.send_new(f"{at:016x}", body=b"")
        quick.send_new(REF)
        # The burst may cause a refusal, but there must be an answer.
        quick.inbox.wait_and_pop(lambda m: m["ref"] == REF)


def test_sigterm_finishes_open_and_new_set_ups(tmp_path: Path) -> None:
    hub = Hub("h1", 1, never_answer)
    with running_network(tmp_path, hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        sent = wait_for_invite(hub)
        harness.process.send_signal(signal.SIGTERM)
        late = harness.caller()  # new connections are still accepted for a while
        late.send_new(OTHER_REF)
        wait_for_invite(hub, OTHER_REF).answer(200, b"b")
        late.receive("up", OTHER_REF)
        sent.answer(200, b"a")
        caller.receive("up", REF)
        assert harness.process.wait(WAIT_TIMEOUT_S) == 0
        harness.process.poll = lambda: None  # type: ignore[method-assign]


def test_sighup_reconnects_to_the_journals_new_address(tmp_path: Path) -> None:
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        old, harness.journal = harness.journal, Journal()
        harness.journal.entries = list(old.entries)
        old.stall = True  # it holds the poll open without an answer
        file = tmp_path / "config.json"
        file.write_text(harness.config())
        harness.process.send_signal(signal.SIGHUP)
        assert harness.journal.polls.wait_and_pop(lambda _: True) == 1  # continues after the last event
        new = Hub("h2", 2, answer_call)
        harness.journal.publish(new)
        harness.wait_for(lambda: new.conns)
        file.write_text("{")
        harness.process.send_signal(signal.SIGHUP)
        harness.wait_for(lambda: "configuration not reloaded" in harness.log_text())
        harness.journal.publish(hub, status="Terminating")  # the old settings remain in force
        harness.wait_for(lambda: "hub=h1 group=1 state=Terminating" in harness.log_text())


@pytest.mark.parametrize(("longest_deadline_us", "expected_shutdown_s"), [(1_000_000, 1.4), (9_000_000, 3.4)])
def test_shutdown_ends_before_a_possible_sigkill(
    tmp_path: Path, longest_deadline_us: int, expected_shutdown_s: float
) -> None:
    settings = SETTINGS | {
        "classes": [{"name": "voice", "aim_us": 900_000, "hard_limit_us": longest_deadline_us}]
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": settings, "journal": "127.0.0.1:1", "listen": "127.0.0.1:1"}))
    router = Router(config.load({"LB_CONFIG": str(path)}), config.OperatorConfig())
    assert router.shutdown_s == pytest.approx(expected_shutdown_s)


@pytest.mark.parametrize(
    "text",
    [
        None,
        "no json",
        "{}",
        json.dumps({"settings": {"classes": []}}),
        json.dumps({"settings": {"classes": [{"hard_limit_us": 1}]}, "journal": "x"}),
    ],
)
def test_an_invalid_configuration_gives_one_line_and_exit_status_2(tmp_path: Path, text: str | None) -> None:
    file = tmp_path / "config.json"
    if text is not None:
        file.write_text(text)
    env = os.environ | {"LB_CONFIG": str(file), "LB_LISTEN": "127.0.0.1:0"}
    process = subprocess.run(
        [sys.executable, "-m", "barleywheel"], cwd=ROOT, env=env, capture_output=True, timeout=60, check=False
    )
    assert process.returncode == 2 and len(process.stderr.splitlines()) == 1


def test_retry_advice_is_sent_in_the_answer(tmp_path: Path) -> None:
    hub = Hub("h1", 1, refuse_with(503, "throttled"))
    limits = {"cancel": True, "retry_after": True, "max_retry_after_us": 2000000}
    with running_network(tmp_path, hub, limits=limits) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        assert int(caller.receive("down", REF)["f"]["wait"]) > 0
