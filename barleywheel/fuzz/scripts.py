"""Scripts for the whole router: steps by name, how to make them up, and how to play them.

A step is a list: its name, then whole numbers and words. A script is a list of steps; what it says of a
thing that is not there (the third set-up of a hub that got two) is taken round, or is nothing, so that
every list of steps is a script and any step may be left out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from barleywheel.fuzz.rules import OfferedCall, RuleChecker, Violation
from barleywheel.fuzz.source import Source, pick, pick_weighted
from barleywheel.standins import caller, exchange, hub
from barleywheel.virtual.environment import (
    DEADLINE_US_BY_CLASS,
    EXCHANGE_CELL,
    HUB_CELLS,
    JOURNAL_ADDRESSES,
    SNMP_LISTEN_ADDRESS,
    VirtualEnvironment,
    hub_address,
    hub_endpoint,
)
from barleywheel.virtual.runtime import BusyLoopError

Step = list[Any]
CALLER_COUNT, CALL_COUNT, CIRCUIT_COUNT, MAX_STEPS = 3, 12, 6, 40
WAITS_US = (0, 1, 1000, 20_000, 80_000, 100_000, 299_000, 300_000, 500_000, 1_000_000, 1_200_000, 2_500_000)
TIMES_LEFT_MS = (0, 1, 12, 100, 400, 800, 1200, 1201, 3000, 9000, 20_000)
HUB_STATUSES = (
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
HUB_MODES = (
    (6, "stand"),
    (4, "hold"),
    (1, "503 throttled"),
    (1, "503 congestion"),
    (1, "503 crankback"),
    (2, "500"),
    (1, "504"),
    (1, "480"),
)
CALL_FLAGS = ((8, ""), (1, "r"), (2, "t"), (1, "a"), (1, "rt"))
CALLED_NUMBERS = ("7f3a", "0", "ffffffffffffffff", "3")
HUB_CAUSES = (16, 31, 127)
# What a script that is not thorough waits in its end: releases are owed within 1 s.
QUICK_CHECK_US = 1_300_000
MALFORMED_REF = "eeee03aa00000001"
MALFORMED_CALLER_DATA = (
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
MALFORMED_HUB_DATA = (
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
MALFORMED_JOURNAL_BODIES = (
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
MALFORMED_HTTP_RESPONSES = (
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/9.9 zz\r\n",
    b"\x00\x01",
    b"",
    b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
)
MALFORMED_M3UA_DATA = (
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
    exchange.encode_data(1, exchange.IAM),
    exchange.encode_data(2, exchange.REL),
    exchange.encode_data(99, 1),
    exchange.encode_data(3, exchange.ANM, b"\xff"),
    exchange.encode_data(1, 0x2F),
)
MALFORMED_SNMP_DATA = (
    b"",
    b"\x30\x80",
    b"\x30" * 300,
    bytes(1500),
    bytes.fromhex("302602010104067075626c6963a019020101020100020100300e300c06082b060102010101000500"),
    bytes.fromhex("302602010104067075626c6963a519020101020100027fff300e300c06082b060102010101000500"),
)


def call_ref(call: int) -> str:
    """The id of a script's call."""
    return f"{0x9B1F03AA00000000 + call:016x}"


def call_description(call: int) -> bytes:
    """Its description: bytes that no text codec leaves alone, told apart by the call."""
    return b'd%d\r\nc=IN\r\n\xff\xfe\x00\x7f"\\\n' % call


def make_script(source: Source, max_steps: int = MAX_STEPS) -> list[Step]:
    """A script made up."""
    steps: list[Step] = []
    calm = source.below(3) == 0  # a third of all scripts has calls and few troubles
    for _ in range(1 + source.below(max_steps)):
        kind = pick_weighted(source, CALM_WEIGHTS if calm else ROUGH_WEIGHTS)
        steps.append([kind, *STEP_MAKERS[kind](source)])
        if source.below(2):
            steps.append(["wait", pick(source, WAITS_US)])
    return steps


def _new_call_step(source: Source) -> Step:
    return [
        source.below(CALLER_COUNT),
        source.below(CALL_COUNT),
        1 + source.below(4),
        source.below(4) == 0,
        pick_weighted(source, ((6, 3000), (1, pick(source, TIMES_LEFT_MS)))),
        pick_weighted(source, CALL_FLAGS),
        source.below(len(CALLED_NUMBERS)) if source.below(4) == 0 else 0,
    ]


