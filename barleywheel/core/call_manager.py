"""Call processing by stage: accept the request, choose a hub, place the attempt, answer the caller.

Each call runs in its own greenlet.
"""

from __future__ import annotations

import logging
from collections import Counter

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import (
    CAUSE_INVALID_MESSAGE,
    CAUSE_NORMAL_CLEARING,
    CAUSE_TEMPORARY_FAILURE,
    Attempt,
    AttemptResult,
    AttemptStatus,
    Call,
    Carrier,
    Leg,
    PlaceAttempt,
    Rejection,
    Request,
)
from barleywheel.core.release import EstablishedCalls
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade

log = logging.getLogger(__name__)
# Results of a broken attempt: the call is not tried again before a guard time has passed.
GUARD_TIME_STATUSES = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CALLER_GONE)


class CallManager:
    """The calls that have been requested and not yet given their final answer."""

    def __init__(self, facade: ControllerFacade, deadlines: Deadlines, established: EstablishedCalls) -> None:
        self.facade, self.deadlines, self.established = facade, deadlines, established
        self.open_calls: dict[str, Call] = {}
        # For SNMP: calls, attempts, outcomes and rejections; "stood" counts the established calls.
        self.counts: Counter[str] = Counter()
        self.default_carrier: Carrier | None = None
        self.carriers: dict[int, Carrier] = {}  # by cell; the others use the default carrier
        self._last_call_number = 0

    # Requests and releases.

    def accept(self, request: Request) -> None:
        """Start a call; it gets exactly one final answer unless its caller abandons it."""
        self.counts["calls"] += 1
        error = self._validation_error(request)
        if error:
            # Neither the decision module nor a hub could serve this call.
            log.warning("invalid call request rejected: ref=%s %s", request.ref, error)
            self.counts[f"rejected.{CAUSE_INVALID_MESSAGE}"] += 1
            request.origin.reject(request, Rejection(CAUSE_INVALID_MESSAGE))
            return
        self._last_call_number = self._last_call_number % 0xFFFFFFFF + 1
        call = self.open_calls[request.ref] = Call(request, self._last_call_number)
        runtime.spawn(self._serve, call)

    def _validation_error(self, request: Request) -> str:
        if request.ref in self.open_calls or request.ref in self.established.legs:
            return "call id already in use"
        if request.ref in self.established.recently_ended:
            return "call id of a call that has ended"  # it may have run, and would run a second time
        if not self.facade.knows_class(request.class_name):
            return "unknown class"
        if request.time_left_us <= 0:
            return "no time left before the deadline"
        return "invalid destination" if request.destination < 0 else ""

    def abandon(self, ref: str) -> bool:
        """Give up a set-up at the caller's request; False if no call with that id is open."""
        call = self.open_calls.get(ref)
        if call is None:
            return False
        call.abandon()
        return True

    def handle_hub_release(self, hub: bytes, ref: str, cause: int) -> None:
        """Handle a release by a hub; the call's answer may not have been passed to the caller yet."""
        call = self.open_calls.get(ref)
        if call is None:
            self.established.release_from_hub(ref, cause)
        elif call.attempt is not None and call.attempt.answered and call.attempt.hub == hub:
            call.release_cause = cause

    # Hub choice, attempts and the answer.

    def _serve(self, call: Call) -> None:
        request = call.request
        try:
            self._route(call)
        except Exception:
            # An error in one call must not affect the others, and its caller still gets an answer.
            log.exception("call failed with an unexpected exception: ref=%s", request.ref)
            if self.open_calls.pop(request.ref, None) is call:
                self._clean_up_failed_call(call)
        finally:
            if self.open_calls.get(request.ref) is call:
                del self.open_calls[request.ref]

    def _route(self, call: Call) -> None:
        decision = self.facade.decide_new_call(call)
        while isinstance(decision, PlaceAttempt):
            if now_us() < call.guard_until_us:
                # A call is tried again only a guard time after a broken attempt, even if the decision
                # module asks for the next attempt too early.
                runtime.sleep((call.guard_until_us - now_us()) / 1e6)
            attempt = call.attempt = Attempt(call, decision.hub, decision.limit_us, self.facade.is_ready)
            call.attempts += 1
            carrier = self._carrier(decision.hub)
            result = self._place_attempt(attempt, carrier)
            self.counts["attempts"] += 1
            self.counts["outcome." + result.status.value] += 1
            if result.status is AttemptStatus.ANSWERED:
                self._handle_answer(call, attempt, carrier, result)
                return
            if call.abandoned:
                break
            if call.final_decision is not None:
                decision = call.final_decision
                break
            decision = self.facade.report_attempt_end(attempt, result)
            if result.status in GUARD_TIME_STATUSES:
                call.guard_until_us = now_us() + self.facade.guard_us
        if call.abandoned:
            self._remember_ended(call)
            self.facade.report_caller_gone(call)
            self.counts["abandoned"] += 1
        else:
            assert isinstance(decision, Rejection)
            self._reject(call, decision)

    def _clean_up_failed_call(self, call: Call) -> None:
        """Reject a call that an exception has ended, and end what it has open elsewhere."""
        self._remember_ended(call)
        if not call.abandoned:
            call.request.origin.reject(call.request, Rejection(CAUSE_TEMPORARY_FAILURE))
        self.facade.forget(call)
        attempt = call.attempt
        if attempt is not None:
            carrier = self._carrier(attempt.hub)
            if attempt.answered:
                leg = Leg(call.request.ref, attempt.hub, carrier, call.request.origin, attempt.carrier_state)
                carrier.release(leg, CAUSE_NORMAL_CLEARING)
            elif attempt.finish(AttemptResult(AttemptStatus.CLOSED)):
                carrier.cancel(attempt)

    def _remember_ended(self, call: Call) -> None:
        """Keep the id of a call that failed here: it may be established at a hub.

        A release from that hub must not be passed on, since the caller has its final answer.
        """
        if call.attempts:
            self.established.remember_ended(call.request.ref)

    def _reject(self, call: Call, rejection: Rejection) -> None:
        self._remember_ended(call)
        del self.open_calls[call.request.ref]
        self.counts[f"rejected.{rejection.cause}"] += 1
        call.request.origin.reject(call.request, rejection)

    def _carrier(self, hub: bytes) -> Carrier:
        carrier = self.carriers.get(self.facade.cell_of(hub), self.default_carrier)
        assert carrier is not None
        return carrier

    def _place_attempt(self, attempt: Attempt, carrier: Carrier) -> AttemptResult:
        call = attempt.call
        if call.abandoned or call.final_decision is not None:
            attempt.finish(AttemptResult(AttemptStatus.CALLER_GONE))
            return attempt.wait()
        limit_timer = self.deadlines.schedule(
            attempt.started_us + attempt.limit_us,
            lambda: attempt.finish(AttemptResult(AttemptStatus.TIMEOUT)),
        )
        try:
            carrier.place(attempt)
            result = attempt.wait()
        finally:
            self.deadlines.cancel(limit_timer)
        if result.status in (AttemptStatus.TIMEOUT, AttemptStatus.CALLER_GONE, AttemptStatus.CLOSED):
            carrier.cancel(attempt)
            log.info(
                "attempt cancelled: ref=%s hub=%s end=%s after_ms=%d dest=%d cell=%d transit=%s",
                call.request.ref,
                attempt.hub.decode(),
                result.status.value,
                (now_us() - attempt.started_us) // 1000,
                call.request.destination,
                self.facade.cell_of(attempt.hub),
                call.request.in_transit,
            )
        return result

    def _handle_answer(self, call: Call, attempt: Attempt, carrier: Carrier, result: AttemptResult) -> None:
        request = call.request
        leg = Leg(request.ref, attempt.hub, carrier, request.origin, attempt.carrier_state)
        # The decision module may have rejected the call in the same turn: the rejection is the answer.
        if call.final_decision is not None:
            carrier.release(leg, CAUSE_NORMAL_CLEARING)
            self._reject(call, call.final_decision)
            return
        self.facade.report_answered(attempt, result)
        del self.open_calls[request.ref]
        if call.abandoned or not request.origin.answer(request, result.description):
            self.established.remember_ended(request.ref)
            carrier.release(leg, CAUSE_NORMAL_CLEARING)
            return
        self.counts["stood"] += 1
        self.established.add(leg)
        if call.release_cause is not None:
            self.established.release_from_hub(request.ref, call.release_cause)
