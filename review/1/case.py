"""Case 1: bad clients that are never out of requests, beside a usual caller on a connection of its own."""

from __future__ import annotations

import os
import subprocess
import sys
import time

from standins import ROOT, TROUBLE, Caller, CannotRun, Hub, Journal, Record, Router, new_id, run_case

REQUESTS_AT_ONCE = (200, 400, 900)  # of each of the bad clients
DESCRIPTION_BYTES = int(os.environ.get("DESCRIPTION_BYTES", "150"))  # of the bad clients' requests
BAD_CLIENT_S = 14
LEFT_S = 3.0  # a third of the class's give-up time
LATE_S = 0.5  # an answer up to half a second after its time only earns nothing; a later one is lost
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets
SET_UPS, GAP_S = 10, 0.5


def lost_set_ups(record: Record, caller: Caller) -> list[str]:
    """Make calls on the caller's open connection; return the ids of those not answered in time."""
    time.sleep(1)
    sent_at = {}
    for _ in range(SET_UPS):
        ref = new_id()
        caller.set_up(ref, left_ms=int(LEFT_S * 1000))
        sent_at[ref] = time.monotonic()
        time.sleep(GAP_S)
    lost = []
    for ref, sent in sent_at.items():
        due = sent + LEFT_S + LATE_S + SLACK_S
        answer = caller.wait(("up", "down"), ref, max(0.0, due - time.monotonic()))
        if answer is None:
            lost.append(ref)
            record.write("case", f"lost: id={ref}, no answer {due - sent:.2f} s after its last byte")
            caller.send("down", ref, c=16)
        elif answer["t"] == "up":
            caller.send("down", ref, c=16)
    record.say(f"{len(lost)} of {SET_UPS} set-ups of the usual caller were not answered in time")
    return lost


def case(record: Record, router: Router, journal: Journal, hubs: list[Hub]) -> bool:
    """Return whether a set-up of the usual caller was lost."""
    router.start()
    caller = Caller(record, "caller", router.address)
    for _ in range(3):
        ref = new_id()
        caller.set_up(ref)
        if not caller.wait(("up",), ref, 2):
            raise CannotRun("a set-up before the trouble was not established")
        caller.send("down", ref, c=16)
    bad_clients: list[subprocess.Popen[str]] = []
    try:
        for count in REQUESTS_AT_ONCE if TROUBLE else ():
            arguments = [*router.address.split(":"), count, DESCRIPTION_BYTES, BAD_CLIENT_S]
            command = [sys.executable, str(ROOT / "review" / "bad_client.py"), *map(str, arguments)]
            bad_clients.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
            record.write("bad client", f"started: {count} requests at once, for {BAD_CLIENT_S} s")
        lost = lost_set_ups(record, caller)
        for bad_client in bad_clients:
            answers = bad_client.communicate(timeout=30)[0].strip()
            record.say(f"a bad client was turned away {answers} times in {BAD_CLIENT_S} s")
    finally:
        for bad_client in bad_clients:
            bad_client.kill()
    return bool(lost)


run_case(os.path.dirname(__file__), case)
