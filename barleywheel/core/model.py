"""What the core deals in: requests, attempts and outcomes."""

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
    CALLER_GONE = "caller gone"  # the caller gave the set-up up while the attempt was out
    CLOSED = "closed"  # the module answered the call while the attempt was out


class RefusalReason(Enum):
    """What a far side adds to a refusal."""

    NONE = ""
    NO_CIRCUIT = "congestion"
    CRANKBACK = "crankback"
    DOWNSTREAM_OVERLOADED = "remote_throttled"
    PROCESSOR_OVERLOADED = "throttled"
    SUBSCRIBER_BUSY = "engaged"


@dataclass(slots=True)
class AttemptResult:
    """The end of one attempt; ``at_us`` is when its last byte was read."""

    status: AttemptStatus
    reason: RefusalReason = RefusalReason.NONE
    load: dict[str, float] = field(default_factory=dict)
    description: bytes = b""
    at_us: int = 0


@dataclass(slots=True)
class Request:
    """A set-up as a front took it. ``received_us`` is the time of its last byte."""

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
    """The final answer of a call that does not stand; the advice is when to come back, 0 for none."""

    cause: int
    retry_after_us: int = 0


class ReleaseListener(Protocol):
    """Who is told that a call is over."""

    def release(self, ref: str, cause: int) -> None:
        """A call that stood is over."""


class CallOrigin(ReleaseListener, Protocol):
    """Where a request came from and where its one answer goes."""

    def answer(self, request: Request, description: bytes) -> bool:
        """The call stands; False if the caller could not be told."""

    def reject(self, request: Request, rejection: Rejection) -> None:
        """The call does not stand."""


@dataclass(slots=True)
class PlaceAttempt:
    """Decision: make an attempt."""

    hub: bytes
    limit_us: int


Decision = PlaceAttempt | Rejection


class Call:
    """A request taken and not yet answered."""

    def __init__(self, request: Request, number: int) -> None:
        self.request, self.number = request, number
        self.attempts = 0
        self.attempt: Attempt | None = None
        self.abandoned = False  # the caller gave up: no answer is owed any more
        self.final_decision: Rejection | None = None  # given by the module while an attempt was out
        self.release_cause: int | None = None  # the hub ended the call before the answer was passed on
        self.guard_until_us = 0  # not sent again before this
        self.carrier_data: dict[object, int] = {}  # the carriers' own: what was sent where

    def close(self, rejection: Rejection) -> None:
        """The module gave the final answer on a turn of its own."""
        self.final_decision = rejection
        if self.attempt is not None:
            self.attempt.finish(AttemptResult(AttemptStatus.CLOSED))

    def abandon(self) -> None:
        """The caller gave up."""
        self.abandoned = True
        if self.attempt is not None:
            self.attempt.finish(AttemptResult(AttemptStatus.CALLER_GONE))


class Carrier(Protocol):
    """What places attempts at hubs. No method blocks."""

    def place(self, attempt: Attempt) -> None:
        """Send the set-up or end the attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt that has ended on our side."""

    def release(self, leg: Leg, cause: int) -> None:
        """Take down a call that stands."""


class Attempt:
    """One set-up at one hub. The first end counts; every later one is told that it came late."""

    def __init__(self, call: Call, hub: bytes, limit_us: int, may_send: Callable[[bytes], bool]) -> None:
        self.call, self.hub, self.limit_us, self.may_send = call, hub, limit_us, may_send
        self.index = call.attempts
        self.started_us = self.sent_us = now_us()
        self.carrier_state: object = None  # the carrier's own
        self.result: AttemptResult | None = None
        self._ended = runtime.event()

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended."""
        return self.result is not None

    @property
    def answered(self) -> bool:
        """Whether the attempt has ended with a call that stands."""
        return self.result is not None and self.result.status is AttemptStatus.ANSWERED

    def finish(self, result: AttemptResult) -> bool:
        """End the attempt, unless it has ended already."""
        if self.result is not None:
            return False
        result.at_us = result.at_us or now_us()
        self.result = result
        self._ended.set()
        return True

    def wait(self) -> AttemptResult:
        """Block until the attempt ends."""
        self._ended.wait()
        assert self.result is not None
        return self.result


@dataclass(slots=True)
class Leg:
    """The far side of a call that stands, and the front that took it."""

    ref: str
    hub: bytes
    carrier: Carrier
    origin: CallOrigin
    carrier_state: object = None
