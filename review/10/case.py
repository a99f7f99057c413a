"""Case 10: the router is killed and started again; calls of an ISUP exchange stand at the hubs meanwhile."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Heard,
    IsupExchange,
    Platform,
    free_port,
    operator_file,
    run_case,
    wait_until,
)

CALLS = 8
RELEASE_BOUND_S = 8.05


def case(platform: Platform) -> None:
    """Calls of an exchange and of a JSON client stand; the router is restarted; the hubs end all calls."""
    platform.add_hubs(2)
    port = free_port()
    operator_file(platform.temp / "m3ua.toml", port)
    platform.arguments = f" {platform.temp}/m3ua.toml"
    platform.start()
    heard = Heard()
    client, peer = platform.client("client", heard), IsupExchange(platform.record, port)
    client.test()
    wait_until(lambda: peer.active, 5.0)
    refs = [f"{0xAAC0FFEE00000000 + number:016x}" for number in range(CALLS)]
    for number, ref in enumerate(refs):
        client.new(ref, number % 2 + 1)
        peer.call(number + 1, f"{number % 2 + 1}0{number:02d}")
        time.sleep(0.1)
    wait_until(lambda: len(peer.standing) == CALLS and all(ref in heard.messages for ref in refs), 5.0)
    stood = [ref for ref in refs if heard.first(ref, "up")]
    if len(stood) < CALLS or len(peer.standing) < CALLS:
        platform.finish(COULD_NOT_RUN, f"{len(stood)} and {len(peer.standing)} of {CALLS} calls stood")
    if TROUBLE:
        platform.kill()
        time.sleep(1.0)
        platform.start()
        client = platform.client("client, after the restart", heard)
        client.test()
    wait_until(lambda: peer.active, 10.0)
    time.sleep(2.0)
    for hub in platform.hubs:
        for ref in list(hub.standing):
            hub.end_call(ref)
            time.sleep(0.05)
    released_at = time.monotonic()
    time.sleep(RELEASE_BOUND_S + 0.5)
    not_told = [ref for ref in refs if not heard.first(ref, "down")]
    left = [
        cic for cic in range(1, CALLS + 1) if peer.released.get(cic, 1e18) - released_at > RELEASE_BOUND_S
    ]
    foreign = [ref for ref in heard.messages if ref not in refs and ref != "1"]
    platform.record.line(f"check: calls of the client without a release: {not_told}")
    platform.record.line(f"check: circuits of the exchange without a release: {left}")
    platform.record.line(f"check: releases told to the client for ids that it never sent: {foreign}")
    text = (
        f"the hubs released all calls; not released in 8.05 s: {len(not_told)} of {CALLS} calls of the "
        f"JSON client, {len(left)} of {CALLS} of the exchange; the client got {len(foreign)} ids not its own"
    )
    platform.finish(BROKEN if left or not_told else HELD, text)


run_case(Path(__file__).resolve().parent, case)
