"""The ordinary path, the rules and the defences, without the bench."""

from __future__ import annotations

import ast
import io
import random
import tokenize
from pathlib import Path
from typing import Any

import pytest

from barleywheel import controller
from barleywheel import interface as api
from barleywheel.interface import Cause, Outcome
from tests.controller_harness import SECOND_US, START_US, ControllerHarness, actions_of_type, exchange_id


def press(harness: ControllerHarness, cell: int = 1, epochs: int = 1) -> None:
    """Let each of a few epochs end with set-ups refused by a full processor."""
    for _ in range(epochs):
        for _ in range(4):
            if actions_of_type(harness.offer_call(cell), api.SetUp):
                harness.end_attempt(Outcome.REJECTED, cell, cause=Cause.PROCESSOR_OVERLOADED)
        harness.run(SECOND_US)


# Ordinary path.


def test_direct_first() -> None:
    harness = ControllerHarness()
    assert [a.exchange for a in actions_of_type(harness.offer_call(2), api.SetUp)] == [exchange_id(2)]


def test_overflow_to_a_tandem_when_the_group_is_full() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    assert sent.exchange in (exchange_id(2), exchange_id(3))


def test_tandem_weight_follows_success() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    tandem = harness.controller.exchanges[sent.exchange]
    harness.end_attempt(Outcome.REJECTED, sent.exchange[2], cause=Cause.CRANKBACK)
    assert tandem.tandem_weight == pytest.approx(controller.TANDEM_WEIGHT_FACTOR)
    harness.set_circuits(1, 0)
    harness.controller.exchanges[exchange_id(5 - sent.exchange[2])].free_circuits = 0
    harness.offer_call(1)
    harness.call_stands(sent.exchange[2])
    assert tandem.tandem_weight == pytest.approx(
        controller.TANDEM_WEIGHT_FACTOR + controller.TANDEM_WEIGHT_INCREASE
    )


def test_transit_goes_to_its_destination_or_back() -> None:
    harness = ControllerHarness()
    (sent,) = actions_of_type(harness.offer_call(2, in_transit=True, source_cell=1), api.SetUp)
    assert sent.exchange == exchange_id(2)
    harness.set_circuits(3, 0)
    actions = harness.offer_call(3, in_transit=True, source_cell=1)
    assert actions_of_type(actions, api.Refuse) and not actions_of_type(actions, api.SetUp)


def test_f_follows_reported_utilisation() -> None:
    harness = ControllerHarness()
    for _ in range(3):
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 1000, api.Load(utilisation=0.99)))
        harness.run(SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction == pytest.approx((0.9 / 0.99) ** 3)
    assert harness.controller.exchanges[exchange_id(2)].accept_fraction == 1.0


def test_f_falls_on_full_processors_and_a_refused_draw_tries_no_route() -> None:
    harness = ControllerHarness()
    press(harness, epochs=6)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction < 0.3
    refused = 0
    for _ in range(40):
        actions = harness.offer_call(1)
        if actions_of_type(actions, api.Refuse):
            refused += 1
            assert not actions_of_type(actions, api.SetUp)
        assert all(a.exchange == exchange_id(1) for a in actions_of_type(actions, api.SetUp))
    assert refused > 15


def test_f_recovers_to_one() -> None:
    harness = ControllerHarness()
    press(harness, epochs=6)
    harness.run(12 * SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction == 1.0


def test_own_occupancy_follows_the_set_up_delay() -> None:
    harness = ControllerHarness()
    for took in [10_000] * 12 + [1_000_000] * 60:
        harness.offer_call(1)
        harness.call_stands(took=took)
        harness.set_circuits(1, 20)
    harness.run(3 * SECOND_US)
    assert harness.controller.accept_fraction < 1.0


def test_circuits_are_counted_between_reports() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 1)
    harness.offer_call(1)
    assert actions_of_type(harness.offer_call(1), api.SetUp)[0].exchange != exchange_id(1)


# The five rules.


def test_rule_1_an_unanswered_call_fails_before_its_time_is_out() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, left=SECOND_US)
    actions = harness.run(SECOND_US)
    assert [a.call for a in actions_of_type(actions, api.Fail)] == [1]
    assert actions_of_type(actions, api.Cancel)
    harness.end_attempt(Outcome.CANCELLED)
    assert len([a for a in harness.actions if isinstance(a, api.Fail | api.Refuse)]) == 1


