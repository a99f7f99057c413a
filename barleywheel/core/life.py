"""The life of a call by stage: take, pick, attempt, answer. One greenlet a call."""

from __future__ import annotations

import logging
from collections import Counter

from barleywheel.core import runtime
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import (
    CAUSE_BAD_CALL,
    CAUSE_CUT,
    CAUSE_NORMAL,
    Attempt,
    Call,
    Carrier,
    End,
    Leg,
    Outcome,
    Rejection,
    Request,
    Send,
)
from barleywheel.core.release import Standing
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade

log = logging.getLogger(__name__)
GUARDED = (End.TIMEOUT, End.RESET, End.GONE)


class Life:
    """Every call that is open, from its request to its one answer."""

    def __init__(self, facade: ControllerFacade, deadlines: Deadlines, standing: Standing) -> None:
        self.facade, self.deadlines, self.standing = facade, deadlines, standing
        self.open: dict[str, Call] = {}
        self.counts: Counter[str] = Counter()  # for the agent: calls, attempts, outcomes by name
        self.default: Carrier | None = None
        self.carriers: dict[int, Carrier] = {}  # cell -> its carrier, where it is not the default one
        self._number = 0

    # Take.

    def take(self, request: Request) -> None:
        """Take a request; it gets one final answer unless its caller gives it up."""
        self.counts["calls"] += 1
        fault = self._fault(request)
        if fault:
            # Guards the module and the hubs against calls that nobody could serve.
            log.warning("call failed at once: ref=%s %s", request.ref, fault)
            self.counts[f"rejected.{CAUSE_BAD_CALL}"] += 1
            request.origin.reject(request, Rejection(CAUSE_BAD_CALL))
            return
        self._number = self._number % 0xFFFFFFFF + 1
        call = self.open[request.ref] = Call(request, self._number)
        runtime.spawn(self._serve, call)

    def _fault(self, request: Request) -> str:
        if request.ref in self.open or request.ref in self.standing.legs:
            return "its id is in use"
        if not self.facade.knows_class(request.class_name):
            return "unknown class"
        if request.left_us <= 0:
            return "bad deadline"
        return "bad dest" if request.destination < 0 else ""

    def abandon(self, ref: str) -> bool:
        """The caller gives up a set-up; False if none is open under that id."""
        call = self.open.get(ref)
        if call is None:
            return False
        call.abandon()
        return True

    def released(self, hub: bytes, ref: str, cause: int) -> None:
        """A hub released a call, perhaps one whose answer is still on its way to the caller."""
        call = self.open.get(ref)
        if call is None:
            self.standing.by_hub(ref, cause)
        elif call.attempt is not None and call.attempt.stands and call.attempt.hub == hub:
            call.released = cause

    # Pick, attempt, answer.

    def _serve(self, call: Call) -> None:
        request = call.request
        try:
            self._run(call)
        except Exception:  # a fault in one call must not take the others down; its caller is answered
            log.exception("call broke off: ref=%s", request.ref)
            if self.open.pop(request.ref, None) is call and not call.abandoned:
                request.origin.reject(request, Rejection(CAUSE_CUT))
        finally:
            if self.open.get(request.ref) is call:
                del self.open[request.ref]

    def _run(self, call: Call) -> None:
        decision = self.facade.decide_new_call(call)
        while isinstance(decision, Send):
            if now_us() < call.guard_us:
                # Guards rule 5 should the module ever send again too soon after a broken attempt.
                runtime.sleep((call.guard_us - now_us()) / 1e6)
            attempt = call.attempt = Attempt(call, decision.hub, decision.limit_us, self.facade.is_ready)
            call.attempts += 1
            carrier = self._carrier(decision.hub)
            outcome = self._attempt(attempt, carrier)
            self.counts["attempts"] += 1
            self.counts["outcome." + outcome.end.value] += 1
            if outcome.end is End.STANDS:
                self._stands(call, attempt, carrier, outcome)
                return
            if call.abandoned:
                break
            if call.verdict is not None:
                decision = call.verdict
                break
            decision = self.facade.report_attempt_end(attempt, outcome)
            if outcome.end in GUARDED:
                call.guard_us = now_us() + self.facade.guard_us
        if call.abandoned:
            self._forget(call)
            self.facade.report_caller_gone(call)
            self.counts["abandoned"] += 1
        else:
            assert isinstance(decision, Rejection)
            self._reject(call, decision)

    def _forget(self, call: Call) -> None:
        """A call that did not stand here may do so at its hub: its release there is no news for callers."""
        if call.attempts:
            self.standing.forget(call.request.ref)

    def _reject(self, call: Call, rejection: Rejection) -> None:
        self._forget(call)
        del self.open[call.request.ref]
        self.counts[f"rejected.{rejection.cause}"] += 1
        call.request.origin.reject(call.request, rejection)

    def _carrier(self, hub: bytes) -> Carrier:
        carrier = self.carriers.get(self.facade.cell_of(hub), self.default)
        assert carrier is not None
        return carrier

    def _attempt(self, attempt: Attempt, carrier: Carrier) -> Outcome:
        call = attempt.call
        if call.abandoned or call.verdict is not None:
            attempt.end(Outcome(End.GONE))
            return attempt.wait()
        limit = self.deadlines.at(
            attempt.started_us + attempt.limit_us, lambda: attempt.end(Outcome(End.TIMEOUT))
        )
        try:
            carrier.place(attempt)
            outcome = attempt.wait()
        finally:
            self.deadlines.drop(limit)
        if outcome.end in (End.TIMEOUT, End.GONE, End.CLOSED):
            carrier.cancel(attempt)
            log.info(
                "attempt given up: ref=%s hub=%s end=%s after_ms=%d dest=%d cell=%d transit=%s",
                call.request.ref,
                attempt.hub.decode(),
                outcome.end.value,
                (now_us() - attempt.started_us) // 1000,
                call.request.destination,
                self.facade.cell_of(attempt.hub),
                call.request.in_transit,
            )
        return outcome

    def _stands(self, call: Call, attempt: Attempt, carrier: Carrier, outcome: Outcome) -> None:
        request = call.request
        leg = Leg(request.ref, attempt.hub, carrier, request.origin, attempt.slot)
        if call.verdict is not None:  # the module gave up in the same turn: the caller is told so
            carrier.release(leg, CAUSE_NORMAL)
            self._reject(call, call.verdict)
            return
        self.facade.report_answered(attempt, outcome)
        del self.open[request.ref]
        if call.abandoned or not request.origin.answer(request, outcome.description):
            self.standing.forget(request.ref)
            carrier.release(leg, CAUSE_NORMAL)
            return
        self.counts["stood"] += 1
        self.standing.add(leg)
        if call.released is not None:
            self.standing.by_hub(request.ref, call.released)
