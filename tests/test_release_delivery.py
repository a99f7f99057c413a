"""Releases reach the caller whose call it is, whatever connection carried it."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.fronts import release_delivery
from barleywheel.fronts.release_delivery import (
    LIKELY_CALLER_DELAY_US,
    RETENTION_US,
    CallerTrust,
    ReleaseDelivery,
)
from barleywheel.virtual.runtime import VirtualRuntime
from tests.network_harness import WAIT_TIMEOUT_S, Caller, Hub, NetworkHarness, answer_call, running_network
from tests.test_router import wait_for_message

REF = "9b1f03aa5c7e2d41"
OTHER_REF = "9b1f03aa5c7e2d42"
START_US = 1_700_000_000_000_000
RELEASE_LIMIT_S = 1.05  # a release is due at its caller by then


# On the real program.


def leave(caller: Caller, harness: NetworkHarness) -> None:
    """Close a caller's connection and wait until the router has noticed."""
    caller.sock.shutdown(socket.SHUT_RDWR)
    assert caller.closed.wait(WAIT_TIMEOUT_S)
    probe = harness.caller()
    probe.send("down", "0" * 16, c=16)
    probe.receive("ack", "0" * 16)


def test_a_release_does_not_go_to_a_peer_whose_set_ups_are_invalid(tmp_path: Path) -> None:
    # Guards against releases that a bad client gets in place of the caller (review/8).
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        first, stranger = harness.caller(), harness.caller()
        first.send_new(REF)
        first.receive("up", REF)
        stranger.send("new", OTHER_REF, f={"class": "nonesuch"})
        stranger.receive("down", OTHER_REF)
        leave(first, harness)
        hub.send_bye(REF, 16)
        wait_for_message(hub, "SIP/2.0")
        stranger.send("new", OTHER_REF, f={"class": "nonesuch"})  # nor does it get a release that waits
        stranger.receive("down", OTHER_REF)
        second = harness.caller()
        second.send_new("9b1f03aa5c7e2d43")
        assert second.receive("down", REF, RELEASE_LIMIT_S)["c"] == 16
        assert not stranger.inbox


def test_a_waiting_release_reaches_a_caller_that_releases_another_call(tmp_path: Path) -> None:
    # Guards against a caller that is never told, since its new connection has sent releases only.
    hub = Hub("h1", 1, answer_call)
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        first = harness.caller()
        for ref in (REF, OTHER_REF):
            first.send_new(ref)
            first.receive("up", ref)
        leave(first, harness)
        hub.send_bye(REF, 16)
        wait_for_message(hub, "SIP/2.0")
        second = harness.caller()
        second.send("down", OTHER_REF, c=16)
        assert second.receive("down", REF, RELEASE_LIMIT_S)["c"] == 16


def test_a_waiting_release_reaches_a_caller_whose_set_ups_are_refused(tmp_path: Path) -> None:
    # Guards against a caller that is not told while no call of it is established.
    hub = Hub("h1", 1, lambda m: m.answer(200, m.body) if m.ref == REF else m.answer(503))
    with running_network(tmp_path, Hub("h0", 0), hub) as harness:
        first = harness.caller()
        first.send_new(REF)
        first.receive("up", REF)
        leave(first, harness)
        second = harness.caller()
        second.send_new(OTHER_REF)
        second.receive("down", OTHER_REF)
        hub.send_bye(REF, 16)
        assert second.receive("down", REF, RELEASE_LIMIT_S)["c"] == 16


# On virtual time.


class FakeConnection:
    """A connection that records what is written to it."""

    def __init__(self) -> None:
        self.peer, self.written = "10.0.0.1:1", b""
        self.peer_closed = False

    def peer_has_closed(self) -> bool:
        return self.peer_closed

    def write(self, data: bytes) -> bool:
        self.written += data
        return True


class FakeCaller:
    """A caller's connection of a certain trust."""

    def __init__(self, trust: CallerTrust) -> None:
        self.fake, self.trust = FakeConnection(), trust
        self.conn = cast(Any, self.fake)

    def releases(self) -> list[str]:
        """The ids of the releases written to it."""
        return [part[:16].decode() for part in self.fake.written.split(b'"ref":"')[1:]]


class DeliveryHarness:
    """A delivery with fake callers, on virtual time."""

    def __init__(self, virtual_runtime: VirtualRuntime) -> None:
        self.runtime, self.callers = virtual_runtime, list[FakeCaller]()
        deadlines = Deadlines()
        runtime.spawn(deadlines.run)
        self.delivery = ReleaseDelivery(deadlines, lambda: self.callers)

    def connect(self, trust: CallerTrust) -> FakeCaller:
        caller = FakeCaller(trust)
        self.callers.insert(0, caller)
        self.delivery.on_trust_changed(caller)
        return caller


@pytest.fixture
def harness() -> Iterator[DeliveryHarness]:
    virtual_runtime = VirtualRuntime(START_US, 1)
    with runtime.use_runtime(virtual_runtime):
        yield DeliveryHarness(virtual_runtime)
        virtual_runtime.stop()


def test_a_release_goes_elsewhere_if_its_own_peer_has_closed(harness: DeliveryHarness) -> None:
    # Guards against a release that crosses the close of an idle connection and is lost with it.
    own, other = harness.connect(CallerTrust.CALLER), harness.connect(CallerTrust.CALLER)
    own.fake.peer_closed = True
    harness.delivery.send(REF, 16, own)
    assert (own.releases(), other.releases()) == ([], [REF])


def test_a_likely_caller_gets_a_release_only_when_it_is_nearly_late(harness: DeliveryHarness) -> None:
    # Guards against a release that is lost to somebody who only looks like a caller.
    likely, unknown = harness.connect(CallerTrust.LIKELY_CALLER), harness.connect(CallerTrust.UNKNOWN)
    harness.delivery.send(REF, 16)
    harness.runtime.run(LIKELY_CALLER_DELAY_US // 2)
    assert likely.releases() == []
    harness.runtime.run(LIKELY_CALLER_DELAY_US)
    assert likely.releases() == [REF]
    certain = harness.connect(CallerTrust.CALLER)
    assert certain.releases() == [] and unknown.releases() == []  # nobody gets it a second time


def test_a_release_that_is_nearly_late_goes_to_the_next_likely_caller(harness: DeliveryHarness) -> None:
    # Guards against a caller that is not told when it connects late and its set-up is refused.
    harness.delivery.send(REF, 16)
    harness.runtime.run(2 * LIKELY_CALLER_DELAY_US)
    likely = harness.connect(CallerTrust.LIKELY_CALLER)
    assert likely.releases() == [REF]


def test_waiting_releases_are_bounded_in_time_and_number(
    harness: DeliveryHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against memory that a hub fills with releases while no caller is connected.
    monkeypatch.setattr(release_delivery, "MAX_WAITING_RELEASES", 3)
    for number in range(5):
        harness.delivery.send(f"{number:016x}", 16)
    assert len(harness.delivery.waiting) == 3
    harness.runtime.run(RETENTION_US + LIKELY_CALLER_DELAY_US)
    assert not harness.delivery.waiting
    assert not harness.delivery.deadlines._due  # nothing is left to be looked at
