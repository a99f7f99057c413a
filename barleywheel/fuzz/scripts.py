"""Scripts for the whole router: steps by name, how to make them up, and how to play them.

A step is a list: its name, then whole numbers and words. A script is a list of steps; what it says of a
thing that is not there (the third set-up of a hub that got two) is taken round, or is nothing, so that
every list of steps is a script and any step may be left out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from barleywheel.fuzz.rules import Breach, Offer, Rules
from barleywheel.fuzz.source import Source, pick, weighted
from barleywheel.standins import caller, exchange, hub
from barleywheel.virtual.runtime import Stuck
from barleywheel.virtual.world import (
    AGENT,
    CELLS,
    DEADLINES_US,
    EXCHANGE_CELL,
    JOURNALS,
    World,
    address_of,
    endpoint,
)

Step = list[Any]
CALLERS, CALLS, CIRCUITS, MOST_STEPS = 3, 12, 6, 40
WAITS_US = (0, 1, 1000, 20_000, 80_000, 100_000, 299_000, 300_000, 500_000, 1_000_000, 1_200_000, 2_500_000)
LEFTS_MS = (0, 1, 12, 100, 400, 800, 1200, 1201, 3000, 9000, 20_000)
STATUSES = (
    (6, "200"),
    (2, "503"),
    (2, "503 throttled"),
    (1, "503 congestion"),
    (1, "503 crankback"),
    (1, "503 remote_throttled"),
    (2, "500"),
    (1, "486 engaged"),
    (1, "480"),
    (2, "504"),
    (1, "180"),
    (1, "302"),
    (1, "699"),
)
MODES = (
    (6, "stand"),
    (4, "hold"),
    (1, "503 throttled"),
    (1, "503 congestion"),
    (1, "503 crankback"),
    (2, "500"),
    (1, "504"),
    (1, "480"),
)
FLAGS = ((8, ""), (1, "r"), (2, "t"), (1, "a"), (1, "rt"))
NUMBERS = ("7f3a", "0", "ffffffffffffffff", "3")
HUB_CAUSES = (16, 31, 127)
SHORT_US = 1_300_000  # what a script that is not thorough waits in its end: releases are owed within 1 s
RAW_REF = "eeee03aa00000001"
RAW = (
    b"\n",
    b"{}\n",
    b"[]\n",
    b'{"t":"new"}\n',
    b'{"t":"hb","ref":"1","c":0}\n',
    b"\xff\xfe\n",
    b"x" * 17000,
    b'{"t":"down","ref":"%016x"',
    b'{"t":"down","ref":"eeee03aa00000001","f":{},"c":true}\n',
    b'{"t":"new","ref":"eeee03aa00000001","f":{"class":"voice","left":"1e400","extras":"dest:1"}}\n',
    b'{"t":"new","ref":"eeee03aa00000001","f":{"class":"gold","left":"900","key":"1","extras":"dest:-1"}}\n',
    b"[" * 5000 + b"\n",
    b'{"t":"ack","ref":"eeee03aa00000001"}\n',
    b'{"t":"zz","ref":"eeee03aa00000001"}\n',
)
HUB_RAW = (
    b"\r\n\r\n",
    b"SIP/2.0 200 OK\r\n\r\n",
    b"X\x00Y\r\n\r\n",
    b"y" * 17000,
    b"SIP/2.0 200 OK\r\nCall-ID: 9b1f03aa00000001\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\n",
    b"SIP/2.0 200 OK\r\nCall-ID: 9b1f03aa00000001\r\nCSeq: 1 INVITE\r\nContent-Length: 9\r\n\r\nzz",
    b"SIP/2.0 500 OK\r\nCall-ID: 9b1f03aa00000002\r\nCSeq: "
    + b"9" * 5000
    + b" INVITE\r\nContent-Length: 0\r\n\r\n",
    b"BYE sip:a@net SIP/2.0\r\nCall-ID: ffff03aa00000002\r\nCSeq: 1 BYE\r\nReason: Q.850;cause="
    + b"7" * 5000
    + b"\r\nContent-Length: 0\r\n\r\n",
    b"NOTIFY sip:g@net SIP/2.0\r\nX-State: x0:inf;x1:nan;qps:-1;queue:1e999\r\nContent-Length: 0\r\n\r\n",
)
JOURNAL_RAW = (
    b"",
    b"[]",
    b"{}",
    b"null",
    b'{"pos":1e999,"entries":[]}',
    b'{"pos":"x"}',
    b'{"entries":[7]}',
    b'{"entries":[{"pos":999,"hosts":[]}]}',
    b'{"entries":{"a":1}}',
    b"[" * 100_000,
    b'{"pos":50,"entries":[{"pos":50,"hosts":{"endpoints":[{"name":"h9"}]}}]}',
    b'{"pos":51,"entries":[{"pos":51,"hosts":{"endpoints":7}}]}',
    b'{"pos":52,"entries":[{"pos":52,"hosts":{"endpoints":[{"name":"h8","group":"x"}]}}]}',
    b'{"pos":53,"entries":[{"pos":53,"hosts":{"endpoints":[{"name":"h8","since_ms":1e999}]}}]}',
    b'{"pos":54,"entries":[{"pos":54,"hosts":{"endpoints":[{"name":"h8","address":"x:y"}]}}]}',
)
HTTP_RAW = (
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/9.9 zz\r\n",
    b"\x00\x01",
    b"",
    b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
)
LINK_RAW = (
    b"\x01\x00\x01\x01\xff\xff\xff\xff",
    b"\x02\x00\x03\x01\x00\x00\x00\x08",
    b"\x01\x00",
    exchange.encode(0x900, {}),
    exchange.encode(0x009, {}),
    exchange.encode(exchange.DATA, {}),
    exchange.encode(exchange.DUNA, {0x12: b"\0\0\0\xc8"}),
    exchange.encode(exchange.DAVA, {0x12: b"\0\0\0\xc8"}),
    exchange.encode(exchange.SCON, {0x12: b"\0\0\0\xc8", 0x205: b"\0\0\0\1"}),
    exchange.encode(exchange.DAUD, {0x12: b"\0\0\0\xc8"}),
    exchange.encode(exchange.ERR, {0x0C: b"\0\0\0\1"}),
    exchange.transfer(1, exchange.IAM),
    exchange.transfer(2, exchange.REL),
    exchange.transfer(99, 1),
    exchange.transfer(3, exchange.ANM, b"\xff"),
    exchange.transfer(1, 0x2F),
)
SNMP_RAW = (
    b"",
    b"\x30\x80",
    b"\x30" * 300,
    bytes(1500),
    bytes.fromhex("302602010104067075626c6963a019020101020100020100300e300c06082b060102010101000500"),
    bytes.fromhex("302602010104067075626c6963a519020101020100027fff300e300c06082b060102010101000500"),
)


def ref_of(call: int) -> str:
    """The id of a script's call."""
    return f"{0x9B1F03AA00000000 + call:016x}"


