"""Tests of the call controller with hand-made events: routing, the five rules, overload control, reports."""

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


def overload(harness: ControllerHarness, cell: int = 1, epochs: int = 1) -> None:
    """Let set-ups be refused by an overloaded processor during some epochs."""
    for _ in range(epochs):
        for _ in range(4):
            if actions_of_type(harness.offer_call(cell), api.SetUp):
                harness.end_attempt(Outcome.REJECTED, cell, cause=Cause.PROCESSOR_OVERLOADED)
        harness.run(SECOND_US)


# Routing and admission.


def test_the_direct_group_is_tried_first() -> None:
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
    harness.establish_call(sent.exchange[2])
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


def test_accept_fraction_follows_reported_utilisation() -> None:
    harness = ControllerHarness()
    for _ in range(3):
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 1000, api.Load(utilisation=0.99)))
        harness.run(SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction == pytest.approx((0.9 / 0.99) ** 3)
    assert harness.controller.exchanges[exchange_id(2)].accept_fraction == 1.0


def test_accept_fraction_falls_on_overload_and_a_call_not_admitted_tries_no_route() -> None:
    harness = ControllerHarness()
    overload(harness, epochs=6)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction < 0.3
    refused = 0
    for _ in range(40):
        actions = harness.offer_call(1)
        if actions_of_type(actions, api.Refuse):
            refused += 1
            assert not actions_of_type(actions, api.SetUp)
        assert all(a.exchange == exchange_id(1) for a in actions_of_type(actions, api.SetUp))
    assert refused > 15


def test_accept_fraction_recovers_to_one() -> None:
    harness = ControllerHarness()
    overload(harness, epochs=6)
    harness.run(12 * SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction == 1.0


def test_own_occupancy_follows_the_set_up_delay() -> None:
    harness = ControllerHarness()
    for delay_us in [10_000] * 12 + [1_000_000] * 60:
        harness.offer_call(1)
        harness.establish_call(elapsed_us=delay_us)
        harness.set_circuits(1, 20)
    harness.run(3 * SECOND_US)
    assert harness.controller.accept_fraction < 1.0


def test_circuits_are_counted_between_reports() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 1)
    harness.offer_call(1)
    assert actions_of_type(harness.offer_call(1), api.SetUp)[0].exchange != exchange_id(1)


# The five rules: one final answer per call before its deadline; never two attempts in progress; nothing new
# to an exchange that is draining or gone; no overload of a cold exchange; no retry before the guard time
# after a broken attempt.


def test_an_unanswered_call_fails_before_its_deadline() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, time_left_us=SECOND_US)
    actions = harness.run(SECOND_US)
    assert [a.call for a in actions_of_type(actions, api.Fail)] == [1]
    assert actions_of_type(actions, api.Cancel)
    harness.end_attempt(Outcome.CANCELLED)
    assert len([a for a in harness.actions if isinstance(a, api.Fail | api.Refuse)]) == 1


def test_an_unanswered_transit_call_fails_before_its_deadline() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, time_left_us=SECOND_US, in_transit=True, source_cell=2)
    assert [a.call for a in actions_of_type(harness.run(SECOND_US), api.Fail)] == [1]


def test_nothing_is_sent_for_a_call_whose_caller_is_gone() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.send_event(api.CallerGone(1))
    harness.end_attempt(Outcome.TIMEOUT)
    harness.send_event(api.CallerGone(1))
    harness.run(5 * SECOND_US)
    later = harness.actions[-20:]
    assert (
        len(actions_of_type(harness.actions, api.SetUp)) == 1
        and not actions_of_type(later, api.Fail)
        and not harness.controller.calls
    )


def test_late_events_do_not_send_past_the_deadline() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1, time_left_us=SECOND_US), api.SetUp)
    harness.now += 2 * SECOND_US  # the deadline timer has not been delivered
    actions = harness.end_attempt(Outcome.REJECTED, sent.exchange[2], cause=Cause.CRANKBACK)
    assert actions_of_type(actions, api.Fail) and not actions_of_type(actions, api.SetUp)


