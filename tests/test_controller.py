"""The ordinary path, the rules and the defences, without the bench."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest

from barleywheel import controller
from barleywheel import interface as api
from barleywheel.interface import Cause, Outcome
from tests.rig import SECOND, START, Rig, only, xid


def press(rig: Rig, cell: int = 1, epochs: int = 1) -> None:
    """Let each of a few epochs end with set-ups refused by a full processor."""
    for _ in range(epochs):
        for _ in range(4):
            if only(rig.offer(cell), api.SetUp):
                rig.end(Outcome.REJECTED, cell, cause=Cause.PROCESSOR_OVERLOADED)
        rig.run(SECOND)


# Ordinary path.


def test_direct_first() -> None:
    rig = Rig()
    assert [a.exchange for a in only(rig.offer(2), api.SetUp)] == [xid(2)]


def test_overflow_to_a_tandem_when_the_group_is_full() -> None:
    rig = Rig()
    rig.circuits(1, 0)
    (sent,) = only(rig.offer(1), api.SetUp)
    assert sent.exchange in (xid(2), xid(3))


def test_tandem_weight_follows_success() -> None:
    rig = Rig()
    rig.circuits(1, 0)
    (sent,) = only(rig.offer(1), api.SetUp)
    tandem = rig.controller.exchanges[sent.exchange]
    rig.end(Outcome.REJECTED, sent.exchange[2], cause=Cause.CRANKBACK)
    assert tandem.weight == pytest.approx(controller.WEIGHT_DOWN)
    rig.circuits(1, 0)
    rig.controller.exchanges[xid(5 - sent.exchange[2])].free = 0
    rig.offer(1)
    rig.stands(sent.exchange[2])
    assert tandem.weight == pytest.approx(controller.WEIGHT_DOWN + controller.WEIGHT_UP)


def test_transit_goes_to_its_destination_or_back() -> None:
    rig = Rig()
    (sent,) = only(rig.offer(2, in_transit=True, source_cell=1), api.SetUp)
    assert sent.exchange == xid(2)
    rig.circuits(3, 0)
    actions = rig.offer(3, in_transit=True, source_cell=1)
    assert only(actions, api.Refuse) and not only(actions, api.SetUp)


def test_f_follows_reported_utilisation() -> None:
    rig = Rig()
    for _ in range(3):
        rig.tell(api.LoadSeen(xid(1), Outcome.OK, 1000, api.Load(utilisation=0.99)))
        rig.run(SECOND)
    assert rig.controller.exchanges[xid(1)].accept_fraction == pytest.approx((0.9 / 0.99) ** 3)
    assert rig.controller.exchanges[xid(2)].accept_fraction == 1.0


def test_f_falls_on_full_processors_and_a_refused_draw_tries_no_route() -> None:
    rig = Rig()
    press(rig, epochs=6)
    assert rig.controller.exchanges[xid(1)].accept_fraction < 0.3
    refused = 0
    for _ in range(40):
        actions = rig.offer(1)
        if only(actions, api.Refuse):
            refused += 1
            assert not only(actions, api.SetUp)
        assert all(a.exchange == xid(1) for a in only(actions, api.SetUp))
    assert refused > 15


def test_f_recovers_to_one() -> None:
    rig = Rig()
    press(rig, epochs=6)
    rig.run(12 * SECOND)
    assert rig.controller.exchanges[xid(1)].accept_fraction == 1.0


def test_own_occupancy_follows_the_set_up_delay() -> None:
    rig = Rig()
    for took in [10_000] * 12 + [1_000_000] * 60:
        rig.offer(1)
        rig.stands(took=took)
        rig.circuits(1, 20)
    rig.run(3 * SECOND)
    assert rig.controller.accept_fraction < 1.0


def test_circuits_are_counted_between_reports() -> None:
    rig = Rig()
    rig.circuits(1, 1)
    rig.offer(1)
    assert only(rig.offer(1), api.SetUp)[0].exchange != xid(1)


# The five rules.


def test_rule_1_an_unanswered_call_fails_before_its_time_is_out() -> None:
    rig = Rig()
    rig.offer(1, left=SECOND)
    actions = rig.run(SECOND)
    assert [a.call for a in only(actions, api.Fail)] == [1]
    assert only(actions, api.Cancel)
    rig.end(Outcome.CANCELLED)
    assert len([a for a in rig.seen if isinstance(a, api.Fail | api.Refuse)]) == 1


def test_rule_1_transit_is_answered_in_time_too() -> None:
    rig = Rig()
    rig.offer(1, left=SECOND, in_transit=True, source_cell=2)
    assert [a.call for a in only(rig.run(SECOND), api.Fail)] == [1]


def test_rule_1_nothing_is_sent_after_the_end() -> None:
    rig = Rig()
    rig.offer(1)
    rig.tell(api.CallerGone(1))
    rig.end(Outcome.TIMEOUT)
    rig.tell(api.CallerGone(1))
    rig.run(5 * SECOND)
    late = rig.seen[-20:]
    assert len(only(rig.seen, api.SetUp)) == 1 and not only(late, api.Fail) and not rig.controller.calls


def test_rule_1_late_events_do_not_send_past_the_deadline() -> None:
    rig = Rig()
    rig.circuits(1, 0)
    (sent,) = only(rig.offer(1, left=SECOND), api.SetUp)
    rig.now += 2 * SECOND  # the timer has not been delivered
    actions = rig.end(Outcome.REJECTED, sent.exchange[2], cause=Cause.CRANKBACK)
    assert only(actions, api.Fail) and not only(actions, api.SetUp)


def test_rule_2_one_attempt_out() -> None:
    rig = Rig()
    rng = random.Random(5)
    out: set[int] = set()
    for _ in range(400):
        rig.circuits(1, rng.choice([0, 1, 20]))
        rig.offer(rng.choice([1, 2, 3]))
        for action in rig.seen:
            if isinstance(action, api.SetUp):
                assert action.call not in out
                out.add(action.call)
        rig.seen.clear()
        for number in rng.sample(sorted(out), k=len(out) // 2):
            call = rig.controller.calls.get(number)
            out.discard(number)
            if call is None or call.exchange is None:
                continue
            kind = rng.choice([Outcome.REJECTED, Outcome.TIMEOUT, Outcome.NOT_SENT])
            rig.end(kind, call.exchange.entry.cell, number, call.attempts - 1, cause=rng.choice(list(Cause)))
        rig.run(rng.choice([0, 100_000]))


@pytest.mark.parametrize("mode", [api.ListMode.DELTA, api.ListMode.FULL])
@pytest.mark.parametrize("state", [api.ExchangeState.DRAINING, api.ExchangeState.GONE])
def test_rule_3_nothing_new_to_a_draining_or_gone_exchange(
    mode: api.ListMode, state: api.ExchangeState
) -> None:
    rig = Rig()
    ready = [api.ExchangeEntry(xid(c), c) for c in (0, 2, 3)] if mode is api.ListMode.FULL else []
    rig.tell(api.Discovery(mode, [*ready, api.ExchangeEntry(xid(1), 1, state)]))
    rig.circuits(2, 0)
    sent = [a for _ in range(20) for a in only(rig.offer(1) + rig.offer(2), api.SetUp)]
    assert all(a.exchange != xid(1) for a in sent)


def test_rule_3_missing_from_a_full_list_means_gone() -> None:
    rig = Rig()
    rig.tell(api.Discovery(api.ListMode.FULL, [api.ExchangeEntry(xid(c), c) for c in (0, 2, 3)]))
    assert only(rig.offer(1), api.Refuse)


def test_rule_4_a_cold_exchange_gets_our_share_at_most() -> None:
    rig = Rig(controllers=4)
    for _ in range(20):  # a usual rate of 4 calls a second to each
        for cell in (1, 2, 3):
            for _ in range(4):
                rig.offer(cell)
                rig.stands(cell)
                rig.circuits(cell, 20)
        rig.run(SECOND)
    rig.tell(api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(xid(1), 1, launched_us=rig.now)]))
    rig.seen.clear()
    for _ in range(20):
        rig.circuits(1, 20)
        for _ in range(5):
            rig.offer(1)
            rig.stands()
        rig.run(100_000)
    share = 2.0 * 0.3 * 4 * 2  # multiple x coldest part x our usual rate x window
    sent = [a for a in only(rig.seen, api.SetUp) if a.exchange == xid(1)]
    assert 2 <= len(sent) <= share + 1


def test_rule_4_a_fresh_agent_sends_one_call_a_window() -> None:
    rig = Rig()
    rig.tell(api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(xid(1), 1, launched_us=START)]))
    for _ in range(30):
        rig.offer(1)
    assert len(only(rig.seen, api.SetUp)) == 1


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.ERROR])
@pytest.mark.parametrize("effect", list(api.Effect))
def test_rule_5_a_call_that_may_have_run_is_failed_and_never_sent_again(
    outcome: Outcome, effect: api.Effect
) -> None:
    rig = Rig(classes=[api.CallClass(aim_us=SECOND, deadline_us=9 * SECOND, effect=effect)])
    rig.circuits(1, 0)
    (sent,) = only(rig.offer(1), api.SetUp)
    rig.now += 100_000
    actions = rig.end(outcome, sent.exchange[2]) + rig.run(5 * SECOND)
    assert len(only(actions, api.Fail)) == 1
    assert not only(actions, api.SetUp) and not only(actions, api.Refuse)


# Defences.


def test_breaker_opens_on_silence_and_one_trial_call_closes_it() -> None:
    rig = Rig()
    rig.offer(1)
    rig.run(1_500_000)
    rig.end(Outcome.TIMEOUT)
    assert rig.controller.exchanges[xid(1)].breaker_open
    rig.run(SECOND)
    rig.controller.exchanges[xid(1)].accept_fraction = 1.0
    trial = rig.offer(1)
    assert only(trial, api.SetUp)
    assert only(rig.offer(1), api.Refuse)
    rig.stands(call=2)
    assert not rig.controller.exchanges[xid(1)].breaker_open and only(rig.offer(1), api.SetUp)


def test_breaker_opens_while_calls_still_wait() -> None:
    rig = Rig()
    rig.offer(1, left=9 * SECOND)
    rig.run(3 * SECOND)
    assert rig.controller.exchanges[xid(1)].breaker_open


def test_breaker_stays_closed_while_others_are_answered() -> None:
    rig = Rig()
    rig.offer(1)
    rig.run(500_000)
    rig.offer(1)
    rig.stands(call=2)
    rig.run(SECOND)
    rig.end(Outcome.TIMEOUT, call=1)
    assert not rig.controller.exchanges[xid(1)].breaker_open


def test_falling_can_take_lowers_f_and_an_old_figure_does_not() -> None:
    rig = Rig()
    for value in (12.0, 3.0):
        rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load(can_take=value)))
    rig.run(SECOND)
    low = rig.controller.exchanges[xid(1)].accept_fraction
    assert low == pytest.approx(0.5)
    rig.run(SECOND)
    assert rig.controller.exchanges[xid(1)].accept_fraction > low


def test_unknown_load_is_not_zero_load() -> None:
    rig = Rig()
    rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load(utilisation=0.95)))
    rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load()))
    rig.run(SECOND)
    assert rig.controller.exchanges[xid(1)].accept_fraction < 1.0


def test_long_set_up_delay_beyond_our_own_lowers_f() -> None:
    rig = Rig()
    for _ in range(6):
        for cell, took in ((1, 1_400_000), (2, 50_000), (3, 50_000)):
            rig.offer(cell)
            rig.stands(cell, took=took)
    rig.run(SECOND)
    assert (
        rig.controller.exchanges[xid(1)].accept_fraction < 1.0
        and rig.controller.exchanges[xid(2)].accept_fraction == 1.0
    )


def test_trunk_reservation_keeps_the_last_circuits_for_direct_calls() -> None:
    rig = Rig()
    rig.circuits(1, 0)
    for cell in (2, 3):
        rig.circuits(cell, 5)
    assert only(rig.offer(1), api.Refuse)
    assert only(rig.offer(2), api.SetUp)


def test_no_overflow_towards_a_pressed_processor() -> None:
    rig = Rig()
    rig.circuits(1, 0)
    rig.controller.exchanges[xid(1)].accept_fraction = 0.5
    assert only(rig.offer(1), api.Refuse)


def test_crankback_tries_another_tandem_within_the_attempts() -> None:
    rig = Rig(max_attempts=2)
    rig.circuits(1, 0)
    (one,) = only(rig.offer(1), api.SetUp)
    (two,) = only(rig.end(Outcome.REJECTED, one.exchange[2], cause=Cause.CRANKBACK), api.SetUp)
    assert two.exchange != one.exchange
    last = rig.end(Outcome.REJECTED, two.exchange[2], attempt=1, cause=Cause.CRANKBACK)
    assert only(last, api.Refuse)
    assert not only(last, api.SetUp)


def test_a_full_processor_beyond_is_not_tried_again() -> None:
    rig = Rig()
    rig.circuits(1, 0)
    (one,) = only(rig.offer(1), api.SetUp)
    back = rig.end(Outcome.REJECTED, one.exchange[2], cause=Cause.CRANKBACK, downstream_overloaded=True)
    assert only(back, api.Refuse)


def test_the_draw_refuses_low_worth_first_at_equal_mean() -> None:
    rig = Rig()
    target = rig.controller.exchanges[xid(1)]
    taken = {0: 0, 1: 0}
    for index in range(400):
        kind = index % 2
        rig.circuits(1, 20)
        target.accept_fraction = 0.5
        if only(rig.offer(1, call_class=kind), api.SetUp):
            taken[kind] += 1
            rig.stands()
    assert taken[1] > 190 and taken[0] < 20


def test_redialled_calls_rank_below_first_tries() -> None:
    rig = Rig()
    target = rig.controller.exchanges[xid(1)]
    taken = {True: 0, False: 0}
    for index in range(200):
        rig.circuits(1, 20)
        target.accept_fraction = 0.5
        if only(rig.offer(1, redialled=index % 2 == 0), api.SetUp):
            taken[index % 2 == 0] += 1
            rig.stands()
    assert taken[False] > 4 * taken[True]


def test_numbers_found_busy_are_remembered_for_a_bounded_time_and_number() -> None:
    rig = Rig()
    for number in range(100, 400):
        rig.circuits(1, 20)
        rig.offer(1, called_number=number)
        rig.end(Outcome.ERROR, cause=Cause.SUBSCRIBER_BUSY)
    assert len(rig.controller.busy_numbers) == controller.MAX_BUSY_NUMBERS
    rig.run(controller.BUSY_NUMBER_US)
    rig.circuits(1, 0)
    assert only(rig.offer(1, called_number=399), api.SetUp)


def test_attempts_end_with_the_aim() -> None:
    rig = Rig()
    (sent,) = only(rig.offer(1), api.SetUp)
    assert sent.limit_us == 1_500_000


# Other settings and bad input.


def test_pools_take_second_choices_of_the_class_only() -> None:
    kind = api.CallClass(aim_us=SECOND, deadline_us=9 * SECOND, pools=(1, 3))
    rig = Rig(pools=True, home_cell=-1, classes=[kind])
    rig.circuits(1, 0)
    assert [a.exchange for a in only(rig.offer(1), api.SetUp)] == [xid(3)]


def test_wide_calls_need_that_many_circuits() -> None:
    rig = Rig()
    rig.circuits(1, 3)
    assert only(rig.offer(1, width=4.0), api.SetUp)[0].exchange != xid(1)


def test_discovery_on_request_is_asked_for_again_until_it_answers() -> None:
    rig = Rig(discovery_on_request=True, ask_within_us=4 * SECOND)
    assert len(only(rig.seen, api.Subscribe)) == 1
    rig.tell(api.Discovery(api.ListMode.FAILED, []))
    rig.run(3 * SECOND)
    assert len(only(rig.seen, api.Subscribe)) >= 2
    rig.tell(api.Discovery(api.ListMode.DELTA, []))
    rig.seen.clear()
    rig.run(20 * SECOND)
    assert not only(rig.seen, api.Subscribe)
    rig.tell(api.Discovery(api.ListMode.FAILED, []))
    rig.run(3 * SECOND)
    assert only(rig.seen, api.Subscribe)


def test_no_cancel_where_it_is_not_allowed() -> None:
    rig = Rig(may_cancel=False)
    rig.offer(1, left=SECOND)
    rig.run(2 * SECOND)
    assert only(rig.seen, api.Fail) and not only(rig.seen, api.Cancel)


def test_senseless_events_do_no_harm() -> None:
    rig = Rig()
    rig.tell(api.PeerReport(77, 0.0, 0))
    rig.tell(api.TimerDue(999_999))
    rig.tell(api.CallStands(77, 0, b"??????", 5))
    rig.end(Outcome.OK, call=77, final=True)
    rig.tell(api.LoadSeen(b"??????", Outcome.OK, 0, api.Load(free_circuits=3)))
    rig.tell(api.Discovery(api.ListMode.FAILED, []))
    assert only(rig.offer(9), api.Refuse)
    assert only(rig.offer(0), api.Refuse)
    assert only(rig.offer(1, left=0), api.Fail)
    assert only(rig.offer(1, call_class=9), api.Refuse)
    assert only(rig.offer(1), api.SetUp)


def test_state_is_bounded() -> None:
    rig = Rig()
    for number in range(3000):
        rig.circuits(1, 20)
        rig.offer(1, called_number=number)
        rig.stands()
        rig.run(50_000)
    state = rig.controller
    assert not state.calls and len(state.timers) < 70 and not state.exchanges[xid(1)].pending
    assert len(state.exchanges[xid(1)].sends) < 60


def test_module_limits() -> None:
    text = Path(controller.__file__).read_text()
    assert sum(bool(line.strip()) for line in text.splitlines()) <= 500  # as the operators allow
    assert max(map(len, text.splitlines())) <= 110


def test_no_overflow_for_a_number_lately_busy() -> None:
    rig = Rig()
    rig.offer(1, called_number=7)
    rig.end(Outcome.ERROR, cause=Cause.SUBSCRIBER_BUSY)
    rig.run(SECOND)
    rig.circuits(1, 0)
    assert only(rig.offer(1, called_number=7), api.Refuse)
    assert only(rig.offer(1, called_number=8), api.SetUp)


def test_redialled_calls_leave_the_last_circuits_to_first_tries() -> None:
    rig = Rig(cells=2)
    rig.circuits(1, 2)
    assert only(rig.offer(1, redialled=True), api.Refuse)
    assert only(rig.offer(1), api.SetUp)


def test_an_exchange_found_unreachable_comes_back_slowly() -> None:
    rig = Rig()
    rig.offer(1)
    rig.end(Outcome.UNREACHABLE)
    rig.run(3 * SECOND)
    rig.offer(1)
    rig.stands()
    rig.seen.clear()
    for _ in range(10):
        rig.circuits(1, 20)
        rig.offer(1)
    assert not only(rig.seen, api.SetUp)
    rig.run(10 * SECOND)
    assert only(rig.offer(1), api.SetUp)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), 1e30])
def test_absurd_load_figures_are_unknown(value: float) -> None:
    rig = Rig()
    load = api.Load(free_circuits=value, group_size=value, utilisation=value, can_take=value)
    rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, load))
    rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load(can_take=12.0)))
    rig.run(3 * SECOND)
    assert (
        rig.controller.exchanges[xid(1)].accept_fraction == 1.0
        and rig.controller.exchanges[xid(1)].free == 20
    )


def test_rule_4_the_share_shrinks_with_the_number_of_controllers() -> None:
    rig = Rig(controllers=50)
    for cell in (2, 3):
        rig.tell(api.LoadSeen(xid(cell), Outcome.OK, 9, api.Load(can_take=10.0)))
    rig.tell(api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(xid(1), 1, launched_us=START)]))
    for _ in range(50):
        rig.offer(1)
        rig.stands()
        rig.run(100_000)
    assert len(only(rig.seen, api.SetUp)) == 1  # 2 x 0.3 x 10 a second / 50 x 2 s is a quarter of a call
    rig.run(6 * SECOND)  # warm by now
    assert only(rig.offer(1), api.SetUp)


def test_rule_4_sends_before_the_news_of_a_start_count() -> None:
    rig = Rig()
    rig.offer(1)
    rig.stands()
    rig.tell(api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(xid(1), 1, launched_us=START)]))
    assert only(rig.offer(1), api.Refuse)


# What controllers tell each other.


def test_overflow_goes_only_where_a_tandem_told_of_room() -> None:
    rig = Rig(may_message=True)
    rig.circuits(1, 0)
    rig.tell(api.PeerReport(2, 1.0, 0b1000))  # circuits to 3 only
    for _ in range(10):
        (sent,) = only(rig.offer(1), api.SetUp)
        assert sent.exchange == xid(3)
        rig.stands(3)
        rig.circuits(3, 20)
    rig.tell(api.PeerReport(3, 1.0, 0))
    assert only(rig.offer(1), api.Refuse)
    rig.tell(api.PeerReport(2, 1.0, 0b10))
    assert only(rig.offer(1), api.SetUp)[0].exchange == xid(2)


def test_a_told_fraction_holds_back_calls_and_overflow_and_fades_without_news() -> None:
    rig = Rig(may_message=True)
    rig.tell(api.PeerReport(1, 0.0, 0))
    assert sum(len(only(rig.offer(1), api.SetUp)) for _ in range(100)) < 30
    rig.circuits(2, 0)
    assert all(a.exchange != xid(1) for a in only(rig.offer(2), api.SetUp))
    rig.run(120 * SECOND)
    assert rig.controller.exchanges[xid(1)].reported_fraction == 1.0


def test_a_processor_whose_every_set_up_waits_is_told_and_holds_its_own_calls() -> None:
    rig = Rig(may_message=True)
    for took in [20_000] * 6 + [900_000] * 24:
        for cell in (1, 2, 3):
            if only(rig.offer(cell), api.SetUp):
                rig.stands(cell, took=took)
            rig.circuits(cell, 20)
        rig.run(500_000)
    assert only(rig.seen, api.PeerReport)[-1].accept_fraction < 0.5
    assert only(rig.seen, api.PeerReport)[-1].cell == 0


def test_a_hung_own_processor_is_told_within_a_few_seconds() -> None:
    rig = Rig(may_message=True)
    for _ in range(4):
        for cell in (1, 2, 3):
            rig.offer(cell)
        rig.run(500_000)
    assert only(rig.seen, api.PeerReport)[-1].accept_fraction < 0.8


def test_one_slow_far_processor_is_not_taken_for_our_own() -> None:
    rig = Rig(may_message=True)
    for _ in range(20):
        for cell, took in ((1, 1_400_000), (2, 30_000), (3, 30_000)):
            rig.offer(cell)
            rig.stands(cell, took=took)
            rig.circuits(cell, 20)
        rig.run(500_000)
    assert all(a.accept_fraction == 1.0 for a in only(rig.seen, api.PeerReport))


def test_reports_of_a_mesh_of_60_are_few_and_none_where_not_allowed() -> None:
    rig = Rig(cells=60, controllers=60, may_message=True)
    rig.run(200 * SECOND)
    assert 1 <= len(only(rig.seen, api.PeerReport)) <= 4
    assert only(rig.seen, api.PeerReport)[0].reachable_cells == (1 << 60) - 2
    silent = Rig(cells=60, controllers=60)
    silent.run(60 * SECOND)
    assert not only(silent.seen, api.PeerReport)


def test_news_waits_while_many_others_tell_theirs() -> None:
    told = {}
    for heard in (0, 90):
        rig = Rig(cells=100, controllers=100, may_message=True)
        rig.run(2 * SECOND)
        rig.seen.clear()
        for _ in range(8):
            for cell in range(1, 60):
                rig.offer(cell)
            for cell in range(heard):
                rig.tell(api.PeerReport(cell % 99 + 1, 0.5, 0))
            rig.run(SECOND)
        told[heard] = len(only(rig.seen, api.PeerReport))
    assert told[0] >= 2 and told[90] <= 1


def test_full_answers_from_everywhere_are_our_own_processors() -> None:
    rig = Rig(may_message=True)
    for _ in range(6):
        for cell in (1, 2, 3):
            if only(rig.offer(cell), api.SetUp):
                rig.end(Outcome.REJECTED, cell, cause=Cause.PROCESSOR_OVERLOADED)
        rig.run(500_000)
    assert min(a.accept_fraction for a in only(rig.seen, api.PeerReport)) < 0.6
    other = Rig(may_message=True)  # full from one, while calls to the others stand: the far one's
    for _ in range(6):
        if only(other.offer(1), api.SetUp):
            other.end(Outcome.REJECTED, 1, cause=Cause.PROCESSOR_OVERLOADED)
        other.offer(2)
        other.stands(2)
        other.run(500_000)
    assert other.controller.inbound_fraction == 1.0


def test_redialled_calls_take_no_second_group() -> None:
    rig = Rig()
    for free in (0.0, 1.0):  # none, and none beyond the reservation
        rig.circuits(1, free)
        assert only(rig.offer(1, redialled=True), api.Refuse)
    assert only(rig.offer(1), api.SetUp)


def test_rule_4_a_cold_exchange_is_measured_by_what_it_could_take_and_says_it_can() -> None:
    sent = {}
    for said in (None, 12.0, 1000.0):
        rig = Rig(controllers=4)
        rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load(can_take=20.0)))
        rig.tell(api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(xid(1), 1, launched_us=rig.now)]))
        rig.run(5 * SECOND)
        if said:
            rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load(can_take=said)))
        rig.seen.clear()
        for _ in range(60):
            rig.circuits(1, 20)
            if only(rig.offer(1), api.SetUp):
                rig.stands()
        sent[said] = len(only(rig.seen, api.SetUp))
    share = 2.0 * 2 / 4  # multiple x window over controllers
    assert sent[None] == share * 0.3 * 20  # the coldest share of what it could take before
    assert sent[12.0] == share * 12  # what it says
    assert sent[1000.0] <= share * 0.65 * 20 + 1  # never more than steady warming gives


def test_rule_4_in_a_mesh_of_60_all_agents_together_keep_the_budget() -> None:
    sent = 0
    for seed in range(60):
        rig = Rig(cells=60, seed=seed, controllers=60)
        for cell in range(2, 60):
            rig.tell(api.LoadSeen(xid(cell), Outcome.OK, 9, api.Load(can_take=12.0)))
        rig.tell(api.LoadSeen(xid(1), Outcome.OK, 9, api.Load(can_take=12.0)))
        rig.offer(1)
        rig.stands()
        rig.tell(api.Discovery(api.ListMode.DELTA, [api.ExchangeEntry(xid(1), 1, launched_us=rig.now)]))
        rig.seen.clear()
        for _ in range(18):
            rig.offer(1)
            rig.run(500_000)
        sent += len(only(rig.seen, api.SetUp))
    assert 0 < sent <= 2.0 * 0.3 * 12 * 9  # multiple x coldest share x size over nine seconds


def test_a_burst_is_held_back_within_the_epoch() -> None:
    rig = Rig()
    sent = 0
    for cell in (1, 2, 3) * 40:
        rig.circuits(cell, 20)
        sent += len(only(rig.offer(cell), api.SetUp))
    assert controller.BURST_LEAST <= sent < 60
    steady = Rig()  # as many calls, each standing before the next: no burst
    for cell in (1, 2, 3) * 40:
        steady.circuits(cell, 20)
        assert only(steady.offer(cell), api.SetUp)
        steady.stands(cell)


# Bad input gets a safe decision.


def test_a_group_of_size_0_is_never_sent_to_directly() -> None:
    rig = Rig(may_message=True)
    rig.circuits(1, 0, 0)
    (sent,) = only(rig.offer(1), api.SetUp)
    assert sent.exchange != xid(1)
    rig.run(10 * SECOND)
    assert not only(rig.seen, api.PeerReport)[-1].reachable_cells & 0b10


def test_lists_alike_in_all_attributes_are_followed() -> None:
    rig = Rig()
    rig.tell(api.Discovery(api.ListMode.FULL, [api.ExchangeEntry(xid(c), 1) for c in range(4)]))
    assert only(rig.offer(1), api.SetUp)
    assert only(rig.offer(2), api.Refuse)


def test_hours_of_service_leave_bounded_state_and_open_fractions() -> None:
    rig = Rig(may_message=True)
    for turn in range(400):
        for cell in (1, 2, 3):
            rig.circuits(cell, 20)
            rig.offer(cell, called_number=turn)
            rig.stands(cell)
        if turn % 10 == 0:
            rig.tell(api.PeerReport(1, 0.2, 0b1100))
        rig.run(30 * SECOND)
    state = rig.controller
    assert (
        not state.calls and len(state.timers) <= 2 and len(state.busy_numbers) <= controller.MAX_BUSY_NUMBERS
    )
    assert state.accept_fraction == state.inbound_fraction == 1.0 and all(
        x.accept_fraction == 1.0 for x in state.exchanges.values()
    )
    assert only(rig.offer(2), api.SetUp)


@pytest.mark.parametrize(
    ("allowed", "transit", "advice"), [(True, False, SECOND), (True, True, 0), (False, False, 0)]
)
def test_a_refusal_says_when_to_come_back_where_callers_hear_it(
    allowed: bool, transit: bool, advice: int
) -> None:
    rig = Rig(retry_after=allowed, max_retry_after_us=2 * SECOND)
    (refused,) = only(rig.offer(9, in_transit=transit), api.Refuse)
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
    rig = Rig(classes=[api.CallClass(**{"aim_us": SECOND, "deadline_us": 9 * SECOND} | changes)])
    rig.offer(1)
    assert only(rig.end(Outcome.ERROR), api.Fail)  # a lone error is not worth the work
    actions, made = rig.offer(1), 0
    while only(actions, api.SetUp):
        assert only(actions, api.SetUp)[0].exchange == xid(1)
        rig.now += 60_000
        actions, made = rig.end(Outcome.ERROR, attempt=made, **ended), made + 1
    assert made == sent and len(only(actions, api.Fail)) == 1


def test_a_lost_answer_is_no_queue() -> None:
    """One set-up in ten stays unanswered while later ones stand: nothing is refused for it."""
    rig = Rig(classes=[api.CallClass(aim_us=300_000, deadline_us=2 * SECOND)])
    refused = 0
    for at in range(200):
        rig.circuits(1, 20)
        refused += len(only(rig.offer(1), api.Refuse))
        rig.run(20_000)
        if at % 10:
            rig.stands(took=20_000)
        elif at > 10:
            rig.end(Outcome.TIMEOUT, call=rig.calls - 10)
    assert not refused
