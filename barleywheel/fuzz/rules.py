"""The rules of service, checked from outside: by what crosses the router's sockets and when.

Time is virtual and a model hears bytes in the instant in which they are written, so "before" and "after"
are exact; where two things happen in one instant, either order is allowed. A violation is a rule's name and
what was seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from barleywheel.standins import exchange, hub
from barleywheel.standins.caller import Caller
from barleywheel.virtual.environment import GUARD_US, HOME_CELL, MAX_ATTEMPTS, START_US, VirtualEnvironment

DRAIN_GRACE_US = 250_000
RELEASE_DEADLINE_US = 1_000_000
CANCEL_DEADLINE_US = 300_000  # until a hub must have heard that a set-up was given up
TERM_ACCEPT_WINDOW_US = 700_000  # set-ups later than this after SIGTERM are owed nothing
REJECTION_CAUSES = {34, 41, 42, 95, 102}


@dataclass(frozen=True)
class Violation:
    """A rule broken: its name, which tells findings apart, and what was seen."""

    rule: str
    seen: str


@dataclass(eq=False)
class Attempt:
    """One attempt, as hubs see it."""

    hub_name: str
    at_us: int
    end_us: int | None = None
    guarded: bool = False  # it ended by a time-out, a reset or a cancel
    succeeded: bool = False


@dataclass(eq=False)
class OfferedCall:
    """One set-up of a caller's (or of the exchange: then ``caller`` is None and ``cic`` its circuit)."""

    ref: str
    caller: Caller | None
    at_us: int
    due_us: int
    destination: int
    description: bytes
    number: str = "7f3a"
    transit: bool = False
    is_duplicate: bool = False  # under an id that is in use: owed one rejection
    answer_required: bool = True
    cic: int = -1
    answers: list[str] = field(default_factory=list)
    abandoned_us: int | None = None
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def open(self) -> bool:
        """Whether an answer is still owed."""
        return not self.answers and self.abandoned_us is None


@dataclass(eq=False)
class EstablishedCall:
    """A call that stands."""

    offer: OfferedCall
    hub_name: str
    ended_by: str = ""  # who ended it
    releases_sent: int = 0  # releases told to the caller's side
    may_have_ended: bool = False  # the router can't know whether it still stands


