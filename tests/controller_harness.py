"""One controller that is driven by events made by hand."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from barleywheel import interface as api
from barleywheel.controller import Controller

START_US = 100_000_000
SECOND_US = 1_000_000
ActionT = TypeVar("ActionT")


def exchange_id(cell: int) -> api.ExchangeId:
    return b"xx" + bytes([cell]) + b"xxx"


def settings(**changes: Any) -> api.Settings:
    base = api.Settings(
        classes=[
            api.CallClass(aim_us=1_500_000, deadline_us=9 * SECOND_US, worth=1.0),
            api.CallClass(aim_us=1_500_000, deadline_us=9 * SECOND_US, worth=3.0),
        ],
        controllers=4,
        home_cell=0,
        guard_us=300_000,
        max_attempts=4,
        may_cancel=True,
        cold_from=0.3,
        cold_us=10 * SECOND_US,
        tip_multiple=2.0,
        fall_us=2 * SECOND_US,
        tick_us=5_000,
    )
    return replace(base, **changes)


class ControllerHarness:
    """One controller at exchange 0 of a mesh of 4, with 20 free circuits to each other exchange."""

    def __init__(self, cells: int = 4, seed: int = 1, **changes: Any) -> None:
        self.now = START_US
        self.controller = Controller(settings(**changes), seed)
        self.actions: list[api.Action] = []
        self.timers: list[tuple[int, int]] = []
        self.calls = 0
        self.send_event(
            api.Discovery(api.ListMode.CACHED, [api.ExchangeEntry(exchange_id(c), c) for c in range(cells)])
        )
        for cell in range(1, cells):
            self.set_circuits(cell, 20)

    def send_event(self, event: api.Event) -> list[api.Action]:
        actions = self.controller.handle(self.now, event)
        self.actions += actions
        self.timers += [(a.due_us, a.token) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def run(self, duration_us: int) -> list[api.Action]:
        """Advance the clock and deliver the timers that expire; returns the actions."""
        end_us, actions = self.now + duration_us, []
        while self.timers and min(self.timers)[0] <= end_us:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.send_event(api.TimerDue(due[1]))
        self.now = end_us
        return actions

    def set_circuits(self, cell: int, free: float, size: float = 20) -> list[api.Action]:
        load = api.Load(free_circuits=free, group_size=size)
        return self.send_event(api.LoadSeen(exchange_id(cell), api.Outcome.OK, 0, load))

    def offer_call(self, cell: int = 1, time_left_us: int = 3 * SECOND_US, **fields: Any) -> list[api.Action]:
        self.calls += 1
        return self.send_event(api.CallOffered(self.calls, time_left_us, cell, **fields))

    def end_attempt(
        self, outcome: api.Outcome, cell: int = 1, call: int = 0, attempt: int = 0, **fields: Any
    ) -> list[api.Action]:
        call = call or self.calls
        return self.send_event(api.AttemptEnded(call, attempt, exchange_id(cell), outcome, **fields))

    def establish_call(self, cell: int = 1, call: int = 0, elapsed_us: int = 50_000) -> list[api.Action]:
        return self.send_event(api.CallStands(call or self.calls, 0, exchange_id(cell), elapsed_us))


def actions_of_type(actions: list[api.Action], kind: type[ActionT]) -> list[ActionT]:
    return [action for action in actions if isinstance(action, kind)]