def test_rule_1_transit_is_answered_in_time_too() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, left=SECOND_US, in_transit=True, source_cell=2)
    assert [a.call for a in actions_of_type(harness.run(SECOND_US), api.Fail)] == [1]


def test_rule_1_nothing_is_sent_after_the_end() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.send_event(api.CallerGone(1))
    harness.end_attempt(Outcome.TIMEOUT)
    harness.send_event(api.CallerGone(1))
    harness.run(5 * SECOND_US)
    late = harness.actions[-20:]
    assert (
        len(actions_of_type(harness.actions, api.SetUp)) == 1
        and not actions_of_type(late, api.Fail)
        and not harness.controller.calls
    )


def test_rule_1_late_events_do_not_send_past_the_deadline() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1, left=SECOND_US), api.SetUp)
    harness.now += 2 * SECOND_US  # the timer has not been delivered
    actions = harness.end_attempt(Outcome.REJECTED, sent.exchange[2], cause=Cause.CRANKBACK)
    assert actions_of_type(actions, api.Fail) and not actions_of_type(actions, api.SetUp)


def test_rule_2_one_attempt_out() -> None:
    harness = ControllerHarness()
    rng = random.Random(5)
    out: set[int] = set()
    for _ in range(400):
        harness.set_circuits(1, rng.choice([0, 1, 20]))
        harness.offer_call(rng.choice([1, 2, 3]))
        for action in harness.actions:
            if isinstance(action, api.SetUp):
                assert action.call not in out
                out.add(action.call)
        harness.actions.clear()
        for number in rng.sample(sorted(out), k=len(out) // 2):
            call = harness.controller.calls.get(number)
            out.discard(number)
            if call is None or call.exchange is None:
                continue
            kind = rng.choice([Outcome.REJECTED, Outcome.TIMEOUT, Outcome.NOT_SENT])
            harness.end_attempt(
                kind, call.exchange.entry.cell, number, call.attempts - 1, cause=rng.choice(list(Cause))
            )
        harness.run(rng.choice([0, 100_000]))


@pytest.mark.parametrize("mode", [api.ListMode.DELTA, api.ListMode.FULL])
@pytest.mark.parametrize("state", [api.ExchangeState.DRAINING, api.ExchangeState.GONE])
def test_rule_3_nothing_new_to_a_draining_or_gone_exchange(
    mode: api.ListMode, state: api.ExchangeState
) -> None:
    harness = ControllerHarness()
    ready = [api.ExchangeEntry(exchange_id(c), c) for c in (0, 2, 3)] if mode is api.ListMode.FULL else []
    harness.send_event(api.Discovery(mode, [*ready, api.ExchangeEntry(exchange_id(1), 1, state)]))
    harness.set_circuits(2, 0)
    sent = [
        a
        for _ in range(20)
        for a in actions_of_type(harness.offer_call(1) + harness.offer_call(2), api.SetUp)
    ]
    assert all(a.exchange != exchange_id(1) for a in sent)


def test_rule_3_missing_from_a_full_list_means_gone() -> None:
    harness = ControllerHarness()
    harness.send_event(
        api.Discovery(api.ListMode.FULL, [api.ExchangeEntry(exchange_id(c), c) for c in (0, 2, 3)])
    )
    assert actions_of_type(harness.offer_call(1), api.Refuse)


def test_rule_4_a_cold_exchange_gets_our_share_at_most() -> None:
    harness = ControllerHarness(controllers=4)
    for _ in range(20):  # a usual rate of 4 calls a second to each
        for cell in (1, 2, 3):
            for _ in range(4):
                harness.offer_call(cell)
                harness.call_stands(cell)
                harness.set_circuits(cell, 20)
        harness.run(SECOND_US)
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=harness.now)])
    )
    harness.actions.clear()
    for _ in range(20):
        harness.set_circuits(1, 20)
        for _ in range(5):
            harness.offer_call(1)
            harness.call_stands()
        harness.run(100_000)
    share = 2.0 * 0.3 * 4 * 2  # multiple x coldest part x our usual rate x window
    sent = [a for a in actions_of_type(harness.actions, api.SetUp) if a.exchange == exchange_id(1)]
    assert 2 <= len(sent) <= share + 1