class RuleChecker:
    """Watches one virtual environment."""

    def __init__(self) -> None:
        self.env: VirtualEnvironment
        self.violations: list[Violation] = []
        self.offers: list[OfferedCall] = []
        self.offers_by_ref: dict[str, list[OfferedCall]] = {}
        self.established_calls: dict[str, EstablishedCall] = {}
        # 200s that somebody has to account for: hub, id -> when.
        self.unresolved_answers: dict[tuple[str, str], int] = {}
        self.unknown_releases: dict[str, int] = {}  # releases of calls that never stood here: id -> how many
        self.expectations: dict[tuple[str, str], tuple[int, str]] = {}  # what must be seen, id -> until when
        # Hub -> when the router was told that it drains or is gone.
        self.draining_since_us: dict[str, int] = {}
        self.gone_hubs: set[str] = set()  # hubs that the journal calls gone, whether that was heard or not
        self.term_us: int | None = None
        self.ignored_refs: set[str] = set()  # ids that only unusable lines name
        self.known_callers: set[Caller] = set()  # connections on which something usable was sent
        self.closable_callers: set[Caller] = set()  # connections that have carried what is no message
        self.inbound_circuits: dict[int, OfferedCall] = {}  # of the exchange: our call there, by circuit
        self.outbound_circuits: dict[int, OfferedCall] = {}  # circuits that the router took
        self.released_by: dict[int, str] = {}  # circuits whose REL awaits its RLC: who sent it
        self.counts: dict[str, int] = {}

    def add_violation(self, rule: str, seen: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(rule, f"at {(self.env.now_us - START_US) / 1e6:.6f} s: {seen}"))

    def count(self, what: str) -> None:
        """Something was reached."""
        self.counts[what] = self.counts.get(what, 0) + 1

    # Offers.

    def on_offer(self, offer: OfferedCall) -> None:
        """A set-up has been written whole."""
        before = self.offers_by_ref.setdefault(offer.ref, [])
        established_call = self.established_calls.get(offer.ref)
        offer.is_duplicate = (
            any(one.open for one in before) or established_call is not None and not established_call.ended_by
        )
        if self.term_us is not None and self.env.now_us > self.term_us + TERM_ACCEPT_WINDOW_US:
            offer.answer_required = False
        before.append(offer)
        self.offers.append(offer)
        if offer.caller is not None:
            self.known_callers.add(offer.caller)

    def open_offer(self, ref: str) -> OfferedCall | None:
        """The set-up under an id that is being served."""
        return next(
            (one for one in self.offers_by_ref.get(ref, ()) if one.open and not one.is_duplicate), None
        )

    def on_caller_release(self, ref: str) -> None:
        """The caller's side wrote a release or hung up."""
        offer = self.open_offer(ref)
        established_call = self.established_calls.get(ref)
        if offer is not None:
            offer.abandoned_us = self.env.now_us
            self.count("call abandoned")
        elif established_call is not None and not established_call.ended_by:
            established_call.ended_by = "caller"
            self.count("released by caller")
            one = self.env.hubs.get(established_call.hub_name)
            if (
                one is not None
                and established_call.hub_name not in self.gone_hubs
                and not established_call.may_have_ended
            ):
                self.expect("hub released", ref, RELEASE_DEADLINE_US)

    def on_caller_closed(self, caller: Caller) -> None:
        """A caller hung up: what was open on its connection is given up."""
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
                    "lost with its connection", f"{offer.ref} was open on a connection that was closed"
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
            self.add_violation("test", f"hb_ok with {message!r}")

    def _record_answer(self, offer: OfferedCall, kind: str) -> bool:
        now = self.env.now_us
        if offer.answers:
            self.add_violation("second answer", f"{offer.ref}: {kind} after {offer.answers}")
            return False
        if offer.abandoned_us is not None and offer.abandoned_us < now:
            self.add_violation(
                "answer after down", f"{offer.ref}: {kind}, given up {now - offer.abandoned_us} us before"
            )
        if now > offer.due_us:
            self.add_violation(
                "late answer", f"{offer.ref}: {kind} {now - offer.due_us} us after its caller had gone"
            )
        offer.answers.append(kind)
        self.count(f"answer {kind}")
        return True

    def _offer_on(self, caller: Caller | None, ref: str) -> OfferedCall | None:
        own = [one for one in self.offers_by_ref.get(ref, ()) if one.caller is caller]
        waiting = [one for one in own if not one.answers]
        return waiting[0] if waiting else own[-1] if own else None

    def _on_up(self, caller: Caller | None, ref: str, message: dict[str, Any]) -> None:
        offer = next(
            (
                one
                for one in self.offers_by_ref.get(ref, ())
                if one.caller is caller and not one.is_duplicate and not one.answers
            ),
            self._offer_on(caller, ref),
        )
        if offer is None:
            self.add_violation("answer to nobody", f"{ref} stands on a connection that never asked")
            return
        if not self._record_answer(offer, "up"):
            return
        self._record_established(offer, message["d"].encode("utf-8", "surrogateescape"))

    def _record_established(self, offer: OfferedCall, description: bytes) -> None:
        last = offer.attempts[-1] if offer.attempts else None
        if last is None or not last.succeeded:
            self.add_violation("served by nobody", f"{offer.ref} stands and no hub answered it")
            return
        given = hub.hub_description(last.hub_name, offer.ref)
        if description != given:
            self.add_violation("description", f"{offer.ref}: {description!r} in place of {given!r}")
        established_call = self.established_calls[offer.ref] = EstablishedCall(offer, last.hub_name)
        self.unresolved_answers.pop((last.hub_name, offer.ref), None)
        unknown = last.hub_name.encode() not in self.env.router.hubs.hubs and last.hub_name != "h4"
        if last.hub_name in self.gone_hubs or unknown:
            established_call.may_have_ended = True  # the router takes it for another at that address

    def _on_down(self, caller: Caller | None, ref: str, cause: int) -> None:
        established_call = self.established_calls.get(ref)
        again = next(
            (
                one
                for one in self.offers_by_ref.get(ref, ())
                if one.caller is caller and one.is_duplicate and not one.answers
            ),
            None,
        )
        own = [
            one
            for one in self.offers_by_ref.get(ref, ())
            if one.caller is caller and not one.answers and not one.is_duplicate
        ]
        waiting = next((one for one in own if one.open), own[0] if own else None)
        if again is not None and cause == 95:
            self._record_answer(again, "rejected")
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
                self.add_violation("answered with an attempt out", f"{ref}: {cause}")
        elif established_call is not None:
            self._record_release(ref, established_call, cause)
        elif (offer := self._offer_on(caller, ref)) is not None:
            self._record_answer(offer, f"down {cause}")
        elif not self.unknown_releases.get(ref):
            self.add_violation("release to nobody", f"{ref} with {cause}")
        else:
            self.unknown_releases[ref] -= 1

    def _record_release(self, ref: str, established_call: EstablishedCall, cause: int) -> None:
        established_call.releases_sent += 1
        self.expectations.pop(("caller told", ref), None)
        if established_call.releases_sent > 1:
            self.add_violation("release told twice", f"{ref} with {cause}")
        elif established_call.ended_by == "caller" and not established_call.may_have_ended:
            self.add_violation("release told to who released", f"{ref} with {cause}")
        elif not established_call.ended_by and not established_call.may_have_ended:
            self.add_violation(
                "release invented", f"{ref} with {cause}: it still stands at {established_call.hub_name}"
            )
        established_call.ended_by = established_call.ended_by or "router"
        self.count("release sent to caller")
        del self.established_calls[ref]
        self.unknown_releases.setdefault(ref, 0)

    # Hubs: see ``standins.hub.HubObserver``.

    def on_setup(self, at_hub: hub.Hub, setup: hub.Setup) -> None:
        """An INVITE came whole."""
        message = setup.message
        offer = self.open_offer(setup.ref) or next(
            (o for o in self.offers if o.caller is None and o.description == message.body and o.open), None
        )
        if offer is not None and offer.caller is None and offer.ref != setup.ref:
            self.offers_by_ref.setdefault(setup.ref, []).append(offer)
            offer.ref = setup.ref
        if offer is None:
            known = self.offers_by_ref.get(setup.ref)
            gave_up = known[-1].abandoned_us if known else None
            if gave_up is None or gave_up < self.env.now_us:
                self.add_violation(
                    "set-up of nobody's", f"{setup.ref} at {at_hub.name}: no call is open under that id"
                )
            return
        self.on_attempt(offer, at_hub.name, at_hub.cell, message.body, message.number)
        left_ms = (offer.due_us - self.env.now_us) // 1000
        if int(message.headers["X-Patience"]) > left_ms + 1:
            self.add_violation(
                "patience", f"{setup.ref}: {message.headers['X-Patience']} ms, {left_ms} are left"
            )

    def on_attempt(self, offer: OfferedCall, hub_name: str, cell: int, body: bytes, number: str) -> None:
        """An attempt was made."""
        now, ref = self.env.now_us, offer.ref
        if offer.attempts:
            last = offer.attempts[-1]
            if last.end_us is None:
                self.add_violation("two attempts out", f"{ref} at {last.hub_name} and at {hub_name}")
            elif last.guarded and now < last.end_us + GUARD_US:
                self.add_violation(
                    "guard",
                    f"{ref} at {hub_name} {now - last.end_us} us after the attempt at {last.hub_name}",
                )
        offer.attempts.append(Attempt(hub_name, now))
        self.count(f"attempt {len(offer.attempts)}")
        if len(offer.attempts) > MAX_ATTEMPTS:
            self.add_violation("attempts", f"{ref}: {len(offer.attempts)} of them")
        if now > self.draining_since_us.get(hub_name, now) + DRAIN_GRACE_US:
            self.add_violation(
                "drain", f"{ref} at {hub_name}, told {now - self.draining_since_us[hub_name]} us before"
            )
        if cell == HOME_CELL or offer.destination < 0 or offer.transit and cell != offer.destination:
            self.add_violation("route", f"{ref} for {offer.destination} at {hub_name}")
        if body != offer.description:
            self.add_violation(
                "description", f"{ref} at {hub_name}: {body!r} in place of {offer.description!r}"
            )
        if number != offer.number:
            self.add_violation("number", f"{ref} at {hub_name}: {number!r} in place of {offer.number!r}")

    def on_given_up(self, at_hub: hub.Hub, setup: hub.Setup) -> None:
        """It was cancelled, or its connection ended."""
        self._end_attempt(setup.ref, at_hub.name, guarded=True)
        self.count("attempt abandoned")

    def _end_attempt(self, ref: str, hub_name: str, guarded: bool = False, succeeded: bool = False) -> None:
        for offer in reversed(self.offers_by_ref.get(ref, [])):
            for one in reversed(offer.attempts):
                if one.hub_name == hub_name and one.end_us is None:
                    one.end_us, one.guarded, one.succeeded = self.env.now_us, guarded, succeeded
                    return

    def on_answering(self, at_hub: hub.Hub, setup: hub.Setup, status: int) -> None:
        """A hub answers."""
        if status < 200 or any(before >= 200 for before in setup.answers):
            return  # a second copy: the router acknowledges it and does no more
        self.count(f"hub response {status}")
        if setup.open:
            self._end_attempt(setup.ref, at_hub.name, guarded=status == 504, succeeded=status < 300)
        if status < 300:
            self.unresolved_answers[at_hub.name, setup.ref] = self.env.now_us
            if setup.cancelled:
                self.count("late answer")

    def on_acknowledged(self, at_hub: hub.Hub, ref: str) -> None:
        """An ACK came."""
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
                + ("it stands" if established_call and not established_call.ended_by else "nothing stands"),
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
            self.unknown_releases[ref] = 1  # one more within 30 s is taken for a repeat and told no more
        elif pending is not None:
            # Ended before it was passed on: told after the answer.
            self.unresolved_answers[at_hub.name, ref] = pending

    def caller_reachable(self) -> bool:
        """Whether some connection is open that a release to callers may go to."""
        return any(
            one.open and one in self.known_callers and one not in self.closable_callers
            for one in self.env.callers.values()
        )

    def expect(self, what: str, ref: str, within_us: int) -> None:
        """Something must be seen before long."""
        self.expectations[what, ref] = (self.env.now_us + within_us, what)

    # Troubles, told by the script.

    def on_hub_draining(self, name: str) -> None:
        """The router has been told that a hub drains or is gone."""
        self.draining_since_us.setdefault(name, self.env.now_us)

    def on_hub_ready(self, name: str) -> None:
        """A hub is to be listed as ready again."""
        self.draining_since_us.pop(name, None)
        self.gone_hubs.discard(name)

    def on_hub_failed(self, name: str, gone: bool) -> None:
        """A hub's process or machine is in trouble: what stood there may be told as over at any time."""
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
        """Connections were ended by the script: what was on its way on them may be lost."""
        self.expectations.clear()
        for established_call in self.established_calls.values():
            established_call.may_have_ended = True

    # The exchange.

    def on_exchange_offer(self, cic: int, offer: OfferedCall) -> None:
        """The exchange sent an IAM on a circuit that it holds idle."""
        self.inbound_circuits[cic] = offer
        self.offers.append(offer)

    def on_isup(self, one: exchange.Exchange, cic: int, kind: int, body: bytes, found: bytes) -> None:
        """See ``standins.exchange.MessageHandler``: what the router sends on a circuit."""
        inbound, outbound = self.inbound_circuits.get(cic), self.outbound_circuits.get(cic)
        if kind == exchange.IAM:
            if outbound is not None or inbound is not None and "ACM" in inbound.answers:
                self.add_violation("circuit taken twice", f"IAM on {cic}")
            offer = next((o for o in self.offers if o.description == found and o.open), None)
            if offer is None:
                self.add_violation("set-up of nobody's", f"IAM on {cic} with {found!r}")
                return
            self.outbound_circuits[cic] = offer
            self.count("IAM received")
            self.on_attempt(offer, "h4", 4, found, offer.number)
        elif kind == exchange.ANM:
            if inbound is None:
                self.add_violation("answer to nobody", f"ANM on {cic}")
            elif self._record_answer(inbound, "up"):
                self._record_established(inbound, found)
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
                    self.add_violation("release invented", f"REL {cause} on {cic} while it stands")
                del self.established_calls[outbound.ref]
            self.unresolved_answers.pop(("h4", outbound.ref), None)
        elif inbound is not None:
            established_call = self.established_calls.get(inbound.ref)
            if inbound.abandoned_us is not None:
                pass  # the circuit alone is released
            elif not inbound.answers:
                self._record_answer(inbound, "refused" if cause in (34, 42, 102) else "failed")
            elif established_call is not None:
                self._record_release(inbound.ref, established_call, cause)

    def on_circuit_freed(self, cic: int) -> None:
        """RLC has crossed: the circuit is idle on both sides."""
        self.inbound_circuits.pop(cic, None)
        self.outbound_circuits.pop(cic, None)
        self.released_by.pop(cic, None)

    # Now and then.

    def check_overdue(self) -> None:
        """What must have been seen by now."""
        now = self.env.now_us
        for (what, ref), (due, _) in list(self.expectations.items()):
            if now > due:
                del self.expectations[what, ref]
                self.add_violation(f"not {what}", f"{ref}, due {now - due} us ago")
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
            left_us = offer.abandoned_us
            if (
                left_us is not None
                and offer.attempts
                and offer.attempts[-1].end_us is None
                and (now > left_us + CANCEL_DEADLINE_US)
            ):
                offer.attempts[-1].end_us = now
                late = f"{now - left_us} us after its caller gave it up"
                self.add_violation("not cancelled", f"{offer.ref} at {offer.attempts[-1].hub_name}, {late}")
