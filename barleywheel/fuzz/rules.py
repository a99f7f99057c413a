"""The rules of service, checked from outside: by what crosses the router's sockets and when.

Time is virtual and a model hears bytes in the instant in which they are written, so "before" and "after"
are exact; where two things happen in one instant, either order is allowed. A breach is a rule's name and
what was seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from barleywheel.standins import exchange, hub
from barleywheel.standins.caller import Caller
from barleywheel.virtual.world import GUARD_US, HOME, MOST_ATTEMPTS, START_US, World

DRAIN_US = 250_000
RELEASE_US = 1_000_000
CANCEL_US = 300_000  # until a hub must have heard that a set-up was given up
TAKEN_US = 700_000  # set-ups later than this after SIGTERM are owed nothing
CAUSES = {34, 41, 42, 95, 102}


@dataclass(frozen=True)
class Breach:
    """A rule broken: its name, which tells findings apart, and what was seen."""

    rule: str
    seen: str


@dataclass(eq=False)
class Try:
    """One attempt, as hubs see it."""

    where: str
    at_us: int
    end_us: int | None = None
    guarded: bool = False  # it ended by a time-out, a reset or a cancel
    stood: bool = False


@dataclass(eq=False)
class Offer:
    """One set-up of a caller's (or of the exchange: then ``caller`` is None and ``cic`` its circuit)."""

    ref: str
    caller: Caller | None
    at_us: int
    due_us: int
    to: int
    description: bytes
    number: str = "7f3a"
    transit: bool = False
    again: bool = False  # under an id that is in use: owed one rejection
    owed: bool = True
    cic: int = -1
    answers: list[str] = field(default_factory=list)
    given_up_us: int | None = None
    tries: list[Try] = field(default_factory=list)

    @property
    def open(self) -> bool:
        """Whether an answer is still owed."""
        return not self.answers and self.given_up_us is None


@dataclass(eq=False)
class Stood:
    """A call that stands."""

    offer: Offer
    where: str
    over: str = ""  # who ended it
    told: int = 0  # releases told to the caller's side
    excused: bool = False  # the router can't know whether it still stands