def description_of(call: int) -> bytes:
    """Its description: bytes that no text codec leaves alone, told apart by the call."""
    return b'd%d\r\nc=IN\r\n\xff\xfe\x00\x7f"\\\n' % call


def make(source: Source, most: int = MOST_STEPS) -> list[Step]:
    """A script made up."""
    steps: list[Step] = []
    calm = source.below(3) == 0  # a third of all scripts has calls and few troubles
    for _ in range(1 + source.below(most)):
        kind = weighted(source, CALM if calm else ROUGH)
        steps.append([kind, *MAKERS[kind](source)])
        if source.below(2):
            steps.append(["wait", pick(source, WAITS_US)])
    return steps


def _new(source: Source) -> Step:
    return [
        source.below(CALLERS),
        source.below(CALLS),
        1 + source.below(4),
        source.below(4) == 0,
        weighted(source, ((6, 3000), (1, pick(source, LEFTS_MS)))),
        weighted(source, FLAGS),
        source.below(len(NUMBERS)) if source.below(4) == 0 else 0,
    ]


MAKERS: dict[str, Callable[[Source], Step]] = {
    "new": _new,
    "drip": lambda s: [
        s.below(CALLERS),
        s.below(CALLS),
        1 + s.below(4),
        1 + s.below(300),
        pick(s, WAITS_US[:5]),
    ],
    "down": lambda s: [s.below(CALLERS), s.below(CALLS), pick(s, (16, 16, 0, 200, True))],
    "test": lambda s: [s.below(CALLERS)],
    "raw": lambda s: [s.below(CALLERS), s.below(len(RAW))],
    "hang": lambda s: [s.below(CALLERS), s.below(2)],
    "stall": lambda s: [s.below(CALLERS), s.below(2)],
    "crowd": lambda s: [s.below(48)],
    "mode": lambda s: [pick(s, CELLS), weighted(s, MODES), pick(s, (0, 0, 1000, 50_000, 400_000, 1_200_000))],
    "answer": lambda s: [pick(s, CELLS), s.below(6), weighted(s, STATUSES)],
    "copy": lambda s: [pick(s, CELLS), s.below(6)],
    "bye": lambda s: [pick(s, CELLS), s.below(6), pick(s, HUB_CAUSES)],
    "stray": lambda s: [pick(s, CELLS), s.below(CALLS), pick(s, HUB_CAUSES)],
    "spoil": lambda s: [pick(s, CELLS), s.below(len(HUB_RAW))],
    "gauge": lambda s: [pick(s, CELLS), pick(s, (0, 1, 5, 20))],
    "lose": lambda s: [pick(s, CELLS), pick(s, ("die", "vanish", "reset", "close", "deaf"))],
    "mend": lambda s: [pick(s, CELLS)],
    "list": lambda s: [pick(s, CELLS), pick(s, ("Ready", "Terminating", "Terminating", "Gone"))],
    "replace": lambda s: [pick(s, CELLS), s.below(2), s.below(2)],
    "journal": lambda s: [pick(s, ("ok", "ok", "stall", "cut", "refuse"))],
    "garble": lambda s: [s.below(len(JOURNAL_RAW))],
    "http": lambda s: [s.below(len(HTTP_RAW))],
    "skip": lambda s: [s.below(4)],
    "hup": lambda s: [s.below(3)],
    "term": lambda s: [],
    "link": lambda s: [pick(s, ("up", "up", "up", "inactive", "down", "drop", "reset", "mute"))],
    "iam": lambda s: [
        1 + s.below(CIRCUITS),
        s.below(CALLS),
        weighted(s, ((8, pick(s, NUMBERS)), (1, "7" * 60), (1, ""))),
        pick(s, (0, 0, 1, 2)),
    ],
    "anm": lambda s: [s.below(CIRCUITS)],
    "rel": lambda s: [s.below(CIRCUITS), pick(s, (16, 17, 34, 41, 42, 31)), s.below(2)],
    "rlc": lambda s: [s.below(CIRCUITS)],
    "exchange": lambda s: [s.below(2), s.below(2)],
    "frame": lambda s: [s.below(len(LINK_RAW))],
    "snmp": lambda s: [s.below(len(SNMP_RAW))],
    "clock": lambda s: [pick(s, (-1_000_000, 1_000_000, -3_600_000_000, 86_400_000_000))],
    "descriptors": lambda s: [1 + s.below(4)],
    "wait": lambda s: [pick(s, WAITS_US)],
}
OF_HUBS = {"mode", "answer", "copy", "bye", "stray", "spoil", "gauge", "lose", "mend", "list", "replace"}
CALM = (
    (12, "new"),
    (4, "down"),
    (4, "mode"),
    (8, "answer"),
    (5, "bye"),
    (1, "gauge"),
    (2, "link"),
    (3, "iam"),
    (2, "anm"),
    (3, "rel"),
    (1, "rlc"),
    (1, "exchange"),
    (1, "hang"),
    (1, "list"),
    (1, "test"),
    (6, "wait"),
)
ROUGH = (
    CALM
    + tuple(
        (2 if name in ("lose", "mend", "list", "replace", "link") else 1, name)
        for name in (
            "drip",
            "raw",
            "hang",
            "stall",
            "crowd",
            "copy",
            "stray",
            "spoil",
            "lose",
            "mend",
            "list",
            "replace",
            "journal",
            "garble",
            "http",
            "skip",
            "hup",
            "link",
            "frame",
            "snmp",
            "clock",
            "descriptors",
        )
    )
    + ((1, "term"),)
)


