"""Checks the router's service rules from outside, by the traffic on its sockets and its timing.

Time is virtual and a peer model receives bytes in the instant in which they are written, so "before" and
"after" are exact. Where two events happen in the same instant, either order is allowed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from barleywheel.standins import exchange, hub
from barleywheel.standins.caller import Caller
from barleywheel.virtual.environment import GUARD_US, HOME_CELL, MAX_ATTEMPTS, START_US, VirtualEnvironment

# How long after the router learns that a hub is draining or gone it may still send that hub a set-up.
DRAIN_GRACE_US = 250_000
# A release must reach the other side of the call, and a late 200 must be released, within this time.
RELEASE_DEADLINE_US = 1_000_000
# A hub must receive the cancel of an abandoned set-up within this time.
CANCEL_DEADLINE_US = 300_000
# Set-ups that arrive later than this after SIGTERM need no answer.
TERM_ACCEPT_WINDOW_US = 700_000
# Q.850 causes with which the router rejects a set-up: no circuit, temporary failure, switching equipment
# congestion, invalid message, timer expiry.
REJECTION_CAUSES = {34, 41, 42, 95, 102}


@dataclass(frozen=True)
class Violation:
    """A broken rule. ``rule`` identifies the finding; ``seen`` says what the checker observed."""

    rule: str
    seen: str


@dataclass(eq=False)
class Attempt:
    """One attempt, as observed at its hub or at the exchange."""

    hub_name: str
    started_us: int
    end_us: int | None = None
    guarded: bool = False  # ended by a time-out, a reset or a cancel: the guard time applies
    succeeded: bool = False


@dataclass(eq=False)
class OfferedCall:
    """A set-up from a caller, or from the exchange: then ``caller`` is None and ``cic`` is its circuit."""

    ref: str
    caller: Caller | None
    offered_us: int
    due_us: int  # deadline of the final answer
    destination: int
    description: bytes
    called_number: str = "7f3a"
    transit: bool = False
    is_duplicate: bool = False  # its id is in use, so it must be rejected once
    answer_required: bool = True
    cic: int = -1
    answers: list[str] = field(default_factory=list)
    abandoned_us: int | None = None
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def open(self) -> bool:
        """Whether the call is still waiting for its final answer."""
        return not self.answers and self.abandoned_us is None


@dataclass(eq=False)
class EstablishedCall:
    """A call that was answered and reported to its caller as up."""

    offer: OfferedCall
    hub_name: str
    ended_by: str = ""  # the side that released it: caller, hub or router
    releases_sent: int = 0  # releases that the router sent to the caller's side
    may_have_ended: bool = False  # after a fault the router can't know whether the call is still up


class RuleChecker:
    """Observes the peers of one router in a virtual environment and records each broken rule.

    Attempts over the exchange are recorded under its hub name ``h4``.
    """

    def __init__(self) -> None:
        self.env: VirtualEnvironment
        self.violations: list[Violation] = []
        self.offers: list[OfferedCall] = []
        self.offers_by_ref: dict[str, list[OfferedCall]] = {}
        self.established_calls: dict[str, EstablishedCall] = {}
        # 200s of hubs that the router has neither passed on as an answer nor released: (hub, id) -> time.
        self.unresolved_answers: dict[tuple[str, str], int] = {}
        # Releases that callers may still receive for calls that were never established here: id -> number.
        self.unknown_releases: dict[str, int] = {}
        # Events that the router must cause: (event, id) -> deadline.
        self.expectations: dict[tuple[str, str], tuple[int, str]] = {}
        # Hub -> time at which the router was notified that it is draining or gone.
        self.draining_since_us: dict[str, int] = {}
        # Hubs that the journal lists as gone, even if the router has not read that yet.
        self.gone_hubs: set[str] = set()
        self.term_us: int | None = None
        self.ignored_refs: set[str] = set()  # ids that occur in malformed lines only
        self.known_callers: set[Caller] = set()  # connections that have sent a valid message
        # Connections that the router may close: they sent malformed data, stopped reading or stay silent.
        self.closable_callers: set[Caller] = set()
        self.inbound_circuits: dict[int, OfferedCall] = {}  # seized by the exchange: CIC -> call
        self.outbound_circuits: dict[int, OfferedCall] = {}  # seized by the router: CIC -> call
        self.released_by: dict[int, str] = {}  # circuits that await RLC: CIC -> sender of the REL
        self.counts: dict[str, int] = {}

    def add_violation(self, rule: str, seen: str) -> None:
        """Record a violation, with the virtual time since the start."""
        self.violations.append(Violation(rule, f"at {(self.env.now_us - START_US) / 1e6:.6f} s: {seen}"))

    def count(self, feature: str) -> None:
        """Count an event as a feature that the input reached."""
        self.counts[feature] = self.counts.get(feature, 0) + 1

    # Offers.

    def on_offer(self, offer: OfferedCall) -> None:
        """A set-up was written completely."""
        before = self.offers_by_ref.setdefault(offer.ref, [])
        established_call = self.established_calls.get(offer.ref)
        offer.is_duplicate = (
            any(earlier.open for earlier in before)
            or established_call is not None
            and not established_call.ended_by
        )
        if self.term_us is not None and self.env.now_us > self.term_us + TERM_ACCEPT_WINDOW_US:
            offer.answer_required = False
        before.append(offer)
        self.offers.append(offer)
        if offer.caller is not None:
            self.known_callers.add(offer.caller)

    def open_offer(self, ref: str) -> OfferedCall | None:
        """The unanswered set-up under an id, leaving out duplicates."""
        return next(
            (offer for offer in self.offers_by_ref.get(ref, ()) if offer.open and not offer.is_duplicate),
            None,
        )

    def on_caller_release(self, ref: str) -> None:
        """The caller's side sent a release."""
        offer = self.open_offer(ref)
        established_call = self.established_calls.get(ref)
        if offer is not None:
            offer.abandoned_us = self.env.now_us
            self.count("call abandoned")
        elif established_call is not None and not established_call.ended_by:
            established_call.ended_by = "caller"
            self.count("released by caller")
            hub_model = self.env.hubs.get(established_call.hub_name)
            if (
                hub_model is not None
                and established_call.hub_name not in self.gone_hubs
                and not established_call.may_have_ended
            ):
                self.expect("hub released", ref, RELEASE_DEADLINE_US)

    def on_caller_closed(self, caller: Caller) -> None:
        """A caller closed its connection, which abandons its open set-ups."""
        for offer in self.offers:
            if offer.caller is caller and offer.open:
                offer.abandoned_us = self.env.now_us

    def on_router_closed(self, caller: Caller, reset: bool) -> None:
        """The router closed a caller's connection."""
        self.count("connection closed by router")
        if caller in self.closable_callers or self.env.terminated:
            self.on_caller_closed(caller)
            return
        for offer in self.offers:
            if offer.caller is caller and offer.open:
                self.add_violation(
                    "lost with its connection",
                    f"{offer.ref} was unanswered when the router closed its connection",
                )

    # Lines to callers.

    def on_message(self, caller: Caller, kind: str, ref: str, message: dict[str, Any]) -> None:
        """See ``standins.caller.MessageHandler``."""
        if ref in self.ignored_refs:
            return
        if kind == "up":
            self._on_up(caller, ref, message)
        elif kind == "down":
            self._on_down(caller, ref, message["c"])
        elif kind == "hb_ok" and message.get("c") not in (0, 1):
            self.add_violation("test", f"invalid hb_ok: {message!r}")

    def _record_answer(self, offer: OfferedCall, kind: str) -> bool:
        now = self.env.now_us
        if offer.answers:
            self.add_violation("second answer", f"{offer.ref}: {kind} after {offer.answers}")
            return False
        if offer.abandoned_us is not None and offer.abandoned_us < now:
            self.add_violation(
                "answer after down", f"{offer.ref}: {kind}, abandoned {now - offer.abandoned_us} us before"
            )
        if now > offer.due_us:
            self.add_violation(
                "late answer", f"{offer.ref}: {kind} {now - offer.due_us} us after the deadline"
            )
        offer.answers.append(kind)
        self.count(f"answer {kind}")
        return True

    def _offer_on_connection(self, caller: Caller | None, ref: str) -> OfferedCall | None:
        """The connection's first unanswered set-up under an id, else its latest one."""
        own = [offer for offer in self.offers_by_ref.get(ref, ()) if offer.caller is caller]
        unanswered = [offer for offer in own if not offer.answers]
        return unanswered[0] if unanswered else own[-1] if own else None

    def _on_up(self, caller: Caller | None, ref: str, message: dict[str, Any]) -> None:
        offer = next(
            (
                offer
                for offer in self.offers_by_ref.get(ref, ())
                if offer.caller is caller and not offer.is_duplicate and not offer.answers
            ),
            self._offer_on_connection(caller, ref),
        )
        if offer is None:
            self.add_violation("answer to nobody", f"up for {ref} on a connection that sent no such set-up")
            return
        if not self._record_answer(offer, "up"):
            return
        self._record_established(offer, message["d"].encode("utf-8", "surrogateescape"))

    def _record_established(self, offer: OfferedCall, description: bytes) -> None:
        last = offer.attempts[-1] if offer.attempts else None
        if last is None or not last.succeeded:
            self.add_violation("served by nobody", f"{offer.ref} is reported up but no hub answered it")
            return
        expected = hub.hub_description(last.hub_name, offer.ref)
        if description != expected:
            self.add_violation("description", f"{offer.ref}: {description!r} instead of {expected!r}")
        established_call = self.established_calls[offer.ref] = EstablishedCall(offer, last.hub_name)
        self.unresolved_answers.pop((last.hub_name, offer.ref), None)
        unknown = last.hub_name.encode() not in self.env.router.hubs.hubs and last.hub_name != "h4"
        if last.hub_name in self.gone_hubs or unknown:
            established_call.may_have_ended = True  # the router takes it for another hub at that address

    def _on_down(self, caller: Caller | None, ref: str, cause: int) -> None:
        established_call = self.established_calls.get(ref)
        duplicate = next(
            (
                offer
                for offer in self.offers_by_ref.get(ref, ())
                if offer.caller is caller and offer.is_duplicate and not offer.answers
            ),
            None,
        )
        own = [
            offer
            for offer in self.offers_by_ref.get(ref, ())
            if offer.caller is caller and not offer.answers and not offer.is_duplicate
        ]
        waiting = next((offer for offer in own if offer.open), own[0] if own else None)
        if duplicate is not None and cause == 95:
            self._record_answer(duplicate, "rejected")
        elif (
            established_call is not None
            and established_call.ended_by == "hub"
            and cause not in REJECTION_CAUSES
        ):
            self._record_release(ref, established_call, cause)
        elif self.unknown_releases.get(ref) and cause not in REJECTION_CAUSES:
            self.unknown_releases[ref] -= 1
        elif waiting is not None and cause in REJECTION_CAUSES:
            self._record_answer(waiting, "refused" if cause in (34, 42, 102) else "failed")
            if (
                waiting.attempts
                and waiting.attempts[-1].end_us is None
                and not waiting.attempts[-1].succeeded
            ):
                self.add_violation("answered with an attempt out", f"{ref}: rejected with cause {cause}")
        elif established_call is not None:
            self._record_release(ref, established_call, cause)
        elif (offer := self._offer_on_connection(caller, ref)) is not None:
            self._record_answer(offer, f"down {cause}")
        elif not self.unknown_releases.get(ref):
            self.add_violation("release to nobody", f"{ref} with cause {cause}: no such call")
        else:
            self.unknown_releases[ref] -= 1

    def _record_release(self, ref: str, established_call: EstablishedCall, cause: int) -> None:
        established_call.releases_sent += 1
        self.expectations.pop(("caller told", ref), None)
        if established_call.releases_sent > 1:
            self.add_violation("release told twice", f"{ref} with cause {cause}")
        elif established_call.ended_by == "caller" and not established_call.may_have_ended:
            self.add_violation("release told to who released", f"{ref} with cause {cause}")
        elif not established_call.ended_by and not established_call.may_have_ended:
            self.add_violation(
                "release invented", f"{ref} with cause {cause}: it is still up at {established_call.hub_name}"
            )
        established_call.ended_by = established_call.ended_by or "router"
        self.count("release sent to caller")
        del self.established_calls[ref]
        self.unknown_releases.setdefault(ref, 0)

    # Hubs: see ``standins.hub.HubObserver``.

    def on_setup(self, at_hub: hub.Hub, setup: hub.Setup) -> None:
        """A hub received a complete INVITE."""
        message = setup.message
        offer = self.open_offer(setup.ref) or next(
            (o for o in self.offers if o.caller is None and o.description == message.body and o.open), None
        )
        if offer is not None and offer.caller is None and offer.ref != setup.ref:
            self.offers_by_ref.setdefault(setup.ref, []).append(offer)
            offer.ref = setup.ref
        if offer is None:
            known = self.offers_by_ref.get(setup.ref)
            abandoned_us = known[-1].abandoned_us if known else None
            if abandoned_us is None or abandoned_us < self.env.now_us:
                self.add_violation(
                    "set-up of nobody's", f"{setup.ref} at {at_hub.name}: no call with that id is waiting"
                )
            return
        self.on_attempt(offer, at_hub.name, at_hub.cell, message.body, message.number)
        time_left_ms = (offer.due_us - self.env.now_us) // 1000
        if int(message.headers["X-Patience"]) > time_left_ms + 1:
            self.add_violation(
                "patience",
                f"{setup.ref}: X-Patience is {message.headers['X-Patience']} ms with {time_left_ms} ms left",
            )

    def on_attempt(self, offer: OfferedCall, hub_name: str, cell: int, body: bytes, number: str) -> None:
        """The router started an attempt at a hub or at the exchange.

        Checks that no other attempt of the call is out, the guard time, the number of attempts, the drain
        state of the hub, the route, and that the description and the called number are unchanged.
        """
        now, ref = self.env.now_us, offer.ref
        if offer.attempts:
            last = offer.attempts[-1]
            if last.end_us is None:
                self.add_violation("two attempts out", f"{ref} at {last.hub_name} and at {hub_name}")
            elif last.guarded and now < last.end_us + GUARD_US:
                self.add_violation(
                    "guard",
                    f"{ref} at {hub_name} {now - last.end_us} us after the broken attempt at {last.hub_name}",
                )
        offer.attempts.append(Attempt(hub_name, now))
        self.count(f"attempt {len(offer.attempts)}")
        if len(offer.attempts) > MAX_ATTEMPTS:
            self.add_violation("attempts", f"{ref}: {len(offer.attempts)} attempts, limit {MAX_ATTEMPTS}")
        if now > self.draining_since_us.get(hub_name, now) + DRAIN_GRACE_US:
            self.add_violation(
                "drain",
                f"{ref} at {hub_name}, notified as draining or gone "
                f"{now - self.draining_since_us[hub_name]} us before",
            )
        if cell == HOME_CELL or offer.destination < 0 or offer.transit and cell != offer.destination:
            self.add_violation("route", f"{ref} for cell {offer.destination} at {hub_name}")
        if body != offer.description:
            self.add_violation(
                "description", f"{ref} at {hub_name}: {body!r} instead of {offer.description!r}"
            )
        if number != offer.called_number:
            self.add_violation(
                "number", f"{ref} at {hub_name}: {number!r} instead of {offer.called_number!r}"
            )

    def on_given_up(self, at_hub: hub.Hub, setup: hub.Setup) -> None:
        """The router cancelled a set-up, or the connection that carried it ended."""
        self._end_attempt(setup.ref, at_hub.name, guarded=True)
        self.count("attempt abandoned")

    def _end_attempt(self, ref: str, hub_name: str, guarded: bool = False, succeeded: bool = False) -> None:
        for offer in reversed(self.offers_by_ref.get(ref, [])):
            for attempt in reversed(offer.attempts):
                if attempt.hub_name == hub_name and attempt.end_us is None:
                    attempt.end_us, attempt.guarded, attempt.succeeded = self.env.now_us, guarded, succeeded
                    return

    def on_answering(self, at_hub: hub.Hub, setup: hub.Setup, status: int) -> None:
        """A hub is about to send a response."""
        if status < 200 or any(before >= 200 for before in setup.answers):
            return  # provisional, or a retransmission, which the router only acknowledges
        self.count(f"hub response {status}")
        if setup.open:
            self._end_attempt(setup.ref, at_hub.name, guarded=status == 504, succeeded=status < 300)
        if status < 300:
            self.unresolved_answers[at_hub.name, setup.ref] = self.env.now_us
            if setup.cancelled:
                self.count("late answer")

    def on_acknowledged(self, at_hub: hub.Hub, ref: str) -> None:
        """A hub received an ACK."""
        self.expectations.pop(("acknowledged", ref), None)

    def on_released(self, at_hub: hub.Hub, ref: str) -> None:
        """The router released a call at a hub."""
        established_call = self.established_calls.get(ref)
        self.expectations.pop(("hub released", ref), None)
        if self.unresolved_answers.pop((at_hub.name, ref), None) is not None:
            self.count("late answer undone")
        elif established_call is not None and (
            established_call.may_have_ended
            or established_call.hub_name == at_hub.name
            and established_call.ended_by == "caller"
        ):
            del self.established_calls[ref]
            self.unknown_releases.setdefault(ref, 0)
        else:
            self.add_violation(
                "release invented",
                f"{ref} at {at_hub.name} while "
                + (
                    "the call is up"
                    if established_call and not established_call.ended_by
                    else "no call is up"
                ),
            )

    def on_releasing(self, at_hub: hub.Hub, ref: str) -> None:
        """A hub releases a call."""
        established_call = self.established_calls.get(ref)
        pending = self.unresolved_answers.pop((at_hub.name, ref), None)
        if (
            established_call is not None
            and established_call.hub_name == at_hub.name
            and not established_call.ended_by
        ):
            established_call.ended_by = "hub"
            self.count("released by hub")
            if self.env.exchange.active if established_call.offer.caller is None else self.caller_reachable():
                self.expect("caller told", ref, RELEASE_DEADLINE_US)
        elif pending is None and self.open_offer(ref) is None and established_call is None:
            self.unknown_releases[ref] = 1  # a repeat within 30 s is not passed on
        elif pending is not None:
            # Released before the router passed the answer on: the caller gets the answer, then the release.
            self.unresolved_answers[at_hub.name, ref] = pending

    def caller_reachable(self) -> bool:
        """Whether a caller connection is open to which the router must send releases."""
        return any(
            caller.open and caller in self.known_callers and caller not in self.closable_callers
            for caller in self.env.callers.values()
        )

    def expect(self, event: str, ref: str, within_us: int) -> None:
        """Require an event for a call by a deadline; the rule is then called ``not <event>``."""
        self.expectations[event, ref] = (self.env.now_us + within_us, event)

    # Faults and state changes that the script causes.

    def on_hub_draining(self, name: str) -> None:
        """The router was notified that a hub is draining or gone."""
        self.draining_since_us.setdefault(name, self.env.now_us)

    def on_hub_ready(self, name: str) -> None:
        """The journal lists a hub as ready again, or is about to."""
        self.draining_since_us.pop(name, None)
        self.gone_hubs.discard(name)

    def on_hub_failed(self, name: str, gone: bool) -> None:
        """A hub's process, machine or connection failed, so the router may release its calls at any time."""
        for ref, established_call in self.established_calls.items():
            if established_call.hub_name == name:
                established_call.may_have_ended = True
                self.expectations.pop(("hub released", ref), None)
                self.expectations.pop(("caller told", ref), None)
        for key in [key for key in self.unresolved_answers if key[0] == name]:
            del self.unresolved_answers[key]
        if gone:
            self.gone_hubs.add(name)

    def waive_expectations(self) -> None:
        """Drop all expectations: the script closed connections, which may lose messages in transit."""
        self.expectations.clear()
        for established_call in self.established_calls.values():
            established_call.may_have_ended = True

    # The exchange.

    def on_exchange_offer(self, cic: int, offer: OfferedCall) -> None:
        """The exchange sent an IAM on a circuit that is idle on its side."""
        self.inbound_circuits[cic] = offer
        self.offers.append(offer)

    def on_isup(
        self, peer_exchange: exchange.Exchange, cic: int, kind: int, body: bytes, description: bytes
    ) -> None:
        """See ``standins.exchange.MessageHandler``: the router sent an ISUP message."""
        inbound, outbound = self.inbound_circuits.get(cic), self.outbound_circuits.get(cic)
        if kind == exchange.IAM:
            if outbound is not None or inbound is not None and "ACM" in inbound.answers:
                self.add_violation("circuit taken twice", f"IAM on circuit {cic}")
            offer = next((o for o in self.offers if o.description == description and o.open), None)
            if offer is None:
                self.add_violation("set-up of nobody's", f"IAM on circuit {cic} with {description!r}")
                return
            self.outbound_circuits[cic] = offer
            self.count("IAM received")
            self.on_attempt(offer, "h4", 4, description, offer.called_number)
        elif kind == exchange.ANM:
            if inbound is None:
                self.add_violation("answer to nobody", f"ANM on circuit {cic}")
            elif self._record_answer(inbound, "up"):
                self._record_established(inbound, description)
                self.count("ANM received")
        elif kind == exchange.REL:
            self._on_circuit_released(cic, inbound, outbound, body[4] & 0x7F)
        elif kind == exchange.RLC:
            if self.released_by.pop(cic, "") != "exchange" and cic not in self.released_by:
                self.count("RLC without a release")

    def _on_circuit_released(
        self, cic: int, inbound: OfferedCall | None, outbound: OfferedCall | None, cause: int
    ) -> None:
        self.released_by[cic] = "router"
        self.count("REL received")
        if outbound is not None:
            self._end_attempt(outbound.ref, "h4", guarded=True)
            established_call = self.established_calls.get(outbound.ref)
            if established_call is not None and established_call.hub_name == "h4":
                self.expectations.pop(("hub released", outbound.ref), None)
                if established_call.ended_by != "caller" and not established_call.may_have_ended:
                    self.add_violation(
                        "release invented", f"REL with cause {cause} on circuit {cic} while the call is up"
                    )
                del self.established_calls[outbound.ref]
            self.unresolved_answers.pop(("h4", outbound.ref), None)
        elif inbound is not None:
            established_call = self.established_calls.get(inbound.ref)
            if inbound.abandoned_us is not None:
                pass  # the caller is gone: only the circuit is released
            elif not inbound.answers:
                self._record_answer(inbound, "refused" if cause in (34, 42, 102) else "failed")
            elif established_call is not None:
                self._record_release(inbound.ref, established_call, cause)

    def on_circuit_freed(self, cic: int) -> None:
        """RLC was exchanged: the circuit is idle on both sides."""
        self.inbound_circuits.pop(cic, None)
        self.outbound_circuits.pop(cic, None)
        self.released_by.pop(cic, None)

    # Deadlines.

    def check_overdue(self) -> None:
        """Record a violation for each event whose deadline has passed; called by the script runner."""
        now = self.env.now_us
        for (event, ref), (due_us, _) in list(self.expectations.items()):
            if now > due_us:
                del self.expectations[event, ref]
                self.add_violation(f"not {event}", f"{ref}, due {now - due_us} us ago")
        for (hub_name, ref), since in list(self.unresolved_answers.items()):
            if now > since + RELEASE_DEADLINE_US:
                del self.unresolved_answers[hub_name, ref]
                self.add_violation(
                    "late answer not undone", f"{ref} at {hub_name}, {now - since} us after its 200"
                )
        for offer in self.offers:
            if offer.open and offer.answer_required and now > offer.due_us:
                offer.answer_required = False
                self.add_violation("no answer", f"{offer.ref}, due {now - offer.due_us} us ago")
            abandoned_us = offer.abandoned_us
            if (
                abandoned_us is not None
                and offer.attempts
                and offer.attempts[-1].end_us is None
                and (now > abandoned_us + CANCEL_DEADLINE_US)
            ):
                offer.attempts[-1].end_us = now
                late = f"{now - abandoned_us} us after its caller abandoned it"
                self.add_violation("not cancelled", f"{offer.ref} at {offer.attempts[-1].hub_name}, {late}")