def test_rule_4_a_fresh_agent_sends_one_call_a_window() -> None:
    harness = ControllerHarness()
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=START_US)])
    )
    for _ in range(30):
        harness.offer_call(1)
    assert len(actions_of_type(harness.actions, api.SetUp)) == 1


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR])
@pytest.mark.parametrize("effect", list(api.Effect))
def test_rule_5_a_call_that_may_have_run_is_failed_and_never_sent_again(
    outcome: Outcome, effect: api.Effect
) -> None:
    harness = ControllerHarness(
        classes=[api.CallClass(aim_us=SECOND_US, deadline_us=9 * SECOND_US, effect=effect)]
    )
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    harness.now += 100_000
    actions = harness.end_attempt(outcome, sent.exchange[2]) + harness.run(5 * SECOND_US)
    assert len(actions_of_type(actions, api.Fail)) == 1
    assert not actions_of_type(actions, api.SetUp) and not actions_of_type(actions, api.Refuse)


# Defences.


def test_breaker_opens_on_silence_and_one_trial_call_closes_it() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.run(1_500_000)
    harness.end_attempt(Outcome.TIMEOUT)
    assert harness.controller.exchanges[exchange_id(1)].breaker_open
    harness.run(SECOND_US)
    harness.controller.exchanges[exchange_id(1)].accept_fraction = 1.0
    trial = harness.offer_call(1)
    assert actions_of_type(trial, api.SetUp)
    assert actions_of_type(harness.offer_call(1), api.Refuse)
    harness.call_stands(call=2)
    assert not harness.controller.exchanges[exchange_id(1)].breaker_open and actions_of_type(
        harness.offer_call(1), api.SetUp
    )


def test_breaker_opens_while_calls_still_wait() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, left=9 * SECOND_US)
    harness.run(3 * SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].breaker_open


def test_breaker_stays_closed_while_others_are_answered() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.run(500_000)
    harness.offer_call(1)
    harness.call_stands(call=2)
    harness.run(SECOND_US)
    harness.end_attempt(Outcome.TIMEOUT, call=1)
    assert not harness.controller.exchanges[exchange_id(1)].breaker_open


