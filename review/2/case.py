"""Case 2: good answers with a Content-Length that is too small, one of every four."""

from __future__ import annotations

import os
import time

from standins import TROUBLE, Caller, CannotRun, Hub, Journal, Record, Router, SipMessage, new_id, run_case

GOOD_ANSWERS_BETWEEN = 3
PAUSE_S = 0.3  # after each spoilt answer; by then the router has closed a connection with half a message


def case(record: Record, router: Router, journal: Journal, hubs: list[Hub]) -> bool:
    """Return whether the caller was given a description that no hub made for its call."""
    hub = hubs[1]
    spoilt: dict[str, int] = {}  # call id to the Content-Length of its answer

    def answer_spoilt(message: SipMessage) -> bool:
        if message.ref not in spoilt:
            return False
        hub.established[message.ref] = message.sock  # the request has run
        hub.answer(message, 200, hub.description(message.ref), spoilt[message.ref])
        return True

    hub.on_invite = answer_spoilt
    router.start()
    caller = Caller(record, "caller", router.address)
    full_length = len(hub.description(new_id()))
    served = failed = 0
    wrong: list[int] = []
    for length in range(1, full_length):  # every length that is too small
        for number in range(GOOD_ANSWERS_BETWEEN + 1):
            ref = new_id()
            if TROUBLE and number == GOOD_ANSWERS_BETWEEN:
                spoilt[ref] = length
            caller.set_up(ref, 1)
            answer = caller.wait(("up", "down"), ref, 5)
            if answer is None:
                raise CannotRun(f"no answer to {ref}")
            if answer["t"] == "down":
                failed += 1
                continue
            served += 1
            description = answer["d"].encode("utf-8", "surrogateescape")
            if description != hub.description(ref):
                wrong.append(length)
                record.write(
                    "case", f"wrong: id={ref}, given {description!r}, the hub made {hub.description(ref)!r}"
                )
            caller.send("down", ref, c=16)
        time.sleep(PAUSE_S)
    record.say(f"{served} calls served, {failed} failed; answers spoilt: {len(spoilt)}")
    record.say(f"served with a wrong description: {len(wrong)}, at Content-Length {wrong} of {full_length}")
    return bool(wrong)


run_case(os.path.dirname(__file__), case)