def test_a_call_never_has_two_attempts_in_progress() -> None:
    harness = ControllerHarness()
    rng = random.Random(5)
    in_progress: set[int] = set()
    for _ in range(400):
        harness.set_circuits(1, rng.choice([0, 1, 20]))
        harness.offer_call(rng.choice([1, 2, 3]))
        for action in harness.actions:
            if isinstance(action, api.SetUp):
                assert action.call not in in_progress
                in_progress.add(action.call)
        harness.actions.clear()
        for number in rng.sample(sorted(in_progress), k=len(in_progress) // 2):
            call = harness.controller.calls.get(number)
            in_progress.discard(number)
            if call is None or call.exchange is None:
                continue
            outcome = rng.choice([Outcome.REJECTED, Outcome.TIMEOUT, Outcome.NOT_SENT])
            harness.end_attempt(
                outcome, call.exchange.entry.cell, number, call.attempts - 1, cause=rng.choice(list(Cause))
            )
        harness.run(rng.choice([0, 100_000]))


@pytest.mark.parametrize("mode", [api.ListMode.DELTA, api.ListMode.FULL])
@pytest.mark.parametrize("state", [api.ExchangeState.DRAINING, api.ExchangeState.GONE])
def test_nothing_new_to_a_draining_or_gone_exchange(mode: api.ListMode, state: api.ExchangeState) -> None:
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


def test_an_exchange_missing_from_a_full_list_is_gone() -> None:
    harness = ControllerHarness()
    harness.send_event(
        api.Discovery(api.ListMode.FULL, [api.ExchangeEntry(exchange_id(c), c) for c in (0, 2, 3)])
    )
    assert actions_of_type(harness.offer_call(1), api.Refuse)


def test_a_cold_exchange_gets_at_most_our_share() -> None:
    harness = ControllerHarness(controllers=4)
    for _ in range(20):  # a send rate of 4 calls a second to each exchange
        for cell in (1, 2, 3):
            for _ in range(4):
                harness.offer_call(cell)
                harness.establish_call(cell)
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
            harness.establish_call()
        harness.run(100_000)
    share = 2.0 * 0.3 * 4 * 2  # tip_multiple x cold_from x send rate x window
    sent = [a for a in actions_of_type(harness.actions, api.SetUp) if a.exchange == exchange_id(1)]
    assert 2 <= len(sent) <= share + 1


def test_a_controller_without_history_sends_a_cold_exchange_one_call_a_window() -> None:
    harness = ControllerHarness()
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=START_US)])
    )
    for _ in range(30):
        harness.offer_call(1)
    assert len(actions_of_type(harness.actions, api.SetUp)) == 1


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR])
@pytest.mark.parametrize("effect", list(api.Effect))
def test_a_call_is_never_sent_again_after_a_broken_attempt(outcome: Outcome, effect: api.Effect) -> None:
    harness = ControllerHarness(
        classes=[api.CallClass(aim_us=SECOND_US, deadline_us=9 * SECOND_US, effect=effect)]
    )
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    harness.now += 100_000
    actions = harness.end_attempt(outcome, sent.exchange[2]) + harness.run(5 * SECOND_US)
    assert len(actions_of_type(actions, api.Fail)) == 1
    assert not actions_of_type(actions, api.SetUp) and not actions_of_type(actions, api.Refuse)


# Overload control.


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
    harness.establish_call(call=2)
    assert not harness.controller.exchanges[exchange_id(1)].breaker_open and actions_of_type(
        harness.offer_call(1), api.SetUp
    )


def test_breaker_opens_while_calls_still_wait() -> None:
    harness = ControllerHarness()
    harness.offer_call(1, time_left_us=9 * SECOND_US)
    harness.run(3 * SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].breaker_open


