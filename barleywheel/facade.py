"""Blocking interface to the decision module ``barleywheel.controller``.

It reports calls, attempt results, timers, the hub list and load reports. Besides ``benchlink`` this is the
only code that handles the decision module's events and actions.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from barleywheel import interface as api
from barleywheel.benchlink import LOAD_ATTRIBUTE_BY_FIELD
from barleywheel.controller import Controller
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import (
    CAUSE_SWITCH_CONGESTION,
    CAUSE_TEMPORARY_FAILURE,
    Attempt,
    AttemptResult,
    AttemptStatus,
    Call,
    Decision,
    PlaceAttempt,
    RefusalReason,
    Rejection,
)
from barleywheel.core.runtime import from_unix_us, now_us
from barleywheel.wire.journal import Endpoint

log = logging.getLogger(__name__)
OUTCOME_BY_STATUS = {
    AttemptStatus.ERROR: api.Outcome.ERROR,
    AttemptStatus.REFUSED: api.Outcome.REJECTED,
    AttemptStatus.TIMEOUT: api.Outcome.TIMEOUT,
    AttemptStatus.UNREACHABLE: api.Outcome.UNREACHABLE,
    AttemptStatus.RESET: api.Outcome.RESET,
    AttemptStatus.NOT_SENT: api.Outcome.NOT_SENT,
    AttemptStatus.CALLER_GONE: api.Outcome.CANCELLED,
    AttemptStatus.CLOSED: api.Outcome.CANCELLED,
}
CAUSE_BY_REFUSAL_REASON = {
    RefusalReason.NONE: api.Cause.NONE,
    RefusalReason.NO_CIRCUIT: api.Cause.NO_CIRCUIT,
    RefusalReason.CRANKBACK: api.Cause.CRANKBACK,
    RefusalReason.DOWNSTREAM_OVERLOADED: api.Cause.CRANKBACK,
    RefusalReason.PROCESSOR_OVERLOADED: api.Cause.PROCESSOR_OVERLOADED,
    RefusalReason.SUBSCRIBER_BUSY: api.Cause.SUBSCRIBER_BUSY,
}
# A load report names its fields as the settings do, or by the short names that the protocol defines.
REPORT_FIELD_BY_SHORT_NAME = {
    "x0": "free",
    "x1": "size",
    "queue": "pending",
    "qps": "can_take",
    "util": "cpu_share",
    "inflight": "busy_reqs",
    "latency_ms": "svc_ms",
    "eps": "hold_back",
}


def _load_from_report(values: dict[str, float]) -> api.Load:
    load = api.Load()
    for name, value in values.items():
        attribute = LOAD_ATTRIBUTE_BY_FIELD.get(REPORT_FIELD_BY_SHORT_NAME.get(name, name))
        if attribute is not None and value >= 0:
            setattr(load, attribute, value)
    return load


class ControllerFacade:
    """Turns method calls into events for one decision module, and its actions into decisions."""

    def __init__(
        self, settings: api.Settings, names: dict[str, list[str]], seed: int, deadlines: Deadlines
    ) -> None:
        self._module = Controller(settings, seed)
        self._deadlines = deadlines
        self._index_by_name = {
            kind: {name: index for index, name in enumerate(values)} for kind, values in names.items()
        }
        self._calls: dict[int, Call] = {}
        self._hub_list_sent = False
        self.entries: dict[bytes, api.ExchangeEntry] = {}
        self.guard_us, self.home_cell = settings.guard_us, settings.home_cell
        self._class_deadlines_us = [call_class.deadline_us for call_class in settings.classes]

    def knows_class(self, name: str) -> bool:
        """Whether the settings have a class of that name."""
        return name in self._index_by_name["classes"]

    def deadline_us(self, name: str) -> int:
        """The longest time that callers of a class wait; 0 for an unknown class."""
        index = self._index_by_name["classes"].get(name)
        return 0 if index is None else self._class_deadlines_us[index]

    def is_ready(self, hub: bytes) -> bool:
        """Whether the current hub list allows new set-ups to the hub."""
        entry = self.entries.get(hub)
        return entry is not None and entry.state is api.ExchangeState.READY

    def cell_of(self, hub: bytes) -> int:
        """The number of the hub's exchange; -1 for an unknown hub."""
        entry = self.entries.get(hub)
        return -1 if entry is None else entry.cell

    def hubs_of(self, cell: int) -> list[bytes]:
        """The listed hubs of an exchange."""
        return [name for name, entry in self.entries.items() if entry.cell == cell]

    # Calls.

    def decide_new_call(self, call: Call) -> Decision:
        """Decide on a new call: the hub to try first, or a rejection."""
        request, now = call.request, now_us()
        self._calls[call.number] = call
        return self._decide(
            call,
            api.CallOffered(
                call=call.number,
                time_left_us=max(0, request.time_left_us - (now - request.received_us)),
                destination=request.destination,
                call_class=self._index_by_name["classes"][request.class_name],
                called_number=int(request.called_number, 16) if request.called_number else 0,
                redialled=request.redialled,
                in_transit=request.in_transit,
                interrupted_before=request.interrupted_before,
                source_cell=request.source_cell if request.in_transit else None,
                advised_cell=None if request.in_transit else request.source_cell,
                width=request.width,
            ),
            now,
        )

    def report_attempt_end(self, attempt: Attempt, result: AttemptResult) -> Decision:
        """Report the result of an attempt that failed; return the next attempt or a rejection."""
        return self._decide(
            attempt.call,
            api.AttemptEnded(
                call=attempt.call.number,
                attempt=attempt.index,
                exchange=attempt.hub,
                outcome=OUTCOME_BY_STATUS[result.status],
                elapsed_us=max(0, result.at_us - attempt.sent_us),
                cause=CAUSE_BY_REFUSAL_REASON[result.reason],
                downstream_overloaded=result.reason is RefusalReason.DOWNSTREAM_OVERLOADED,
                load=_load_from_report(result.load),
            ),
            now_us(),
        )

    def report_answered(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report that a call is answered."""
        self._calls.pop(attempt.call.number, None)
        elapsed = max(0, result.at_us - attempt.sent_us)
        self._handle_event(api.CallStands(attempt.call.number, attempt.index, attempt.hub, elapsed))
        if result.load:
            self.report_load(attempt.hub, result.load)

    def report_caller_gone(self, call: Call) -> None:
        """Report that the caller gave the call up."""
        self._calls.pop(call.number, None)
        self._handle_event(api.CallerGone(call.number))

    def forget(self, call: Call) -> None:
        """Drop a call that an exception has ended, here and in the decision module."""
        try:
            self.report_caller_gone(call)
        except Exception:  # a defect; the call is being cleaned up after one
            log.exception("decision module failed to drop a call: ref=%s", call.request.ref)

    def fire_timer(self, token: int) -> None:
        """Report that a timer of the decision module is due; close the calls that it rejects in response."""
        self._handle_event(api.TimerDue(token))

    # Hubs.

    def report_load(self, hub: bytes, values: dict[str, float]) -> None:
        """Report the load of the circuit group towards a hub and, if given, of the hub's processor."""
        self._handle_event(api.LoadSeen(hub, api.Outcome.OK, 0, _load_from_report(values)))

    def update_hubs(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Report changed hubs or, if ``is_snapshot`` is set, the complete hub list."""
        entries = [self._exchange_entry(endpoint) for endpoint in endpoints]
        if is_snapshot:
            self.entries = {}
        for entry in entries:
            if entry.state is api.ExchangeState.GONE:
                self.entries.pop(entry.exchange, None)
            else:
                self.entries[entry.exchange] = entry
        # The first list comes from the configuration and may be out of date.
        mode = api.ListMode.FULL if self._hub_list_sent else api.ListMode.CACHED
        self._hub_list_sent = True
        self._handle_event(api.Discovery(mode if is_snapshot else api.ListMode.DELTA, entries))

    def _exchange_entry(self, endpoint: Endpoint) -> api.ExchangeEntry:
        states = {
            "Ready": api.ExchangeState.READY,
            "Terminating": api.ExchangeState.DRAINING,
            "Gone": api.ExchangeState.GONE,
        }
        return api.ExchangeEntry(
            exchange=endpoint.name.encode(),
            cell=endpoint.cell,
            state=states.get(endpoint.status, api.ExchangeState.DRAINING),
            zone=self._index_by_name["zones"].get(endpoint.zone, 0),
            share=endpoint.weight,
            kind=self._index_by_name["kinds"].get(endpoint.kind, 0),
            launched_us=from_unix_us(endpoint.since_ms * 1000) if endpoint.since_ms else 0,
        )

    # Decision module.

    def _decide(self, call: Call, event: api.Event, now: int) -> Decision:
        decision = self._handle_event(event, now).get(call.number)
        if decision is None:
            # The caller must get one final answer even if the decision module returns none.
            log.error("decision module returned no decision: ref=%s", call.request.ref)
            decision = Rejection(CAUSE_TEMPORARY_FAILURE)
        if isinstance(decision, Rejection):
            self._calls.pop(call.number, None)
        return decision

    def _handle_event(self, event: api.Event, now: int = 0) -> dict[int, Decision]:
        """Pass an event on; perform the resulting timer and log actions and return the decisions by call."""
        decisions: dict[int, Decision] = {}
        for action in self._module.handle(now or now_us(), event):
            match action:
                case api.SetUp():
                    decisions[action.call] = PlaceAttempt(action.exchange, action.limit_us)
                case api.Refuse():
                    decisions[action.call] = Rejection(CAUSE_SWITCH_CONGESTION, action.retry_after_us)
                case api.Fail():
                    decisions[action.call] = Rejection(CAUSE_TEMPORARY_FAILURE)
                case api.SetTimer():
                    on_due: Callable[[], None] = partial(self.fire_timer, action.token)
                    self._deadlines.schedule(action.due_us, on_due)
                case api.Log():
                    log.info("decision module: %s", action.text)
                case _:
                    # Cancel needs no action: the attempt is cancelled when its call ends. The other actions
                    # are not allowed on this protocol.
                    pass
        if isinstance(event, api.TimerDue):
            for number, decision in decisions.items():
                call = self._calls.pop(number, None)
                if call is not None and isinstance(decision, Rejection):
                    call.close(decision)
        return decisions
