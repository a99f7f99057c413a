"""The pool of connections to hubs, on virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, cast

import pytest

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import Attempt, AttemptResult, AttemptStatus
from barleywheel.net import sockets
from barleywheel.net.hubs import CLOSE_NOTICED_AFTER_US, PING_AFTER_SILENCE_US, HubPool
from barleywheel.virtual.network import PeerSocket, VirtualNetwork
from barleywheel.virtual.runtime import VirtualRuntime
from barleywheel.wire.journal import Endpoint

US_PER_S = 1_000_000
STALL_US = 500_000
OPTIONS_RESPONSE = b"SIP/2.0 200 OK\r\nCall-ID: x\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
CONNECT_TIMEOUT_US = 500_000
START_US = 1_700_000_000_000_000


class SlowConnectNetwork(VirtualNetwork):
    """A network on which each connect takes ``connect_s``."""

    connect_s = 1.0

    def connect(self, address: sockets.Address, timeout_s: float) -> Any:
        runtime.sleep(min(timeout_s, self.connect_s))
        if timeout_s < self.connect_s:
            raise TimeoutError("timed out")
        return super().connect(address, timeout_s)


class SilentHub:
    """A hub that accepts connections and sends nothing unasked; ``received`` holds what it was sent."""

    def __init__(self, peer: PeerSocket) -> None:
        self.peer, self.received = peer, b""
        self.answers_options = False

    def data_received(self, data: bytes) -> None:
        self.received += data
        if self.answers_options and data.startswith(b"OPTIONS"):
            self.peer.write(OPTIONS_RESPONSE)

    def connection_lost(self, reset: bool) -> None:
        pass


@contextmanager
def pool_with_one_hub(connect_s: float) -> Iterator[tuple[VirtualRuntime, HubPool, list[SilentHub]]]:
    """A pool whose only hub takes ``connect_s`` for each connect, and the hub's ends of its connections."""
    virtual_runtime = VirtualRuntime(START_US, 1)
    network = SlowConnectNetwork(virtual_runtime)
    network.connect_s = connect_s
    hubs: list[SilentHub] = []

    def accept(peer: PeerSocket) -> SilentHub:
        hubs.append(SilentHub(peer))
        return hubs[-1]

    network.hosts["10.1.0.1", 5060] = accept
    call_manager = SimpleNamespace(
        carriers={}, established=SimpleNamespace(release_all_at_hub=lambda name: None)
    )
    facade = SimpleNamespace(cell_of=lambda name: 1, home_cell=0, is_ready=lambda name: True)
    with runtime.use_runtime(virtual_runtime), sockets.use_network(network):
        deadlines = Deadlines()
        runtime.spawn(deadlines.run)
        pool = HubPool(cast(Any, call_manager), cast(Any, facade), deadlines, CONNECT_TIMEOUT_US)
        pool.update([Endpoint("h1", 1, "Ready", "10.1.0.1:5060")], True)
        try:
            yield virtual_runtime, pool, hubs
        finally:
            virtual_runtime.stop()


def place_attempt(pool: HubPool, ref: str = "9b1f03aa5c7e2d41") -> Attempt:
    """Place an attempt of a new call at the hub."""
    request = SimpleNamespace(ref=ref, called_number="7f", class_name="voice", description=b"")
    call = SimpleNamespace(request=request, attempts=1, carrier_data={})
    attempt = Attempt(cast(Any, call), b"h1", 2 * US_PER_S, lambda name: True)
    pool.place(attempt)
    return attempt


KNOWN_FAULT = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt 13")


@pytest.mark.parametrize(
    "connect_s",
    [0.1, pytest.param(1.0, marks=KNOWN_FAULT), pytest.param(1.9, marks=KNOWN_FAULT)],
)
def test_a_hub_that_is_slow_to_accept_gets_its_connection(connect_s: float) -> None:
    # Guards against a connect time-out that can never be met, tried again and again (as in review/3).
    with pool_with_one_hub(connect_s) as (virtual_runtime, pool, _):
        virtual_runtime.run(5 * US_PER_S)
        assert pool.hubs[b"h1"].connections


