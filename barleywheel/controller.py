"""The decisions of one exchange's call controller. Types, events and actions: barleywheel/interface.py.

The occupancy rule admits calls towards each next processor; docs/design.md tells its source, what is
kept of it and the condition of each exception. No I/O and no clock: ``handle`` is told the time.
"""

from __future__ import annotations

import random
from collections import deque

from barleywheel import interface as api
from barleywheel.interface import Cause, Outcome

EPOCH_US = 1_000_000  # period of the occupancy rule (the paper's)
RHO_TARGET = 0.9  # occupancy aimed at (the paper's)
F_MIN = 0.1  # least accept fraction (the paper's)
PHI_MAX = 1.7  # most that f rises in an epoch; the paper's 5 leaps back into a queue not yet drained
PHI_FALL = 0.5  # deepest fall of f in an epoch: one bad figure is not the end
WAIT_SHARE = 0.3  # set-up delay beyond our own, as a share of the aim, that counts as the target occupancy
REPEAT_SHARE = 0.5  # the same bound, as a share of the time after which a waiting set-up is repeated
HINT_SHARE = 0.5  # can_take at this share of its highest yet counts as the target occupancy
MOST_FADE = 0.998  # what an epoch leaves of the highest can_take: a larger machine may have been replaced
ABSURD = 1e6  # no load figure is larger; such a one is taken for unknown
OWN_GAIN, RATE_GAIN = 0.1, 0.2  # weight of a set-up in the own smoothed delay, of an epoch in our usual rate
DELAYS_NEEDED = 10  # set-ups seen before the own occupancy is estimated
LEAST_DRIFT = 1.002  # rise of the least delay in an epoch, so that an old minimum is forgotten
FAR_GAIN, FAR_FADE = 0.4, 0.8  # weight of one set-up in a far delay; what an epoch leaves of it
RECENT = 20  # set-up delays whose lower quartile is our own part in them
WEIGHT_UP, WEIGHT_DOWN, WEIGHT_MIN = 0.1, 0.5, 0.05  # tandem weight: added when a call stands, times if not
PRESSED = 0.8  # an accept fraction below this marks a processor as pressed: no overflow through it or to it
RESERVE, LOW_RESERVE = 0.25, 0.1  # shares of a group that overflow and redialled calls leave free
LIMIT_LEAST_US = 100_000  # an attempt is given up at the aim, but not before it can be answered at all
BUSY_NUMBER_US, MAX_BUSY_NUMBERS = 30_000_000, 64  # numbers found busy: no overflow for so long; so many kept
WORTHS_KEPT = 50  # calls entered last, among which a call's worth is ranked
REDIAL_WORTH = 0.5  # worth of a redialled call: less of its aim is left
REPORTS_PER_S = 3  # reports that a controller hears a second, about: each is a tenth of a set-up's work
REPEATS = 10  # after so many periods a report is told again though nothing in it changed
TOLD_STEP, TOLD_FADE = 0.2, 1.03  # change of our told fraction told at once; rise of a told one an epoch
OWN_FAULT = 3  # exchanges that fail at once, and none whose calls stand: our own processor's fault
OVERTAKE_SHARE = 0.5  # of the wait bound: how much earlier a set-up was sent that was surely overtaken
ERROR_REPEATS = 3  # further attempts of a call whose last one ended in error: a hub has four connections
ERRORS_MANY, ERROR_FADE = 2.0, 0.5  # errors lately that make repeats worth their work; what an epoch leaves
BURST, BURST_LEAST = 2.0, 4.0  # set-ups out that are a burst: times what leaves in the wait bound; at least
MARGIN_TICKS = 2  # batches between our last moment for an answer and the caller's


class Exchange:
    """What is known of one next processor and of the own group towards it."""

    def __init__(self, entry: api.ExchangeEntry) -> None:
        self.entry = entry
        # Own estimate, and what its controller reported of its processor.
        self.accept_fraction = self.reported_fraction = self.weight = 1.0
        self.free: float | None = None
        self.size: float | None = None
        self.used: float | None = None  # reported utilisation
        self.reachable_cells: int | None = None  # reported: bit c, a call in transit finds circuits to c
        self.can_take: float | None = None
        self.load_us = self.heard_us = self.sent_us = -1
        self.down_us = 0  # when it was last found unreachable
        self.ended = self.failed = 0  # set-ups of this epoch, and those full or timed out
        self.delay = self.most = self.was = 0.0  # smoothed set-up delay; most can_take, and before its start
        self.breaker_open = False  # circuit breaker
        self.pending: dict[int, int] = {}  # direct set-ups out: call -> sent when
        self.sends: deque[int] = deque()  # sends within the last cold window
        self.erred = 0.0  # errors lately, fading
        self.passed_us = -1  # when the last of the direct set-ups that stood was sent

    def queued(self) -> list[int]:
        """When the direct set-ups were sent that may stand in line there.

        A processor has one line: what is out while a later one stands was lost, and its silence tells nothing
        of load; a refusal does not wait in line. Guards f against lost answers; harmful if set-ups overtake.
        """
        return [sent_us for sent_us in self.pending.values() if sent_us >= self.passed_us]


