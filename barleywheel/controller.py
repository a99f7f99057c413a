"""The decision module: routing and admission of the calls of one exchange.

Types, events and actions are in barleywheel/interface.py. The module does no I/O and reads no clock: the
caller passes the time to ``Controller.handle``. Admission towards each next exchange follows the occupancy
rule; docs/design.md gives its source, which parts are used and the condition of each exception.

The controller keeps five rules:

1. Every call gets exactly one final answer, before its deadline.
2. A call never has two attempts in progress.
3. No new call is sent to an exchange after it was announced as draining or gone.
4. An exchange that has just started, and is still cold, is not overloaded.
5. After a broken attempt a call is not tried again before the guard time has passed. This controller does
   not try it again at all.
"""

from __future__ import annotations

import random
from collections import deque

from barleywheel import interface as api
from barleywheel.interface import Cause, Outcome

# Occupancy rule. Interval, target and minimum are those of the published rule.
EPOCH_US = 1_000_000  # control interval
TARGET_OCCUPANCY = 0.9
MIN_ACCEPT_FRACTION = 0.1
MAX_ADJUSTMENT = 1.7  # per epoch; the 5 of the published rule refills a queue that has not drained yet
MIN_ADJUSTMENT = 0.5  # per epoch; limits the effect of a single wrong figure

# Load estimates.
# The target wait is the queueing delay that counts as the target occupancy: the smaller of two shares.
WAIT_AIM_SHARE = 0.3  # of the smallest aim of the call classes
WAIT_REPEAT_SHARE = 0.5  # of the time after which an unanswered set-up is repeated
CAN_TAKE_SHARE = 0.5  # can_take at this share of its maximum counts as the target occupancy
CAPACITY_DECAY = 0.998  # per epoch; the processor may have been replaced by a smaller one
MAX_PLAUSIBLE_LOAD = 1e6  # a larger load figure is treated as unknown
MEAN_DELAY_GAIN = 0.1  # weight of one set-up in the smoothed set-up delay
RATE_GAIN = 0.2  # weight of one epoch in the smoothed send rate
MIN_DELAY_SAMPLES = 10  # before the occupancy of our own processor is estimated
MIN_DELAY_GROWTH = 1.002  # per epoch, so that an outdated minimum is forgotten
EXCHANGE_DELAY_GAIN = 0.4  # weight of one set-up in the smoothed delay of its exchange
EXCHANGE_DELAY_DECAY = 0.8  # per epoch
RECENT_DELAYS = 20  # set-ups; the lower quartile of their delays is our own processor's part
# A set-up sent this share of the target wait before an established one has been overtaken.
OVERTAKE_WAIT_SHARE = 0.5
# Set-ups in progress are a burst beyond this many times those served within the target wait.
BURST_FACTOR = 2.0
MIN_BURST = 4.0  # fewer are never a burst
OWN_FAULT_EXCHANGES = 3  # this many failing at once, with none established, point to our own processor

# Overflow and retries.
OVERLOADED_ACCEPT_FRACTION = 0.8  # below it a processor gets no overflow, neither through it nor to it
TANDEM_WEIGHT_INCREASE = 0.1  # added when a call is established through the tandem
TANDEM_WEIGHT_FACTOR = 0.5  # applied when an attempt through the tandem fails
MIN_TANDEM_WEIGHT = 0.05
OVERFLOW_RESERVE_SHARE = 0.25  # of a group, left free by overflow calls
REDIAL_RESERVE_SHARE = 0.1  # of a group, left free by redialled calls
REDIAL_WORTH_FACTOR = 0.5  # less of the aim is left when a call is redialled
RECENT_WORTHS = 50  # latest calls that entered here; the worth of a call is ranked among them
MIN_ATTEMPT_LIMIT_US = 100_000  # past its aim too, an attempt gets the time in which it can be answered
BUSY_NUMBER_US = 30_000_000  # a number found busy gets no overflow for this long
MAX_BUSY_NUMBERS = 64
MAX_ERROR_RETRIES = 3  # four attempts in all, as a hub has four connections
MIN_ERRORS_TO_RETRY = 2.0  # recent errors of an exchange; fewer do not justify the work of a retry
ERROR_COUNT_DECAY = 0.5  # per epoch
DEADLINE_MARGIN_TICKS = 2  # event batches between our latest answer and the deadline of the caller