def test_breaker_stays_closed_while_others_are_answered() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.run(500_000)
    harness.offer_call(1)
    harness.establish_call(call=2)
    harness.run(SECOND_US)
    harness.end_attempt(Outcome.TIMEOUT, call=1)
    assert not harness.controller.exchanges[exchange_id(1)].breaker_open


def test_falling_can_take_lowers_the_accept_fraction_and_an_old_figure_does_not() -> None:
    harness = ControllerHarness()
    for value in (12.0, 3.0):
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=value)))
    harness.run(SECOND_US)
    lowered = harness.controller.exchanges[exchange_id(1)].accept_fraction
    assert lowered == pytest.approx(0.5)
    harness.run(SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction > lowered


def test_unknown_load_is_not_zero_load() -> None:
    harness = ControllerHarness()
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(utilisation=0.95)))
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load()))
    harness.run(SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].accept_fraction < 1.0


def test_set_up_delay_beyond_our_own_lowers_the_accept_fraction() -> None:
    harness = ControllerHarness()
    for _ in range(6):
        for cell, delay_us in ((1, 1_400_000), (2, 50_000), (3, 50_000)):
            harness.offer_call(cell)
            harness.establish_call(cell, elapsed_us=delay_us)
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


def test_no_overflow_towards_an_overloaded_processor() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    harness.controller.exchanges[exchange_id(1)].accept_fraction = 0.5
    assert actions_of_type(harness.offer_call(1), api.Refuse)


def test_crankback_tries_another_tandem_up_to_max_attempts() -> None:
    harness = ControllerHarness(max_attempts=2)
    harness.set_circuits(1, 0)
    (first,) = actions_of_type(harness.offer_call(1), api.SetUp)
    (second,) = actions_of_type(
        harness.end_attempt(Outcome.REJECTED, first.exchange[2], cause=Cause.CRANKBACK), api.SetUp
    )
    assert second.exchange != first.exchange
    last = harness.end_attempt(Outcome.REJECTED, second.exchange[2], attempt=1, cause=Cause.CRANKBACK)
    assert actions_of_type(last, api.Refuse)
    assert not actions_of_type(last, api.SetUp)


def test_an_overloaded_processor_downstream_is_not_tried_again() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    actions = harness.end_attempt(
        Outcome.REJECTED, sent.exchange[2], cause=Cause.CRANKBACK, downstream_overloaded=True
    )
    assert actions_of_type(actions, api.Refuse)


def test_calls_of_low_worth_are_refused_first_at_the_same_accept_fraction() -> None:
    harness = ControllerHarness()
    target = harness.controller.exchanges[exchange_id(1)]
    admitted = {0: 0, 1: 0}
    for index in range(400):
        call_class_index = index % 2
        harness.set_circuits(1, 20)
        target.accept_fraction = 0.5
        if actions_of_type(harness.offer_call(1, call_class=call_class_index), api.SetUp):
            admitted[call_class_index] += 1
            harness.establish_call()
    assert admitted[1] > 190 and admitted[0] < 20


def test_redialled_calls_rank_below_first_tries() -> None:
    harness = ControllerHarness()
    target = harness.controller.exchanges[exchange_id(1)]
    admitted = {True: 0, False: 0}
    for index in range(200):
        harness.set_circuits(1, 20)
        target.accept_fraction = 0.5
        if actions_of_type(harness.offer_call(1, redialled=index % 2 == 0), api.SetUp):
            admitted[index % 2 == 0] += 1
            harness.establish_call()
    assert admitted[False] > 4 * admitted[True]


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


# Other settings and invalid input.


def test_pools_take_second_choices_of_the_class_only() -> None:
    call_class = api.CallClass(aim_us=SECOND_US, deadline_us=9 * SECOND_US, pools=(1, 3))
    harness = ControllerHarness(pools=True, home_cell=-1, classes=[call_class])
    harness.set_circuits(1, 0)
    assert [a.exchange for a in actions_of_type(harness.offer_call(1), api.SetUp)] == [exchange_id(3)]


