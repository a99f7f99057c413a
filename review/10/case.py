"""Case 10: a signalling link falls silent and drops while the release of a call is under way on it."""

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
    IsupExchange,
    Platform,
    Proxy,
    free_port,
    operator_file,
    run_case,
    wait_until,
)

CALLS = 8
SILENT_S = 6.0
RELEASE_BOUND_S = 8.05


def case(platform: Platform) -> None:
    """Calls of an exchange stand; the link falls silent, the hubs end the calls, and the link drops."""
    platform.add_hubs(2)
    port = free_port()
    operator_file(platform.temp / "m3ua.toml", port)
    platform.arguments = f" {platform.temp}/m3ua.toml"
    platform.start()
    link = Proxy(platform.record, port)
    peer = IsupExchange(platform.record, link.port)
    wait_until(lambda: peer.active, 5.0)
    for number in range(CALLS):
        peer.call(number + 1, f"{number % 2 + 1}0{number:02d}")
        time.sleep(0.1)
    wait_until(lambda: len(peer.standing) == CALLS, 5.0)
    if len(peer.standing) < CALLS:
        platform.finish(COULD_NOT_RUN, f"{len(peer.standing)} of {CALLS} calls stood")
    silent_at = time.monotonic()
    if TROUBLE:
        link.fall_silent()
    time.sleep(0.5)
    released_at = time.monotonic()
    for hub in platform.hubs:
        for ref in list(hub.standing):
            hub.end_call(ref)
    time.sleep(silent_at + SILENT_S - time.monotonic())
    if TROUBLE:
        link.drop()
    if not wait_until(lambda: peer.active, 4.0):
        platform.finish(COULD_NOT_RUN, "the link does not come up again")
    time.sleep(0.5)
    platform.record.line(
        f"check: calls that still stand at the exchange: {len(peer.standing)}, the link is up"
    )
    wait_until(lambda: not peer.standing, 30.0)
    late = []
    for cic in range(1, CALLS + 1):
        after = peer.released.get(cic, 1e9) - released_at
        if after > RELEASE_BOUND_S:
            late.append(cic)
        platform.record.line(f"check: circuit {cic} released {after:.2f} s after the release by the hub")
    text = f"the hubs released {CALLS} calls, the exchange was not told of {len(late)} in 8.05 s"
    platform.finish(BROKEN if late else HELD, text)


run_case(Path(__file__).resolve().parent, case)
