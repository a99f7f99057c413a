"""The client of the journal service, on slow, silent and invalid responses."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from barleywheel.core import runtime
from barleywheel.net import sockets
from barleywheel.net.journal import MAX_OPEN_POLLS, POLL_HOLD_MS, RESPONSE_DUE_US, JournalClient
from barleywheel.virtual.network import PeerSocket, VirtualNetwork
from barleywheel.virtual.runtime import VirtualRuntime
from barleywheel.wire import journal as journal_wire
from tests.network_harness import Hub, answer_call, running_network

TOLD_S = 7.0  # PROTOCOL: what the journal has to tell counts as told by then
ADDRESS = ("10.2.0.1", 2379)
START_US = 1_700_000_000_000_000
US_PER_S = 1_000_000
ENDPOINT = {"name": "h1", "address": "127.0.0.1:1", "group": 1, "status": "Ready"}


def event(pos: int, *endpoints: object, snapshot: bool = False) -> dict[str, Any]:
    return {"pos": pos, "hosts": {"snapshot": snapshot, "endpoints": list(endpoints)}}


def test_a_drain_is_heard_of_while_the_journal_is_slow(tmp_path: Path) -> None:
    # Guards against set-ups to a draining hub because each late response is thrown away (review/3).
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        harness.journal.delay_s = 2.0
        harness.wait_for(lambda: len(harness.journal.polls) >= 3)
        published_at = time.monotonic()
        harness.journal.publish(hub, status="Terminating")
        harness.wait_for(lambda: "state=Terminating" in harness.log_text())
        assert time.monotonic() - published_at < TOLD_S
        caller = harness.caller()
        caller.send_new("9b1f03aa5c7e2d41")
        assert caller.receive("down", "9b1f03aa5c7e2d41")["c"] == 42


class SlowJournal:
    """A journal service on virtual time that sends each response ``delay_s`` late. ``silent``: none."""

    def __init__(self, virtual_runtime: VirtualRuntime, delay_s: float) -> None:
        self.runtime, self.delay_us, self.silent = virtual_runtime, int(delay_s * US_PER_S), False
        self.entries: list[dict[str, Any]] = []
        self.body: bytes | None = None  # sent in place of the entries
        self.open: set[SlowPoll] = set()
        self.asked_at_us: list[int] = []
        self.most_open = 0

    def connect(self, peer: PeerSocket) -> SlowPoll:
        return SlowPoll(self, peer)


class SlowPoll:
    """One connection to it."""

    def __init__(self, journal: SlowJournal, peer: PeerSocket) -> None:
        self.journal, self.peer = journal, peer
        journal.open.add(self)
        journal.most_open = max(journal.most_open, len(journal.open))

    def data_received(self, data: bytes) -> None:
        match = re.match(rb"GET /journal\?tail=(\d+)&max_wait=(\d+) ", data)
        assert match
        self.journal.asked_at_us.append(self.journal.runtime.now_us())
        tail = int(match[1])
        wait_us = 0 if self.journal.body or len(self.journal.entries) > tail else int(match[2]) * 1000
        self.journal.runtime.after(wait_us, lambda: self._answer(tail))

    def _answer(self, tail: int) -> None:
        entries = self.journal.entries
        body = self.journal.body or json.dumps({"pos": len(entries), "entries": entries[tail:]}).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if not self.journal.silent:
            self.journal.runtime.after(self.journal.delay_us, lambda: self.peer.write(data))

    def connection_lost(self, reset: bool) -> None:
        self.journal.open.discard(self)


@contextmanager
def polling_client(delay_s: float) -> Iterator[tuple[VirtualRuntime, SlowJournal, JournalClient]]:
    """A client on virtual time that polls a slow journal."""
    virtual_runtime = VirtualRuntime(START_US, 1)
    network = VirtualNetwork(virtual_runtime)
    with runtime.use_runtime(virtual_runtime), sockets.use_network(network):
        journal = SlowJournal(virtual_runtime, delay_s)
        network.hosts[ADDRESS] = journal.connect
        consumer = SimpleNamespace(
            update_hubs=lambda endpoints, snapshot: None, update=lambda endpoints, snapshot: None
        )
        client = JournalClient("10.2.0.1:2379", cast(Any, consumer), cast(Any, consumer))
        runtime.spawn(client.run)
        try:
            yield virtual_runtime, journal, client
        finally:
            virtual_runtime.stop()


@pytest.mark.parametrize("phase_s", [0.0, 0.9, 1.7, 2.6])
@pytest.mark.parametrize(("delay_s", "limit_s"), [(0, 0.1), (2, TOLD_S), (4, TOLD_S), (10, 30), (40, 90)])
def test_an_event_is_heard_of_however_slow_the_journal_is(
    delay_s: float, limit_s: float, phase_s: float
) -> None:
    # Guards against a time-out that makes every response of a slower service useless.
    with polling_client(delay_s) as (virtual_runtime, journal, client):
        virtual_runtime.run(int((20 + phase_s) * US_PER_S))
        journal.entries.append(event(1, ENDPOINT))
        virtual_runtime.run(int(limit_s * US_PER_S) + POLL_HOLD_MS * 1000)
        assert client.pos == 1


def test_a_silent_journal_is_asked_again_over_a_bounded_number_of_connections() -> None:
    # Guards against polls that pile up, and against waiting on the silent connections alone.
    with polling_client(0) as (virtual_runtime, journal, client):
        virtual_runtime.run(3 * US_PER_S)
        journal.silent = True
        virtual_runtime.run(100 * US_PER_S)
        assert journal.most_open <= MAX_OPEN_POLLS
        gaps = [
            after - before
            for before, after in zip(journal.asked_at_us, journal.asked_at_us[1:], strict=False)
        ]
        assert max(gaps) <= RESPONSE_DUE_US + 1000
        journal.silent = False
        journal.entries.append(event(1, ENDPOINT))
        virtual_runtime.run(RESPONSE_DUE_US + 1000)
        assert client.pos == 1


class SlowConnectNetwork(VirtualNetwork):
    """A network on which each connect takes a second."""

    def connect(self, address: sockets.Address, timeout_s: float) -> Any:
        runtime.sleep(min(timeout_s, 1.0))
        if timeout_s < 1.0:
            raise TimeoutError("timed out")
        return super().connect(address, timeout_s)


def test_a_journal_that_is_slow_to_accept_is_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a connect time-out that can never be met, tried again and again.
    monkeypatch.setattr(f"{__name__}.VirtualNetwork", SlowConnectNetwork)
    with polling_client(0) as (virtual_runtime, journal, client):
        journal.entries.append(event(1, ENDPOINT))
        virtual_runtime.run(int(TOLD_S * US_PER_S))
        assert client.pos == 1


@pytest.mark.parametrize(
    "invalid",
    [
        {"name": "", "group": 1},
        {"name": "h2", "address": "nowhere"},
        {"name": "h\ud800", "address": "127.0.0.1:1", "group": 1, "status": "Ready"},
        {"name": "h2", "group": 1 << 20},
        7,
    ],
    ids=["name", "address", "lone surrogate", "group", "no object"],
)
@pytest.mark.parametrize("same_event", [True, False])
def test_a_drain_beside_an_invalid_endpoint_is_heard_of(
    tmp_path: Path, invalid: object, same_event: bool
) -> None:
    # Guards against asking for ever for a response that is rejected as a whole each time.
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        journal = harness.journal
        draining = ENDPOINT | {"address": f"127.0.0.1:{hub.port}", "status": "Terminating"}
        with journal.changed:
            if same_event:
                journal.entries.append(event(2, invalid, draining))
            else:
                journal.entries += [event(2, invalid), event(3, draining)]
            journal.changed.notify_all()
        harness.wait_for(lambda: "state=Terminating" in harness.log_text())
        assert "parts of journal events ignored: count=1 " in harness.log_text()


def test_an_unusable_response_is_asked_for_less_and_less_often() -> None:
    # Guards against a busy loop on a response that is the same each time.
    with polling_client(0) as (virtual_runtime, journal, client):
        journal.body = b'{"entries":7}'
        virtual_runtime.run(20 * US_PER_S)
        assert 10 <= len(journal.asked_at_us) <= 16  # every 1.6 s once the delay has grown
        journal.body = None
        journal.entries.append(event(1, ENDPOINT))
        virtual_runtime.run(2 * US_PER_S)
        assert client.pos == 1


def test_a_snapshot_that_is_not_read_whole_removes_no_hub() -> None:
    # Guards against releasing the calls of hubs whose entries could not be read.
    whole = journal_wire.parse_update({"pos": 1, "entries": [event(1, ENDPOINT, snapshot=True)]})
    partial = journal_wire.parse_update({"pos": 1, "entries": [event(1, ENDPOINT, {}, snapshot=True)]})
    assert whole.events[0].is_snapshot and not whole.errors
    assert not partial.events[0].is_snapshot and len(partial.errors) == 1
    assert [endpoint.name for endpoint in partial.events[0].endpoints] == ["h1"]


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
@pytest.mark.parametrize("invalid", [{"address": "nowhere"}, {"weight": -1}, {"since_ms": "x"}])
def test_a_hub_that_leaves_is_heard_of_although_its_entry_is_invalid(
    status: str, invalid: dict[str, Any]
) -> None:
    # Guards against set-ups to a draining hub for a fault in what a drain does not need.
    update = journal_wire.parse_update({"entries": [event(1, ENDPOINT | {"status": status} | invalid)]})
    (endpoint,) = update.events[0].endpoints
    assert (endpoint.name, endpoint.cell, endpoint.status, endpoint.address) == ("h1", 1, status, None)
    assert len(update.errors) == 1
    ready = journal_wire.parse_update({"entries": [event(1, ENDPOINT | invalid)]})
    assert not ready.events[0].endpoints and len(ready.errors) == 1


def test_events_over_the_limit_are_asked_for_next() -> None:
    # Guards against a backlog that is rejected as a whole each time.
    entries = [event(pos, ENDPOINT) for pos in range(1, journal_wire.MAX_EVENTS + 6)]
    update = journal_wire.parse_update({"pos": len(entries), "entries": entries})
    assert len(update.events) == journal_wire.MAX_EVENTS == update.last
