"""Callers that leave with requests unread, and ids that come again."""

from __future__ import annotations

import json
import signal
import socket
import time
from pathlib import Path

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.expiring_ids import ExpiringIds
from barleywheel.virtual.runtime import VirtualRuntime
from tests.network_harness import Hub, answer_call, running_network
from tests.test_router import wait_for_invite

REF = "9b1f03aa5c7e2d41"
SETUPS = 300
FIELDS = {"class": "voice", "left": "3000", "key": "7f3a", "extras": "dest:1;width:1;via:-1"}
US_PER_S = 1_000_000


def test_set_ups_of_a_caller_that_has_left_are_not_sent_on(tmp_path: Path) -> None:
    # Guards against work at the hubs for requests that were still unread when their caller closed.
    hub = Hub("h1", 1, answer_call, free=1000)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        caller = harness.caller()
        lines = [
            json.dumps({"t": "new", "ref": f"dd{number:014x}", "f": FIELDS, "d": "x"})
            for number in range(SETUPS)
        ]
        harness.process.send_signal(signal.SIGSTOP)  # the router reads nothing before the caller has closed
        with socket.create_connection(harness.address) as sock:
            sock.sendall("".join(line + "\n" for line in lines).encode())
        time.sleep(0.1)
        harness.process.send_signal(signal.SIGCONT)
        caller.send_new(REF)
        caller.receive("up", REF)
        caller.send("hb", "1", c=0)
        caller.receive("hb_ok", "1")
        assert not [m for m in hub.inbox if m.method == "INVITE" and m.ref.startswith("dd")]


def test_a_release_of_a_caller_that_has_left_is_obeyed(tmp_path: Path) -> None:
    # Guards against calls that stand on because the release was unread when its caller closed.
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        caller = harness.caller()
        caller.send_new(REF)
        caller.receive("up", REF)
        harness.process.send_signal(signal.SIGSTOP)
        with socket.create_connection(harness.address) as sock:
            sock.sendall(json.dumps({"t": "down", "ref": REF, "f": {}, "c": 16}).encode() + b"\n")
        time.sleep(0.1)
        harness.process.send_signal(signal.SIGCONT)
        hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("BYE", REF))


def test_an_id_does_not_run_again_after_its_caller_has_left(tmp_path: Path) -> None:
    # Guards against a call that runs twice because its id comes again on another connection.
    hub = Hub("h1", 1)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        first = harness.caller()
        first.send_new(REF)
        wait_for_invite(hub)
        first.sock.shutdown(socket.SHUT_RDWR)
        hub.inbox.wait_and_pop(lambda m: (m.method, m.ref) == ("CANCEL", REF))
        second = harness.caller()
        second.send_new(REF)
        assert second.receive("down", REF)["c"] == 95
        assert not [m for m in hub.inbox if m.method == "INVITE"]


def test_remembered_ids_expire_and_are_bounded() -> None:
    # Guards against memory that grows with the set-ups that a caller takes back.
    virtual_runtime = VirtualRuntime(1_700_000_000_000_000, 1)
    with runtime.use_runtime(virtual_runtime):
        deadlines = Deadlines()
        runtime.spawn(deadlines.run)
        ids = ExpiringIds(deadlines, 10 * US_PER_S, 3)
        for number in range(5):
            ids.add(str(number))
        assert len(ids) == 3 and "1" not in ids and "2" in ids
        virtual_runtime.run(9 * US_PER_S)
        ids.add("2")  # is remembered already
        assert "2" in ids
        virtual_runtime.run(2 * US_PER_S)
        assert len(ids) == 0 and not deadlines._due
        virtual_runtime.stop()
