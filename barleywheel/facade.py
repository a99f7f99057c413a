"""The module in blocking style: new calls, attempt ends, timers, and the way in for hub list and group state.

Beside ``benchlink`` this is the only place that sees the module's events and actions.
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
ENDS = {
    AttemptStatus.ERROR: api.Outcome.ERROR,
    AttemptStatus.REFUSED: api.Outcome.REJECTED,
    AttemptStatus.TIMEOUT: api.Outcome.TIMEOUT,
    AttemptStatus.UNREACHABLE: api.Outcome.UNREACHABLE,
    AttemptStatus.RESET: api.Outcome.RESET,
    AttemptStatus.NOT_SENT: api.Outcome.NOT_SENT,
    AttemptStatus.CALLER_GONE: api.Outcome.CANCELLED,
    AttemptStatus.CLOSED: api.Outcome.CANCELLED,
}
CAUSES = {
    RefusalReason.NONE: api.Cause.NONE,
    RefusalReason.NO_CIRCUIT: api.Cause.NO_CIRCUIT,
    RefusalReason.CRANKBACK: api.Cause.CRANKBACK,
    RefusalReason.DOWNSTREAM_OVERLOADED: api.Cause.CRANKBACK,
    RefusalReason.PROCESSOR_OVERLOADED: api.Cause.PROCESSOR_OVERLOADED,
    RefusalReason.SUBSCRIBER_BUSY: api.Cause.SUBSCRIBER_BUSY,
}
# Reports name their values as the settings do, or by the short names of the protocol's page.
SHORT = {
    "x0": "free",
    "x1": "size",
    "queue": "pending",
    "qps": "can_take",
    "util": "cpu_share",
    "inflight": "busy_reqs",
    "latency_ms": "svc_ms",
    "eps": "hold_back",
}


def _load(values: dict[str, float]) -> api.Load:
    load = api.Load()
    for name, value in values.items():
        attribute = LOAD_ATTRIBUTE_BY_FIELD.get(SHORT.get(name, name))
        if attribute is not None and value >= 0:
            setattr(load, attribute, value)
    return load


class ControllerFacade:
    """One decision module, asked and told in plain calls."""

    def __init__(
        self, settings: api.Settings, names: dict[str, list[str]], seed: int, deadlines: Deadlines
    ) -> None:
        self._module = Controller(settings, seed)
        self._deadlines = deadlines
        self._names = {kind: {name: at for at, name in enumerate(values)} for kind, values in names.items()}
        self._calls: dict[int, Call] = {}
        self._told = False
        self.entries: dict[bytes, api.ExchangeEntry] = {}
        self.guard_us, self.home_cell = settings.guard_us, settings.home_cell
        self._limits_us = [kind.deadline_us for kind in settings.classes]

    def knows_class(self, name: str) -> bool:
        """Whether the settings have a class of that name."""
        return name in self._names["classes"]

    def deadline_us(self, name: str) -> int:
        """How long callers of a class wait at most; of an unknown class, not at all."""
        at = self._names["classes"].get(name)
        return 0 if at is None else self._limits_us[at]

    def is_ready(self, hub: bytes) -> bool:
        """Whether the list, as last heard, allows a new set-up to the hub."""
        entry = self.entries.get(hub)
        return entry is not None and entry.state is api.ExchangeState.READY

    def cell_of(self, hub: bytes) -> int:
        """The number of the hub's exchange."""
        entry = self.entries.get(hub)
        return -1 if entry is None else entry.cell

    def hubs_of(self, cell: int) -> list[bytes]:
        """The hubs of an exchange."""
        return [name for name, entry in self.entries.items() if entry.cell == cell]

    # Calls.

    def decide_new_call(self, call: Call) -> Decision:
        """Where to send a new call, or its final answer."""
        request, now = call.request, now_us()
        self._calls[call.number] = call
        return self._decide(
            call,
            api.CallOffered(
                call=call.number,
                time_left_us=max(0, request.time_left_us - (now - request.received_us)),
                destination=request.destination,
                call_class=self._names["classes"][request.class_name],
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
        """Tell how an attempt ended; what to do next."""
        return self._decide(
            attempt.call,
            api.AttemptEnded(
                call=attempt.call.number,
                attempt=attempt.index,
                exchange=attempt.hub,
                outcome=ENDS[result.status],
                elapsed_us=max(0, result.at_us - attempt.sent_us),
                cause=CAUSES[result.reason],
                downstream_overloaded=result.reason is RefusalReason.DOWNSTREAM_OVERLOADED,
                load=_load(result.load),
            ),
            now_us(),
        )

    def report_answered(self, attempt: Attempt, result: AttemptResult) -> None:
        """Tell that a call stands."""
        self._calls.pop(attempt.call.number, None)
        elapsed = max(0, result.at_us - attempt.sent_us)
        self._tell(api.CallStands(attempt.call.number, attempt.index, attempt.hub, elapsed))
        if result.load:
            self.report_load(attempt.hub, result.load)

    def report_caller_gone(self, call: Call) -> None:
        """Tell that the caller left."""
        self._calls.pop(call.number, None)
        self._tell(api.CallerGone(call.number))

    def fire_timer(self, token: int) -> None:
        """Let the module's timer come due; calls that it answers by that are closed."""
        self._tell(api.TimerDue(token))

    # Hubs.

    def report_load(self, hub: bytes, values: dict[str, float]) -> None:
        """Tell a report on the group towards a hub, and on its processor where it says so."""
        self._tell(api.LoadSeen(hub, api.Outcome.OK, 0, _load(values)))

    def update_hubs(self, endpoints: list[Endpoint], whole: bool) -> None:
        """Tell a change of the hub list, or the whole of it."""
        entries = [self._entry(endpoint) for endpoint in endpoints]
        if whole:
            self.entries = {}
        for entry in entries:
            if entry.state is api.ExchangeState.GONE:
                self.entries.pop(entry.exchange, None)
            else:
                self.entries[entry.exchange] = entry
        mode = api.ListMode.FULL if self._told else api.ListMode.CACHED
        self._told = True
        self._tell(api.Discovery(mode if whole else api.ListMode.DELTA, entries))

    def _entry(self, endpoint: Endpoint) -> api.ExchangeEntry:
        states = {
            "Ready": api.ExchangeState.READY,
            "Terminating": api.ExchangeState.DRAINING,
            "Gone": api.ExchangeState.GONE,
        }
        return api.ExchangeEntry(
            exchange=endpoint.name.encode("utf-8", "surrogatepass"),
            cell=endpoint.cell,
            state=states.get(endpoint.status, api.ExchangeState.DRAINING),
            zone=self._names["zones"].get(endpoint.zone, 0),
            share=endpoint.weight,
            kind=self._names["kinds"].get(endpoint.kind, 0),
            launched_us=from_unix_us(endpoint.since_ms * 1000) if endpoint.since_ms else 0,
        )

    # The module.

    def _decide(self, call: Call, event: api.Event, now: int) -> Decision:
        decision = self._tell(event, now).get(call.number)
        if decision is None:
            # Guards a caller's one answer should the module be silent about a call that it was asked on.
            log.error("module gave no decision: ref=%s", call.request.ref)
            decision = Rejection(CAUSE_TEMPORARY_FAILURE)
        if isinstance(decision, Rejection):
            self._calls.pop(call.number, None)
        return decision

    def _tell(self, event: api.Event, now: int = 0) -> dict[int, Decision]:
        """Hand over an event; perform what needs no wire and return the decisions by call."""
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
                    due: Callable[[], None] = partial(self.fire_timer, action.token)
                    self._deadlines.schedule(action.due_us, due)
                case api.Log():
                    log.info("module: %s", action.text)
                case _:
                    pass  # a Cancel goes with the call's end; the rest is not allowed on this wire
        if isinstance(event, api.TimerDue):
            for number, decision in decisions.items():
                call = self._calls.pop(number, None)
                if call is not None and isinstance(decision, Rejection):
                    call.close(decision)
        return decisions