def test_a_wide_call_needs_as_many_circuits_as_its_width() -> None:
    harness = ControllerHarness()
    harness.set_circuits(1, 3)
    assert actions_of_type(harness.offer_call(1, width=4.0), api.SetUp)[0].exchange != exchange_id(1)


def test_discovery_on_request_is_subscribed_to_again_until_it_answers() -> None:
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


def test_no_cancel_where_the_settings_forbid_it() -> None:
    harness = ControllerHarness(may_cancel=False)
    harness.offer_call(1, time_left_us=SECOND_US)
    harness.run(2 * SECOND_US)
    assert actions_of_type(harness.actions, api.Fail) and not actions_of_type(harness.actions, api.Cancel)


def test_invalid_events_are_harmless() -> None:
    harness = ControllerHarness()
    harness.send_event(api.PeerReport(77, 0.0, 0))
    harness.send_event(api.TimerDue(999_999))
    harness.send_event(api.CallStands(77, 0, b"??????", 5))
    harness.end_attempt(Outcome.OK, call=77, final=True)
    harness.send_event(api.LoadSeen(b"??????", Outcome.OK, 0, api.Load(free_circuits=3)))
    harness.send_event(api.Discovery(api.ListMode.FAILED, []))
    assert actions_of_type(harness.offer_call(9), api.Refuse)
    assert actions_of_type(harness.offer_call(0), api.Refuse)
    assert actions_of_type(harness.offer_call(1, time_left_us=0), api.Fail)
    assert actions_of_type(harness.offer_call(1, call_class=9), api.Refuse)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_state_is_bounded() -> None:
    harness = ControllerHarness()
    for number in range(3000):
        harness.set_circuits(1, 20)
        harness.offer_call(1, called_number=number)
        harness.establish_call()
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


def test_no_overflow_for_a_number_found_busy_recently() -> None:
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


def test_an_exchange_found_unreachable_gets_a_slow_start() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.end_attempt(Outcome.UNREACHABLE)
    harness.run(3 * SECOND_US)
    harness.offer_call(1)
    harness.establish_call()
    harness.actions.clear()
    for _ in range(10):
        harness.set_circuits(1, 20)
        harness.offer_call(1)
    assert not actions_of_type(harness.actions, api.SetUp)
    harness.run(10 * SECOND_US)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), 1e30])
def test_implausible_load_figures_are_unknown(value: float) -> None:
    harness = ControllerHarness()
    load = api.Load(free_circuits=value, group_size=value, utilisation=value, can_take=value)
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, load))
    harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=12.0)))
    harness.run(3 * SECOND_US)
    assert (
        harness.controller.exchanges[exchange_id(1)].accept_fraction == 1.0
        and harness.controller.exchanges[exchange_id(1)].free_circuits == 20
    )


def test_the_cold_start_share_shrinks_with_the_number_of_controllers() -> None:
    harness = ControllerHarness(controllers=50)
    for cell in (2, 3):
        harness.send_event(api.LoadSeen(exchange_id(cell), Outcome.OK, 9, api.Load(can_take=10.0)))
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=START_US)])
    )
    for _ in range(50):
        harness.offer_call(1)
        harness.establish_call()
        harness.run(100_000)
    # tip_multiple 2 x cold_from 0.3 x 10 calls a second / 50 controllers x 2 s: a quarter of a call.
    assert len(actions_of_type(harness.actions, api.SetUp)) == 1
    harness.run(6 * SECOND_US)  # past cold_us: warm
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_set_ups_sent_before_a_start_is_listed_count_against_the_cold_budget() -> None:
    harness = ControllerHarness()
    harness.offer_call(1)
    harness.establish_call()
    harness.send_event(
        api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=START_US)])
    )
    assert actions_of_type(harness.offer_call(1), api.Refuse)


# Reports between controllers.


