"""Case 7: an answer stops short, and releases of other calls on its connection are lost for good."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Heard, Platform, run_case

HUBS = 4
CALLS_PER_S = 48.0
HOLD_S = (1.0, 2.0)
SPOILT_FROM_S = 3.0  # one answer of the first hub after so long, one of the second 1 s later, and so on
CALLS_UNTIL_S = 17.0
RELEASE_BOUND_S = 8.05  # the longer of the two bounds, and 50 ms


def case(platform: Platform) -> None:
    """Busy hubs with short calls; one answer of each hub stops short, and the connection stays open."""
    numbers = random.Random(25)
    platform.add_hubs(HUBS)
    platform.start()
    spoilt: dict[str, str] = {}
    began = time.monotonic()

    def stop_short_once(name: str, after_s: float) -> Callable[[str, bytes], bytes]:
        def spoil(ref: str, data: bytes) -> bytes:
            if name in spoilt or time.monotonic() - began < after_s:
                return data
            spoilt[name] = ref
            platform.record.line(f"network: the answer of {name} for {ref} stops short")
            return data[:-30]

        return spoil

    for hub in platform.hubs:
        hub.size = 80
        if TROUBLE:
            hub.spoil = stop_short_once(hub.name, SPOILT_FROM_S + hub.cell - 1)
    heard = Heard()
    client = platform.client("client", heard)
    client.test()
    calls = 0
    end_at: dict[str, float] = {}
    released_at: dict[str, float] = {}
    while (now := time.monotonic()) - began < CALLS_UNTIL_S:
        if calls < (now - began) * CALLS_PER_S:
            client.new(f"{0x7AC0FFEE00000000 + calls:016x}", calls % HUBS + 1)
            calls += 1
        for hub in platform.hubs:
            for ref in list(hub.standing):
                if now > end_at.setdefault(ref, now + numbers.uniform(*HOLD_S)):
                    hub.end_call(ref)
                    released_at[ref] = time.monotonic()
        time.sleep(0.003)
    time.sleep(0.5)
    finished_at = time.monotonic()
    judged = {
        ref: at
        for ref, at in released_at.items()
        if heard.first(ref, "up") and finished_at - at > RELEASE_BOUND_S
    }
    lost = []
    for ref, at in judged.items():
        down = heard.first(ref, "down")
        if down is None or down[0] - at > RELEASE_BOUND_S:
            lost.append(ref)
            told = (
                f"not told in {finished_at - at:.1f} s"
                if down is None
                else f"told after {down[0] - at:.1f} s"
            )
            platform.record.line(f"check: {ref} was released by its hub, its caller was {told}")
    if len(judged) < 100:
        platform.finish(COULD_NOT_RUN, f"only {len(judged)} releases could be judged")
    text = (
        f"{calls} calls, {len(spoilt)} answers stopped short; of {len(judged)} calls that stood and were "
        f"released by their hubs, {len(lost)} were not released to their caller in 8.05 s"
    )
    platform.finish(BROKEN if lost else HELD, text)


run_case(Path(__file__).resolve().parent, case)