class Rules:
    """Watches one world."""

    def __init__(self) -> None:
        self.world: World
        self.breaches: list[Breach] = []
        self.offers: list[Offer] = []
        self.by_ref: dict[str, list[Offer]] = {}
        self.standing: dict[str, Stood] = {}
        self.undone: dict[tuple[str, str], int] = {}  # 200s that somebody has to account for: hub, id -> when
        self.strangers: dict[str, int] = {}  # releases of calls that never stood here: id -> how many
        self.duties: dict[tuple[str, str], tuple[int, str]] = {}  # what must be seen, id -> until when
        self.closed_to: dict[str, int] = {}  # hub -> when the router was told that it drains or is gone
        self.gone: set[str] = set()  # hubs that the journal calls gone, whether that was heard or not
        self.term_us: int | None = None
        self.ignored: set[str] = set()  # ids that only unusable lines name
        self.known: set[Caller] = set()  # connections on which something usable was sent
        self.dirty: set[Caller] = set()  # connections that have carried what is no message
        self.circuits: dict[int, Offer] = {}  # of the exchange: our call there, by circuit
        self.outward: dict[int, Offer] = {}  # circuits that the router took
        self.released_by: dict[int, str] = {}  # circuits whose REL awaits its RLC: who sent it
        self.counts: dict[str, int] = {}

    def breach(self, rule: str, seen: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(rule, f"at {(self.world.now_us - START_US) / 1e6:.6f} s: {seen}"))

    def count(self, what: str) -> None:
        """Something was reached."""
        self.counts[what] = self.counts.get(what, 0) + 1

    # Offers.

    def offered(self, offer: Offer) -> None:
        """A set-up has been written whole."""
        before = self.by_ref.setdefault(offer.ref, [])
        stood = self.standing.get(offer.ref)
        offer.again = any(one.open for one in before) or stood is not None and not stood.over
        if self.term_us is not None and self.world.now_us > self.term_us + TAKEN_US:
            offer.owed = False
        before.append(offer)
        self.offers.append(offer)
        if offer.caller is not None:
            self.known.add(offer.caller)

    def live(self, ref: str) -> Offer | None:
        """The set-up under an id that is being served."""
        return next((one for one in self.by_ref.get(ref, ()) if one.open and not one.again), None)

    def gave_up(self, ref: str) -> None:
        """The caller's side wrote a release or hung up."""
        offer = self.live(ref)
        stood = self.standing.get(ref)
        if offer is not None:
            offer.given_up_us = self.world.now_us
            self.count("given up")
        elif stood is not None and not stood.over:
            stood.over = "caller"
            self.count("released by caller")
            one = self.world.hubs.get(stood.where)
            if one is not None and stood.where not in self.gone and not stood.excused:
                self.duty("hub released", ref, RELEASE_US)

    def caller_closed(self, caller: Caller) -> None:
        """A caller hung up: what was open on its connection is given up."""
        for offer in self.offers:
            if offer.caller is caller and offer.open:
                offer.given_up_us = self.world.now_us

    def hung(self, caller: Caller, reset: bool) -> None:
        """The router closed a caller's connection."""
        self.count("hung up on")
        if caller in self.dirty or self.world.left:
            self.caller_closed(caller)
            return
        for offer in self.offers:
            if offer.caller is caller and offer.open:
                self.breach(
                    "lost with its connection", f"{offer.ref} was open on a connection that was closed"
                )

    # Lines to callers.

    def heard(self, caller: Caller, kind: str, ref: str, message: dict[str, Any]) -> None:
        """See ``standins.caller.Heard``."""
        if ref in self.ignored:
            return
        if kind == "up":
            self._answered(caller, ref, message)
        elif kind == "down":
            self._down(caller, ref, message["c"])
        elif kind == "hb_ok" and message.get("c") not in (0, 1):
            self.breach("test", f"hb_ok with {message!r}")

    def _final(self, offer: Offer, kind: str) -> bool:
        now = self.world.now_us
        if offer.answers:
            self.breach("second answer", f"{offer.ref}: {kind} after {offer.answers}")
            return False
        if offer.given_up_us is not None and offer.given_up_us < now:
            self.breach(
                "answer after down", f"{offer.ref}: {kind}, given up {now - offer.given_up_us} us before"
            )
        if now > offer.due_us:
            self.breach(
                "late answer", f"{offer.ref}: {kind} {now - offer.due_us} us after its caller had gone"
            )
        offer.answers.append(kind)
        self.count(f"answer {kind}")
        return True

    def _pick(self, caller: Caller | None, ref: str) -> Offer | None:
        mine = [one for one in self.by_ref.get(ref, ()) if one.caller is caller]
        waiting = [one for one in mine if not one.answers]
        return waiting[0] if waiting else mine[-1] if mine else None

    def _answered(self, caller: Caller | None, ref: str, message: dict[str, Any]) -> None:
        offer = next(
            (
                one
                for one in self.by_ref.get(ref, ())
                if one.caller is caller and not one.again and not one.answers
            ),
            self._pick(caller, ref),
        )
        if offer is None:
            self.breach("answer to nobody", f"{ref} stands on a connection that never asked")
            return
        if not self._final(offer, "up"):
            return
        self._stands(offer, message["d"].encode("utf-8", "surrogateescape"))

    def _stands(self, offer: Offer, description: bytes) -> None:
        last = offer.tries[-1] if offer.tries else None
        if last is None or not last.stood:
            self.breach("served by nobody", f"{offer.ref} stands and no hub answered it")
            return
        given = hub.described(last.where, offer.ref)
        if description != given:
            self.breach("description", f"{offer.ref}: {description!r} in place of {given!r}")
        stood = self.standing[offer.ref] = Stood(offer, last.where)
        self.undone.pop((last.where, offer.ref), None)
        unknown = last.where.encode() not in self.world.router.hubs.hubs and last.where != "h4"
        if last.where in self.gone or unknown:
            stood.excused = True  # the router takes it for another at that address

    def _down(self, caller: Caller | None, ref: str, cause: int) -> None:
        stood = self.standing.get(ref)
        again = next(
            (
                one
                for one in self.by_ref.get(ref, ())
                if one.caller is caller and one.again and not one.answers
            ),
            None,
        )
        mine = [
            one
            for one in self.by_ref.get(ref, ())
            if one.caller is caller and not one.answers and not one.again
        ]
        waiting = next((one for one in mine if one.open), mine[0] if mine else None)
        if again is not None and cause == 95:
            self._final(again, "rejected")
        elif stood is not None and stood.over == "hub" and cause not in CAUSES:
            self._told(ref, stood, cause)
        elif self.strangers.get(ref) and cause not in CAUSES:
            self.strangers[ref] -= 1
        elif waiting is not None and cause in CAUSES:
            self._final(waiting, "refused" if cause in (34, 42, 102) else "failed")
            if waiting.tries and waiting.tries[-1].end_us is None and not waiting.tries[-1].stood:
                self.breach("answered with an attempt out", f"{ref}: {cause}")
        elif stood is not None:
            self._told(ref, stood, cause)
        elif (offer := self._pick(caller, ref)) is not None:
            self._final(offer, f"down {cause}")
        elif not self.strangers.get(ref):
            self.breach("release to nobody", f"{ref} with {cause}")
        else:
            self.strangers[ref] -= 1

    def _told(self, ref: str, stood: Stood, cause: int) -> None:
        stood.told += 1
        self.duties.pop(("caller told", ref), None)
        if stood.told > 1:
            self.breach("release told twice", f"{ref} with {cause}")
        elif stood.over == "caller" and not stood.excused:
            self.breach("release told to who released", f"{ref} with {cause}")
        elif not stood.over and not stood.excused:
            self.breach("release invented", f"{ref} with {cause}: it still stands at {stood.where}")
        stood.over = stood.over or "router"
        self.count("release told")
        del self.standing[ref]
        self.strangers.setdefault(ref, 0)

    # Hubs: see ``standins.hub.Watcher``.

    def setup(self, one: hub.Hub, setup: hub.Setup) -> None:
        """An INVITE came whole."""
        message = setup.message
        offer = self.live(setup.ref) or next(
            (o for o in self.offers if o.caller is None and o.description == message.body and o.open), None
        )
        if offer is not None and offer.caller is None and offer.ref != setup.ref:
            self.by_ref.setdefault(setup.ref, []).append(offer)
            offer.ref = setup.ref
        if offer is None:
            known = self.by_ref.get(setup.ref)
            gave_up = known[-1].given_up_us if known else None
            if gave_up is None or gave_up < self.world.now_us:
                self.breach("set-up of nobody's", f"{setup.ref} at {one.name}: no call is open under that id")
            return
        self.sent(offer, one.name, one.cell, message.body, message.number)
        left_ms = (offer.due_us - self.world.now_us) // 1000
        if int(message.headers["X-Patience"]) > left_ms + 1:
            self.breach("patience", f"{setup.ref}: {message.headers['X-Patience']} ms, {left_ms} are left")

    def sent(self, offer: Offer, where: str, cell: int, body: bytes, number: str) -> None:
        """An attempt was made."""
        now, ref = self.world.now_us, offer.ref
        if offer.tries:
            last = offer.tries[-1]
            if last.end_us is None:
                self.breach("two attempts out", f"{ref} at {last.where} and at {where}")
            elif last.guarded and now < last.end_us + GUARD_US:
                self.breach(
                    "guard", f"{ref} at {where} {now - last.end_us} us after the attempt at {last.where}"
                )
        offer.tries.append(Try(where, now))
        self.count(f"attempt {len(offer.tries)}")
        if len(offer.tries) > MOST_ATTEMPTS:
            self.breach("attempts", f"{ref}: {len(offer.tries)} of them")
        if now > self.closed_to.get(where, now) + DRAIN_US:
            self.breach("drain", f"{ref} at {where}, told {now - self.closed_to[where]} us before")
        if cell == HOME or offer.to < 0 or offer.transit and cell != offer.to:
            self.breach("route", f"{ref} for {offer.to} at {where}")
        if body != offer.description:
            self.breach("description", f"{ref} at {where}: {body!r} in place of {offer.description!r}")
        if number != offer.number:
            self.breach("number", f"{ref} at {where}: {number!r} in place of {offer.number!r}")

    def given_up(self, one: hub.Hub, setup: hub.Setup) -> None:
        """It was cancelled, or its connection ended."""
        self._ended(setup.ref, one.name, guarded=True)
        self.count("attempt given up")

    def _ended(self, ref: str, where: str, guarded: bool = False, stood: bool = False) -> None:
        for offer in reversed(self.by_ref.get(ref, [])):
            for one in reversed(offer.tries):
                if one.where == where and one.end_us is None:
                    one.end_us, one.guarded, one.stood = self.world.now_us, guarded, stood
                    return

    def answering(self, one: hub.Hub, setup: hub.Setup, status: int) -> None:
        """A hub answers."""
        if status < 200 or any(before >= 200 for before in setup.answers):
            return  # a second copy: the router acknowledges it and does no more
        self.count(f"hub says {status}")
        if setup.open:
            self._ended(setup.ref, one.name, guarded=status == 504, stood=status < 300)
        if status < 300:
            self.undone[one.name, setup.ref] = self.world.now_us
            if setup.cancelled:
                self.count("late answer")

    def acknowledged(self, one: hub.Hub, ref: str) -> None:
        """An ACK came."""
        self.duties.pop(("acknowledged", ref), None)

    def released(self, one: hub.Hub, ref: str) -> None:
        """The router released a call at a hub."""
        stood = self.standing.get(ref)
        self.duties.pop(("hub released", ref), None)
        if self.undone.pop((one.name, ref), None) is not None:
            self.count("late answer undone")
        elif stood is not None and (stood.excused or stood.where == one.name and stood.over == "caller"):
            del self.standing[ref]
            self.strangers.setdefault(ref, 0)
        else:
            self.breach(
                "release invented",
                f"{ref} at {one.name} while "
                + ("it stands" if stood and not stood.over else "nothing stands"),
            )

    def releasing(self, one: hub.Hub, ref: str) -> None:
        """A hub releases a call."""
        stood = self.standing.get(ref)
        pending = self.undone.pop((one.name, ref), None)
        if stood is not None and stood.where == one.name and not stood.over:
            stood.over = "hub"
            self.count("released by hub")
            if self.world.exchange.active if stood.offer.caller is None else self.reachable():
                self.duty("caller told", ref, RELEASE_US)
        elif pending is None and self.live(ref) is None and stood is None:
            self.strangers[ref] = 1  # one more within 30 s is taken for a repeat and told no more
        elif pending is not None:
            self.undone[one.name, ref] = pending  # ended before it was passed on: told after the answer

    def reachable(self) -> bool:
        """Whether some connection is open that a release to callers may go to."""
        return any(
            one.open and one in self.known and one not in self.dirty for one in self.world.callers.values()
        )

    def duty(self, what: str, ref: str, within_us: int) -> None:
        """Something must be seen before long."""
        self.duties[what, ref] = (self.world.now_us + within_us, what)

    # Troubles, told by the script.

    def closed(self, name: str) -> None:
        """The router has been told that a hub drains or is gone."""
        self.closed_to.setdefault(name, self.world.now_us)

    def opened(self, name: str) -> None:
        """A hub is to be listed as ready again."""
        self.closed_to.pop(name, None)
        self.gone.discard(name)

    def troubled(self, name: str, dead: bool) -> None:
        """A hub's process or machine is in trouble: what stood there may be told as over at any time."""
        for ref, stood in self.standing.items():
            if stood.where == name:
                stood.excused = True
                self.duties.pop(("hub released", ref), None)
                self.duties.pop(("caller told", ref), None)
        for key in [key for key in self.undone if key[0] == name]:
            del self.undone[key]
        if dead:
            self.gone.add(name)

    def excuse_duties(self) -> None:
        """Connections were ended by the script: what was on its way on them may be lost."""
        self.duties.clear()
        for stood in self.standing.values():
            stood.excused = True

    # The exchange.

    def offered_on(self, cic: int, offer: Offer) -> None:
        """The exchange sent an IAM on a circuit that it holds idle."""
        self.circuits[cic] = offer
        self.offers.append(offer)

    def isup(self, one: exchange.Exchange, cic: int, kind: int, body: bytes, found: bytes) -> None:
        """See ``standins.exchange.Heard``: what the router sends on a circuit."""
        inward, outward = self.circuits.get(cic), self.outward.get(cic)
        if kind == exchange.IAM:
            if outward is not None or inward is not None and "ACM" in inward.answers:
                self.breach("circuit taken twice", f"IAM on {cic}")
            offer = next((o for o in self.offers if o.description == found and o.open), None)
            if offer is None:
                self.breach("set-up of nobody's", f"IAM on {cic} with {found!r}")
                return
            self.outward[cic] = offer
            self.count("IAM heard")
            self.sent(offer, "h4", 4, found, offer.number)
        elif kind == exchange.ANM:
            if inward is None:
                self.breach("answer to nobody", f"ANM on {cic}")
            elif self._final(inward, "up"):
                self._stands(inward, found)
                self.count("ANM heard")
        elif kind == exchange.REL:
            self._released_circuit(cic, inward, outward, body[4] & 0x7F)
        elif kind == exchange.RLC:
            if self.released_by.pop(cic, "") != "exchange" and cic not in self.released_by:
                self.count("RLC of nobody's")

    def _released_circuit(self, cic: int, inward: Offer | None, outward: Offer | None, cause: int) -> None:
        self.released_by[cic] = "router"
        self.count("REL heard")
        if outward is not None:
            self._ended(outward.ref, "h4", guarded=True)
            stood = self.standing.get(outward.ref)
            if stood is not None and stood.where == "h4":
                self.duties.pop(("hub released", outward.ref), None)
                if stood.over != "caller" and not stood.excused:
                    self.breach("release invented", f"REL {cause} on {cic} while it stands")
                del self.standing[outward.ref]
            self.undone.pop(("h4", outward.ref), None)
        elif inward is not None:
            stood = self.standing.get(inward.ref)
            if inward.given_up_us is not None:
                pass  # the circuit alone is released
            elif not inward.answers:
                self._final(inward, "refused" if cause in (34, 42, 102) else "failed")
            elif stood is not None:
                self._told(inward.ref, stood, cause)

    def freed(self, cic: int) -> None:
        """RLC has crossed: the circuit is idle on both sides."""
        self.circuits.pop(cic, None)
        self.outward.pop(cic, None)
        self.released_by.pop(cic, None)

    # Now and then.

    def overdue(self) -> None:
        """What must have been seen by now."""
        now = self.world.now_us
        for (what, ref), (due, _) in list(self.duties.items()):
            if now > due:
                del self.duties[what, ref]
                self.breach(f"not {what}", f"{ref}, due {now - due} us ago")
        for (where, ref), since in list(self.undone.items()):
            if now > since + RELEASE_US:
                del self.undone[where, ref]
                self.breach("late answer not undone", f"{ref} at {where}, {now - since} us after its 200")
        for offer in self.offers:
            if offer.open and offer.owed and now > offer.due_us:
                offer.owed = False
                self.breach("no answer", f"{offer.ref}, due {now - offer.due_us} us ago")
            left_us = offer.given_up_us
            if (
                left_us is not None
                and offer.tries
                and offer.tries[-1].end_us is None
                and (now > left_us + CANCEL_US)
            ):
                offer.tries[-1].end_us = now
                late = f"{now - left_us} us after its caller gave it up"
                self.breach("not cancelled", f"{offer.ref} at {offer.tries[-1].where}, {late}")