def test_overflow_uses_only_tandems_that_reported_circuits_to_the_destination() -> None:
    harness = ControllerHarness(may_message=True)
    harness.set_circuits(1, 0)
    harness.send_event(api.PeerReport(2, 1.0, 0b1000))  # circuits to cell 3 only
    for _ in range(10):
        (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
        assert sent.exchange == exchange_id(3)
        harness.establish_call(3)
        harness.set_circuits(3, 20)
    harness.send_event(api.PeerReport(3, 1.0, 0))
    assert actions_of_type(harness.offer_call(1), api.Refuse)
    harness.send_event(api.PeerReport(2, 1.0, 0b10))
    assert actions_of_type(harness.offer_call(1), api.SetUp)[0].exchange == exchange_id(2)


def test_a_reported_fraction_limits_calls_and_overflow_and_fades_without_reports() -> None:
    harness = ControllerHarness(may_message=True)
    harness.send_event(api.PeerReport(1, 0.0, 0))
    assert sum(len(actions_of_type(harness.offer_call(1), api.SetUp)) for _ in range(100)) < 30
    harness.set_circuits(2, 0)
    assert all(a.exchange != exchange_id(1) for a in actions_of_type(harness.offer_call(2), api.SetUp))
    harness.run(120 * SECOND_US)
    assert harness.controller.exchanges[exchange_id(1)].reported_fraction == 1.0


def test_queueing_in_our_own_processor_is_reported_to_the_others() -> None:
    harness = ControllerHarness(may_message=True)
    for delay_us in [20_000] * 6 + [900_000] * 24:
        for cell in (1, 2, 3):
            if actions_of_type(harness.offer_call(cell), api.SetUp):
                harness.establish_call(cell, elapsed_us=delay_us)
            harness.set_circuits(cell, 20)
        harness.run(500_000)
    assert actions_of_type(harness.actions, api.PeerReport)[-1].accept_fraction < 0.5
    assert actions_of_type(harness.actions, api.PeerReport)[-1].cell == 0


def test_a_hung_own_processor_is_reported_within_a_few_seconds() -> None:
    harness = ControllerHarness(may_message=True)
    for _ in range(4):
        for cell in (1, 2, 3):
            harness.offer_call(cell)
        harness.run(500_000)
    assert actions_of_type(harness.actions, api.PeerReport)[-1].accept_fraction < 0.8


def test_one_slow_remote_processor_is_not_attributed_to_our_own() -> None:
    harness = ControllerHarness(may_message=True)
    for _ in range(20):
        for cell, delay_us in ((1, 1_400_000), (2, 30_000), (3, 30_000)):
            harness.offer_call(cell)
            harness.establish_call(cell, elapsed_us=delay_us)
            harness.set_circuits(cell, 20)
        harness.run(500_000)
    assert all(a.accept_fraction == 1.0 for a in actions_of_type(harness.actions, api.PeerReport))


def test_reports_in_a_mesh_of_60_are_few_and_absent_where_not_allowed() -> None:
    harness = ControllerHarness(cells=60, controllers=60, may_message=True)
    harness.run(200 * SECOND_US)
    assert 1 <= len(actions_of_type(harness.actions, api.PeerReport)) <= 4
    assert actions_of_type(harness.actions, api.PeerReport)[0].reachable_cells == (1 << 60) - 2
    silent = ControllerHarness(cells=60, controllers=60)
    silent.run(60 * SECOND_US)
    assert not actions_of_type(silent.actions, api.PeerReport)


def test_urgent_reports_wait_while_many_reports_are_heard() -> None:
    report_counts = {}
    for reports_heard in (0, 90):
        harness = ControllerHarness(cells=100, controllers=100, may_message=True)
        harness.run(2 * SECOND_US)
        harness.actions.clear()
        for _ in range(8):
            for cell in range(1, 60):
                harness.offer_call(cell)
            for cell in range(reports_heard):
                harness.send_event(api.PeerReport(cell % 99 + 1, 0.5, 0))
            harness.run(SECOND_US)
        report_counts[reports_heard] = len(actions_of_type(harness.actions, api.PeerReport))
    assert report_counts[0] >= 2 and report_counts[90] <= 1


def test_overload_answers_from_all_exchanges_are_attributed_to_our_own_processor() -> None:
    harness = ControllerHarness(may_message=True)
    for _ in range(6):
        for cell in (1, 2, 3):
            if actions_of_type(harness.offer_call(cell), api.SetUp):
                harness.end_attempt(Outcome.REJECTED, cell, cause=Cause.PROCESSOR_OVERLOADED)
        harness.run(500_000)
    assert min(a.accept_fraction for a in actions_of_type(harness.actions, api.PeerReport)) < 0.6
    # Overload at one exchange, while calls to another are established: the remote processor is at fault.
    other = ControllerHarness(may_message=True)
    for _ in range(6):
        if actions_of_type(other.offer_call(1), api.SetUp):
            other.end_attempt(Outcome.REJECTED, 1, cause=Cause.PROCESSOR_OVERLOADED)
        other.offer_call(2)
        other.establish_call(2)
        other.run(500_000)
    assert other.controller.inbound_fraction == 1.0


def test_redialled_calls_get_no_overflow() -> None:
    harness = ControllerHarness()
    for free in (0.0, 1.0):  # no circuit, and none beyond the reservation
        harness.set_circuits(1, free)
        assert actions_of_type(harness.offer_call(1, redialled=True), api.Refuse)
    assert actions_of_type(harness.offer_call(1), api.SetUp)


def test_cold_budget_follows_the_previous_and_the_reported_can_take() -> None:
    sent = {}
    for can_take_reported in (None, 12.0, 1000.0):
        harness = ControllerHarness(controllers=4)
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=20.0)))
        harness.send_event(
            api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=harness.now)])
        )
        harness.run(5 * SECOND_US)
        if can_take_reported:
            harness.send_event(
                api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=can_take_reported))
            )
        harness.actions.clear()
        for _ in range(60):
            harness.set_circuits(1, 20)
            if actions_of_type(harness.offer_call(1), api.SetUp):
                harness.establish_call()
        sent[can_take_reported] = len(actions_of_type(harness.actions, api.SetUp))
    share = 2.0 * 2 / 4  # tip_multiple x window / controllers
    assert sent[None] == share * 0.3 * 20  # cold_from of the can_take before the start
    assert sent[12.0] == share * 12  # the reported can_take
    assert sent[1000.0] <= share * 0.65 * 20 + 1  # at most what linear warming allows


