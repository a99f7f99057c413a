"""Data types and interfaces of call processing: requests, calls, attempts and their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from barleywheel.core import runtime
from barleywheel.core.runtime import now_us

CAUSE_NORMAL_CLEARING = 16
CAUSE_NO_CIRCUIT = 34
CAUSE_TEMPORARY_FAILURE = 41
CAUSE_SWITCH_CONGESTION = 42
CAUSE_INVALID_MESSAGE = 95
CAUSE_TIMER_EXPIRED = 102


class AttemptStatus(Enum):
    """How an attempt ended."""

    ANSWERED = "stands"
    ERROR = "error"
    REFUSED = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    NOT_SENT = "not sent"
    CALLER_GONE = "caller gone"  # the caller abandoned the set-up during the attempt
    CLOSED = "closed"  # the call was rejected during the attempt, by the decision module or at shutdown


class RefusalReason(Enum):
    """The reason that a hub or a remote exchange gives for a refusal."""

    NONE = ""
    NO_CIRCUIT = "congestion"
    CRANKBACK = "crankback"
    DOWNSTREAM_OVERLOADED = "remote_throttled"
    PROCESSOR_OVERLOADED = "throttled"
    SUBSCRIBER_BUSY = "engaged"


@dataclass(slots=True)
class AttemptResult:
    """How one attempt ended; ``at_us`` is when its last byte was read; ``finish`` sets it if 0."""

    status: AttemptStatus
    reason: RefusalReason = RefusalReason.NONE
    load: dict[str, float] = field(default_factory=dict)
    description: bytes = b""
    at_us: int = 0


@dataclass(slots=True)
class Request:
    """A call set-up as a front received it; ``received_us`` is the time of its last byte."""

    ref: str
    class_name: str
    time_left_us: int
    destination: int
    called_number: str
    description: bytes
    received_us: int
    origin: CallOrigin
    width: float = 1.0
    source_cell: int | None = None
    redialled: bool = False
    in_transit: bool = False
    interrupted_before: bool = False


@dataclass(slots=True)
class Rejection:
    """Final answer of a call that failed; ``retry_after_us`` is 0 if no retry time is advised."""

    cause: int
    retry_after_us: int = 0


class ReleaseListener(Protocol):
    """Is notified when an established call is released."""

    def release(self, ref: str, cause: int) -> None:
        """Handle the release of an established call."""


class UnknownReleaseListener(Protocol):
    """Is asked about releases of calls that were established before this process started."""

    def release_unknown(self, ref: str, cause: int) -> bool:
        """Handle the release if the call's caller is to be told here; False if it is not."""


class CallOrigin(ReleaseListener, Protocol):
    """The front or connection that a request came from, which passes on its one final answer."""

    def answer(self, request: Request, description: bytes) -> bool:
        """Report that the call is answered; False if the caller could not be notified."""

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Report that the call failed."""


@dataclass(slots=True)
class PlaceAttempt:
    """Decision to try the call at a hub for at most ``limit_us``."""

    hub: bytes
    limit_us: int


Decision = PlaceAttempt | Rejection


class Call:
    """An accepted request that has no final answer yet."""

    def __init__(self, request: Request, number: int) -> None:
        self.request, self.number = request, number
        self.attempts = 0
        self.attempt: Attempt | None = None
        self.abandoned = False  # by the caller, who expects no answer any more
        self.final_decision: Rejection | None = None  # set by ``close``; overrides the attempt in progress
        self.release_cause: int | None = None  # the hub released the call before its answer was passed on
        self.guard_until_us = 0  # no new attempt before this time
        # Private to the carriers, such as the last CSeq sent by connection.
        self.carrier_data: dict[object, int] = {}

    @property
    def origin(self) -> CallOrigin:
        """Where the request came from."""
        return self.request.origin

    def close(self, rejection: Rejection) -> None:
        """End the call with a rejection, whether an attempt is in progress or not."""
        self.final_decision = rejection
        if self.attempt is not None:
            self.attempt.finish(AttemptResult(AttemptStatus.CLOSED))

    def abandon(self) -> None:
        """End the call without an answer, because its caller gave it up."""
        self.abandoned = True
        if self.attempt is not None:
            self.attempt.finish(AttemptResult(AttemptStatus.CALLER_GONE))


class Carrier(Protocol):
    """Sends attempts and releases to hubs over some protocol. No method blocks."""

    def place(self, attempt: Attempt) -> None:
        """Send the set-up; if that is not possible, finish the attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel at the hub an attempt that has already been finished here."""

    def release(self, leg: Leg, cause: int) -> None:
        """Release an established call at its hub."""


class Attempt:
    """One set-up at one hub. The first result counts; ``finish`` returns False for every later one."""

    def __init__(self, call: Call, hub: bytes, limit_us: int, may_send: Callable[[bytes], bool]) -> None:
        self.call, self.hub, self.limit_us, self.may_send = call, hub, limit_us, may_send
        self.index = call.attempts
        self.started_us = self.sent_us = now_us()
        self.carrier_state: object = None  # private to the carrier
        self.result: AttemptResult | None = None
        self._ended = runtime.event()

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has a result."""
        return self.result is not None

    @property
    def answered(self) -> bool:
        """Whether the attempt established the call."""
        return self.result is not None and self.result.status is AttemptStatus.ANSWERED

    def finish(self, result: AttemptResult) -> bool:
        """Set the result; False if there already is one, which then stays."""
        if self.result is not None:
            return False
        result.at_us = result.at_us or now_us()
        self.result = result
        self._ended.set()
        return True

    def wait(self) -> AttemptResult:
        """Block until the attempt has a result."""
        self._ended.wait()
        assert self.result is not None
        return self.result


@dataclass(slots=True)
class Leg:
    """The outgoing leg of an established call, with the origin that its release is reported to."""

    ref: str
    hub: bytes
    carrier: Carrier
    origin: CallOrigin
    carrier_state: object = None
    established_us: int = field(default_factory=now_us)
