"""The pool of connections to hubs, on virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, cast

import pytest

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.net import sockets
from barleywheel.net.hubs import HubPool
from barleywheel.virtual.network import PeerSocket, VirtualNetwork
from barleywheel.virtual.runtime import VirtualRuntime
from barleywheel.wire.journal import Endpoint

US_PER_S = 1_000_000
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
    """A hub that accepts connections and sends nothing; ``received`` holds what it was sent."""

    def __init__(self, peer: PeerSocket) -> None:
        self.peer, self.received = peer, b""

    def data_received(self, data: bytes) -> None:
        self.received += data

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


@pytest.mark.parametrize("connect_s", [0.1, 1.0, 1.9])
def test_a_hub_that_is_slow_to_accept_gets_its_connection(connect_s: float) -> None:
    # Guards against a connect time-out that can never be met, tried again and again (as in review/3).
    with pool_with_one_hub(connect_s) as (virtual_runtime, pool, _):
        virtual_runtime.run(5 * US_PER_S)
        assert pool.hubs[b"h1"].connections