def test_falling_can_take_lowers_f_and_an_old_figure_does_not() -> None:
    harness = ControllerHarness()
    for value in (12.0, 3.0):
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=value)))
    harness.run(SECOND_US)
    low = harness.controller.exchanges[exchange_id(1)].accept_fraction
    assert low == pytest.approx(0.5)
    harness.run(SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction > low


def test_unknown_load_is_not_zero_load() -> None:
    harness = ControllerHarness()
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(utilisation=0.95)))
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load()))
    harness.run(SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction < 1.0


def test_long_set_up_delay_beyond_our_own_lowers_f() -> None:
    harness = ControllerHarness()
    for _ in range(6):
        for cell, took in ((1, 1_400_000), (2, 50_000), (3, 50_000)):
            harness.offer_call(cell)
            harness.call_stands(cell, took=took)
    harness.run(SECOND_US)
    assert (
        harness.controller.exchanges[exchange_id(1)].accept_fraction < 1.0
        and harness.controller.exchanges[exchange_id(2)].accept_fraction == 1.0
    )


def test_trunk_reservation_keeps_the_last_circuits_for_direct_calls() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    for cell in (2, 3):
        harness.set_circuits(cell, 5)
    assert actions_of_type(harness.offer_call(1), api.Refuse)
    assert actions_of_type(harness.offer_call(2), api.SetUp)


def test_no_overflow_towards_a_pressed_processor() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    harness.controller.exchanges[exchange_id(1)].accept_fraction = 0.5
    assert actions_of_type(harness.offer_call(1), api.Refuse)


def test_crankback_tries_another_tandem_within_the_attempts() -> None:
    harness = ControllerHarness(max_attempts=2)
    harness.set_circuits(1, 0)
    (one,) = actions_of_type(harness.offer_call(1), api.SetUp)
    (two,) = actions_of_type(
        harness.end_attempt(Outcome.REJECTED, one.exchange[2], cause=Cause.CRANKBACK), api.SetUp
    )
    assert two.exchange != one.exchange
    last = harness.end_attempt(Outcome.REJECTED, two.exchange[2], attempt=1, cause=Cause.CRANKBACK)
    assert actions_of_type(last, api.Refuse)
    assert not actions_of_type(last, api.SetUp)


def test_a_full_processor_beyond_is_not_tried_again() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    (one,) = actions_of_type(harness.offer_call(1), api.SetUp)
    back = harness.end_attempt(
        Outcome.REJECTED, one.exchange[2], cause=Cause.CRANKBACK, downstream_overloaded=True
    )
    assert actions_of_type(back, api.Refuse)


def test_the_draw_refuses_low_worth_first_at_equal_mean() -> None:
    harness = ControllerHarness()
    target = harness.controller.exchanges[exchange_id(1)]
    taken = {0: 0, 1: 0}
    for index in range(400):
        kind = index % 2
        harness.set_circuits(1, 20)
        target.accept_fraction = 0.5
        if actions_of_type(harness.offer_call(1, call_class=kind), api.SetUp):
            taken[kind] += 1
            harness.call_stands()
    assert taken[1] > 190 and taken[0] < 20


def test_redialled_calls_rank_below_first_tries() -> None:
    harness = ControllerHarness()
    target = harness.controller.exchanges[exchange_id(1)]
    taken = {True: 0, False: 0}
    for index in range(200):
        harness.set_circuits(1, 20)
        target.accept_fraction = 0.5
        if actions_of_type(harness.offer_call(1, redialled=index % 2 == 0), api.SetUp):
            taken[index % 2 == 0] += 1
            harness.call_stands()
    assert taken[False] > 4 * taken[True]


def test_numbers_found_busy_are_remembered_for_a_bounded_time_and_number() -> None:
    harness = ControllerHarness()
    for number in range(100, 400):
        harness.set_circuits(1, 20)
        harness.offer_call(1, called_number=number)
        harness.end_attempt(Outcome.ERROR, cause=Cause.SUBSCRIBER_BUSY)
    assert len(harness.controller.busy_numbers) == controller.MAX_BUSY_NUMBERS
    harness.run(controller.BUSY_NUMBER_US)
    harness.set_circuits(1, 0)
    assert actions_of_type(harness.offer_call(1, called_number=399), api.SetUp)


def test_attempts_end_with_the_aim() -> None:
    harness = ControllerHarness()
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    assert sent.limit_us == 1_500_000


# Other settings and bad input.


def test_pools_take_second_choices_of_the_class_only() -> None:
    kind = api.CallClass(aim_us=SECOND_US, deadline_us=9 * SECOND_US, pools=(1, 3))
    harness = ControllerHarness(pools=True, home_cell=-1, classes=[kind])
    harness.set_circuits(1, 0)
    assert [a.exchange for a in actions_of_type(harness.offer_call(1), api.SetUp)] == [exchange_id(3)]


def test_wide_calls_need_that_many_circuits() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 3)
    assert actions_of_type(harness.offer_call(1, width=4.0), api.SetUp)[0].exchange != exchange_id(1)


def test_discovery_on_request_is_asked_for_again_until_it_answers() -> None:
    harness = ControllerHarness(discovery_on_request=True, ask_within_us=4 * SECOND_US)
    assert len(actions_of_type(harness.actions, api.Subscribe)) == 1
    harness.send_event(api.Discovery(api.ListMode.FAILED, []))
    harness.run(3 * SECOND_US)
    assert len(actions_of_type(harness.actions, api.Subscribe)) >= 2
    harness.send_event(api.Discovery(api.ListMode.DELTA, []))
    harness.actions.clear()
    harness.run(20 * SECOND_US)
    assert not actions_of_type(harness.actions, api.Subscribe)
    harness.send_event(api.Discovery(api.ListMode.FAILED, []))
    harness.run(3 * SECOND_US)
    assert actions_of_type(harness.actions, api.Subscribe)


def test_no_cancel_where_it_is_not_allowed() -> None:
    harness = ControllerHarness(may_cancel=False)
    harness.offer_call(1, left=SECOND_US)
    harness.run(2 * SECOND_US)
    assert actions_of_type(harness.actions, api.Fail) and not actions_of_type(harness.actions, api.Cancel)


