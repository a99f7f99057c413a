"""Q.850 cause values, mapped to and from attempt results for protocols that use them."""

from __future__ import annotations

from barleywheel.core.model import (
    CAUSE_NO_CIRCUIT,
    CAUSE_NORMAL_CLEARING,
    CAUSE_SWITCH_CONGESTION,
    CAUSE_TEMPORARY_FAILURE,
    CAUSE_TIMER_EXPIRED,
    AttemptStatus,
    RefusalReason,
)

CAUSE_USER_BUSY = 17
CAUSE_NO_ANSWER = 19
CAUSE_DESTINATION_OUT_OF_ORDER = 27
CAUSE_NORMAL_UNSPECIFIED = 31
CAUSE_CHANNEL_UNAVAILABLE = 44
CAUSE_RESOURCE_UNAVAILABLE = 47
CAUSE_INTERWORKING = 127

# The attempt result for a REL that the remote exchange sends instead of an answer, by its cause.
FROM_CAUSE: dict[int, tuple[AttemptStatus, RefusalReason]] = {
    CAUSE_USER_BUSY: (AttemptStatus.ERROR, RefusalReason.SUBSCRIBER_BUSY),
    CAUSE_NO_ANSWER: (AttemptStatus.ERROR, RefusalReason.NONE),
    CAUSE_DESTINATION_OUT_OF_ORDER: (AttemptStatus.UNREACHABLE, RefusalReason.NONE),
    CAUSE_NO_CIRCUIT: (AttemptStatus.REFUSED, RefusalReason.NO_CIRCUIT),
    CAUSE_TEMPORARY_FAILURE: (AttemptStatus.RESET, RefusalReason.NONE),
    CAUSE_SWITCH_CONGESTION: (AttemptStatus.REFUSED, RefusalReason.PROCESSOR_OVERLOADED),
    CAUSE_CHANNEL_UNAVAILABLE: (AttemptStatus.REFUSED, RefusalReason.NO_CIRCUIT),
    CAUSE_RESOURCE_UNAVAILABLE: (AttemptStatus.REFUSED, RefusalReason.PROCESSOR_OVERLOADED),
    # A timer expired further along the route: circuits or resources there may still be held.
    CAUSE_TIMER_EXPIRED: (AttemptStatus.RESET, RefusalReason.NONE),
}

# The cause of our REL to the remote exchange that holds the circuit of an ended attempt.
TO_CAUSE: dict[AttemptStatus, int] = {
    AttemptStatus.ANSWERED: CAUSE_NORMAL_CLEARING,
    AttemptStatus.ERROR: CAUSE_NORMAL_UNSPECIFIED,
    AttemptStatus.REFUSED: CAUSE_SWITCH_CONGESTION,
    AttemptStatus.TIMEOUT: CAUSE_TIMER_EXPIRED,
    AttemptStatus.UNREACHABLE: CAUSE_DESTINATION_OUT_OF_ORDER,
    AttemptStatus.RESET: CAUSE_TEMPORARY_FAILURE,
    AttemptStatus.NOT_SENT: CAUSE_NO_CIRCUIT,
    AttemptStatus.CALLER_GONE: CAUSE_NORMAL_CLEARING,
    AttemptStatus.CLOSED: CAUSE_TIMER_EXPIRED,
}


def from_cause(cause: int) -> tuple[AttemptStatus, RefusalReason]:
    """The attempt result for a cause; ERROR for an unknown one, since the call may have taken effect."""
    return FROM_CAUSE.get(cause, (AttemptStatus.ERROR, RefusalReason.NONE))