# Reports between controllers.
REPORTS_HEARD_PER_S = 3  # approximate limit; handling one costs a tenth of the work of a set-up
UNCHANGED_REPORT_PERIODS = 10  # an unchanged report is repeated after this many periods
URGENT_REPORT_CHANGE = 0.2  # a larger change of our inbound fraction is reported at once
REPORTED_FRACTION_GROWTH = 1.03  # per epoch, so that the effect of a report fades


class Exchange:
    """State of one next exchange: its processor, and our group of circuits towards it."""

    def __init__(self, entry: api.ExchangeEntry) -> None:
        self.entry = entry
        # The fraction estimated here, and the one that the controller of the exchange reported.
        self.accept_fraction = self.reported_fraction = self.tandem_weight = 1.0
        self.free_circuits: float | None = None
        self.group_size: float | None = None
        self.utilisation: float | None = None  # as reported
        self.reachable_cells: int | None = None  # as reported: bit c is set where transit calls reach cell c
        self.can_take: float | None = None
        self.reported_us = self.last_answer_us = self.last_sent_us = -1
        self.last_unreachable_us = 0
        self.epoch_ended = self.epoch_failed = 0  # set-ups of this epoch: all, and overloaded or timed out
        # Smoothed set-up delay. Capacity: maximum of can_take since the exchange started, and before that.
        self.delay_us = self.capacity = self.old_capacity = 0.0
        self.breaker_open = False
        self.pending: dict[int, int] = {}  # direct set-ups in progress: call -> time sent
        self.recent_sends: deque[int] = deque()  # times sent within the last cold-start window
        self.recent_errors = 0.0  # decays every epoch
        self.overtaken_before_us = -1  # a direct set-up sent earlier was overtaken by an established one

    def queued_sends(self) -> list[int]:
        """Times at which the direct set-ups were sent that may be queued at the exchange.

        A processor serves one queue in order. A set-up still unanswered when a later one is established was
        lost, and its silence says nothing about load. Refusals bypass the queue, so only established calls
        count. This keeps lost answers from lowering the accept fraction. It is wrong where set-ups overtake
        each other.
        """
        return [sent_us for sent_us in self.pending.values() if sent_us >= self.overtaken_before_us]


class Call:
    """A call that has no final answer yet."""

    def __init__(self, offer: api.CallOffered, call_class: api.CallClass, now_us: int, due_us: int) -> None:
        self.offer, self.call_class, self.offered_us, self.deadline_us = offer, call_class, now_us, due_us
        self.worth = call_class.worth * (REDIAL_WORTH_FACTOR if offer.redialled else 1.0)
        self.attempts = 0
        self.exchange: Exchange | None = None  # of the attempt in progress
        self.sent_us = 0
        self.tried: list[api.ExchangeId] = []


