"""Case 3: the journal service answers each poll two seconds late while a build hub is replaced."""

from __future__ import annotations

import os
import time

from standins import SETTINGS, TROUBLE, Caller, CannotRun, Hub, Journal, Record, Router, new_id, run_case

JOURNAL_DELAY_S = 2.0
TOLD_S = 7.0  # what the journal service has to tell counts as told by then, whether it arrived or not
STOP_S = SETTINGS["contract"]["stop_sending_within_us"] / 1e6
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets
DRAIN_S = 12.0  # from the event to the end of the drained hub's process
CALL_GAP_S = 0.25


def case(record: Record, router: Router, journal: Journal, hubs: list[Hub]) -> bool:
    """Return whether a set-up went to the draining hub later than the drain rule allows."""
    old, new = hubs[1], Hub(record, "s-000000b1", 1, SETTINGS["zones"][1])
    router.start()
    caller = Caller(record, "caller", router.address)
    standing: list[str] = []

    def call_until(end: float) -> None:
        """Make calls to the exchange; each is released by the caller after a second."""
        while time.monotonic() < end:
            ref = new_id()
            caller.set_up(ref)
            answer = caller.wait(("up", "down"), ref, 5)
            if answer is None:
                raise CannotRun(f"no answer to {ref}")
            if answer["t"] == "up":
                standing.append(ref)
            while len(standing) > 4:
                caller.send("down", standing.pop(0), c=16)
            time.sleep(CALL_GAP_S)

    call_until(time.monotonic() + 2)
    if not standing:
        raise CannotRun("no call was established before the trouble")
    if TROUBLE:
        journal.delay_s = JOURNAL_DELAY_S
        record.write("journal", f"answers each poll {JOURNAL_DELAY_S} s late from here on")
    call_until(time.monotonic() + 4)
    drained_at = time.monotonic()
    journal.publish(old.entry("Terminating"), new.entry(since_ms=int(time.time() * 1000)))
    call_until(drained_at + DRAIN_S)
    cut = len(old.established)
    old.stop()
    call_until(drained_at + DRAIN_S + 4)
    allowed_s = TOLD_S + STOP_S + SLACK_S
    invites = [m.first_byte_at - drained_at for m in old.messages if m.method == "INVITE"]
    late = [at for at in invites if at > allowed_s]
    for at in late:
        record.write(
            "case", f"late: INVITE to {old.name}, {at:.3f} s after the event was in the journal service"
        )
    to_new = sum(m.method == "INVITE" for m in new.messages)
    record.say(f"set-ups to the draining hub more than {allowed_s:.2f} s after the event: {len(late)}")
    record.say(f"calls cut as its process ended: {cut}; set-ups to the hub in its place: {to_new}")
    return bool(late)


run_case(os.path.dirname(__file__), case)
