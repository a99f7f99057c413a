"""Q.850 causes, mapped both ways for wires that speak them."""

from __future__ import annotations

from barleywheel.core.model import (
    CAUSE_NO_CIRCUIT,
    CAUSE_SWITCH_CONGESTION,
    CAUSE_TEMPORARY_FAILURE,
    CAUSE_TIMER_EXPIRED,
    AttemptStatus,
    RefusalReason,
)

BUSY, NO_ANSWER, OUT_OF_ORDER, TEMPORARY = 17, 19, 27, 41
UNSPECIFIED, CHANNEL_UNAVAILABLE, RESOURCE, CAUSE_INTERWORKING = 31, 44, 47, 127

# How a far exchange's REL in place of an answer reads as the end of an attempt.
FROM_CAUSE: dict[int, tuple[AttemptStatus, RefusalReason]] = {
    BUSY: (AttemptStatus.ERROR, RefusalReason.SUBSCRIBER_BUSY),
    NO_ANSWER: (AttemptStatus.ERROR, RefusalReason.NONE),
    OUT_OF_ORDER: (AttemptStatus.UNREACHABLE, RefusalReason.NONE),
    CAUSE_NO_CIRCUIT: (AttemptStatus.REFUSED, RefusalReason.NO_CIRCUIT),
    TEMPORARY: (AttemptStatus.RESET, RefusalReason.NONE),
    CAUSE_SWITCH_CONGESTION: (AttemptStatus.REFUSED, RefusalReason.PROCESSOR_OVERLOADED),
    CHANNEL_UNAVAILABLE: (AttemptStatus.REFUSED, RefusalReason.NO_CIRCUIT),
    RESOURCE: (AttemptStatus.REFUSED, RefusalReason.PROCESSOR_OVERLOADED),
    # it timed out further on: what it held may stay taken
    CAUSE_TIMER_EXPIRED: (AttemptStatus.RESET, RefusalReason.NONE),
}

# What an attempt of ours that has ended tells a far exchange which holds its circuit.
TO_CAUSE: dict[AttemptStatus, int] = {
    AttemptStatus.ANSWERED: 16,
    AttemptStatus.ERROR: UNSPECIFIED,
    AttemptStatus.REFUSED: CAUSE_SWITCH_CONGESTION,
    AttemptStatus.TIMEOUT: CAUSE_TIMER_EXPIRED,
    AttemptStatus.UNREACHABLE: OUT_OF_ORDER,
    AttemptStatus.RESET: CAUSE_TEMPORARY_FAILURE,
    AttemptStatus.NOT_SENT: CAUSE_NO_CIRCUIT,
    AttemptStatus.CALLER_GONE: 16,
    AttemptStatus.CLOSED: CAUSE_TIMER_EXPIRED,
}


def from_cause(cause: int) -> tuple[AttemptStatus, RefusalReason]:
    """The end that a cause stands for; an unknown one is an error, since the call may have run."""
    return FROM_CAUSE.get(cause, (AttemptStatus.ERROR, RefusalReason.NONE))
