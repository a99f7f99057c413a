"""Case 2: bad clients that send what can't be read, one after the other, and usual callers afterwards."""

from __future__ import annotations

import os
import time
from contextlib import suppress

from standins import (
    TROUBLE,
    Caller,
    CannotRun,
    Hub,
    Journal,
    Record,
    Router,
    new_id,
    run_case,
    wait_until,
)

BAD_CONNECTIONS = 128  # half of the 256 descriptors
# What each of them sends: bare line feeds, or a test whose id is no id and can't be written as UTF-8.
UNREADABLE = {"lf": b"\n" * 4999, "id": b'{"t":"hb","ref":"\\ud800","c":0}'}[
    os.environ.get("UNREADABLE", "lf")
]
OWED_S = 3.0  # within which such a client is owed a refusal, an error or a close
PAUSE_S = 5.0
CALLERS = 5
LEFT_S = 3.0
LATE_S = 0.5  # an answer up to half a second after its time only earns nothing; a later one is lost
SLACK_S = 0.05  # every time limit is 50 ms longer on sockets


def second_set_up_is_lost(record: Record, router: Router, number: int) -> bool:
    """Send two set-ups at once on a new connection, as a usual caller; return whether the second is lost.

    If the connection is closed without an answer, both are sent again on a new connection, once. The first is
    not judged: the first request on a connection that the router closes has failed and is not lost.
    """
    refs = [new_id(), new_id()]
    for attempt in range(2):
        caller = Caller(record, f"caller {number}", router.address)
        try:
            caller.set_up(*refs, left_ms=int(LEFT_S * 1000))
        except OSError as error:
            record.write(caller.name, f"not written: {error}")
            if attempt:
                return False  # not taken, so not lost
            continue
        answers = [caller.wait(("up", "down"), ref, LEFT_S + LATE_S + SLACK_S) for ref in refs]
        for ref, answer in zip(refs, answers, strict=True):
            if answer is not None and answer["t"] == "up":
                caller.send("down", ref, c=16)
        closed = caller.closed.is_set()
        caller.close()
        if answers[1] is not None:
            return False
        if not closed:
            break
    record.write("case", f"lost: id={refs[1]}, written whole, no answer")
    return True


def case(record: Record, router: Router, journal: Journal, hubs: list[Hub]) -> bool:
    """Return whether a set-up of the usual callers was lost."""
    router.start()
    if second_set_up_is_lost(record, router, 0):
        raise CannotRun("a set-up before the trouble was lost")
    closed = 0
    for number in range(BAD_CONNECTIONS):
        client = Caller(record, f"bad {number}", router.address)
        with suppress(OSError):
            if TROUBLE:
                client.send_lines(UNREADABLE)
            else:
                client.send("hb", new_id(), c=0)
        wait_until(lambda client=client: client.messages or client.closed.is_set(), OWED_S)
        closed += client.closed.is_set()
        client.close()
    record.say(f"{closed} of {BAD_CONNECTIONS} connections were closed by the router, the rest answered")
    time.sleep(PAUSE_S)
    lost = 0
    for number in range(1, CALLERS + 1):
        lost += second_set_up_is_lost(record, router, number)
        time.sleep(0.5)
    record.say(f"{lost} of {CALLERS} set-ups of usual callers were lost, {PAUSE_S} s and more after it")
    return lost > 0


run_case(os.path.dirname(__file__), case)
