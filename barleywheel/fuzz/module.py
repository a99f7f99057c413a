"""Generates and runs fuzz scripts against the decision module alone.

A script is a list of steps, each a step name followed by integers. It is any order of events that the
module's interface allows.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from barleywheel import interface as api
from barleywheel.controller import MAX_BUSY_NUMBERS, Controller
from barleywheel.fuzz.rules import Violation
from barleywheel.fuzz.source import Source, pick, pick_weighted

Step = list[Any]
START_US = 100_000_000
CELL_COUNT = 5
MAX_SCRIPT_STEPS = 60
WAIT_CHOICES_US = (0, 1, 1000, 10_000, 90_000, 300_000, 700_000, 1_000_000, 1_500_000, 5_000_000)
TIME_LEFT_CHOICES_US = (0, 1, 9_999, 10_001, 100_000, 800_000, 3_000_000, 9_000_000)
# Outcomes after which the guard time must pass before the call's next attempt.
GUARDED_OUTCOMES = (api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED)
FAILED_OUTCOMES = tuple(outcome for outcome in api.Outcome if outcome is not api.Outcome.OK)
LOAD_CHOICES = (-1.0, 0.0, 0.5, 1.0, 3.0, 20.0, 1e5, 1e300, float("nan"), float("inf"))


def settings() -> api.Settings:
    """Settings for a mesh of exchanges, as in the deployment."""
    return api.Settings(
        classes=[api.CallClass(1_200_000, 9_000_000, 1.0), api.CallClass(800_000, 6_000_000, 8.0)],
        controllers=4,
        home_cell=0,
        guard_us=300_000,
        max_attempts=2,
        may_cancel=True,
        cold_from=0.3,
        cold_us=10_000_000,
        tip_multiple=2.0,
        fall_us=2_000_000,
        tick_us=5_000,
        may_message=True,
        retry_after=True,
        max_retry_after_us=20_000_000,
        repeat_us=800_000,
    )


def _offer_step(source: Source) -> Step:
    return [
        1 + source.below(CELL_COUNT),
        source.below(2),
        pick(source, TIME_LEFT_CHOICES_US),
        source.below(8),
    ]


STEP_MAKERS: dict[str, Callable[[Source], Step]] = {
    "offer": _offer_step,
    "stands": lambda s: [s.below(4), pick(s, WAIT_CHOICES_US)],
    "end": lambda s: [s.below(4), s.below(len(FAILED_OUTCOMES)), s.below(5), s.below(2)],
    "gone": lambda s: [s.below(4)],
    "load": lambda s: [s.below(CELL_COUNT), *(s.below(len(LOAD_CHOICES)) for _ in range(4))],
    "list": lambda s: [s.below(4), s.below(CELL_COUNT), s.below(3), s.below(3)],
    "report": lambda s: [s.below(CELL_COUNT), s.below(11), s.below(64)],
    "stale": lambda s: [s.below(4), s.below(len(FAILED_OUTCOMES))],
    "wait": lambda s: [pick(s, WAIT_CHOICES_US)],
}
STEP_WEIGHTS = (
    (8, "offer"),
    (5, "stands"),
    (8, "end"),
    (2, "gone"),
    (3, "load"),
    (2, "list"),
    (1, "report"),
    (1, "stale"),
    (8, "wait"),
)


def make_script(source: Source, max_steps: int = MAX_SCRIPT_STEPS) -> list[Step]:
    """Generate a script from the choices of ``source``."""
    steps: list[Step] = []
    for _ in range(1 + source.below(max_steps)):
        kind = pick_weighted(source, STEP_WEIGHTS)
        steps.append([kind, *STEP_MAKERS[kind](source)])
    return steps


@dataclass(eq=False)
class OpenCall:
    """A call that was offered and has no final answer yet."""

    number: int
    offer: api.CallOffered
    due_us: int  # deadline of the final answer
    attempts: int = 0
    attempt_exchange: api.ExchangeId | None = None  # where an attempt is out
    guarded_until_us: int = 0  # no further attempt before this time


@dataclass
class ControllerScriptRunner:
    """Runs one script against one controller and checks each action against the service rules."""

    seed: int = 1
    violations: list[Violation] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.now = START_US
        self.settings = settings()
        self.controller = Controller(self.settings, self.seed)
        self.calls: dict[int, OpenCall] = {}
        self.timers: list[tuple[int, int]] = []
        self.states: dict[bytes, api.ExchangeState] = {}
        self.number = 0
        entries = [api.ExchangeEntry(self.exchange_id(cell), cell) for cell in range(CELL_COUNT + 1)]
        self.handle_event(api.Discovery(api.ListMode.CACHED, entries))
        for cell in range(1, CELL_COUNT + 1):
            self.handle_event(
                api.LoadSeen(
                    self.exchange_id(cell), api.Outcome.OK, 0, api.Load(free_circuits=20.0, group_size=20.0)
                )
            )

    def exchange_id(self, cell: int, other: int = 0) -> bytes:
        """The id of a cell's exchange; ``other`` tells replacements apart."""
        return b"x%d.%d" % (cell, other)

    def add_violation(self, rule: str, seen: str) -> None:
        """Record a violation, with the virtual time since the start."""
        self.violations.append(Violation(rule, f"at {(self.now - START_US) / 1e6:.6f} s: {seen}"))

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the controller and check each action that it returns."""
        if isinstance(event, api.Discovery) and event.mode is not api.ListMode.FAILED:
            if event.mode is not api.ListMode.DELTA:
                self.states = {}
            for entry in event.entries:
                self.states[entry.exchange] = entry.state
        for action in self.controller.handle(self.now, event):
            self.counts[type(action).__name__] = self.counts.get(type(action).__name__, 0) + 1
            match action:
                case api.SetUp():
                    self._on_setup(action)
                case api.Refuse() | api.Fail():
                    if self.calls.pop(action.call, None) is None:
                        self.add_violation("second answer", f"{action} for a call that is not open")
                    elif isinstance(action, api.Refuse) and not (
                        0 <= action.retry_after_us <= self.settings.max_retry_after_us
                    ):
                        self.add_violation("advice", f"{action}")
                case api.Cancel():
                    call = self.calls.get(action.call)
                    if call is None or call.attempt_exchange is None or action.attempt != call.attempts - 1:
                        self.add_violation("cancel", f"{action}: that attempt is not out")
                    else:
                        call.attempt_exchange = None
                case api.SetTimer():
                    heapq.heappush(self.timers, (action.due_us, action.token))

    def _on_setup(self, action: api.SetUp) -> None:
        call = self.calls.get(action.call)
        if call is None:
            return self.add_violation("set-up of nobody's", f"{action}: no such open call")
        if call.attempt_exchange is not None:
            self.add_violation(
                "two attempts out", f"{action} while an attempt is out at {call.attempt_exchange!r}"
            )
        if self.now < call.guarded_until_us:
            self.add_violation("guard", f"{action} {call.guarded_until_us - self.now} us too early")
        if self.states.get(action.exchange) is not api.ExchangeState.READY:
            self.add_violation("drain", f"{action}: its listed state is {self.states.get(action.exchange)}")
        cell = int(action.exchange[1:].split(b".")[0])
        if cell == 0 or call.offer.in_transit and cell != call.offer.destination:
            self.add_violation("route", f"{action} for cell {call.offer.destination}")
        if action.limit_us <= 0 or self.now + action.limit_us > call.due_us:
            self.add_violation("limit", f"{action} with {call.due_us - self.now} us left")
        call.attempt_exchange, call.attempts = action.exchange, call.attempts + 1
        if call.attempts > (self.settings.max_attempts or 99):
            self.add_violation("attempts", f"{action}: attempt {call.attempts}")

    def run(self, steps: list[Step]) -> list[Violation]:
        """Run a script, end its open calls, and let 40 s pass, after which the tables must be empty."""
        try:
            for step in steps:
                getattr(self, f"do_{step[0]}")(*step[1:])
                if self.violations:
                    return self.violations
            for number in list(self.calls):
                self.handle_event(api.CallerGone(number))
                self.calls.pop(number, None)
            self.do_wait(40_000_000)
        except Exception as error:
            self.add_violation("module raised", f"{type(error).__name__}: {error}")
            return self.violations
        controller = self.controller
        tables = {
            "calls": controller.calls,
            "set-ups out": [n for x in controller.exchanges.values() for n in x.pending],
            "timers": [None] * (len(controller.timers) - 1),
            "exchanges": [None] * (len(controller.exchanges) - len(self.states)),
            "busy numbers": [None] * (len(controller.busy_numbers) - MAX_BUSY_NUMBERS),
        }
        for name, table in tables.items():
            if table:
                self.add_violation("table not empty", f"{name}: {len(table)}")
        return self.violations

    def _pick_call(self, call_index: int, with_attempt: bool) -> OpenCall | None:
        """An open call, counted from the latest; ``with_attempt`` takes only calls with an attempt out."""
        candidates = [
            call
            for call in self.calls.values()
            if (call.attempt_exchange is not None) == with_attempt or not with_attempt
        ]
        return candidates[-1 - call_index % len(candidates)] if candidates else None

    def do_offer(self, destination: int, kind: int, left_us: int, flags: int) -> None:
        """A call is offered. Bits of ``flags``: 1 redialled, 2 in transit, 4 interrupted before."""
        self.number += 1
        offer = api.CallOffered(
            self.number,
            left_us,
            destination,
            kind,
            called_number=destination,
            redialled=bool(flags & 1),
            in_transit=bool(flags & 2),
            interrupted_before=bool(flags & 4),
            source_cell=3 if flags & 2 else None,
        )
        self.calls[self.number] = OpenCall(self.number, offer, self.now + left_us)
        self.handle_event(offer)

    def do_stands(self, call_index: int, took_us: int) -> None:
        """An attempt is answered."""
        if (call := self._pick_call(call_index, True)) is not None and call.attempt_exchange is not None:
            del self.calls[call.number]
            self.handle_event(api.CallStands(call.number, call.attempts - 1, call.attempt_exchange, took_us))

    def do_end(self, call_index: int, outcome_index: int, cause: int, downstream_overloaded: int) -> None:
        """An attempt fails."""
        if (call := self._pick_call(call_index, True)) is not None and call.attempt_exchange is not None:
            outcome, exchange, call.attempt_exchange = (
                FAILED_OUTCOMES[outcome_index],
                call.attempt_exchange,
                None,
            )
            if outcome in GUARDED_OUTCOMES:
                call.guarded_until_us = self.now + self.settings.guard_us
            self.handle_event(
                api.AttemptEnded(
                    call.number,
                    call.attempts - 1,
                    exchange,
                    outcome,
                    1000,
                    cause=api.Cause(cause),
                    downstream_overloaded=bool(downstream_overloaded),
                )
            )

    def do_stale(self, call_index: int, outcome_index: int) -> None:
        """An attempt ends that is already over or was never made."""
        self.handle_event(
            api.AttemptEnded(
                self.number + 1 - call_index, 7, self.exchange_id(1), FAILED_OUTCOMES[outcome_index]
            )
        )

    def do_gone(self, call_index: int) -> None:
        """A caller abandons its call."""
        if (call := self._pick_call(call_index, False)) is not None:
            self.handle_event(api.CallerGone(call.number))
            self.calls.pop(call.number, None)

    def do_load(self, cell: int, free: int, size: int, used: int, can_take: int) -> None:
        """An exchange reports its load."""
        self.handle_event(
            api.LoadSeen(
                self.exchange_id(1 + cell),
                api.Outcome.OK,
                0,
                api.Load(
                    LOAD_CHOICES[free],
                    LOAD_CHOICES[size],
                    LOAD_CHOICES[used],
                    can_take=LOAD_CHOICES[can_take],
                ),
            )
        )

    def do_list(self, mode: int, cell: int, state: int, other: int) -> None:
        """The exchange list changes, is sent whole, or can't be read; a replaced exchange has a new id."""
        kind = api.ListMode(mode)
        entries = [
            api.ExchangeEntry(
                self.exchange_id(1 + cell, other),
                1 + cell,
                api.ExchangeState(state),
                launched_us=self.now if other else 0,
            )
        ]
        if kind is api.ListMode.FAILED:
            entries = []
        elif kind is not api.ListMode.DELTA:
            entries += [
                api.ExchangeEntry(self.exchange_id(at), at) for at in range(CELL_COUNT + 1) if at != 1 + cell
            ]
        self.handle_event(api.Discovery(kind, entries))
        self.states = {
            key: value for key, value in self.states.items() if value is not api.ExchangeState.GONE
        }

    def do_report(self, cell: int, accept_tenths: int, reachable_cells: int) -> None:
        """Another controller sends its peer report."""
        self.handle_event(api.PeerReport(1 + cell, accept_tenths / 10, reachable_cells))

    def do_wait(self, us: int) -> None:
        """Time passes and timers fire; a call that is open past its deadline is a violation."""
        end = self.now + us
        while self.timers and self.timers[0][0] <= end:
            due, token = heapq.heappop(self.timers)
            self.now = max(self.now, due)
            self.handle_event(api.TimerDue(token))
        self.now = end
        for call in list(self.calls.values()):
            if self.now > call.due_us:
                del self.calls[call.number]
                self.add_violation("no answer", f"call {call.number}, due {self.now - call.due_us} us ago")


def run_script(steps: list[Step], seed: int = 1) -> tuple[list[Violation], dict[str, int]]:
    """Run a script; its violations, and the features that it reached with their counts."""
    runner = ControllerScriptRunner(seed)
    return runner.run(steps), runner.counts