STEP_MAKERS: dict[str, Callable[[Source], Step]] = {
    "new": _new_call_step,
    "drip": lambda s: [
        s.below(CALLER_COUNT),
        s.below(CALL_COUNT),
        1 + s.below(4),
        1 + s.below(300),
        pick(s, WAITS_US[:5]),
    ],
    "down": lambda s: [s.below(CALLER_COUNT), s.below(CALL_COUNT), pick(s, (16, 16, 0, 200, True))],
    "test": lambda s: [s.below(CALLER_COUNT)],
    "raw": lambda s: [s.below(CALLER_COUNT), s.below(len(MALFORMED_CALLER_DATA))],
    "hang": lambda s: [s.below(CALLER_COUNT), s.below(2)],
    "stall": lambda s: [s.below(CALLER_COUNT), s.below(2)],
    "crowd": lambda s: [s.below(48)],
    "mode": lambda s: [
        pick(s, HUB_CELLS),
        pick_weighted(s, HUB_MODES),
        pick(s, (0, 0, 1000, 50_000, 400_000, 1_200_000)),
    ],
    "answer": lambda s: [pick(s, HUB_CELLS), s.below(6), pick_weighted(s, HUB_STATUSES)],
    "copy": lambda s: [pick(s, HUB_CELLS), s.below(6)],
    "bye": lambda s: [pick(s, HUB_CELLS), s.below(6), pick(s, HUB_CAUSES)],
    "stray": lambda s: [pick(s, HUB_CELLS), s.below(CALL_COUNT), pick(s, HUB_CAUSES)],
    "spoil": lambda s: [pick(s, HUB_CELLS), s.below(len(MALFORMED_HUB_DATA))],
    "gauge": lambda s: [pick(s, HUB_CELLS), pick(s, (0, 1, 5, 20))],
    "lose": lambda s: [pick(s, HUB_CELLS), pick(s, ("die", "vanish", "reset", "close", "deaf"))],
    "mend": lambda s: [pick(s, HUB_CELLS)],
    "list": lambda s: [pick(s, HUB_CELLS), pick(s, ("Ready", "Terminating", "Terminating", "Gone"))],
    "replace": lambda s: [pick(s, HUB_CELLS), s.below(2), s.below(2)],
    "journal": lambda s: [pick(s, ("ok", "ok", "stall", "cut", "refuse"))],
    "garble": lambda s: [s.below(len(MALFORMED_JOURNAL_BODIES))],
    "http": lambda s: [s.below(len(MALFORMED_HTTP_RESPONSES))],
    "skip": lambda s: [s.below(4)],
    "hup": lambda s: [s.below(3)],
    "term": lambda s: [],
    "link": lambda s: [pick(s, ("up", "up", "up", "inactive", "down", "drop", "reset", "mute"))],
    "iam": lambda s: [
        1 + s.below(CIRCUIT_COUNT),
        s.below(CALL_COUNT),
        pick_weighted(s, ((8, pick(s, CALLED_NUMBERS)), (1, "7" * 60), (1, ""))),
        pick(s, (0, 0, 1, 2)),
    ],
    "anm": lambda s: [s.below(CIRCUIT_COUNT)],
    "rel": lambda s: [s.below(CIRCUIT_COUNT), pick(s, (16, 17, 34, 41, 42, 31)), s.below(2)],
    "rlc": lambda s: [s.below(CIRCUIT_COUNT)],
    "exchange": lambda s: [s.below(2), s.below(2)],
    "frame": lambda s: [s.below(len(MALFORMED_M3UA_DATA))],
    "snmp": lambda s: [s.below(len(MALFORMED_SNMP_DATA))],
    "clock": lambda s: [pick(s, (-1_000_000, 1_000_000, -3_600_000_000, 86_400_000_000))],
    "descriptors": lambda s: [1 + s.below(4)],
    "wait": lambda s: [pick(s, WAITS_US)],
}
HUB_STEPS = {"mode", "answer", "copy", "bye", "stray", "spoil", "gauge", "lose", "mend", "list", "replace"}
CALM_WEIGHTS = (
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
ROUGH_WEIGHTS = (
    CALM_WEIGHTS
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


class ScriptRunner:
    """One script played against one router. ``run`` gives the breaches."""

    def __init__(self, seed: int = 1) -> None:
        self.checker = RuleChecker()
        self.env = VirtualEnvironment(seed, self.checker, self._on_message, self._on_close, self._on_isup)
        self.checker.env = self.env
        self.env.exchange.on_link_lost = self._on_link_lost
        self.hub_names = {cell: f"h{cell}" for cell in (*HUB_CELLS, EXCHANGE_CELL)}
        self.dead: set[int] = set()
        self.replacement_count = 0
        self.crowd_number = 100
        self.trouble = False  # something may have cost evidence: fewer tables are looked at in the end

    # What the world hears; a model that can't read the router's bytes says so.

    def _on_message(self, peer_caller: caller.Caller, kind: str, ref: str, message: dict[str, Any]) -> None:
        self.checker.on_message(peer_caller, kind, ref, message)

    def _on_close(self, peer_caller: caller.Caller, reset: bool) -> None:
        self.checker.on_router_closed(peer_caller, reset)

    def _on_isup(
        self, peer_exchange: exchange.Exchange, cic: int, kind: int, body: bytes, found: bytes
    ) -> None:
        self.checker.on_isup(peer_exchange, cic, kind, body, found)
        if kind == exchange.IAM and peer_exchange.answers_calls:
            self.env.runtime.after(0, lambda: self._send_answer(cic))
        elif kind == exchange.REL and peer_exchange.completes_releases:
            self.env.runtime.after(0, lambda: self._complete_release(cic))
        elif kind == exchange.RLC:
            self.checker.on_circuit_freed(cic)

    def run(self, steps: list[Step], thorough: bool = True) -> list[Violation]:
        """Play a script and what belongs behind it; the breaches in the order in which they were seen.

        What belongs behind it takes far longer than most scripts; where it is left out, what is owed when the
        script ends is looked at all the same.
        """
        checker = self.checker
        try:
            with self.env:
                for step in steps:
                    if self.env.terminated:
                        break
                    self._run_step(step)
                    if step[0] != "wait":
                        self.env.run(0)
                    checker.check_overdue()
                    if checker.violations:
                        break
                if not checker.violations and (thorough or checker.term_us is not None):
                    self._check_recovery()
                elif not checker.violations:
                    self.env.run(QUICK_CHECK_US)
                    checker.check_overdue()
                self.env.terminated = True  # what is closed from here on is closed by us
                self._check_internal_errors()
        except BusyLoopError as error:
            checker.add_violation("busy loop", str(error))
        return checker.violations

    def _run_step(self, step: Step) -> None:
        """One step; a hub that there is none of is taken round."""
        name, *rest = step
        if name in HUB_STEPS and rest[0] not in HUB_CELLS:
            rest[0] = HUB_CELLS[rest[0] % len(HUB_CELLS)]
        getattr(self, f"do_{name}")(*rest)

    def _check_internal_errors(self) -> None:
        """What must never be, whatever came."""
        for message in self.env.network.protocol_errors:
            self.checker.add_violation("unreadable", message)
        for error in self.env.runtime.uncaught_errors:
            self.checker.add_violation("greenlet ended", f"{type(error).__name__}: {str(error)[:200]}")
        for line in self.env.log_recorder.errors:
            self.checker.add_violation("logged at ERROR", line[:300])

    # Callers.

    def _caller_connection(self, number: int) -> caller.Caller | None:
        return self.env.caller_connection(number)

    def _make_offer(
        self,
        peer_caller: caller.Caller,
        call: int,
        destination: int,
        gold: bool,
        left_ms: int,
        flags: str,
        number: int,
    ) -> tuple[bytes, OfferedCall]:
        name = "gold" if gold else "voice"
        data = caller.encode_setup(
            call_ref(call), destination, call_description(call), name, left_ms, CALLED_NUMBERS[number], flags
        )
        valid = 0 < left_ms <= DEADLINE_US_BY_CLASS[name] // 1000 + 1000
        # While descriptors are short the router tries again each 50 ms: what waits to be accepted is late.
        now = self.env.now_us + 60_000 * sum(x.accept_failures for x in self.env.network.listeners.values())
        return data, OfferedCall(
            call_ref(call),
            peer_caller,
            now,
            now + (left_ms * 1000 if valid else 10_000_000),
            destination,
            call_description(call),
            CALLED_NUMBERS[number],
            "t" in flags,
        )

    def do_new(
        self,
        conn: int,
        call: int,
        destination: int,
        gold: bool = False,
        left_ms: int = 3000,
        flags: str = "",
        number: int = 0,
    ) -> None:
        """A set-up."""
        if (peer_caller := self._caller_connection(conn)) is not None:
            data, offer = self._make_offer(peer_caller, call, destination, gold, left_ms, flags, number)
            self.checker.on_offer(offer)
            peer_caller.transport.write(data)
            if offer.at_us > self.env.now_us:
                self.env.run(offer.at_us - self.env.now_us)

    def do_drip(self, conn: int, call: int, destination: int, size: int = 1, gap_us: int = 0) -> None:
        """A set-up in pieces of so many bytes, each read before the next comes."""
        if (peer_caller := self._caller_connection(conn)) is None:
            return
        data, _ = self._make_offer(peer_caller, call, destination, False, 3000, "", 0)
        if gap_us * (len(data) // size) > 2_000_000:
            gap_us = 0
        for at in range(0, len(data), size):
            if not peer_caller.open:
                return
            if at + size >= len(data):
                self.checker.on_offer(self._make_offer(peer_caller, call, destination, False, 3000, "", 0)[1])
            peer_caller.transport.write(data[at : at + size])
            self.env.run(gap_us)

    def do_down(self, conn: int, call: int, cause: int = 16) -> None:
        """A caller gives up a set-up, or releases a call."""
        if (peer_caller := self._caller_connection(conn)) is not None:
            self.checker.on_caller_release(call_ref(call))
            peer_caller.transport.write(caller.encode_message("down", call_ref(call), c=cause))

    def do_test(self, conn: int) -> None:
        """A test."""
        if (peer_caller := self._caller_connection(conn)) is not None:
            self.checker.known_callers.add(peer_caller)
            peer_caller.transport.write(caller.encode_message("hb", "1", c=0))

    def do_raw(self, conn: int, which: int) -> None:
        """What can't be read, or should not be."""
        if (peer_caller := self._caller_connection(conn)) is not None:
            self.checker.malformed_callers.add(peer_caller)
            self.checker.ignored_ids.add(MALFORMED_REF)
            peer_caller.transport.write(MALFORMED_CALLER_DATA[which % len(MALFORMED_CALLER_DATA)])

    def do_hang(self, conn: int, reset: int = 0) -> None:
        """A caller hangs up, or its connection is reset."""
        peer_caller = self.env.callers.get(conn)
        if peer_caller is not None and peer_caller.open:
            self.checker.on_caller_closed(peer_caller)
            self.checker.waive_expectations()
            peer_caller.close(bool(reset))

    def do_stall(self, conn: int, on: int = 0) -> None:
        """A caller stops reading, or goes on."""
        peer_caller = self.env.callers.get(conn)
        if peer_caller is not None and peer_caller.open:
            self.checker.malformed_callers.add(peer_caller)
            peer_caller.transport.set_reading(bool(on))  # type: ignore[attr-defined]

    def do_crowd(self, count: int) -> None:
        """Connections that say nothing."""
        for _ in range(min(count, 48)):
            self.crowd_number += 1
            if (peer_caller := self.env.caller_connection(self.crowd_number)) is not None:
                self.checker.malformed_callers.add(peer_caller)

    # Hubs.

    def _hub(self, cell: int) -> hub.Hub:
        return self.env.hubs[self.hub_names[cell]]

    def do_mode(self, cell: int, mode: str = "stand", delay_us: int = 0) -> None:
        """What a hub does with set-ups."""
        peer_hub = self._hub(cell)
        peer_hub.mode, peer_hub.delay_us = mode, delay_us

    def do_answer(self, cell: int, which: int, status: str = "200") -> None:
        """A hub answers a set-up: the so many'th from the last."""
        peer_hub = self._hub(cell)
        if peer_hub.setups:
            code, _, note = status.partition(" ")
            setup = peer_hub.setups[-1 - which % len(peer_hub.setups)]
            if not any(before >= 200 for before in setup.answers):
                peer_hub.answer(setup, int(code), note)

    def do_copy(self, cell: int, which: int) -> None:
        """A second copy of an answer."""
        peer_hub = self._hub(cell)
        done = [setup for setup in peer_hub.setups if any(status >= 200 for status in setup.answers)]
        if done:
            setup = done[-1 - which % len(done)]
            if setup.conn.open:
                body = hub.hub_description(peer_hub.name, setup.ref) if setup.answers[-1] < 300 else b""
                setup.conn.transport.write(hub.encode_response(setup.message, setup.answers[-1], body))

    def do_bye(self, cell: int, which: int, cause: int = 16) -> None:
        """A hub releases a call that stands there."""
        peer_hub = self._hub(cell)
        if peer_hub.established and peer_hub.connections:
            refs = list(peer_hub.established)
            peer_hub.send_bye(refs[-1 - which % len(refs)], cause)

    def do_stray(self, cell: int, call: int, cause: int = 16) -> None:
        """A hub releases a call, whether it has it or not, and answers a set-up that it never got."""
        peer_hub = self._hub(cell)
        if peer_hub.connections:
            if call_ref(call) not in peer_hub.established and not any(
                call_ref(call) in other.established for other in self.env.hubs.values()
            ):
                peer_hub.send_bye(call_ref(call), cause)
            conn = peer_hub.connections[0]
            conn.transport.write(
                b"SIP/2.0 200 OK\r\nCall-ID: ffff0000ffff0000\r\nCSeq: 1 INVITE\r\n"
                b"Content-Length: 2\r\n\r\nzz"
            )

    def do_spoil(self, cell: int, which: int) -> None:
        """A hub writes what can't be read."""
        peer_hub = self._hub(cell)
        if peer_hub.connections:
            raw = MALFORMED_HUB_DATA[which % len(MALFORMED_HUB_DATA)]
            self.checker.on_hub_failed(peer_hub.name, dead=False)
            self.checker.unknown_releases["ffff03aa00000002"] = 1
            peer_hub.connections[-1].transport.write(raw)

    def do_gauge(self, cell: int, free: int) -> None:
        """The state of a group."""
        self._hub(cell).send_state(free)

    def do_lose(self, cell: int, how: str) -> None:
        """A hub's process dies, its machine vanishes, or its connections end."""
        peer_hub = self._hub(cell)
        address = hub_address(peer_hub.name)
        self.checker.on_hub_failed(peer_hub.name, dead=False)
        if how == "die":
            self.env.network.hosts.pop(address, None)
            peer_hub.established.clear()
        elif how == "vanish":
            self.env.network.unreachable.add(address)
            for conn in peer_hub.connections:
                conn.transport.silent = True  # type: ignore[attr-defined]
            for setup in peer_hub.setups:
                if setup.open:
                    self.checker.on_given_up(peer_hub, setup)
                    setup.open = False
            peer_hub.connections.clear()
            peer_hub.established.clear()
            return
        elif how == "deaf":
            peer_hub.ignores_options = True
            return
        for conn in list(peer_hub.connections):
            conn.close(reset=how != "close")

    def do_mend(self, cell: int) -> None:
        """A hub serves again."""
        peer_hub = self._hub(cell)
        address = hub_address(peer_hub.name)
        peer_hub.ignores_options = False
        self.env.network.unreachable.discard(address)
        self.env.network.hosts[address] = peer_hub.accept_connection

    # The journal.

    def _publish(self, endpoints: list[dict[str, Any]], skip: int = 0) -> None:
        self.env.journal.publish(endpoints, skip=skip)
        self.env.run(0)
        if self.env.router.journal.pos >= self.env.journal.pos:
            for told in endpoints:
                if told["status"] == "Ready":
                    self.checker.on_hub_ready(told["name"])
                else:
                    self.checker.on_hub_closed(told["name"])

    def do_list(self, cell: int, status: str) -> None:
        """The list tells a hub's state."""
        name = self.hub_names[cell]
        if status == "Ready":
            self.checker.on_hub_ready(name)
        elif status == "Gone":
            self.checker.on_hub_failed(name, dead=True)
        self._publish([hub_endpoint(name, status)])

    def do_replace(self, cell: int, overlap: int = 0, cold: int = 0) -> None:
        """A hub gives way to a new one at its address, which may still hear its calls."""
        old = self.hub_names[cell]
        self.checker.on_hub_failed(old, dead=True)
        self.replacement_count += 1
        name = self.hub_names[cell] = f"h{cell}r{self.replacement_count}"
        if not overlap:
            self._publish([hub_endpoint(old, "Terminating")])
            for conn in list(self.env.hubs[old].connections):
                conn.close()
            self._publish([hub_endpoint(old, "Gone")])
        self.env.add_hub(name)
        since_ms = self.env.now_us // 1000 if cold else 0
        self._publish([hub_endpoint(name, since_ms=since_ms)])
        if overlap:
            self._publish([hub_endpoint(old, "Gone")])
            for conn in list(self.env.hubs[old].connections):
                conn.close()

    def do_journal(self, mode: str) -> None:
        """The journal service is well, stalls, breaks off or is away."""
        journal, hosts = self.env.journal, self.env.network.hosts
        address = self._journal_address()
        journal.mode = mode if mode != "refuse" else "ok"
        hosts[address] = journal.accept_connection
        if mode == "refuse":
            del hosts[address]
            for poll in list(journal.polls):
                poll.transport.close(reset=True)
                poll.connection_lost(True)
        if mode == "ok":
            for poll in list(journal.polls):
                if poll.tail is not None:
                    journal.respond(poll)

    def _journal_address(self) -> tuple[str, int]:
        return JOURNAL_ADDRESSES[max(0, self.env.journal_index)]

    def do_garble(self, which: int) -> None:
        """The journal answers with what is no answer, once or more."""
        journal = self.env.journal
        journal.mode, journal.bad_body = (
            "garble",
            MALFORMED_JOURNAL_BODIES[which % len(MALFORMED_JOURNAL_BODIES)],
        )
        self._serve_bad_body()

    def do_http(self, which: int) -> None:
        """The journal answers with what is no HTTP."""
        journal = self.env.journal
        journal.mode, journal.bad_body = (
            "raw",
            MALFORMED_HTTP_RESPONSES[which % len(MALFORMED_HTTP_RESPONSES)],
        )
        self._serve_bad_body()

    def _serve_bad_body(self) -> None:
        journal = self.env.journal
        for poll in list(journal.polls):
            if poll.tail is not None:
                journal.respond(poll)
        self.env.run(250_000)
        journal.mode = "ok"
        journal.pos = max(journal.pos, self.env.router.journal.pos)

    def do_skip(self, numbers: int) -> None:
        """An event whose number leaves some out, or one that was told before comes again."""
        journal = self.env.journal
        if numbers:
            self._publish([hub_endpoint(self.hub_names[1])], skip=numbers)
            self.checker.on_hub_ready(self.hub_names[1])
        else:
            journal.entries = journal.entries[-3:] + journal.entries[-1:]

    def do_hup(self, how: int) -> None:
        """SIGHUP: the journal has moved, or not, or the file is spoilt."""
        if how == 0:
            self.env.move_journal()
        before = self.env.journal_index
        if how == 2:
            self.env.journal_index = -1
        self.env.router.reload.set()
        self.env.run(0)
        self.env.journal_index = before

    def do_term(self) -> None:
        """SIGTERM."""
        if self.checker.term_us is None:
            self.checker.term_us = self.env.now_us
            self.env.terminate()

    # The exchange.

    def do_link(self, how: str) -> None:
        """The exchange's link comes up, goes down, or loses its ASP."""
        peer_exchange = self.env.exchange
        if how == "up":
            if peer_exchange.active:
                self._on_link_lost()  # ASPUP takes an active one back to inactive (RFC 4666, 4.3.4.1)
            if self.env.connect_link():
                peer_exchange.activate()
            return
        if how == "mute":
            peer_exchange.answers_heartbeats = not peer_exchange.answers_heartbeats
            return
        if how == "inactive":
            peer_exchange.write(exchange.encode(exchange.ASPIA, exchange.ROUTING_CONTEXT))
        elif how == "down":
            peer_exchange.write(exchange.encode(exchange.ASPDN, {}))
        else:
            peer_exchange.drop(how == "reset")
        self._on_link_lost()

    def _on_link_lost(self) -> None:
        for offer in self.checker.inbound_circuits.values():
            if offer.open:
                offer.given_up_us = self.env.now_us
        self.checker.on_hub_failed("h4", dead=False)
        for offer in self.checker.outbound_circuits.values():
            for one in offer.attempts:
                if one.hub_name == "h4" and one.end_us is None:
                    one.end_us, one.guarded = self.env.now_us, True

    def do_iam(self, cic: int, call: int, number: str = "7f3a", gold: int = 0) -> None:
        """The exchange sets up a call on a circuit that it holds idle."""
        peer_exchange, checker = self.env.exchange, self.checker
        taken = (
            cic in checker.inbound_circuits or cic in checker.released_by or cic in checker.outbound_circuits
        )
        if taken or not peer_exchange.active or not 1 <= cic <= CIRCUIT_COUNT:
            return
        now = self.env.now_us
        description = b"x%d-%d-%d" % (cic, call, now % 1_000_000_007)
        if any(offer.description == description for offer in checker.offers):
            return
        served = gold < 2 and len(number) <= 16
        destination = {"7": 1, "0": 1, "1": 1, "2": 2, "3": 3}.get(number[:1], -1) if served else -1
        due_us = now + (3_000_000, 2_000_000, 3_000_000)[gold]
        checker.on_exchange_offer(
            cic,
            OfferedCall(f"on circuit {cic}", None, now, due_us, destination, description, number, cic=cic),
        )
        peer_exchange.write(exchange.encode_iam(cic, description, (10, 11, 77)[gold], number))

    def _send_answer(self, cic: int) -> None:
        offer = self.checker.outbound_circuits.get(cic)
        if offer is None or not self.env.exchange.active or cic in self.checker.released_by:
            return
        last = offer.attempts[-1]
        if last.hub_name == "h4" and last.end_us is None:
            last.end_us, last.succeeded = self.env.now_us, True
            self.env.exchange.write(exchange.encode_anm(cic, hub.hub_description("h4", offer.ref)[:250]))
            self.checker.unresolved_answers["h4", offer.ref] = self.env.now_us

    def do_anm(self, which: int) -> None:
        """The exchange answers a call."""
        if self.checker.outbound_circuits:
            self._send_answer(
                list(self.checker.outbound_circuits)[which % len(self.checker.outbound_circuits)]
            )

    def do_rel(self, which: int, cause: int = 16, reset: int = 0) -> None:
        """The exchange releases or resets a circuit that has a call."""
        checker, peer_exchange = self.checker, self.env.exchange
        taken = sorted(set(checker.inbound_circuits) | set(checker.outbound_circuits))
        if not taken or not peer_exchange.active:
            return
        cic = taken[which % len(taken)]
        inbound, outbound = checker.inbound_circuits.get(cic), checker.outbound_circuits.get(cic)
        if cic in checker.released_by:
            return
        checker.released_by[cic] = "exchange"
        if inbound is not None:
            if inbound.open:
                inbound.given_up_us = self.env.now_us
            elif (
                standing_call := checker.standing.get(inbound.ref)
            ) is not None and not standing_call.ended_by:
                standing_call.ended_by = "caller"
                if not standing_call.uncertain:
                    checker.expect("hub released", inbound.ref, 1_000_000)
        if outbound is not None:
            last = outbound.attempts[-1]
            if last.hub_name == "h4" and last.end_us is None:
                last.end_us, last.guarded = self.env.now_us, cause == 41 or bool(reset)
            checker.unresolved_answers.pop(("h4", outbound.ref), None)
            standing_call = checker.standing.get(outbound.ref)
            if standing_call is not None and standing_call.hub_name == "h4" and not standing_call.ended_by:
                standing_call.ended_by = "hub"
                if checker.caller_reachable() and not standing_call.uncertain:
                    checker.expect("caller told", outbound.ref, 1_000_000)
        peer_exchange.write(
            exchange.encode_data(cic, exchange.RSC) if reset else exchange.encode_rel(cic, cause)
        )

    def _complete_release(self, cic: int) -> None:
        if self.checker.released_by.get(cic) == "router" and self.env.exchange.write(
            exchange.encode_data(cic, exchange.RLC)
        ):
            self.checker.on_circuit_freed(cic)

    def do_rlc(self, which: int) -> None:
        """The exchange completes a release that it had left waiting."""
        waiting = [cic for cic, who in self.checker.released_by.items() if who == "router"]
        if waiting:
            self._complete_release(waiting[which % len(waiting)])

    def do_exchange(self, answers: int, completes: int) -> None:
        """Whether the exchange answers calls and completes releases by itself."""
        peer_exchange = self.env.exchange
        peer_exchange.answers_calls, peer_exchange.completes_releases = bool(answers), bool(completes)

    def do_frame(self, which: int) -> None:
        """The exchange sends what it should not."""
        raw = MALFORMED_M3UA_DATA[which % len(MALFORMED_M3UA_DATA)]
        self.env.exchange.write(raw)
        # What is no frame: nothing behind it would be read as meant.
        if which % len(MALFORMED_M3UA_DATA) in (0, 2):
            self.env.run(0)
            self.env.exchange.drop()
            self._on_link_lost()

    # The rest.

    def do_snmp(self, which: int) -> None:
        """A datagram for the agent."""
        agent = self.env.network.datagram_sockets[SNMP_LISTEN_ADDRESS]
        agent.deliver(MALFORMED_SNMP_DATA[which % len(MALFORMED_SNMP_DATA)], ("10.5.0.1", 161))

    def do_clock(self, by_us: int) -> None:
        """The system's clock is set."""
        self.env.runtime.skew_us += by_us

    def do_descriptors(self, count: int) -> None:
        """No descriptors for so many connections."""
        for listener in self.env.network.listeners.values():
            listener.accept_failures += count

    def do_wait(self, us: int) -> None:
        """Time passes, and what must have been seen by then is looked at on the way."""
        self.env.run(us)

    # What belongs behind every script.

    def _check_recovery(self) -> None:
        """Everybody is well again; whatever was open ends, and a good caller is served at every hub."""
        checker, env = self.checker, self.env
        env.journal.mode = "ok"
        if checker.term_us is not None:
            env.run(6_000_000)
            checker.check_overdue()
            if not env.terminated:
                checker.add_violation("does not leave", "6 s after SIGTERM")
            return
        self.do_journal("ok")
        for cell in HUB_CELLS:
            self.do_mend(cell)
            peer_hub = self._hub(cell)
            peer_hub.mode, peer_hub.delay_us = "stand", 0
            peer_hub.send_state(20)
        for number in (0, 1, 2):
            if (conn := env.callers.get(number)) is not None and conn.open:
                conn.transport.set_reading(True)  # type: ignore[attr-defined]
        for listener in env.network.listeners.values():
            listener.accept_failures = 0
        env.run(1_000_000)
        self._publish([hub_endpoint(self.hub_names[cell]) for cell in HUB_CELLS])
        for cell in HUB_CELLS:
            checker.on_hub_ready(self.hub_names[cell])
        for _ in range(8):
            env.run(1_000_000)
            checker.check_overdue()
        served = self._serve_every_cell()
        for cell in HUB_CELLS:
            if cell not in served:
                checker.add_violation(
                    "not served again", f"no call stands at {self.hub_names[cell]} in 20 tries"
                )
        self._check_tables_empty()

    def _serve_every_cell(self) -> set[int]:
        env, checker, served = self.env, self.checker, set()
        for again in range(20):
            missing = [cell for cell in HUB_CELLS if cell not in served]
            if not missing:
                break
            for cell in missing:
                call = 1000 + 10 * again + cell
                peer_caller = env.caller_connection(90)
                if peer_caller is None:
                    checker.add_violation("not served again", "no connection is taken")
                    return set(HUB_CELLS)
                data, offer = self._make_offer(peer_caller, call, cell, True, 3000, "", 0)
                checker.on_offer(offer)
                peer_caller.transport.write(data)
                env.run(100_000)
                if "up" in offer.answers:
                    served.add(cell)
            env.run(700_000)
        return served

    def _check_tables_empty(self) -> None:
        """Every call ends; then the tables must be empty."""
        env, checker, router = self.env, self.checker, self.env.router
        # A call of the exchange's that went out over the exchange has shown its id to nobody.
        unseen = sum(not ref.isalnum() for ref in checker.standing)
        for ref in list(router.established.legs):
            standing_call = checker.standing.get(ref)
            if standing_call is None and not unseen:
                checker.add_violation("call invented", f"{ref} stands in the router's books alone")
            unseen -= standing_call is None
            if (one := env.caller_connection(90)) is not None:
                checker.on_caller_release(ref)
                one.transport.write(caller.encode_message("down", ref, c=16))
        env.exchange.drop()
        checker.waive_expectations()
        env.run(1_000_000)
        for number in list(env.callers):
            if env.callers[number].open:
                self.do_hang(number)
        for _ in range(4):
            env.run(10_000_000)
            checker.check_overdue()
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
            "releases of hubs": [kept for one in router.hubs.hubs.values() for kept in one.pending_releases],
            "module's set-ups out": [
                call for x in router.facade._module.exchanges.values() for call in x.pending
            ],
            "greenlets": [None] * (len(env.runtime.live_greenlets) - 40),
            "deadlines": [None] * (len(router.deadlines._due) - 16),
        }
        for name, table in tables.items():
            if table:
                checker.add_violation("table not empty", f"{name}: {len(table)} after 40 quiet seconds")


def run_script(steps: list[Step], thorough: bool = True) -> tuple[list[Violation], dict[str, int]]:
    """Play a script; its breaches, and what it reached."""
    runner = ScriptRunner()
    violations = runner.run(steps, thorough)
    reached = dict(runner.checker.counts)
    for template, count in runner.env.log_recorder.templates.items():
        reached["log: " + template] = count
    return violations, reached