class Call:
    """A call taken and not yet answered."""

    def __init__(self, offer: api.CallOffered, kind: api.CallClass, now: int, deadline: int) -> None:
        self.offer, self.kind, self.taken_us, self.deadline_us = offer, kind, now, deadline
        self.worth = kind.worth * (REDIAL_WORTH if offer.redialled else 1.0)
        self.attempts = 0
        self.exchange: Exchange | None = None  # where the attempt is that is out
        self.sent_us = 0
        self.tried: list[api.ExchangeId] = []


class Controller:
    """Decides the calls of one exchange from its settings and from what it sees."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.aim_us = aim_us = min((kind.aim_us for kind in settings.classes), default=EPOCH_US)
        # Where a waiting set-up is repeated, each repeat is work: the queue is kept short of it.
        self.wait_us = min(WAIT_SHARE * aim_us, REPEAT_SHARE * settings.repeat_us or aim_us)
        self.exchanges: dict[api.ExchangeId, Exchange] = {}
        self.calls: dict[int, Call] = {}
        self.timers: dict[int, int | None] = {}  # token -> call; None: the epoch
        self.busy_numbers: dict[int, int] = {}  # number found busy -> no overflow until
        self.worths: deque[float] = deque(maxlen=WORTHS_KEPT)
        self.recent: deque[float] = deque(maxlen=RECENT)
        self.accept_fraction = 1.0  # own accept fraction
        # What others should send to this processor, and what they were told.
        self.inbound_fraction = self.reported_fraction = 1.0
        self.delay = self.least = self.low = self.rate = 0.0  # low: least delay of this epoch
        self.delays = self.sent = self.token = self.heard = 0
        # Where we told that circuits are, and how long ago.
        self.reported_cells, self.epochs = 0, settings.controllers
        self.now = self.asked_us = -1
        self.subscribed = not settings.discovery_on_request
        self.actions: list[api.Action] = []

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take one event; returns the actions in the order in which to perform them."""
        first, self.now, self.actions = self.now < 0, now_us, []
        if first:  # controllers started together do not act together: each has a phase of its own
            self._timer(None, now_us + int(self.random.random() * EPOCH_US))
            if self.settings.discovery_on_request:
                self.asked_us = now_us
                self.actions.append(api.Subscribe())
        match event:
            case api.CallOffered():
                self._offered(event)
            case api.AttemptEnded():
                self._observe(event.exchange, event.load)
                self._ended(event)
            case api.CallStands():
                self._stands(event)
            case api.LoadSeen():
                self._observe(event.exchange, event.load)
            case api.TimerDue():
                self._due(event.token)
            case api.CallerGone():
                if event.call in self.calls:
                    self._close(self.calls[event.call])
            case api.PeerReport():
                for exchange in self.exchanges.values():
                    if exchange.entry.cell == event.cell:
                        exchange.reachable_cells = event.reachable_cells
                        exchange.reported_fraction = max(F_MIN, event.accept_fraction)
                self.heard += 1
            case api.Discovery():
                self._discovered(event)
        return self.actions

    # The life of a call. The five rules are kept here.

    def _timer(self, call: int | None, due_us: int) -> None:
        self.token = self.token % 0xFFFFFFFF + 1
        self.timers[self.token] = call
        self.actions.append(api.SetTimer(self.token, due_us))

    def _offered(self, offer: api.CallOffered) -> None:
        if offer.call_class >= len(self.settings.classes):
            return self.actions.append(api.Refuse(offer.call))
        left = max(offer.time_left_us - MARGIN_TICKS * self.settings.tick_us, 0)
        call = Call(offer, self.settings.classes[offer.call_class], self.now, self.now + left)
        self.calls[offer.call] = call
        if not offer.in_transit:
            self.worths.append(call.worth)
        self._timer(offer.call, call.deadline_us)  # rule 1: the answer never waits for an outcome
        self._route(call, first=True)

    def _close(self, call: Call, answer: api.Action | None = None) -> None:
        """Nothing is owed any more; an attempt still out is called off."""
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
        """Turn the call away at once, with advice when to come back where callers hear it.

        An epoch is when the accept fraction may rise next; at a low one more of them pass before a call
        gets through.
        """
        advice = EPOCH_US / min(self.accept_fraction, self.inbound_fraction)
        if call.offer.in_transit or not self.settings.retry_after:
            advice = 0  # in transit it goes back to an exchange, which does not wait
        self._close(call, api.Refuse(call.offer.call, int(min(advice, self.settings.max_retry_after_us))))

    def _send(self, call: Call, exchange: Exchange) -> None:
        offer, call.exchange, call.sent_us, exchange.sent_us = call.offer, exchange, self.now, self.now
        call.attempts += 1
        call.tried.append(exchange.entry.exchange)
        if exchange.entry.cell == offer.destination:
            exchange.pending[offer.call] = self.now
        if exchange.free is not None:
            exchange.free -= offer.width  # until the next report
        exchange.sends.append(self.now)
        self.sent += 1
        # Late work is wasted work: an attempt ends with the aim, so its circuits and its place in the line
        # come free. Harmful where late calls keep most of their worth.
        patience = call.kind.aim_us - (self.now - call.taken_us)
        limit = min(call.deadline_us - self.now, max(patience, LIMIT_LEAST_US))
        self.actions.append(api.SetUp(offer.call, exchange.entry.exchange, limit))

    def _due(self, token: int) -> None:
        if token not in self.timers:
            return
        if (number := self.timers.pop(token)) is None:
            self._epoch()
        elif call := self.calls.get(number):
            self._silent(call)
            self._fail(call)

    def _stands(self, event: api.CallStands) -> None:
        call = self.calls.pop(event.call, None)
        if call is None or call.exchange is None:
            return
        exchange = call.exchange
        exchange.pending.pop(event.call, None)
        exchange.heard_us, exchange.breaker_open = self.now, False
        exchange.ended += 1
        if exchange.entry.cell != call.offer.destination:
            exchange.weight = min(1.0, exchange.weight + WEIGHT_UP)
            return
        exchange.passed_us = max(exchange.passed_us, call.sent_us - int(OVERTAKE_SHARE * self.wait_us))
        took = float(max(event.elapsed_us, 1))
        self.least = min(self.least or took, took)
        self.low = min(self.low or took, took)
        self.delay += (took - self.delay) * (OWN_GAIN if self.delays else 1.0)
        self.delays += 1
        self.recent.append(took)
        exchange.delay += (took - exchange.delay) * FAR_GAIN

    def _ended(self, event: api.AttemptEnded) -> None:
        call = self.calls.get(event.call)
        if call is None or call.exchange is None or event.attempt != call.attempts - 1:
            return  # of a call answered already: nothing more goes out for it
        exchange, outcome, full = call.exchange, event.outcome, event.cause is Cause.PROCESSOR_OVERLOADED
        direct = exchange.entry.cell == call.offer.destination
        if outcome is Outcome.TIMEOUT:
            self._silent(call)
        call.exchange = None
        exchange.pending.pop(event.call, None)
        if event.final:
            del self.calls[event.call]
            return
        if outcome is not Outcome.NOT_SENT:
            exchange.ended += 1
            exchange.erred += outcome is Outcome.ERROR and event.cause is Cause.NONE
            exchange.failed += full or outcome is Outcome.TIMEOUT and call.sent_us >= exchange.passed_us
            if outcome in (Outcome.REJECTED, Outcome.ERROR):
                exchange.heard_us, exchange.breaker_open = self.now, False
            elif outcome is Outcome.UNREACHABLE:
                exchange.breaker_open, exchange.down_us = True, self.now
                exchange.was, exchange.most = max(exchange.was, exchange.most), 0.0
            if not direct:
                exchange.weight = max(WEIGHT_MIN, exchange.weight * WEIGHT_DOWN)
        if event.cause is Cause.SUBSCRIBER_BUSY:
            self.busy_numbers.pop(call.offer.called_number, None)
            self.busy_numbers[call.offer.called_number] = self.now + BUSY_NUMBER_US
            if len(self.busy_numbers) > MAX_BUSY_NUMBERS:
                del self.busy_numbers[next(iter(self.busy_numbers))]
        if outcome is Outcome.ERROR and self._repeats(call, exchange, event.cause):
            call.tried.remove(exchange.entry.exchange)
            self._route(call, first=False)
        elif outcome not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT):
            self._fail(call)  # it may have run, or what it held may stay taken (rule 5): not sent again
        elif full or event.downstream_overloaded or call.offer.in_transit:
            self._refuse(call)  # the far processor is the same by any route
        elif direct and outcome is Outcome.UNREACHABLE:
            self._refuse(call)  # the far processor is the same by any route
        else:
            self._route(call, first=False)  # crankback

    def _repeats(self, call: Call, exchange: Exchange, cause: Cause) -> bool:
        """Whether a call that ended in error goes out once more, at once: errors may be a share of all only.

        Guards calls towards an exchange that fails quickly and often; harmful if an error costs it as much as
        a call, so not while it or we are pressed, nor for a lone error. Only where a repeat is harmless and
        can still be in time.
        """
        took = self.now - call.sent_us
        return (
            exchange.erred >= ERRORS_MANY
            and cause is Cause.NONE
            and call.kind.effect is api.Effect.FREE
            and not call.offer.in_transit
            and exchange.entry.cell == call.offer.destination
            and call.attempts <= ERROR_REPEATS
            and self.now + took < call.taken_us + call.kind.aim_us
            and self._unpressed(exchange)
            and self.accept_fraction >= PRESSED
        )

    # Routes.

    def _route(self, call: Call, first: bool) -> None:
        offer, cap, choice = call.offer, self.settings.max_attempts, None
        if self.now >= call.deadline_us:  # events came late: no time is left to send in
            self._fail(call)
            return
        targets = [
            x
            for x in self.exchanges.values()
            if x.entry.cell == offer.destination and x.entry.state is api.ExchangeState.READY
        ]
        if targets and offer.destination != self.settings.home_cell and (cap is None or call.attempts < cap):
            target = max(targets, key=lambda x: x.entry.launched_us)  # a replaced one may still be listed
            # Redials stand late, for part of the worth: short of circuits they must not displace first tries.
            kept = LOW_RESERVE * (target.size or 0.0) if offer.redialled else 0.0
            if target.entry.exchange not in call.tried and (
                target.free is None or target.free >= offer.width + kept
            ):
                choice = target
            elif not offer.in_transit and not offer.redialled:
                choice = self._tandem(call, target)
        if choice is None or not self._sendable(choice) or first and not self._admitted(call, choice):
            self._refuse(call)  # refused before sending; a refused draw tries no other route
        else:
            self._send(call, choice)

    def _burst(self) -> float:
        """Accept share within the epoch. Guards against a crowd, as of cut calls; a far jam lowers it too."""
        usual = BURST * self.rate * (len(self.exchanges) - 1) * self.wait_us / 1e6
        return max(usual, BURST_LEAST) / max(1, sum(len(x.queued()) for x in self.exchanges.values()))

    def _admitted(self, call: Call, choice: Exchange) -> bool:
        """The one draw. As many are refused as f says, those of least worth among recent calls first.

        Guards the worth served in a squeeze; the poorest class bears all of a short one.
        """
        f = min(choice.accept_fraction, choice.reported_fraction, self._burst())
        f = min(self.accept_fraction, self.inbound_fraction, f)
        if call.offer.in_transit:
            return self.random.random() < f
        below = sum(worth < call.worth for worth in self.worths)
        equal = sum(worth == call.worth for worth in self.worths)
        return self.random.random() * equal >= (1.0 - f) * len(self.worths) - below

    def _tandem(self, call: Call, target: Exchange) -> Exchange | None:
        """Overflow: between unpressed processors only, over circuits beyond the trunk reservation.

        Guards direct calls against calls that take two groups; harmful if groups are few and idle.
        """
        if (
            self.accept_fraction < PRESSED
            or not self._unpressed(target)
            or (self.now < self.busy_numbers.get(call.offer.called_number, 0))
        ):
            return None  # nor for a number lately busy: its crowd is kept to its own group
        options, width = [], call.offer.width
        for exchange in self.exchanges.values():
            entry, reachable = exchange.entry, exchange.reachable_cells
            if entry.cell in (self.settings.home_cell, call.offer.destination) or (
                self.settings.pools and entry.cell not in call.kind.pools
            ):
                continue
            if (
                (reachable is None or reachable >> call.offer.destination & 1)
                and entry.exchange not in call.tried
                and (exchange.free is None or exchange.free >= width + RESERVE * (exchange.size or 0.0))
                and (self._unpressed(exchange) and self._sendable(exchange))
            ):
                options.append(exchange)
        return self.random.choices(options, [x.weight for x in options])[0] if options else None

    def _unpressed(self, exchange: Exchange) -> bool:
        return (
            exchange.entry.state is api.ExchangeState.READY
            and not exchange.breaker_open
            and (min(exchange.accept_fraction, exchange.reported_fraction) >= PRESSED)
        )

    def _sendable(self, exchange: Exchange) -> bool:
        """Breaker and slow start."""
        settings, now = self.settings, self.now
        if exchange.breaker_open and now < exchange.sent_us + EPOCH_US:
            return False  # one trial call an epoch finds recovery
        while exchange.sends and exchange.sends[0] <= now - settings.fall_us:
            exchange.sends.popleft()
        # One that was down comes back cold, and the list tells it seconds later.
        launched = max(exchange.entry.launched_us, exchange.down_us)
        if launched == 0 or now - launched >= settings.cold_us:
            return True
        # Rule 4: in any window no more than our 1/n share of what it bears: the coldest share of its size, or
        # what it says it can take, within steady warming (a late report may be the old processor's). Its
        # size: what it could take before, else guessed low by our usual rate and by the others.
        sizes = sorted(x.most / settings.controllers for x in self.exchanges.values() if x.most) or [
            self.rate
        ]
        size = exchange.was / settings.controllers or min(self.rate or sizes[0], sizes[len(sizes) // 2])
        grown = settings.cold_from + (1.0 - settings.cold_from) * (now - launched) / settings.cold_us
        bears = (
            settings.tip_multiple
            * settings.fall_us
            / 1e6
            * max(settings.cold_from * size, min(grown * size, exchange.most / settings.controllers))
        )
        if 0 < bears < 1:
            return now >= exchange.sent_us + settings.fall_us / bears
        return len(exchange.sends) < max(1.0, bears)  # nothing known yet: one call a window

    # Occupancy.

    def _observe(self, number: api.ExchangeId, load: api.Load) -> None:
        exchange = self.exchanges.get(number)
        free, size, used, can_take = (  # unknown, -1, NaN and absurd all mean unknown, never 0
            value if value is not None and 0.0 <= value <= ABSURD else None
            for value in (load.free_circuits, load.group_size, load.utilisation, load.can_take)
        )
        if exchange is None:
            return
        exchange.free = exchange.free if free is None else free
        exchange.size = exchange.size if size is None else size
        if can_take is not None or used is not None:
            exchange.used, exchange.can_take, exchange.load_us = used, can_take, self.now
            exchange.most = max(exchange.most, can_take or 0.0)

    def _silent(self, call: Call) -> None:
        """Silence is not idleness: a direct set-up unanswered, and nothing heard since, opens the breaker.

        Guards against a hung or lost processor, whose accept fraction would stay open. It should cover a cut
        link too; it may open on a slow processor with little traffic, for one trial call's time.
        """
        exchange = call.exchange
        if exchange and exchange.heard_us < call.sent_us and call.offer.call in exchange.pending:
            if not exchange.breaker_open:
                self.actions.append(api.Log(f"breaker open towards exchange {exchange.entry.cell}"))
            exchange.breaker_open = True

    def _rho(self, exchange: Exchange, own_us: float) -> float:
        """Occupancy of a next processor: as reported this epoch, else the worst that its answers hint at.

        Set-ups are turned away only when the wait is long past the aim, so the design's share of failures
        speaks too late: delay beyond our own part, the age of what is unanswered and a falling can_take
        speak earlier. Harmful if can_take falls for other reasons than load.
        """
        fresh = exchange.load_us > self.now - EPOCH_US
        if fresh and exchange.used is not None:
            return exchange.used
        rho = 1.0 + exchange.failed / exchange.ended if exchange.failed else 0.0
        if fresh and exchange.can_take is not None:
            rho = max(rho, RHO_TARGET * HINT_SHARE * exchange.most / max(exchange.can_take, 1e-3))
        oldest = next(iter(exchange.queued()), self.now)
        beyond = max(exchange.delay, self.now - oldest) - own_us
        return max(rho, RHO_TARGET * beyond / self.wait_us)

    def _epoch(self) -> None:
        self._timer(None, self.now + EPOCH_US)
        mute, own_us = 0, sorted(self.recent)[RECENT // 4] if len(self.recent) > RECENT // 4 else 0.0
        for exchange in self.exchanges.values():
            number, sent_us = next(iter(exchange.pending.items()), (0, self.now))
            line_us = self.now - next(iter(exchange.queued()), self.now)
            if self.now - sent_us >= self.aim_us:
                self._silent(self.calls[number])
            exchange.accept_fraction = self._step(exchange.accept_fraction, self._rho(exchange, own_us))
            mute += exchange.failed > 0 or line_us >= self.wait_us
            exchange.delay *= FAR_FADE
            exchange.reported_fraction = min(1.0, exchange.reported_fraction * TOLD_FADE)
            exchange.most *= MOST_FADE
            exchange.erred *= ERROR_FADE
            exchange.ended = exchange.failed = 0
        own_rho = 1.0 - self.least / self.delay if self.delays >= DELAYS_NEEDED else 0.0
        self.accept_fraction = self._step(self.accept_fraction, own_rho)
        # What we tell: the rule on our own processor, which every set-up from here passes. Its wait is in the
        # quickest; where none stands, and several exchanges fail or keep silent, the fault is here.
        wait = self.low - self.least if self.low else 2.0 * self.wait_us * (mute >= OWN_FAULT)
        self.inbound_fraction = self._step(self.inbound_fraction, RHO_TARGET * wait / self.wait_us)
        self.low = 0.0
        self.least *= LEAST_DRIFT
        self.rate += (self.sent / max(1, len(self.exchanges) - 1) - self.rate) * RATE_GAIN
        self.sent = 0
        self._report()
        if not self.subscribed and self.now - self.asked_us > self.settings.ask_within_us // 4:
            self.asked_us = self.now
            self.actions.append(api.Subscribe())

    def _report(self) -> None:
        """Tell all others our processor's accept fraction, as the paper's servers do, and where circuits are.

        Guards against evidence too sparse at size and attempts bound to be turned back; a lost one fades.
        Harmful if reports cost more work than the attempts they save.
        """
        self.epochs += 1
        # When all are pressed at once, each one's news would bury the processors of the rest.
        calm, self.heard = self.random.random() * self.heard < REPORTS_PER_S, 0
        period = self.settings.controllers / REPORTS_PER_S
        moved = calm and abs(self.inbound_fraction - self.reported_fraction) > TOLD_STEP
        early = self.epochs < period * (self.inbound_fraction if calm else 1.0)
        if not self.settings.may_message or early and not moved:
            return
        reachable = sum(
            1 << x.entry.cell
            for x in self.exchanges.values()
            if self._unpressed(x) and (x.free or 0.0) >= 1.0
        )
        if moved or reachable != self.reported_cells or self.epochs >= REPEATS * period:
            self.epochs, self.reported_fraction, self.reported_cells = 0, self.inbound_fraction, reachable
            self.actions.append(api.PeerReport(self.settings.home_cell, self.inbound_fraction, reachable))

    def _step(self, f: float, rho: float) -> float:
        phi = min(RHO_TARGET / rho, PHI_MAX) if rho > 0 else PHI_MAX
        return min(1.0, max(F_MIN, f * max(PHI_FALL, phi)))

    # Discovery.

    def _discovered(self, event: api.Discovery) -> None:
        if event.mode is not api.ListMode.CACHED:
            self.subscribed = not (self.settings.discovery_on_request and event.mode is api.ListMode.FAILED)
        if event.mode is api.ListMode.FAILED:
            return  # the list held stays in force; it is asked for again in time
        if event.mode is not api.ListMode.DELTA:  # rule 3: those missing from a complete list are gone
            named = {entry.exchange for entry in event.entries}
            self.exchanges = {key: x for key, x in self.exchanges.items() if key in named}
        for entry in event.entries:
            known = self.exchanges.get(entry.exchange)
            if entry.state is api.ExchangeState.GONE:
                self.exchanges.pop(entry.exchange, None)
            elif known is not None and known.entry.launched_us == entry.launched_us:
                known.entry = entry
            else:
                fresh = self.exchanges[entry.exchange] = Exchange(entry)
                if known is not None:
                    fresh.free, fresh.size, fresh.was = known.free, known.size, max(known.most, known.was)
                    fresh.sends, fresh.sent_us = known.sends, known.sent_us  # count against the cold budget