def test_senseless_events_do_no_harm() -> None:
    harness = ControllerHarness()
    harness.send_event(api.PeerReport(77, 0.0, 0))
    harness.send_event(api.TimerDue(999_999))
    harness.send_event(api.CallStands(77, 0, b"??????", 5))
    harness.end_attempt(Outcome.OK, call=77, final=True)
    harness.send_event(api.LoadSeen(b"??????", Outcome.OK, 0, api.Load(free_circuits=3)))
    harness.send_event(api.Discovery(api.ListMode.FAILED, []))
    assert actions_of_type(harness.offer_call(9), api.Refuse)
    assert actions_of_type(harness.offer_call(0), api.Refuse)
    assert actions_of_type(harness.offer_call(1, left=0), api.Fail)
    assert actions_of_type(harness.offer_call(1, call_class=9), api.Refuse)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_state_is_bounded() -> None:
    harness = ControllerHarness()
    for number in range(3000):
        harness.set_circuits(1, 20)
        harness.offer_call(1, called_number=number)
        harness.call_stands()
        harness.run(50_000)
    state = harness.controller
    assert not state.calls and len(state.timers) < 70 and not state.exchanges[exchange_id(1)].pending
    assert len(state.exchanges[exchange_id(1)].recent_sends) < 60


def code_lines(text: str) -> set[int]:
    """Numbers of the lines that hold code: neither blank, nor a comment alone, nor part of a docstring."""
    docstrings: set[int] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            first = node.body[0] if node.body else None
            if isinstance(first, ast.Expr) and ast.get_docstring(node) is not None:
                docstrings |= set(range(first.lineno, (first.end_lineno or first.lineno) + 1))
    layout = (
        tokenize.COMMENT,
        tokenize.NL,
        tokenize.NEWLINE,
        tokenize.INDENT,
        tokenize.DEDENT,
        tokenize.ENDMARKER,
    )
    return {
        line
        for token in tokenize.generate_tokens(io.StringIO(text).readline)
        if token.type not in layout
        for line in range(token.start[0], token.end[0] + 1)
    } - docstrings


def test_code_lines_leave_out_blank_lines_comments_and_docstrings() -> None:
    text = '"""Two\n\nlines."""\n\n# Comment.\nx = (\n    1,  # one\n\n)\n\n\ndef f() -> str:\n'
    text += '    """Docstring."""\n    return """a\n# b\n"""\n'
    assert code_lines(text) == {6, 7, 9, 12, 14, 15, 16}


def test_module_limits() -> None:
    """The decision module stays small, and free of I/O and clocks."""
    text = Path(controller.__file__).read_text()
    assert len(code_lines(text)) <= 500
    assert max(map(len, text.splitlines())) <= 110
    imported: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            imported |= (
                {f"barleywheel.{alias.name}" for alias in node.names}
                if node.module == "barleywheel"
                else {node.module or ""}
            )
    assert imported <= {"__future__", "collections", "random", "barleywheel.interface"}
    assert not {"open", "__import__", "exec", "eval", "print", "input"} & {
        node.id for node in ast.walk(ast.parse(text)) if isinstance(node, ast.Name)
    }


def test_no_overflow_for_a_number_lately_busy() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, called_number=7)
    harness.end_attempt(Outcome.ERROR, cause=Cause.SUBSCRIBER_BUSY)
    harness.run(SECOND_US)
    harness.set_circuits(1, 0)
    assert actions_of_type(harness.offer_call(1, called_number=7), api.Refuse)
    assert actions_of_type(harness.offer_call(1, called_number=8), api.SetUp)


def test_redialled_calls_leave_the_last_circuits_to_first_tries() -> None:
    harness = ControllerHarness(cells=2)
    harness.set_circuits(1, 2)
    assert actions_of_type(harness.offer_call(1, redialled=True), api.Refuse)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_an_exchange_found_unreachable_comes_back_slowly() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.end_attempt(Outcome.UNREACHABLE)
    harness.run(3 * SECOND_US)
    harness.offer_call(1)
    harness.call_stands()
    harness.actions.clear()
    for _ in range(10):
        harness.set_circuits(1, 20)
        harness.offer_call(1)
    assert not actions_of_type(harness.actions, api.SetUp)
    harness.run(10 * SECOND_US)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), 1e30])