def test_in_a_mesh_of_60_all_controllers_together_keep_the_cold_budget() -> None:
    sent = 0
    for seed in range(60):
        harness = ControllerHarness(cells=60, seed=seed, controllers=60)
        for cell in range(2, 60):
            harness.send_event(api.LoadSeen(exchange_id(cell), Outcome.OK, 9, api.Load(can_take=12.0)))
        harness.send_event(api.LoadSeen(exchange_id(1), Outcome.OK, 9, api.Load(can_take=12.0)))
        harness.offer_call(1)
        harness.establish_call()
        harness.send_event(
            api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(exchange_id(1), 1, launched_us=harness.now)])
        )
        harness.actions.clear()
        for _ in range(18):
            harness.offer_call(1)
            harness.run(500_000)
        sent += len(actions_of_type(harness.actions, api.SetUp))
    assert 0 < sent <= 2.0 * 0.3 * 12 * 9  # tip_multiple x cold_from x can_take x 9 s


def test_a_burst_is_limited_within_the_epoch() -> None:
    harness = ControllerHarness()
    sent = 0
    for cell in (1, 2, 3) * 40:
        harness.set_circuits(cell, 20)
        sent += len(actions_of_type(harness.offer_call(cell), api.SetUp))
    assert controller.MIN_BURST <= sent < 60
    steady = ControllerHarness()  # as many calls, each established before the next: no burst
    for cell in (1, 2, 3) * 40:
        steady.set_circuits(cell, 20)
        assert actions_of_type(steady.offer_call(cell), api.SetUp)
        steady.establish_call(cell)


