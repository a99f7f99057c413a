"""The life of a call by stage: take, pick, attempt, answer. One greenlet a call."""

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
GUARD_TIME_STATUSES = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CALLER_GONE)


class CallManager:
    """Every call that is open, from its request to its one answer."""

    def __init__(self, facade: ControllerFacade, deadlines: Deadlines, established: EstablishedCalls) -> None:
        self.facade, self.deadlines, self.established = facade, deadlines, established
        self.open_calls: dict[str, Call] = {}
        self.counts: Counter[str] = Counter()  # for the agent: calls, attempts, outcomes by name
        self.default_carrier: Carrier | None = None
        self.carriers: dict[int, Carrier] = {}  # cell -> its carrier, where it is not the default one
        self._last_number = 0

    # Take.

    def accept(self, request: Request) -> None:
        """Take a request; it gets one final answer unless its caller gives it up."""
        self.counts["calls"] += 1
        fault = self._validation_error(request)
        if fault:
            # Guards the module and the hubs against calls that nobody could serve.
            log.warning("call failed at once: ref=%s %s", request.ref, fault)
            self.counts[f"rejected.{CAUSE_INVALID_MESSAGE}"] += 1
            request.origin.reject(request, Rejection(CAUSE_INVALID_MESSAGE))
            return
        self._last_number = self._last_number % 0xFFFFFFFF + 1
        call = self.open_calls[request.ref] = Call(request, self._last_number)
        runtime.spawn(self._serve, call)

    def _validation_error(self, request: Request) -> str:
        if request.ref in self.open_calls or request.ref in self.established.legs:
            return "its id is in use"
        if not self.facade.knows_class(request.class_name):
            return "unknown class"
        if request.time_left_us <= 0:
            return "bad deadline"
        return "bad dest" if request.destination < 0 else ""

    def abandon(self, ref: str) -> bool:
        """The caller gives up a set-up; False if none is open under that id."""
        call = self.open_calls.get(ref)
        if call is None:
            return False
        call.abandon()
        return True

    def handle_hub_release(self, hub: bytes, ref: str, cause: int) -> None:
        """A hub released a call, perhaps one whose answer is still on its way to the caller."""
        call = self.open_calls.get(ref)
        if call is None:
            self.established.release_from_hub(ref, cause)
        elif call.attempt is not None and call.attempt.answered and call.attempt.hub == hub:
            call.release_cause = cause

    # Pick, attempt, answer.

    def _serve(self, call: Call) -> None:
        request = call.request
        try:
            self._route(call)
        except Exception:  # a fault in one call must not take the others down; its caller is answered
            log.exception("call broke off: ref=%s", request.ref)
            if self.open_calls.pop(request.ref, None) is call and not call.abandoned:
                request.origin.reject(request, Rejection(CAUSE_TEMPORARY_FAILURE))
        finally:
            if self.open_calls.get(request.ref) is call:
                del self.open_calls[request.ref]

    def _route(self, call: Call) -> None:
        decision = self.facade.decide_new_call(call)
        while isinstance(decision, PlaceAttempt):
            if now_us() < call.guard_until_us:
                # Guards rule 5 should the module ever send again too soon after a broken attempt.
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

    def _remember_ended(self, call: Call) -> None:
        """A call that did not stand here may do so at its hub: its release there is no news for callers."""
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
        limit = self.deadlines.schedule(
            attempt.started_us + attempt.limit_us,
            lambda: attempt.finish(AttemptResult(AttemptStatus.TIMEOUT)),
        )
        try:
            carrier.place(attempt)
            result = attempt.wait()
        finally:
            self.deadlines.cancel(limit)
        if result.status in (AttemptStatus.TIMEOUT, AttemptStatus.CALLER_GONE, AttemptStatus.CLOSED):
            carrier.cancel(attempt)
            log.info(
                "attempt given up: ref=%s hub=%s end=%s after_ms=%d dest=%d cell=%d transit=%s",
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
        if call.final_decision is not None:  # the module gave up in the same turn: the caller is told so
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