class Play:
    """One script played against one router. ``run`` gives the breaches."""

    def __init__(self, seed: int = 1) -> None:
        self.rules = Rules()
        self.world = World(seed, self.rules, self._heard, self._hung, self._isup)
        self.rules.world = self.world
        self.world.exchange.ended = self._link_lost
        self.names = {cell: f"h{cell}" for cell in (*CELLS, EXCHANGE_CELL)}
        self.dead: set[int] = set()
        self.replaced = 0
        self.crowds = 100
        self.trouble = False  # something may have cost evidence: fewer tables are looked at in the end

    # What the world hears; a model that can't read the router's bytes says so.

    def _heard(self, one: caller.Caller, kind: str, ref: str, message: dict[str, Any]) -> None:
        self.rules.heard(one, kind, ref, message)

    def _hung(self, one: caller.Caller, reset: bool) -> None:
        self.rules.hung(one, reset)

    def _isup(self, one: exchange.Exchange, cic: int, kind: int, body: bytes, found: bytes) -> None:
        self.rules.isup(one, cic, kind, body, found)
        if kind == exchange.IAM and one.answers:
            self.world.runtime.after(0, lambda: self._anm(cic))
        elif kind == exchange.REL and one.completes:
            self.world.runtime.after(0, lambda: self._rlc(cic))
        elif kind == exchange.RLC:
            self.rules.freed(cic)

    def run(self, steps: list[Step], thorough: bool = True) -> list[Breach]:
        """Play a script and what belongs behind it; the breaches in the order in which they were seen.

        What belongs behind it takes far longer than most scripts; where it is left out, what is owed when the
        script ends is looked at all the same.
        """
        rules = self.rules
        try:
            with self.world:
                for step in steps:
                    if self.world.left:
                        break
                    self._do(step)
                    if step[0] != "wait":
                        self.world.run(0)
                    rules.overdue()
                    if rules.breaches:
                        break
                if not rules.breaches and (thorough or rules.term_us is not None):
                    self._end()
                elif not rules.breaches:
                    self.world.run(SHORT_US)
                    rules.overdue()
                self.world.left = True  # what is closed from here on is closed by us
                self._inside()
        except Stuck as error:
            rules.breach("busy loop", str(error))
        return rules.breaches

    def _do(self, step: Step) -> None:
        """One step; a hub that there is none of is taken round."""
        name, *rest = step
        if name in OF_HUBS and rest[0] not in CELLS:
            rest[0] = CELLS[rest[0] % len(CELLS)]
        getattr(self, f"do_{name}")(*rest)

    def _inside(self) -> None:
        """What must never be, whatever came."""
        for complaint in self.world.network.complaints:
            self.rules.breach("unreadable", complaint)
        for fault in self.world.runtime.faults:
            self.rules.breach("greenlet ended", f"{type(fault).__name__}: {str(fault)[:200]}")
        for line in self.world.lines.errors:
            self.rules.breach("logged at ERROR", line[:300])

    # Callers.

    def _caller(self, number: int) -> caller.Caller | None:
        return self.world.caller(number)

    def _offer(
        self, one: caller.Caller, call: int, to: int, gold: bool, left_ms: int, flags: str, number: int
    ) -> tuple[bytes, Offer]:
        name = "gold" if gold else "voice"
        data = caller.setup(ref_of(call), to, description_of(call), name, left_ms, NUMBERS[number], flags)
        valid = 0 < left_ms <= DEADLINES_US[name] // 1000 + 1000
        # While descriptors are short the router tries again each 50 ms: what waits to be accepted is late.
        now = self.world.now_us + 60_000 * sum(x.failing for x in self.world.network.listeners.values())
        return data, Offer(
            ref_of(call),
            one,
            now,
            now + (left_ms * 1000 if valid else 10_000_000),
            to,
            description_of(call),
            NUMBERS[number],
            "t" in flags,
        )

    def do_new(
        self,
        conn: int,
        call: int,
        to: int,
        gold: bool = False,
        left_ms: int = 3000,
        flags: str = "",
        number: int = 0,
    ) -> None:
        """A set-up."""
        if (one := self._caller(conn)) is not None:
            data, offer = self._offer(one, call, to, gold, left_ms, flags, number)
            self.rules.offered(offer)
            one.wire.write(data)
            if offer.at_us > self.world.now_us:
                self.world.run(offer.at_us - self.world.now_us)

    def do_drip(self, conn: int, call: int, to: int, size: int = 1, gap_us: int = 0) -> None:
        """A set-up in pieces of so many bytes, each read before the next comes."""
        if (one := self._caller(conn)) is None:
            return
        data, _ = self._offer(one, call, to, False, 3000, "", 0)
        if gap_us * (len(data) // size) > 2_000_000:
            gap_us = 0
        for at in range(0, len(data), size):
            if not one.open:
                return
            if at + size >= len(data):
                self.rules.offered(self._offer(one, call, to, False, 3000, "", 0)[1])
            one.wire.write(data[at : at + size])
            self.world.run(gap_us)

    def do_down(self, conn: int, call: int, cause: int = 16) -> None:
        """A caller gives up a set-up, or releases a call."""
        if (one := self._caller(conn)) is not None:
            self.rules.gave_up(ref_of(call))
            one.wire.write(caller.line("down", ref_of(call), c=cause))

    def do_test(self, conn: int) -> None:
        """A test."""
        if (one := self._caller(conn)) is not None:
            self.rules.known.add(one)
            one.wire.write(caller.line("hb", "1", c=0))

    def do_raw(self, conn: int, which: int) -> None:
        """What can't be read, or should not be."""
        if (one := self._caller(conn)) is not None:
            self.rules.dirty.add(one)
            self.rules.ignored.add(RAW_REF)
            one.wire.write(RAW[which % len(RAW)])

    def do_hang(self, conn: int, reset: int = 0) -> None:
        """A caller hangs up, or its connection is reset."""
        one = self.world.callers.get(conn)
        if one is not None and one.open:
            self.rules.caller_closed(one)
            self.rules.excuse_duties()
            one.close(bool(reset))

    def do_stall(self, conn: int, on: int = 0) -> None:
        """A caller stops reading, or goes on."""
        one = self.world.callers.get(conn)
        if one is not None and one.open:
            self.rules.dirty.add(one)
            one.wire.read_on(bool(on))  # type: ignore[attr-defined]

    def do_crowd(self, count: int) -> None:
        """Connections that say nothing."""
        for _ in range(min(count, 48)):
            self.crowds += 1
            if (one := self.world.caller(self.crowds)) is not None:
                self.rules.dirty.add(one)

    # Hubs.

    def _hub(self, cell: int) -> hub.Hub:
        return self.world.hubs[self.names[cell]]

    def do_mode(self, cell: int, mode: str = "stand", delay_us: int = 0) -> None:
        """What a hub does with set-ups."""
        one = self._hub(cell)
        one.mode, one.delay_us = mode, delay_us

    def do_answer(self, cell: int, which: int, status: str = "200") -> None:
        """A hub answers a set-up: the so many'th from the last."""
        one = self._hub(cell)
        if one.setups:
            code, _, note = status.partition(" ")
            setup = one.setups[-1 - which % len(one.setups)]
            if not any(before >= 200 for before in setup.answers):
                one.answer(setup, int(code), note)

    def do_copy(self, cell: int, which: int) -> None:
        """A second copy of an answer."""
        one = self._hub(cell)
        done = [setup for setup in one.setups if any(status >= 200 for status in setup.answers)]
        if done:
            setup = done[-1 - which % len(done)]
            if setup.conn.open:
                body = hub.described(one.name, setup.ref) if setup.answers[-1] < 300 else b""
                setup.conn.wire.write(hub.answer(setup.message, setup.answers[-1], body))

    def do_bye(self, cell: int, which: int, cause: int = 16) -> None:
        """A hub releases a call that stands there."""
        one = self._hub(cell)
        if one.standing and one.conns:
            refs = list(one.standing)
            one.bye(refs[-1 - which % len(refs)], cause)

    def do_stray(self, cell: int, call: int, cause: int = 16) -> None:
        """A hub releases a call, whether it has it or not, and answers a set-up that it never got."""
        one = self._hub(cell)
        if one.conns:
            if ref_of(call) not in one.standing and not any(
                ref_of(call) in other.standing for other in self.world.hubs.values()
            ):
                one.bye(ref_of(call), cause)
            trunk = one.conns[0]
            trunk.wire.write(
                b"SIP/2.0 200 OK\r\nCall-ID: ffff0000ffff0000\r\nCSeq: 1 INVITE\r\n"
                b"Content-Length: 2\r\n\r\nzz"
            )

    def do_spoil(self, cell: int, which: int) -> None:
        """A hub writes what can't be read."""
        one = self._hub(cell)
        if one.conns:
            raw = HUB_RAW[which % len(HUB_RAW)]
            self.rules.troubled(one.name, dead=False)
            self.rules.strangers["ffff03aa00000002"] = 1
            one.conns[-1].wire.write(raw)

    def do_gauge(self, cell: int, free: int) -> None:
        """The state of a group."""
        self._hub(cell).gauge(free)

    def do_lose(self, cell: int, how: str) -> None:
        """A hub's process dies, its machine vanishes, or its connections end."""
        one = self._hub(cell)
        address = address_of(one.name)
        self.rules.troubled(one.name, dead=False)
        if how == "die":
            self.world.network.hosts.pop(address, None)
            one.standing.clear()
        elif how == "vanish":
            self.world.network.cut_off.add(address)
            for trunk in one.conns:
                trunk.wire.silent = True  # type: ignore[attr-defined]
            for setup in one.setups:
                if setup.open:
                    self.rules.given_up(one, setup)
                    setup.open = False
            one.conns.clear()
            one.standing.clear()
            return
        elif how == "deaf":
            one.deaf = True
            return
        for trunk in list(one.conns):
            trunk.close(reset=how != "close")

    def do_mend(self, cell: int) -> None:
        """A hub serves again."""
        one = self._hub(cell)
        address = address_of(one.name)
        one.deaf = False
        self.world.network.cut_off.discard(address)
        self.world.network.hosts[address] = one.connected

    # The journal.

    def _tell(self, endpoints: list[dict[str, Any]], skip: int = 0) -> None:
        self.world.journal.tell(endpoints, skip=skip)
        self.world.run(0)
        if self.world.router.journal.pos >= self.world.journal.pos:
            for told in endpoints:
                if told["status"] == "Ready":
                    self.rules.opened(told["name"])
                else:
                    self.rules.closed(told["name"])

    def do_list(self, cell: int, status: str) -> None:
        """The list tells a hub's state."""
        name = self.names[cell]
        if status == "Ready":
            self.rules.opened(name)
        elif status == "Gone":
            self.rules.troubled(name, dead=True)
        self._tell([endpoint(name, status)])

    def do_replace(self, cell: int, overlap: int = 0, cold: int = 0) -> None:
        """A hub gives way to a new one at its address, which may still hear its calls."""
        old = self.names[cell]
        self.rules.troubled(old, dead=True)
        self.replaced += 1
        name = self.names[cell] = f"h{cell}r{self.replaced}"
        if not overlap:
            self._tell([endpoint(old, "Terminating")])
            for trunk in list(self.world.hubs[old].conns):
                trunk.close()
            self._tell([endpoint(old, "Gone")])
        self.world.add(name)
        since_ms = self.world.now_us // 1000 if cold else 0
        self._tell([endpoint(name, since_ms=since_ms)])
        if overlap:
            self._tell([endpoint(old, "Gone")])
            for trunk in list(self.world.hubs[old].conns):
                trunk.close()

    def do_journal(self, mode: str) -> None:
        """The journal service is well, stalls, breaks off or is away."""
        one, hosts = self.world.journal, self.world.network.hosts
        address = self._journal_address()
        one.mode = mode if mode != "refuse" else "ok"
        hosts[address] = one.connected
        if mode == "refuse":
            del hosts[address]
            for poll in list(one.polls):
                poll.wire.close(reset=True)
                poll.closed(True)
        if mode == "ok":
            for poll in list(one.polls):
                if poll.tail is not None:
                    one.give(poll)

    def _journal_address(self) -> tuple[str, int]:
        return JOURNALS[max(0, self.world.journal_at)]

    def do_garble(self, which: int) -> None:
        """The journal answers with what is no answer, once or more."""
        one = self.world.journal
        one.mode, one.spoilt = "garble", JOURNAL_RAW[which % len(JOURNAL_RAW)]
        self._spoilt()

    def do_http(self, which: int) -> None:
        """The journal answers with what is no HTTP."""
        one = self.world.journal
        one.mode, one.spoilt = "raw", HTTP_RAW[which % len(HTTP_RAW)]
        self._spoilt()

    def _spoilt(self) -> None:
        one = self.world.journal
        for poll in list(one.polls):
            if poll.tail is not None:
                one.give(poll)
        self.world.run(250_000)
        one.mode = "ok"
        one.pos = max(one.pos, self.world.router.journal.pos)

    def do_skip(self, numbers: int) -> None:
        """An event whose number leaves some out, or one that was told before comes again."""
        one = self.world.journal
        if numbers:
            self._tell([endpoint(self.names[1])], skip=numbers)
            self.rules.opened(self.names[1])
        else:
            one.entries = one.entries[-3:] + one.entries[-1:]

    def do_hup(self, how: int) -> None:
        """SIGHUP: the journal has moved, or not, or the file is spoilt."""
        if how == 0:
            self.world.move_journal()
        before = self.world.journal_at
        if how == 2:
            self.world.journal_at = -1
        self.world.router.reload.set()
        self.world.run(0)
        self.world.journal_at = before

    def do_term(self) -> None:
        """SIGTERM."""
        if self.rules.term_us is None:
            self.rules.term_us = self.world.now_us
            self.world.leave()

    # The exchange.

    def do_link(self, how: str) -> None:
        """The exchange's link comes up, goes down, or loses its ASP."""
        one = self.world.exchange
        if how == "up":
            if one.active:
                self._link_lost()  # ASPUP takes an active one back to inactive (RFC 4666, 4.3.4.1)
            if self.world.link():
                one.up()
            return
        if how == "mute":
            one.beats = not one.beats
            return
        if how == "inactive":
            one.write(exchange.encode(exchange.ASPIA, exchange.CONTEXT))
        elif how == "down":
            one.write(exchange.encode(exchange.ASPDN, {}))
        else:
            one.drop(how == "reset")
        self._link_lost()

    def _link_lost(self) -> None:
        for offer in self.rules.circuits.values():
            if offer.open:
                offer.given_up_us = self.world.now_us
        self.rules.troubled("h4", dead=False)
        for offer in self.rules.outward.values():
            for one in offer.tries:
                if one.where == "h4" and one.end_us is None:
                    one.end_us, one.guarded = self.world.now_us, True

    def do_iam(self, cic: int, call: int, number: str = "7f3a", gold: int = 0) -> None:
        """The exchange sets up a call on a circuit that it holds idle."""
        one, rules = self.world.exchange, self.rules
        taken = cic in rules.circuits or cic in rules.released_by or cic in rules.outward
        if taken or not one.active or not 1 <= cic <= CIRCUITS:
            return
        now = self.world.now_us
        description = b"x%d-%d-%d" % (cic, call, now % 1_000_000_007)
        if any(offer.description == description for offer in rules.offers):
            return
        served = gold < 2 and len(number) <= 16
        to = {"7": 1, "0": 1, "1": 1, "2": 2, "3": 3}.get(number[:1], -1) if served else -1
        due_us = now + (3_000_000, 2_000_000, 3_000_000)[gold]
        rules.offered_on(cic, Offer(f"on circuit {cic}", None, now, due_us, to, description, number, cic=cic))
        one.write(exchange.iam(cic, description, (10, 11, 77)[gold], number))

    def _anm(self, cic: int) -> None:
        offer = self.rules.outward.get(cic)
        if offer is None or not self.world.exchange.active or cic in self.rules.released_by:
            return
        last = offer.tries[-1]
        if last.where == "h4" and last.end_us is None:
            last.end_us, last.stood = self.world.now_us, True
            self.world.exchange.write(exchange.anm(cic, hub.described("h4", offer.ref)[:250]))
            self.rules.undone["h4", offer.ref] = self.world.now_us

    def do_anm(self, which: int) -> None:
        """The exchange answers a call."""
        if self.rules.outward:
            self._anm(list(self.rules.outward)[which % len(self.rules.outward)])

    def do_rel(self, which: int, cause: int = 16, reset: int = 0) -> None:
        """The exchange releases or resets a circuit that has a call."""
        rules, one = self.rules, self.world.exchange
        taken = sorted(set(rules.circuits) | set(rules.outward))
        if not taken or not one.active:
            return
        cic = taken[which % len(taken)]
        inward, outward = rules.circuits.get(cic), rules.outward.get(cic)
        if cic in rules.released_by:
            return
        rules.released_by[cic] = "exchange"
        if inward is not None:
            if inward.open:
                inward.given_up_us = self.world.now_us
            elif (stood := rules.standing.get(inward.ref)) is not None and not stood.over:
                stood.over = "caller"
                if not stood.excused:
                    rules.duty("hub released", inward.ref, 1_000_000)
        if outward is not None:
            last = outward.tries[-1]
            if last.where == "h4" and last.end_us is None:
                last.end_us, last.guarded = self.world.now_us, cause == 41 or bool(reset)
            rules.undone.pop(("h4", outward.ref), None)
            stood = rules.standing.get(outward.ref)
            if stood is not None and stood.where == "h4" and not stood.over:
                stood.over = "hub"
                if rules.reachable() and not stood.excused:
                    rules.duty("caller told", outward.ref, 1_000_000)
        one.write(exchange.transfer(cic, exchange.RSC) if reset else exchange.rel(cic, cause))

    def _rlc(self, cic: int) -> None:
        if self.rules.released_by.get(cic) == "router" and self.world.exchange.write(
            exchange.transfer(cic, exchange.RLC)
        ):
            self.rules.freed(cic)

    def do_rlc(self, which: int) -> None:
        """The exchange completes a release that it had left waiting."""
        waiting = [cic for cic, who in self.rules.released_by.items() if who == "router"]
        if waiting:
            self._rlc(waiting[which % len(waiting)])

    def do_exchange(self, answers: int, completes: int) -> None:
        """Whether the exchange answers calls and completes releases by itself."""
        one = self.world.exchange
        one.answers, one.completes = bool(answers), bool(completes)

    def do_frame(self, which: int) -> None:
        """The exchange sends what it should not."""
        raw = LINK_RAW[which % len(LINK_RAW)]
        self.world.exchange.write(raw)
        if which % len(LINK_RAW) in (0, 2):  # what is no frame: nothing behind it would be read as meant
            self.world.run(0)
            self.world.exchange.drop()
            self._link_lost()

    # The rest.

    def do_snmp(self, which: int) -> None:
        """A datagram for the agent."""
        agent = self.world.network.bound[AGENT]
        agent.arrive(SNMP_RAW[which % len(SNMP_RAW)], ("10.5.0.1", 161))

    def do_clock(self, by_us: int) -> None:
        """The system's clock is set."""
        self.world.runtime.skew_us += by_us

    def do_descriptors(self, count: int) -> None:
        """No descriptors for so many connections."""
        for listener in self.world.network.listeners.values():
            listener.failing += count

    def do_wait(self, us: int) -> None:
        """Time passes, and what must have been seen by then is looked at on the way."""
        self.world.run(us)

    # What belongs behind every script.

    def _end(self) -> None:
        """Everybody is well again; whatever was open ends, and a good caller is served at every hub."""
        rules, world = self.rules, self.world
        world.journal.mode = "ok"
        if rules.term_us is not None:
            world.run(6_000_000)
            rules.overdue()
            if not world.left:
                rules.breach("does not leave", "6 s after SIGTERM")
            return
        self.do_journal("ok")
        for cell in CELLS:
            self.do_mend(cell)
            one = self._hub(cell)
            one.mode, one.delay_us = "stand", 0
            one.gauge(20)
        for number in (0, 1, 2):
            if (one_caller := world.callers.get(number)) is not None and one_caller.open:
                one_caller.wire.read_on(True)  # type: ignore[attr-defined]
        for listener in world.network.listeners.values():
            listener.failing = 0
        world.run(1_000_000)
        self._tell([endpoint(self.names[cell]) for cell in CELLS])
        for cell in CELLS:
            rules.opened(self.names[cell])
        for _ in range(8):
            world.run(1_000_000)
            rules.overdue()
        served = self._served()
        for cell in CELLS:
            if cell not in served:
                rules.breach("not served again", f"no call stands at {self.names[cell]} in 20 tries")
        self._quiet()

    def _served(self) -> set[int]:
        world, rules, served = self.world, self.rules, set()
        for again in range(20):
            missing = [cell for cell in CELLS if cell not in served]
            if not missing:
                break
            for cell in missing:
                call = 1000 + 10 * again + cell
                one = world.caller(90)
                if one is None:
                    rules.breach("not served again", "no connection is taken")
                    return set(CELLS)
                data, offer = self._offer(one, call, cell, True, 3000, "", 0)
                rules.offered(offer)
                one.wire.write(data)
                world.run(100_000)
                if "up" in offer.answers:
                    served.add(cell)
            world.run(700_000)
        return served

    def _quiet(self) -> None:
        """Every call ends; then the tables must be empty."""
        world, rules, router = self.world, self.rules, self.world.router
        # A call of the exchange's that went out over the exchange has shown its id to nobody.
        unseen = sum(not ref.isalnum() for ref in rules.standing)
        for ref in list(router.established.legs):
            stood = rules.standing.get(ref)
            if stood is None and not unseen:
                rules.breach("call invented", f"{ref} stands in the router's books alone")
            unseen -= stood is None
            if (one := world.caller(90)) is not None:
                rules.gave_up(ref)
                one.wire.write(caller.line("down", ref, c=16))
        world.exchange.drop()
        rules.excuse_duties()
        world.run(1_000_000)
        for number in list(world.callers):
            if world.callers[number].open:
                self.do_hang(number)
        for _ in range(4):
            world.run(10_000_000)
            rules.overdue()
        tables: dict[str, Any] = {
            "open calls": router.call_manager.open_calls,
            "legs": router.established.legs,
            "ended ids": router.established.recently_ended,
            "facade's calls": router.facade._calls,
            "module's calls": router.facade._module.calls,
            "callers": router.front.callers,
            "waiting releases": router.front.pending_releases,
            "set-ups": [
                key for one in router.hubs.hubs.values() for conn in one.connections for key in conn.setups
            ],
            "releases of hubs": [kept for one in router.hubs.hubs.values() for kept in one.releases],
            "module's set-ups out": [
                call for x in router.facade._module.exchanges.values() for call in x.pending
            ],
            "greenlets": [None] * (len(world.runtime.alive) - 40),
            "deadlines": [None] * (len(router.deadlines._due) - 16),
        }
        for name, table in tables.items():
            if table:
                rules.breach("table not empty", f"{name}: {len(table)} after 40 quiet seconds")


def play(steps: list[Step], thorough: bool = True) -> tuple[list[Breach], dict[str, int]]:
    """Play a script; its breaches, and what it reached."""
    one = Play()
    breaches = one.run(steps, thorough)
    reached = dict(one.rules.counts)
    for template, count in one.world.lines.templates.items():
        reached["log: " + template] = count
    return breaches, reached