# Invalid input gets a safe decision.


def test_a_group_of_size_0_gets_no_direct_call() -> None:
    harness = ControllerHarness(may_message=True)
    harness.set_circuits(1, 0, 0)
    (sent,) = actions_of_type(harness.offer_call(1), api.SetUp)
    assert sent.exchange != exchange_id(1)
    harness.run(10 * SECOND_US)
    assert not actions_of_type(harness.actions, api.PeerReport)[-1].reachable_cells & 0b10


def test_a_list_of_exchanges_with_the_same_cell_is_accepted() -> None:
    harness = ControllerHarness()
    harness.send_event(
        api.Discovery(api.ListMode.FULL, [api.ExchangeEntry(exchange_id(c), 1) for c in range(4)])
    )
    assert actions_of_type(harness.offer_call(1), api.SetUp)
    assert actions_of_type(harness.offer_call(2), api.Refuse)


def test_hours_of_service_leave_bounded_state_and_full_accept_fractions() -> None:
    harness = ControllerHarness(may_message=True)
    for index in range(400):
        for cell in (1, 2, 3):
            harness.set_circuits(cell, 20)
            harness.offer_call(cell, called_number=index)
            harness.establish_call(cell)
        if index % 10 == 0:
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
def test_a_refusal_has_a_retry_after_time_where_callers_support_it(
    allowed: bool, transit: bool, advice: int
) -> None:
    harness = ControllerHarness(retry_after=allowed, max_retry_after_us=2 * SECOND_US)
    (refused,) = actions_of_type(harness.offer_call(9, in_transit=transit), api.Refuse)
    assert refused.retry_after_us == advice


@pytest.mark.parametrize(
    ("changes", "attempt_end", "sent"),
    [
        ({}, {}, 4),
        ({"effect": api.Effect.GUARDED}, {}, 1),
        ({}, {"cause": Cause.SUBSCRIBER_BUSY}, 1),
        ({"aim_us": 150_000}, {}, 2),  # a third attempt would end after the aim
    ],
)
def test_a_harmless_call_that_ends_in_error_is_retried_at_once(
    changes: dict[str, Any], attempt_end: dict[str, Any], sent: int
) -> None:
    """Up to three retries go to the same exchange, because only a limited share of calls may end in error."""
    harness = ControllerHarness(
        classes=[api.CallClass(**{"aim_us": SECOND_US, "deadline_us": 9 * SECOND_US} | changes)]
    )
    harness.offer_call(1)
    assert actions_of_type(harness.end_attempt(Outcome.ERROR), api.Fail)  # no retry after an isolated error
    actions, attempts = harness.offer_call(1), 0
    while actions_of_type(actions, api.SetUp):
        assert actions_of_type(actions, api.SetUp)[0].exchange == exchange_id(1)
        harness.now += 60_000
        actions, attempts = harness.end_attempt(Outcome.ERROR, attempt=attempts, **attempt_end), attempts + 1
    assert attempts == sent and len(actions_of_type(actions, api.Fail)) == 1


def test_a_lost_answer_does_not_count_as_a_queue() -> None:
    """One set-up in ten stays unanswered while later ones are established: no call is refused for that."""
    harness = ControllerHarness(classes=[api.CallClass(aim_us=300_000, deadline_us=2 * SECOND_US)])
    refused = 0
    for index in range(200):
        harness.set_circuits(1, 20)
        refused += len(actions_of_type(harness.offer_call(1), api.Refuse))
        harness.run(20_000)
        if index % 10:
            harness.establish_call(elapsed_us=20_000)
        elif index > 10:
            harness.end_attempt(Outcome.TIMEOUT, call=harness.calls - 10)
    assert not refused
