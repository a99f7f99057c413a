"""Case 6: answers with a length that is a few bytes too long."""

from __future__ import annotations

import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Heard, Platform, run_case, wait_until

CALLS = 60
SPOILT_EVERY = 6  # one answer in so many comes with a length that does not fit


def case(platform: Platform) -> None:
    """Offer calls; one good answer in six is spoilt on its way by a Content-Length 1 to 5 bytes too long."""
    platform.add_hubs(3)
    spoilt: dict[str, int] = {}
    answers = 0

    def spoil(ref: str, data: bytes) -> bytes:
        nonlocal answers
        answers += 1
        if answers % SPOILT_EVERY:
            return data
        excess = spoilt[ref] = len(spoilt) % 5 + 1
        platform.record.line(f"network: Content-Length of the answer for {ref} is {excess} too long")
        return re.sub(rb"Content-Length: (\d+)", lambda m: b"Content-Length: %d" % (int(m[1]) + excess), data)

    if TROUBLE:
        for hub in platform.hubs:
            hub.spoil = spoil
    platform.start()
    heard = Heard()
    client = platform.client("client", heard)
    client.test()
    refs = [f"{0x6AC0FFEE00000000 + number:016x}" for number in range(CALLS)]
    for number, ref in enumerate(refs):
        client.new(ref, number % 3 + 1)
        time.sleep(0.1)
    wait_until(lambda: all(ref in heard.messages for ref in refs), 5.0)
    given = {ref: text for hub in platform.hubs for ref, text in hub.descriptions.items()}
    wrong = []
    for ref in refs:
        up = heard.first(ref, "up")
        if up is not None and up[2].get("d", "").encode("utf-8", "surrogateescape") != given.get(ref):
            wrong.append(ref)
            platform.record.line(
                f"check: {ref}: the hub gave {given.get(ref)!r}, the caller got {up[2]['d']!r}"
            )
    stood = sum(heard.first(ref, "up") is not None for ref in refs)
    if stood < CALLS // 2:
        platform.finish(COULD_NOT_RUN, f"only {stood} of {CALLS} calls stood")
    text = (
        f"{stood} of {CALLS} calls stood, {len(spoilt)} answers were spoilt, {len(wrong)} descriptions wrong"
    )
    platform.finish(BROKEN if wrong else HELD, text)


run_case(Path(__file__).resolve().parent, case)