class Controller:
    """Decides the calls of one exchange from its settings and the events it receives."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.aim_us = aim_us = min((call_class.aim_us for call_class in settings.classes), default=EPOCH_US)
        # Repeated set-ups are extra work for the exchange, so its queue is kept shorter than the repeat time.
        self.target_wait_us = min(WAIT_AIM_SHARE * aim_us, WAIT_REPEAT_SHARE * settings.repeat_us or aim_us)
        self.exchanges: dict[api.ExchangeId, Exchange] = {}
        self.calls: dict[int, Call] = {}
        self.timers: dict[int, int | None] = {}  # token -> call; None: the epoch
        self.busy_numbers: dict[int, int] = {}  # called number -> end of the time without overflow
        self.recent_worths: deque[float] = deque(maxlen=RECENT_WORTHS)
        self.recent_delays: deque[float] = deque(maxlen=RECENT_DELAYS)
        self.accept_fraction = 1.0  # for the calls that our own processor handles
        # The fraction of set-ups that others should send to our processor, and its last reported value.
        self.inbound_fraction = self.reported_fraction = 1.0
        # Set-up delays, and the set-ups sent to each other exchange a second.
        self.mean_delay_us = self.min_delay_us = self.epoch_min_delay_us = self.send_rate = 0.0
        self.delay_samples = self.setups_sent = self.last_token = self.reports_heard = 0
        # Our last report: the cells that it named, and its age in epochs.
        self.reported_cells, self.report_age = 0, settings.controllers
        self.now = self.last_subscribe_us = -1
        self.subscribed = not settings.discovery_on_request
        self.actions: list[api.Action] = []

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Process one event; returns the actions in the order in which to perform them."""
        first, self.now, self.actions = self.now < 0, now_us, []
        if first:  # a random phase keeps controllers that start together from acting at the same moment
            self._set_timer(None, now_us + int(self.random.random() * EPOCH_US))
            if self.settings.discovery_on_request:
                self.last_subscribe_us = now_us
                self.actions.append(api.Subscribe())
        match event:
            case api.CallOffered():
                self._on_call_offered(event)
            case api.AttemptEnded():
                self._on_load(event.exchange, event.load)
                self._on_attempt_ended(event)
            case api.CallStands():
                self._on_call_established(event)
            case api.LoadSeen():
                self._on_load(event.exchange, event.load)
            case api.TimerDue():
                self._on_timer_due(event.token)
            case api.CallerGone():
                if event.call in self.calls:
                    self._close(self.calls[event.call])
            case api.PeerReport():
                for exchange in self.exchanges.values():
                    if exchange.entry.cell == event.cell:
                        exchange.reachable_cells, exchange.reported_fraction = (
                            event.reachable_cells,
                            max(MIN_ACCEPT_FRACTION, event.accept_fraction),
                        )
                self.reports_heard += 1
            case api.Discovery():
                self._on_discovery(event)
        return self.actions

    # Call handling.

    def _set_timer(self, call: int | None, due_us: int) -> None:
        self.last_token = self.last_token % 0xFFFFFFFF + 1
        self.timers[self.last_token] = call
        self.actions.append(api.SetTimer(self.last_token, due_us))

    def _on_call_offered(self, offer: api.CallOffered) -> None:
        if offer.call_class >= len(self.settings.classes):
            return self.actions.append(api.Refuse(offer.call))
        left_us = max(offer.time_left_us - DEADLINE_MARGIN_TICKS * self.settings.tick_us, 0)
        call = Call(offer, self.settings.classes[offer.call_class], self.now, self.now + left_us)
        self.calls[offer.call] = call
        if not offer.in_transit:
            self.recent_worths.append(call.worth)
        # The final answer goes out by the deadline even if no outcome has arrived.
        self._set_timer(offer.call, call.deadline_us)
        self._route(call, first=True)

    def _close(self, call: Call, answer: api.Action | None = None) -> None:
        """Forget the call, cancel an attempt in progress and send the final answer, if any."""
        del self.calls[call.offer.call]
        if call.exchange is not None:
            call.exchange.pending.pop(call.offer.call, None)
            if self.settings.may_cancel:
                self.actions.append(api.Cancel(call.offer.call, call.attempts - 1))
        if answer is not None:
            self.actions.append(answer)

    def _fail(self, call: Call) -> None:
        self._close(call, api.Fail(call.offer.call))

    def _refuse(self, call: Call) -> None:
        """Refuse the call at once, with a retry-after time where callers support it.

        The accept fraction can rise no sooner than the next epoch. The lower it is, the more epochs it takes
        on average until a call is admitted.
        """
        wait = EPOCH_US / min(self.accept_fraction, self.inbound_fraction) if self.settings.retry_after else 0
        if call.offer.in_transit:
            wait = 0  # the answer goes to an exchange, which does not wait
        self._close(call, api.Refuse(call.offer.call, int(min(wait, self.settings.max_retry_after_us))))

    def _send(self, call: Call, exchange: Exchange) -> None:
        offer, call.exchange, call.sent_us, exchange.last_sent_us = call.offer, exchange, self.now, self.now
        call.attempts += 1
        call.tried.append(exchange.entry.exchange)
        if exchange.entry.cell == offer.destination:
            exchange.pending[offer.call] = self.now
        if exchange.free_circuits is not None:
            exchange.free_circuits -= offer.width  # until the next report
        exchange.recent_sends.append(self.now)
        self.setups_sent += 1
        # A call established after its aim is mostly wasted work, so the attempt ends with the aim and frees
        # its circuits and its place in the queue. Not suitable where late calls keep most of their worth.
        aim_left_us = call.call_class.aim_us - (self.now - call.offered_us)
        limit_us = min(call.deadline_us - self.now, max(aim_left_us, MIN_ATTEMPT_LIMIT_US))
        self.actions.append(api.SetUp(offer.call, exchange.entry.exchange, limit_us))

    def _on_timer_due(self, token: int) -> None:
        if token not in self.timers:
            return
        if (call_number := self.timers.pop(token)) is None:
            self._on_epoch()
        elif call := self.calls.get(call_number):
            self._open_breaker_if_silent(call)
            self._fail(call)

    def _on_call_established(self, event: api.CallStands) -> None:
        call = self.calls.pop(event.call, None)
        if call is None or call.exchange is None:
            return
        exchange = call.exchange
        exchange.pending.pop(event.call, None)
        exchange.last_answer_us, exchange.breaker_open = self.now, False
        exchange.epoch_ended += 1
        if exchange.entry.cell != call.offer.destination:
            exchange.tandem_weight = min(1.0, exchange.tandem_weight + TANDEM_WEIGHT_INCREASE)
            return
        exchange.overtaken_before_us = max(
            exchange.overtaken_before_us,
            call.sent_us - int(OVERTAKE_WAIT_SHARE * self.target_wait_us),
        )
        delay = float(max(event.elapsed_us, 1))
        self.min_delay_us = min(self.min_delay_us or delay, delay)
        self.epoch_min_delay_us = min(self.epoch_min_delay_us or delay, delay)
        self.mean_delay_us += (delay - self.mean_delay_us) * (MEAN_DELAY_GAIN if self.delay_samples else 1.0)
        self.delay_samples += 1
        self.recent_delays.append(delay)
        exchange.delay_us += (delay - exchange.delay_us) * EXCHANGE_DELAY_GAIN

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        call = self.calls.get(event.call)
        if call is None or call.exchange is None or event.attempt != call.attempts - 1:
            return  # the call is answered or this is not its current attempt: nothing more is sent
        exchange, outcome, overload = call.exchange, event.outcome, event.cause is Cause.PROCESSOR_OVERLOADED
        direct = exchange.entry.cell == call.offer.destination
        if outcome is Outcome.TIMEOUT:
            self._open_breaker_if_silent(call)
        call.exchange = None
        exchange.pending.pop(event.call, None)
        if event.final:
            del self.calls[event.call]
            return
        if outcome is not Outcome.NOT_SENT:
            exchange.epoch_ended += 1
            exchange.recent_errors += outcome is Outcome.ERROR and event.cause is Cause.NONE
            exchange.epoch_failed += (
                overload or outcome is Outcome.TIMEOUT and call.sent_us >= exchange.overtaken_before_us
            )
            if outcome in (Outcome.REJECTED, Outcome.ERROR):
                exchange.last_answer_us, exchange.breaker_open = self.now, False
            elif outcome is Outcome.UNREACHABLE:
                exchange.breaker_open, exchange.last_unreachable_us = True, self.now
                exchange.old_capacity, exchange.capacity = max(exchange.old_capacity, exchange.capacity), 0.0
            if not direct:
                exchange.tandem_weight = max(MIN_TANDEM_WEIGHT, exchange.tandem_weight * TANDEM_WEIGHT_FACTOR)
        if event.cause is Cause.SUBSCRIBER_BUSY:
            self.busy_numbers.pop(call.offer.called_number, None)
            self.busy_numbers[call.offer.called_number] = self.now + BUSY_NUMBER_US
            if len(self.busy_numbers) > MAX_BUSY_NUMBERS:
                del self.busy_numbers[next(iter(self.busy_numbers))]
        if outcome is Outcome.ERROR and self._may_retry_error(call, exchange, event.cause):
            call.tried.remove(exchange.entry.exchange)
            self._route(call, first=False)
        elif outcome not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT):
            # The call may have been set up, or its circuits may still be held until the guard time has
            # passed: it is not tried again.
            self._fail(call)
        elif (
            overload
            or event.downstream_overloaded
            or call.offer.in_transit
            or direct
            and outcome is Outcome.UNREACHABLE
        ):
            self._refuse(call)  # any other route leads to the same processor
        else:
            self._route(call, first=False)  # crankback

    def _may_retry_error(self, call: Call, exchange: Exchange, cause: Cause) -> bool:
        """Whether to retry at once a call whose attempt ended in error.

        An exchange that fails quickly and often may still fail only a share of its set-ups, so a retry helps.
        An error may cost the exchange as much work as a call, so there is no retry while it or our own
        processor is overloaded, nor after an isolated error. The call must be harmless to repeat, and the
        retry must be able to meet the aim.
        """
        took_us = self.now - call.sent_us
        return (
            exchange.recent_errors >= MIN_ERRORS_TO_RETRY
            and cause is Cause.NONE
            and call.call_class.effect is api.Effect.FREE
            and not call.offer.in_transit
            and exchange.entry.cell == call.offer.destination
            and call.attempts <= MAX_ERROR_RETRIES
            and self.now + took_us < call.offered_us + call.call_class.aim_us
            and self._is_healthy(exchange)
            and self.accept_fraction >= OVERLOADED_ACCEPT_FRACTION
        )

    # Routing.

    def _route(self, call: Call, first: bool) -> None:
        offer, cap, choice = call.offer, self.settings.max_attempts, None
        if self.now >= call.deadline_us:  # the event was delivered late: no time is left for an attempt
            self._fail(call)
            return
        targets = [
            x
            for x in self.exchanges.values()
            if x.entry.cell == offer.destination and x.entry.state is api.ExchangeState.READY
        ]
        if targets and offer.destination != self.settings.home_cell and (cap is None or call.attempts < cap):
            # An exchange that was replaced may still be listed beside its successor.
            target = max(targets, key=lambda x: x.entry.launched_us)
            # A redialled call is established late, for part of its worth: when circuits are short it must not
            # displace a first try.
            reserve = REDIAL_RESERVE_SHARE * (target.group_size or 0.0) if offer.redialled else 0.0
            if target.entry.exchange not in call.tried and (
                target.free_circuits is None or target.free_circuits >= offer.width + reserve
            ):
                choice = target
            elif not offer.in_transit and not offer.redialled:
                choice = self._choose_tandem(call, target)
        if (
            choice is None
            or not self._may_send(choice)
            or first
            and not self._is_admitted(
                call,
                min(
                    self.accept_fraction,
                    self.inbound_fraction,
                    choice.accept_fraction,
                    choice.reported_fraction,
                    self._burst_accept_fraction(),
                ),
            )
        ):
            self._refuse(call)  # a call that is not admitted tries no other route
        else:
            self._send(call, choice)

    def _burst_accept_fraction(self) -> float:
        """Accept fraction that reacts within the epoch, from the set-ups queued at all exchanges.

        It limits a burst, such as the redials after many calls were cut off. Congestion at a remote exchange
        lowers it too.
        """
        burst_threshold = (
            BURST_FACTOR * self.send_rate * (len(self.exchanges) - 1) * self.target_wait_us / 1e6
        )
        return max(burst_threshold, MIN_BURST) / max(
            1, sum(len(x.queued_sends()) for x in self.exchanges.values())
        )

    def _is_admitted(self, call: Call, accept_fraction: float) -> bool:
        """The admission draw: refuses a share of 1 - accept_fraction, of the lowest worth first.

        The worth is ranked among recent calls. This serves the most worth during an overload; when the
        overload is short, the class of the lowest worth bears all refusals.
        """
        if call.offer.in_transit:
            return self.random.random() < accept_fraction
        below = sum(worth < call.worth for worth in self.recent_worths)
        equal = sum(worth == call.worth for worth in self.recent_worths)
        return self.random.random() * equal >= (1.0 - accept_fraction) * len(self.recent_worths) - below

    def _choose_tandem(self, call: Call, target: Exchange) -> Exchange | None:
        """Choose a tandem for overflow, among healthy processors with circuits beyond the trunk reservation.

        An overflow call takes circuits of two groups, so it must not displace direct calls. The reservation
        wastes capacity where groups are few and idle. A number found busy recently gets no overflow: the
        calls to it stay on its own group.
        """
        if (
            self.accept_fraction < OVERLOADED_ACCEPT_FRACTION
            or not self._is_healthy(target)
            or (self.now < self.busy_numbers.get(call.offer.called_number, 0))
        ):
            return None
        options, width = [], call.offer.width
        for exchange in self.exchanges.values():
            entry, reachable = exchange.entry, exchange.reachable_cells
            if entry.cell in (self.settings.home_cell, call.offer.destination) or (
                self.settings.pools and entry.cell not in call.call_class.pools
            ):
                continue
            if (
                (reachable is None or reachable >> call.offer.destination & 1)
                and entry.exchange not in call.tried
                and (
                    exchange.free_circuits is None
                    or exchange.free_circuits >= width + OVERFLOW_RESERVE_SHARE * (exchange.group_size or 0.0)
                )
                and (self._is_healthy(exchange) and self._may_send(exchange))
            ):
                options.append(exchange)
        return self.random.choices(options, [x.tandem_weight for x in options])[0] if options else None

    def _is_healthy(self, exchange: Exchange) -> bool:
        """Whether the exchange is ready, answers and is not overloaded."""
        return (
            exchange.entry.state is api.ExchangeState.READY
            and not exchange.breaker_open
            and (min(exchange.accept_fraction, exchange.reported_fraction) >= OVERLOADED_ACCEPT_FRACTION)
        )

    def _may_send(self, exchange: Exchange) -> bool:
        """Whether the circuit breaker and the slow start of a cold exchange allow a set-up now."""
        settings, now = self.settings, self.now
        if exchange.breaker_open and now < exchange.last_sent_us + EPOCH_US:
            return False  # one trial call an epoch detects recovery
        while exchange.recent_sends and exchange.recent_sends[0] <= now - settings.fall_us:
            exchange.recent_sends.popleft()
        # An exchange is cold after an outage too; discovery lists its restart only seconds later.
        cold_since_us = max(exchange.entry.launched_us, exchange.last_unreachable_us)
        if cold_since_us == 0 or now - cold_since_us >= settings.cold_us:
            return True
        # A cold exchange must not be overloaded: within any window each of the n controllers sends at most
        # 1/n of tip_multiple times what it can carry. It can carry cold_from of its warm capacity, or
        # the can_take that it reports if that is more. The reported figure is limited by linear warming,
        # because a late report may still describe the processor before the restart. The warm capacity
        # is the one known from before the start, else a low estimate: the lower of our usual send rate and
        # the median of the exchanges' capacities.
        capacity_shares = sorted(
            x.capacity / settings.controllers for x in self.exchanges.values() if x.capacity
        ) or [self.send_rate]
        capacity_share = exchange.old_capacity / settings.controllers or min(
            self.send_rate or capacity_shares[0], capacity_shares[len(capacity_shares) // 2]
        )
        warm_share = (
            settings.cold_from + (1.0 - settings.cold_from) * (now - cold_since_us) / settings.cold_us
        )
        window_budget = (
            settings.tip_multiple
            * settings.fall_us
            / 1e6
            * max(
                settings.cold_from * capacity_share,
                min(warm_share * capacity_share, exchange.capacity / settings.controllers),
            )
        )
        if 0 < window_budget < 1:
            return now >= exchange.last_sent_us + settings.fall_us / window_budget
        return len(exchange.recent_sends) < max(1.0, window_budget)  # capacity unknown: one call a window

    # Occupancy.

    def _on_load(self, exchange_id: api.ExchangeId, load: api.Load) -> None:
        exchange = self.exchanges.get(exchange_id)
        free_circuits, group_size, utilisation, can_take = (
            # None, negative, NaN and implausibly large figures mean unknown, never 0.
            value if value is not None and 0.0 <= value <= MAX_PLAUSIBLE_LOAD else None
            for value in (load.free_circuits, load.group_size, load.utilisation, load.can_take)
        )
        if exchange is None:
            return
        exchange.free_circuits = exchange.free_circuits if free_circuits is None else free_circuits
        exchange.group_size = exchange.group_size if group_size is None else group_size
        if can_take is not None or utilisation is not None:
            exchange.utilisation, exchange.can_take, exchange.reported_us = utilisation, can_take, self.now
            exchange.capacity = max(exchange.capacity, can_take or 0.0)

    def _open_breaker_if_silent(self, call: Call) -> None:
        """Open the breaker if nothing was heard from the exchange since the call's direct set-up was sent.

        A hung or lost processor sends no signs of load, so its accept fraction alone would stay open. The
        breaker covers a cut link too. It may open on a slow processor with little traffic, until one trial
        call has been answered.
        """
        exchange = call.exchange
        if exchange and exchange.last_answer_us < call.sent_us and call.offer.call in exchange.pending:
            if not exchange.breaker_open:
                self.actions.append(api.Log(f"breaker open towards exchange {exchange.entry.cell}"))
            exchange.breaker_open = True

    def _occupancy(self, exchange: Exchange, own_delay_us: float) -> float:
        """Occupancy of a next processor: as reported this epoch, else the highest that its answers suggest.

        A processor refuses set-ups only when its queueing delay is far beyond the aim, so the share of
        failures, which the occupancy rule uses, rises too late. Earlier signs are the delay beyond our own
        part, the age of the oldest unanswered set-up and a falling can_take. The last misleads where can_take
        falls for reasons other than load.
        """
        recent = exchange.reported_us > self.now - EPOCH_US
        if recent and exchange.utilisation is not None:
            return exchange.utilisation
        occupancy = 1.0 + exchange.epoch_failed / exchange.epoch_ended if exchange.epoch_failed else 0.0
        if recent and exchange.can_take is not None:
            occupancy = max(
                occupancy,
                TARGET_OCCUPANCY * CAN_TAKE_SHARE * exchange.capacity / max(exchange.can_take, 1e-3),
            )
        oldest_us = next(iter(exchange.queued_sends()), self.now)
        wait_us = max(exchange.delay_us, self.now - oldest_us) - own_delay_us
        return max(occupancy, TARGET_OCCUPANCY * wait_us / self.target_wait_us)

    def _on_epoch(self) -> None:
        self._set_timer(None, self.now + EPOCH_US)
        failing, own_delay_us = (
            0,
            sorted(self.recent_delays)[RECENT_DELAYS // 4]
            if len(self.recent_delays) > RECENT_DELAYS // 4
            else 0.0,
        )
        for exchange in self.exchanges.values():
            call_number, sent_us = next(iter(exchange.pending.items()), (0, self.now))
            queue_age_us = self.now - next(iter(exchange.queued_sends()), self.now)
            if self.now - sent_us >= self.aim_us:
                self._open_breaker_if_silent(self.calls[call_number])
            exchange.accept_fraction = self._adjusted(
                exchange.accept_fraction, self._occupancy(exchange, own_delay_us)
            )
            failing += exchange.epoch_failed > 0 or queue_age_us >= self.target_wait_us
            exchange.delay_us *= EXCHANGE_DELAY_DECAY
            exchange.reported_fraction = min(1.0, exchange.reported_fraction * REPORTED_FRACTION_GROWTH)
            exchange.capacity *= CAPACITY_DECAY
            exchange.recent_errors *= ERROR_COUNT_DECAY
            exchange.epoch_ended = exchange.epoch_failed = 0
        self.accept_fraction = self._adjusted(
            self.accept_fraction,
            1.0 - self.min_delay_us / self.mean_delay_us if self.delay_samples >= MIN_DELAY_SAMPLES else 0.0,
        )
        # The inbound fraction applies the occupancy rule to our own processor. Every set-up from here passes
        # it, so its queueing delay delays even the quickest one of the epoch. Where none was established and
        # several exchanges fail or do not answer, the fault is in our own processor.
        wait_us = (
            self.epoch_min_delay_us - self.min_delay_us
            if self.epoch_min_delay_us
            else 2.0 * self.target_wait_us * (failing >= OWN_FAULT_EXCHANGES)
        )
        self.inbound_fraction, self.epoch_min_delay_us = (
            self._adjusted(self.inbound_fraction, TARGET_OCCUPANCY * wait_us / self.target_wait_us),
            0.0,
        )
        self.min_delay_us *= MIN_DELAY_GROWTH
        self.send_rate += (self.setups_sent / max(1, len(self.exchanges) - 1) - self.send_rate) * RATE_GAIN
        self.setups_sent = 0
        self._send_report()
        if not self.subscribed and self.now - self.last_subscribe_us > self.settings.ask_within_us // 4:
            self.last_subscribe_us = self.now
            self.actions.append(api.Subscribe())

    def _send_report(self) -> None:
        """Report our inbound fraction, and the cells reachable from here, to all other controllers.

        In a large mesh each controller sees too few set-ups to each exchange to estimate its load, and would
        send transit calls that must be turned back. The servers of the occupancy rule report their fraction
        too. A lost report does no lasting harm, since its effect fades. Reports are harmful where handling
        them costs more work than the attempts they save.
        """
        self.report_age += 1
        # When all are overloaded at once, reports from everyone would flood every processor.
        may_be_early, self.reports_heard = self.random.random() * self.reports_heard < REPORTS_HEARD_PER_S, 0
        period_epochs = self.settings.controllers / REPORTS_HEARD_PER_S
        urgent = may_be_early and abs(self.inbound_fraction - self.reported_fraction) > URGENT_REPORT_CHANGE
        if (
            not self.settings.may_message
            or self.report_age < period_epochs * (self.inbound_fraction if may_be_early else 1.0)
            and not urgent
        ):
            return
        reachable = sum(
            1 << x.entry.cell
            for x in self.exchanges.values()
            if self._is_healthy(x) and (x.free_circuits or 0.0) >= 1.0
        )
        if (
            urgent
            or reachable != self.reported_cells
            or self.report_age >= UNCHANGED_REPORT_PERIODS * period_epochs
        ):
            self.report_age, self.reported_fraction, self.reported_cells = 0, self.inbound_fraction, reachable
            self.actions.append(api.PeerReport(self.settings.home_cell, self.inbound_fraction, reachable))

    def _adjusted(self, accept_fraction: float, occupancy: float) -> float:
        """The accept fraction after one epoch of the given occupancy."""
        adjustment = min(TARGET_OCCUPANCY / occupancy, MAX_ADJUSTMENT) if occupancy > 0 else MAX_ADJUSTMENT
        return min(1.0, max(MIN_ACCEPT_FRACTION, accept_fraction * max(MIN_ADJUSTMENT, adjustment)))

    # Discovery.

    def _on_discovery(self, event: api.Discovery) -> None:
        if event.mode is not api.ListMode.CACHED:
            self.subscribed = not (self.settings.discovery_on_request and event.mode is api.ListMode.FAILED)
        if event.mode is api.ListMode.FAILED:
            return  # the known list stays in force; the epoch timer subscribes again
        if event.mode is not api.ListMode.DELTA:
            # An exchange that is missing from a complete list is gone: nothing new is sent to it.
            listed = {entry.exchange for entry in event.entries}
            self.exchanges = {key: x for key, x in self.exchanges.items() if key in listed}
        for entry in event.entries:
            known = self.exchanges.get(entry.exchange)
            if entry.state is api.ExchangeState.GONE:
                self.exchanges.pop(entry.exchange, None)
            elif known is not None and known.entry.launched_us == entry.launched_us:
                known.entry = entry
            else:
                started = self.exchanges[entry.exchange] = Exchange(entry)
                if known is not None:
                    started.free_circuits, started.group_size, started.old_capacity = (
                        known.free_circuits,
                        known.group_size,
                        max(known.capacity, known.old_capacity),
                    )
                    # Set-ups already sent count against the cold-start budget.
                    started.recent_sends, started.last_sent_us = known.recent_sends, known.last_sent_us