def test_absurd_load_figures_are_unknown(value: float) -> None:
    harness = ControllerHarness()
    load = api.Load(free_circuits=value, group_size=value, utilisation=value, can_take=value)
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, load))
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=12.0)))
    harness.run(3 * SECOND_US)
    assert (
        harness.controller.exchanges[exchange_id(1)].accept_fraction == 1.0
        and harness.controller.exchanges[exchange_id(1)].free_circuits == 20
    )


def test_rule_4_the_share_shrinks_with_the_number_of_controllers() -> None:
    harness = ControllerHarness(controllers=50)
    for cell in (2, 3):
        harness.send_event(api.LoadSeen(exchange_id(cell), Outcome.OK, 9, api.Load(can_take=10.0)))
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=START_US)])
    )
    for _ in range(50):
        harness.offer_call(1)
        harness.call_stands()
        harness.run(100_000)
    # 2 x 0.3 x 10 a second / 50 x 2 s is a quarter of a call.
    assert len(actions_of_type(harness.actions, api.SetUp)) == 1
    harness.run(6 * SECOND_US)  # warm by now
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_rule_4_sends_before_the_news_of_a_start_count() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.call_stands()
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=START_US)])
    )
    assert actions_of_type(harness.offer_call(1), api.Refuse)


# What controllers tell each other.


def test_overflow_goes_only_where_a_tandem_told_of_room() -> None:
    harness = ControllerHarness(may_message=True)
    harness.set_circuits(1, 0)
    harness.send_event(api.PeerReport(2, 1.0, 0b1000))  # circuits to 3 only
    for _ in range(10):
        (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
        assert sent.exchange == exchange_id(3)
        harness.call_stands(3)
        harness.set_circuits(3, 20)
    harness.send_event(api.PeerReport(3, 1.0, 0))
    assert actions_of_type(harness.offer_call(1), api.Refuse)
    harness.send_event(api.PeerReport(2, 1.0, 0b10))
    assert actions_of_type(harness.offer_call(1), api.SetUp)[0].exchange == exchange_id(2)


def test_a_told_fraction_holds_back_calls_and_overflow_and_fades_without_news() -> None:
    harness = ControllerHarness(may_message=True)
    harness.send_event(api.PeerReport(1, 0.0, 0))
    assert sum(len(actions_of_type(harness.offer_call(1), api.SetUp)) for _ in range(100)) < 30
    harness.set_circuits(2, 0)
    assert all(a.exchange != exchange_id(1) for a in actions_of_type(harness.offer_call(2), api.SetUp))
    harness.run(120 * SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].reported_fraction == 1.0


def test_a_processor_whose_every_set_up_waits_is_told_and_holds_its_own_calls() -> None:
    harness = ControllerHarness(may_message=True)
    for took in [20_000] * 6 + [900_000] * 24:
        for cell in (1, 2, 3):
            if actions_of_type(harness.offer_call(cell), api.SetUp):
                harness.call_stands(cell, took=took)
            harness.set_circuits(cell, 20)
        harness.run(500_000)
    assert actions_of_type(harness.actions, api.PeerReport)[-1].accept_fraction < 0.5
    assert actions_of_type(harness.actions, api.PeerReport)[-1].cell == 0


def test_a_hung_own_processor_is_told_within_a_few_seconds() -> None:
    harness = ControllerHarness(may_message=True)
    for _ in range(4):
        for cell in (1, 2, 3):
            harness.offer_call(cell)
        harness.run(500_000)
    assert actions_of_type(harness.actions, api.PeerReport)[-1].accept_fraction < 0.8


def test_one_slow_far_processor_is_not_taken_for_our_own() -> None:
    harness = ControllerHarness(may_message=True)
    for _ in range(20):
        for cell, took in ((1, 1_400_000), (2, 30_000), (3, 30_000)):
            harness.offer_call(cell)
            harness.call_stands(cell, took=took)
            harness.set_circuits(cell, 20)
        harness.run(500_000)
    assert all(a.accept_fraction == 1.0 for a in actions_of_type(harness.actions, api.PeerReport))


def test_reports_of_a_mesh_of_60_are_few_and_none_where_not_allowed() -> None:
    harness = ControllerHarness(cells=60, controllers=60, may_message=True)
    harness.run(200 * SECOND_US)
    assert 1 <= len(actions_of_type(harness.actions, api.PeerReport)) <= 4
    assert actions_of_type(harness.actions, api.PeerReport)[0].reachable_cells == (1 << 60) - 2
    silent = ControllerHarness(cells=60, controllers=60)
    silent.run(60 * SECOND_US)
    assert not actions_of_type(silent.actions, api.PeerReport)


def test_news_waits_while_many_others_tell_theirs() -> None:
    told = {}
    for heard in (0, 90):
        harness = ControllerHarness(cells=100, controllers=100, may_message=True)
        harness.run(2 * SECOND_US)
        harness.actions.clear()
        for _ in range(8):
            for cell in range(1, 60):
                harness.offer_call(cell)
            for cell in range(heard):
                harness.send_event(api.PeerReport(cell % 99 + 1, 0.5, 0))
            harness.run(SECOND_US)
        told[heard] = len(actions_of_type(harness.actions, api.PeerReport))
    assert told[0] >= 2 and told[90] <= 1


def test_full_answers_from_everywhere_are_our_own_processors() -> None:
    harness = ControllerHarness(may_message=True)
    for _ in range(6):
        for cell in (1, 2, 3):
            if actions_of_type(harness.offer_call(cell), api.SetUp):
                harness.end_attempt(Outcome.REJECTED, cell, cause=Cause.PROCESSOR_OVERLOADED)
        harness.run(500_000)
    assert min(a.accept_fraction for a in actions_of_type(harness.actions, api.PeerReport)) < 0.6
    # Full from one, while calls to the others stand: the far one's.
    other = ControllerHarness(may_message=True)
    for _ in range(6):
        if actions_of_type(other.offer_call(1), api.SetUp):
            other.end_attempt(Outcome.REJECTED, 1, cause=Cause.PROCESSOR_OVERLOADED)
        other.offer_call(2)
        other.call_stands(2)
        other.run(500_000)
    assert other.controller.inbound_fraction == 1.0


def test_redialled_calls_take_no_second_group() -> None:
    harness = ControllerHarness()
    for free in (0.0, 1.0):  # none, and none beyond the reservation
        harness.set_circuits(1, free)
        assert actions_of_type(harness.offer_call(1, redialled=True), api.Refuse)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_rule_4_a_cold_exchange_is_measured_by_what_it_could_take_and_says_it_can() -> None:
    sent = {}
    for said in (None, 12.0, 1000.0):
        harness = ControllerHarness(controllers=4)
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=20.0)))
        harness.send_event(
            api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=harness.now)])
        )
        harness.run(5 * SECOND_US)
        if said:
            harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=said)))
        harness.actions.clear()
        for _ in range(60):
            harness.set_circuits(1, 20)
            if actions_of_type(harness.offer_call(1), api.SetUp):
                harness.call_stands()
        sent[said] = len(actions_of_type(harness.actions, api.SetUp))
    share = 2.0 * 2 / 4  # multiple x window over controllers
    assert sent[None] == share * 0.3 * 20  # the coldest share of what it could take before
    assert sent[12.0] == share * 12  # what it says
    assert sent[1000.0] <= share * 0.65 * 20 + 1  # never more than steady warming gives


