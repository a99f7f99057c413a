"""Case 8: the release of a standing call goes to a bad client, and its own caller never hears of it."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Client, Heard, Platform, run_case, wait_until

CALLS = 6
IDLE_CLOSE_S = 4.0  # callers close a connection that has had no call on it for so long
NEXT_CALL_S = 0.4  # after the releases a caller connects again, for its next call


def ask_again_and_again(client: Client, stop: threading.Event) -> None:
    """A bad client: a class that does not exist, and the same again when it is turned away."""
    number = 0
    while not stop.is_set() and client.open:
        ref = f"{0x8BAD000000000000 + number:016x}"
        client.new(ref, 1, name="no-such-class")
        wait_until(lambda ref=ref: client.heard.first(ref, "down"), 1.0)
        number += 1
        time.sleep(0.25)


def case(platform: Platform) -> None:
    """Calls stand, their caller's connection is closed as idle, a bad client connects, the calls end."""
    platform.add_hubs(3)
    platform.start()
    heard, heard_by_bad, stop = Heard(), Heard(), threading.Event()
    first = platform.client("client", heard)
    first.test()
    refs = [f"{0x8AC0FFEE00000000 + number:016x}" for number in range(CALLS)]
    for number, ref in enumerate(refs):
        first.new(ref, number % 3 + 1)
        time.sleep(0.1)
    wait_until(lambda: all(ref in heard.messages for ref in refs), 5.0)
    stood = [ref for ref in refs if heard.first(ref, "up")]
    if len(stood) < CALLS:
        platform.finish(COULD_NOT_RUN, f"only {len(stood)} of {CALLS} calls stood")
    if TROUBLE:
        threading.Thread(
            target=ask_again_and_again, args=(platform.client("bad client", heard_by_bad), stop), daemon=True
        ).start()
    time.sleep(IDLE_CLOSE_S)
    first.close()
    time.sleep(1.0)
    released_at = {}
    for number, ref in enumerate(refs):
        platform.hubs[number % 3].end_call(ref)
        released_at[ref] = time.monotonic()
    time.sleep(NEXT_CALL_S)
    second = platform.client("client, next connection", heard)
    second.new("8cc0ffee00000000", 2)
    time.sleep(9.0)
    stop.set()
    lost, foreign = [], []
    for ref in refs:
        down = heard.first(ref, "down")
        if down is None or down[0] - released_at[ref] > 8.05:
            lost.append(ref)
        if ref in heard_by_bad.messages:
            foreign.append(ref)
        platform.record.line(
            f"check: {ref}: told to its caller: {down is not None}, to the bad client: {ref in foreign}"
        )
    text = (
        f"{len(stood)} calls stood and were released by the hubs; their caller was not told of {len(lost)}, "
        f"the bad client was told of {len(foreign)}"
    )
    platform.finish(BROKEN if lost else HELD, text)


run_case(Path(__file__).resolve().parent, case)
