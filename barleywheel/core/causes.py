"""Q.850 causes, mapped both ways for wires that speak them."""

from __future__ import annotations

from barleywheel.core.model import CAUSE_CONGESTION, CAUSE_CUT, CAUSE_EXPIRED, CAUSE_NO_CIRCUIT, End, Note

BUSY, NO_ANSWER, OUT_OF_ORDER, TEMPORARY = 17, 19, 27, 41
UNSPECIFIED, CHANNEL_UNAVAILABLE, RESOURCE, INTERWORKING = 31, 44, 47, 127

# How a far exchange's REL in place of an answer reads as the end of an attempt.
FROM_CAUSE: dict[int, tuple[End, Note]] = {
    BUSY: (End.ERROR, Note.ENGAGED),
    NO_ANSWER: (End.ERROR, Note.NONE),
    OUT_OF_ORDER: (End.UNREACHABLE, Note.NONE),
    CAUSE_NO_CIRCUIT: (End.FULL, Note.NO_CIRCUIT),
    TEMPORARY: (End.RESET, Note.NONE),
    CAUSE_CONGESTION: (End.FULL, Note.PROCESSOR_FULL),
    CHANNEL_UNAVAILABLE: (End.FULL, Note.NO_CIRCUIT),
    RESOURCE: (End.FULL, Note.PROCESSOR_FULL),
    CAUSE_EXPIRED: (End.RESET, Note.NONE),  # it timed out further on: what it held may stay taken
}

# What an attempt of ours that has ended tells a far exchange which holds its circuit.
TO_CAUSE: dict[End, int] = {
    End.STANDS: 16,
    End.ERROR: UNSPECIFIED,
    End.FULL: CAUSE_CONGESTION,
    End.TIMEOUT: CAUSE_EXPIRED,
    End.UNREACHABLE: OUT_OF_ORDER,
    End.RESET: CAUSE_CUT,
    End.NOT_SENT: CAUSE_NO_CIRCUIT,
    End.GONE: 16,
    End.CLOSED: CAUSE_EXPIRED,
}


def from_cause(cause: int) -> tuple[End, Note]:
    """The end that a cause stands for; an unknown one is an error, since the call may have run."""
    return FROM_CAUSE.get(cause, (End.ERROR, Note.NONE))