def test_rule_4_in_a_mesh_of_60_all_agents_together_keep_the_budget() -> None:
    sent = 0
    for seed in range(60):
        harness = ControllerHarness(cells=60, seed=seed, controllers=60)
        for cell in range(2, 60):
            harness.send_event(api.LoadSeen(exchange_id(cell), Outcome.OK, 9, api.Load(can_take=12.0)))
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=12.0)))
        harness.offer_call(1)
        harness.call_stands()
        harness.send_event(
            api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=harness.now)])
        )
        harness.actions.clear()
        for _ in range(18):
            harness.offer_call(1)
            harness.run(500_000)
        sent += len(actions_of_type(harness.actions, api.SetUp))
    assert 0 < sent <= 2.0 * 0.3 * 12 * 9  # multiple x coldest share x size over nine seconds


def test_a_burst_is_held_back_within_the_epoch() -> None:
    harness = ControllerHarness()
    sent = 0
    for cell in (1, 2, 3) * 40:
        harness.set_circuits(cell, 20)
        sent += len(actions_of_type(harness.offer_call(cell), api.SetUp))
    assert controller.MIN_BURST <= sent < 60
    steady = ControllerHarness()  # as many calls, each standing before the next: no burst
    for cell in (1, 2, 3) * 40:
        steady.set_circuits(cell, 20)
        assert actions_of_type(steady.offer_call(cell), api.SetUp)
        steady.call_stands(cell)