@pytest.mark.parametrize("answered", [True, False])
def test_a_connection_is_not_closed_for_an_answer_that_this_process_has_not_read(answered: bool) -> None:
    # Guards against closing good connections after the process was off its processor for half a second.
    with pool_with_one_hub(0.0) as (virtual_runtime, pool, hubs):
        virtual_runtime.run(US_PER_S)
        (conn,) = pool.hubs[b"h1"].connections
        place_attempt(pool)
        virtual_runtime.run(PING_AFTER_SILENCE_US)
        assert b"OPTIONS" in hubs[0].received
        if answered:
            hubs[0].peer.write(OPTIONS_RESPONSE)
        virtual_runtime.time_us += STALL_US  # nothing runs meanwhile, and the timers are first afterwards
        pool.deadlines.run_due(virtual_runtime.now_us())
        assert conn.open is answered


# A hub sends a release on the connection of the call's set-up, and again on the next one that is opened.


@contextmanager
def pool_with_two_connections() -> Iterator[tuple[VirtualRuntime, HubPool, list[SilentHub]]]:
    """A pool with two connections to its hub; an incomplete answer on the first made it open the second."""
    with pool_with_one_hub(0.0) as (virtual_runtime, pool, hubs):
        virtual_runtime.run(US_PER_S)
        hubs[0].peer.write(b"SIP/2.0 200 OK\r\nCall-ID: 9b1f")
        virtual_runtime.run(1000)
        place_attempt(pool)
        virtual_runtime.run(1000)
        assert [hub.peer.open for hub in hubs] == [True, True]
        hubs[1].answers_options = True
        yield virtual_runtime, pool, hubs


def test_a_connection_is_opened_after_one_is_closed_although_another_is_usable() -> None:
    # Guards against releases that were on their way on a closed connection and never come again (review/7).
    with pool_with_two_connections() as (virtual_runtime, _, hubs):
        while hubs[0].peer.open:
            virtual_runtime.run(1000)
        closed_us = virtual_runtime.now_us()
        while len(hubs) < 3:
            virtual_runtime.run(1000)
            assert virtual_runtime.now_us() - closed_us < US_PER_S // 2
        assert virtual_runtime.now_us() - closed_us >= CLOSE_NOTICED_AFTER_US


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_a_connection_is_opened_after_the_hub_ends_one_although_another_is_usable(reset: bool) -> None:
    # Guards against the same loss when the hub's side or the network ends the connection.
    with pool_with_two_connections() as (virtual_runtime, _, hubs):
        hubs[0].peer.close(reset)
        virtual_runtime.run(US_PER_S // 20)
        assert len(hubs) == 3 and hubs[1].peer.open


def test_a_connection_is_opened_although_the_hub_has_its_maximum_again() -> None:
    # Guards against a hub whose connections are all opened again before the one that makes it repeat.
    with pool_with_two_connections() as (virtual_runtime, pool, hubs):
        hub = pool.hubs[b"h1"]
        hubs[0].peer.close()
        virtual_runtime.run(1000)
        hub.repeat_due_us = virtual_runtime.now_us() + CLOSE_NOTICED_AFTER_US
        while not hub.has_most_connections:
            pool._connect(hub)
        opened = len(hubs)
        virtual_runtime.run(3 * US_PER_S)
        assert len(hubs) > opened and hub.repeat_due_us is None


def time_out_a_set_up(virtual_runtime: VirtualRuntime, pool: HubPool) -> None:
    """Place a set-up that is never answered; its connection is not checked before that."""
    virtual_runtime.run(US_PER_S)
    pool.facade.is_ready = lambda hub: False  # type: ignore[method-assign]
    attempt = place_attempt(pool)
    virtual_runtime.run(US_PER_S // 2)
    pool.facade.is_ready = lambda hub: True  # type: ignore[method-assign]
    attempt.finish(AttemptResult(AttemptStatus.TIMEOUT))
    pool.cancel(attempt)


def test_a_connection_without_an_answer_is_closed_although_no_set_up_is_open_on_it() -> None:
    # Guards against a dead connection that stays open and swallows the releases of the calls set up on it.
    with pool_with_one_hub(0.0) as (virtual_runtime, pool, hubs):
        time_out_a_set_up(virtual_runtime, pool)
        virtual_runtime.run(US_PER_S // 2)
        assert not hubs[0].peer.open and hubs[-1].peer.open


def test_an_unanswered_set_up_does_not_close_a_connection_that_answers_the_ping() -> None:
    # Guards against closing good connections of a hub that is slow to answer set-ups.
    with pool_with_one_hub(0.0) as (virtual_runtime, pool, hubs):
        time_out_a_set_up(virtual_runtime, pool)
        virtual_runtime.run(PING_AFTER_SILENCE_US // 2)
        hubs[0].peer.write(OPTIONS_RESPONSE)
        virtual_runtime.run(US_PER_S // 2)
        assert hubs[0].peer.open