# Bad input gets a safe decision.


def test_a_group_of_size_0_is_never_sent_to_directly() -> None:
    harness = ControllerHarness(may_message=True)
    harness.set_circuits(1, 0, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    assert sent.exchange != exchange_id(1)
    harness.run(10 * SECOND_US)
    assert not actions_of_type(harness.actions, api.PeerReport)[-1].reachable_cells & 0b10


def test_lists_alike_in_all_attributes_are_followed() -> None:
    harness = ControllerHarness()
    harness.send_event(
        api.Discovery(api.ListMode.FULL, [api.ExchangeEntry(exchange_id(c), 1) for c in range(4)])
    )
    assert actions_of_type(harness.offer_call(1), api.SetUp)
    assert actions_of_type(harness.offer_call(2), api.Refuse)


def test_hours_of_service_leave_bounded_state_and_open_fractions() -> None:
    harness = ControllerHarness(may_message=True)
    for turn in range(400):
        for cell in (1, 2, 3):
            harness.set_circuits(cell, 20)
            harness.offer_call(cell, called_number=turn)
            harness.call_stands(cell)
        if turn % 10 == 0:
            harness.send_event(api.PeerReport(1, 0.2, 0b1100))
        harness.run(30 * SECOND_US)
    state = harness.controller
    assert (
        not state.calls and len(state.timers) <= 2 and len(state.busy_numbers) <= controller.MAX_BUSY_NUMBERS
    )
    assert state.accept_fraction == state.inbound_fraction == 1.0 and all(
        x.accept_fraction == 1.0 for x in state.exchanges.values()
    )
    assert actions_of_type(harness.offer_call(2), api.SetUp)


@pytest.mark.parametrize(
    ("allowed", "transit", "advice"), [(True, False, SECOND_US), (True, True, 0), (False, False, 0)]
)
def test_a_refusal_says_when_to_come_back_where_callers_hear_it(
    allowed: bool, transit: bool, advice: int
) -> None:
    harness = ControllerHarness(retry_after=allowed, max_retry_after_us=2 * SECOND_US)
    (refused,) = actions_of_type(harness.offer_call(9, in_transit=transit), api.Refuse)
    assert refused.retry_after_us == advice


@pytest.mark.parametrize(
    ("changes", "ended", "sent"),
    [
        ({}, {}, 4),
        ({"effect": api.Effect.GUARDED}, {}, 1),
        ({}, {"cause": Cause.SUBSCRIBER_BUSY}, 1),
        ({"aim_us": 150_000}, {}, 2),
    ],  # the third would come after the aim
)
def test_a_harmless_call_that_ends_in_error_is_sent_again_at_once(
    changes: dict[str, Any], ended: dict[str, Any], sent: int
) -> None:
    """Three more times, to the same exchange; errors may be a share of all only."""
    harness = ControllerHarness(
        classes=[api.CallClass(**{"aim_us": SECOND_US, "deadline_us": 9 * SECOND_US} | changes)]
    )
    harness.offer_call(1)
    assert actions_of_type(harness.end_attempt(Outcome.ERROR), api.Fail)  # a lone error is not worth the work
    actions, made = harness.offer_call(1), 0
    while actions_of_type(actions, api.SetUp):
        assert actions_of_type(actions, api.SetUp)[0].exchange == exchange_id(1)
        harness.now += 60_000
        actions, made = harness.end_attempt(Outcome.ERROR, attempt=made, **ended), made + 1
    assert made == sent and len(actions_of_type(actions, api.Fail)) == 1


def test_a_lost_answer_is_no_queue() -> None:
    """One set-up in ten stays unanswered while later ones stand: nothing is refused for it."""
    harness = ControllerHarness(classes=[api.CallClass(aim_us=300_000, deadline_us=2 * SECOND_US)])
    refused = 0
    for at in range(200):
        harness.set_circuits(1, 20)
        refused += len(actions_of_type(harness.offer_call(1), api.Refuse))
        harness.run(20_000)
        if at % 10:
            harness.call_stands(took=20_000)
        elif at > 10:
            harness.end_attempt(Outcome.TIMEOUT, call=harness.calls - 10)
    assert not refused
