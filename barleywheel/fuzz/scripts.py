"""Generates and runs fuzz scripts against the whole router.

A script is a list of steps. A step is a list of a step name followed by integers and strings. An index that
is out of range (the third set-up of a hub that received two) wraps round, or the step does nothing. So every
list of steps is a valid script, and any step may be removed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from barleywheel.fronts.platform import Caller
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
CALLER_COUNT = 3
CALL_COUNT = 12
CIRCUIT_COUNT = 6
MAX_SCRIPT_STEPS = 40
# Waits and times left include values just round the 300 ms guard time and the class limits.
WAIT_CHOICES_US = (
    0,
    1,
    1000,
    20_000,
    80_000,
    100_000,
    299_000,
    300_000,
    500_000,
    1_000_000,
    1_200_000,
    2_500_000,
)
TIME_LEFT_CHOICES_MS = (0, 1, 12, 100, 400, 800, 1200, 1201, 3000, 9000, 20_000)
# (weight, status and X-Note) of a scripted hub response.
HUB_STATUS_WEIGHTS = (
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
# (weight, mode): see ``standins.hub.Hub``.
HUB_MODE_WEIGHTS = (
    (6, "stand"),
    (4, "hold"),
    (1, "503 throttled"),
    (1, "503 congestion"),
    (1, "503 crankback"),
    (2, "500"),
    (1, "504"),
    (1, "480"),
)
# (weight, flags): see ``standins.caller.encode_setup``.
CALL_FLAG_WEIGHTS = ((8, ""), (1, "r"), (2, "t"), (1, "a"), (1, "rt"))
CALLED_NUMBERS = ("7f3a", "0", "ffffffffffffffff", "3")
HUB_RELEASE_CAUSES = (16, 31, 127)
# Wait at the end of a script that is run without the recovery check. Longer than the 1 s within which a
# release must be sent.
QUICK_CHECK_SETTLE_US = 1_300_000
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
    """The id of a call of the script."""
    return f"{0x9B1F03AA00000000 + call:016x}"


def call_description(call: int) -> bytes:
    """A description that is unique to the call and contains bytes that no text codec preserves."""
    return b'd%d\r\nc=IN\r\n\xff\xfe\x00\x7f"\\\n' % call


def make_script(source: Source, max_steps: int = MAX_SCRIPT_STEPS) -> list[Step]:
    """Generate a script from the choices of ``source``."""
    steps: list[Step] = []
    few_faults = source.below(3) == 0  # in a third of all scripts
    for _ in range(1 + source.below(max_steps)):
        kind = pick_weighted(source, FEW_FAULTS_STEP_WEIGHTS if few_faults else MANY_FAULTS_STEP_WEIGHTS)
        steps.append([kind, *STEP_MAKERS[kind](source)])
        if source.below(2):
            steps.append(["wait", pick(source, WAIT_CHOICES_US)])
    return steps


def _new_call_step(source: Source) -> Step:
    return [
        source.below(CALLER_COUNT),
        source.below(CALL_COUNT),
        1 + source.below(4),
        source.below(4) == 0,
        pick_weighted(source, ((6, 3000), (1, pick(source, TIME_LEFT_CHOICES_MS)))),
        pick_weighted(source, CALL_FLAG_WEIGHTS),
        source.below(len(CALLED_NUMBERS)) if source.below(4) == 0 else 0,
    ]


STEP_MAKERS: dict[str, Callable[[Source], Step]] = {
    "new": _new_call_step,
    "drip": lambda s: [
        s.below(CALLER_COUNT),
        s.below(CALL_COUNT),
        1 + s.below(4),
        1 + s.below(300),
        pick(s, WAIT_CHOICES_US[:5]),
    ],
    "down": lambda s: [s.below(CALLER_COUNT), s.below(CALL_COUNT), pick(s, (16, 16, 0, 200, True))],
    "test": lambda s: [s.below(CALLER_COUNT)],
    "raw": lambda s: [s.below(CALLER_COUNT), s.below(len(MALFORMED_CALLER_DATA))],
    "hang": lambda s: [s.below(CALLER_COUNT), s.below(2)],
    "stall": lambda s: [s.below(CALLER_COUNT), s.below(2)],
    "crowd": lambda s: [s.below(48)],
    "mode": lambda s: [
        pick(s, HUB_CELLS),
        pick_weighted(s, HUB_MODE_WEIGHTS),
        pick(s, (0, 0, 1000, 50_000, 400_000, 1_200_000)),
    ],
    "answer": lambda s: [pick(s, HUB_CELLS), s.below(6), pick_weighted(s, HUB_STATUS_WEIGHTS)],
    "copy": lambda s: [pick(s, HUB_CELLS), s.below(6)],
    "bye": lambda s: [pick(s, HUB_CELLS), s.below(6), pick(s, HUB_RELEASE_CAUSES)],
    "stray": lambda s: [pick(s, HUB_CELLS), s.below(CALL_COUNT), pick(s, HUB_RELEASE_CAUSES)],
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
    "wait": lambda s: [pick(s, WAIT_CHOICES_US)],
}
HUB_STEPS = {"mode", "answer", "copy", "bye", "stray", "spoil", "gauge", "lose", "mend", "list", "replace"}
FEW_FAULTS_STEP_WEIGHTS = (
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
MANY_FAULTS_STEP_WEIGHTS = (
    FEW_FAULTS_STEP_WEIGHTS
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
    """Runs one script against one router and checks the service rules."""

    def __init__(self, seed: int = 1) -> None:
        self.checker = RuleChecker()
        self.env = VirtualEnvironment(seed, self.checker, self._on_message, self._on_close, self._on_isup)
        self.checker.env = self.env
        self.env.exchange.on_link_lost = self._on_link_lost
        self.hub_names = {cell: f"h{cell}" for cell in (*HUB_CELLS, EXCHANGE_CELL)}
        self.replacement_count = 0
        self.last_idle_caller = 100  # the number of the latest connection of ``do_crowd``

    # Messages of the router. A model that can't parse them reports a protocol error to the network.

    def _on_message(self, caller_model: caller.Caller, kind: str, ref: str, message: dict[str, Any]) -> None:
        self.checker.on_message(caller_model, kind, ref, message)

    def _on_close(self, caller_model: caller.Caller, reset: bool) -> None:
        self.checker.on_router_closed(caller_model, reset)

    def _on_isup(
        self, exchange_model: exchange.Exchange, cic: int, kind: int, body: bytes, description: bytes
    ) -> None:
        self.checker.on_isup(exchange_model, cic, kind, body, description)
        if kind == exchange.IAM and exchange_model.answers_calls:
            self.env.runtime.after(0, lambda: self._send_answer(cic))
        elif kind == exchange.REL and exchange_model.completes_releases:
            self.env.runtime.after(0, lambda: self._complete_release(cic))
        elif kind == exchange.RLC:
            self.checker.on_circuit_freed(cic)

    def run(self, steps: list[Step], thorough: bool = True) -> list[Violation]:
        """Run a script and return the violations in the order of their detection.

        With ``thorough`` a recovery check follows, which takes far longer than most scripts. Without it, or
        after SIGTERM, the answers and releases that are due when the script ends are checked all the same.
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
                    self.env.run(QUICK_CHECK_SETTLE_US)
                    checker.check_overdue()
                # Connections that are closed from here on are closed by the teardown, not by the router.
                self.env.terminated = True
                self._check_internal_errors()
        except BusyLoopError as error:
            checker.add_violation("busy loop", str(error))
        return checker.violations

    def _run_step(self, step: Step) -> None:
        """Run one step; the number of a hub that does not exist wraps round."""
        name, *rest = step
        if name in HUB_STEPS and rest[0] not in HUB_CELLS:
            rest[0] = HUB_CELLS[rest[0] % len(HUB_CELLS)]
        getattr(self, f"do_{name}")(*rest)

    def _check_internal_errors(self) -> None:
        """Unparsable output, a greenlet ended by an exception and an ERROR log line are always violations."""
        for message in self.env.network.protocol_errors:
            self.checker.add_violation("unreadable", message)
        for error in self.env.runtime.uncaught_errors:
            self.checker.add_violation("greenlet ended", f"{type(error).__name__}: {str(error)[:200]}")
        for line in self.env.log_recorder.errors:
            self.checker.add_violation("logged at ERROR", line[:300])

    # Callers.

    def _connect_caller(self, number: int) -> caller.Caller | None:
        return self.env.caller_connection(number)

    def _make_offer(
        self,
        caller_model: caller.Caller,
        call: int,
        destination: int,
        gold: bool,
        time_left_ms: int,
        flags: str,
        number: int,
    ) -> tuple[bytes, OfferedCall]:
        name = "gold" if gold else "voice"
        data = caller.encode_setup(
            call_ref(call),
            destination,
            call_description(call),
            name,
            time_left_ms,
            CALLED_NUMBERS[number],
            flags,
        )
        valid = 0 < time_left_ms <= DEADLINE_US_BY_CLASS[name] // 1000 + 1000
        # While descriptors are short the router retries its accept every 50 ms, so that a connection waiting
        # to be accepted delays the set-up by up to 60 ms for each failed accept.
        now = self.env.now_us + 60_000 * sum(x.accept_failures for x in self.env.network.listeners.values())
        return data, OfferedCall(
            call_ref(call),
            caller_model,
            now,
            now + (time_left_ms * 1000 if valid else 10_000_000),
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
        time_left_ms: int = 3000,
        flags: str = "",
        number: int = 0,
    ) -> None:
        """A caller sends a set-up."""
        if (caller_model := self._connect_caller(conn)) is not None:
            data, offer = self._make_offer(caller_model, call, destination, gold, time_left_ms, flags, number)
            self.checker.on_offer(offer)
            caller_model.transport.write(data)
            if offer.offered_us > self.env.now_us:
                self.env.run(offer.offered_us - self.env.now_us)

    def do_drip(self, conn: int, call: int, destination: int, size: int = 1, gap_us: int = 0) -> None:
        """A caller sends a set-up in pieces of ``size`` bytes, each read before the next is sent."""
        if (caller_model := self._connect_caller(conn)) is None:
            return
        size = max(1, size)  # shrinking tries 0
        data, _ = self._make_offer(caller_model, call, destination, False, 3000, "", 0)
        if gap_us * (len(data) // size) > 2_000_000:
            gap_us = 0
        for at in range(0, len(data), size):
            if not caller_model.open:
                return
            if at + size >= len(data):
                self.checker.on_offer(
                    self._make_offer(caller_model, call, destination, False, 3000, "", 0)[1]
                )
            caller_model.transport.write(data[at : at + size])
            self.env.run(gap_us)

    def do_down(self, conn: int, call: int, cause: int = 16) -> None:
        """A caller abandons a set-up, or releases a call."""
        if (caller_model := self._connect_caller(conn)) is not None:
            self.checker.on_caller_release(call_ref(call))
            caller_model.transport.write(caller.encode_message("down", call_ref(call), c=cause))

    def do_test(self, conn: int) -> None:
        """A caller sends a heartbeat test."""
        if (caller_model := self._connect_caller(conn)) is not None:
            self.checker.known_callers.add(caller_model)
            caller_model.transport.write(caller.encode_message("hb", "1", c=0))

    def do_raw(self, conn: int, sample_index: int) -> None:
        """A caller sends malformed or invalid data."""
        if (caller_model := self._connect_caller(conn)) is not None:
            self.checker.closable_callers.add(caller_model)
            self.checker.ignored_refs.add(MALFORMED_REF)
            caller_model.transport.write(MALFORMED_CALLER_DATA[sample_index % len(MALFORMED_CALLER_DATA)])

    def do_hang(self, conn: int, reset: int = 0) -> None:
        """A caller closes or resets its connection."""
        caller_model = self.env.callers.get(conn)
        if caller_model is not None and caller_model.open:
            self.checker.on_caller_closed(caller_model)
            self.checker.waive_expectations()
            caller_model.close(bool(reset))

    def do_stall(self, conn: int, on: int = 0) -> None:
        """A caller stops reading, or resumes."""
        caller_model = self.env.callers.get(conn)
        if caller_model is not None and caller_model.open:
            self.checker.closable_callers.add(caller_model)
            caller_model.transport.set_reading(bool(on))  # type: ignore[attr-defined]

    def do_crowd(self, count: int) -> None:
        """Callers open connections and send nothing."""
        for _ in range(min(count, 48)):
            self.last_idle_caller += 1
            if (caller_model := self.env.caller_connection(self.last_idle_caller)) is not None:
                self.checker.closable_callers.add(caller_model)

    # Hubs.

    def _hub(self, cell: int) -> hub.Hub:
        return self.env.hubs[self.hub_names[cell]]

    def do_mode(self, cell: int, mode: str = "stand", delay_us: int = 0) -> None:
        """Set how a hub responds to set-ups, and after what delay."""
        hub_model = self._hub(cell)
        hub_model.mode, hub_model.delay_us = mode, delay_us

    def do_answer(self, cell: int, index_from_latest: int, status: str = "200") -> None:
        """A hub responds to a set-up; ``index_from_latest`` counts from the latest."""
        hub_model = self._hub(cell)
        if hub_model.setups:
            code, _, note = status.partition(" ")
            setup = hub_model.setups[-1 - index_from_latest % len(hub_model.setups)]
            if not any(before >= 200 for before in setup.answers):
                hub_model.answer(setup, int(code), note)

    def do_copy(self, cell: int, index_from_latest: int) -> None:
        """A hub retransmits a final response."""
        hub_model = self._hub(cell)
        answered = [setup for setup in hub_model.setups if any(status >= 200 for status in setup.answers)]
        if answered:
            setup = answered[-1 - index_from_latest % len(answered)]
            if setup.conn.open:
                body = hub.hub_description(hub_model.name, setup.ref) if setup.answers[-1] < 300 else b""
                setup.conn.transport.write(hub.encode_response(setup.message, setup.answers[-1], body))

    def do_bye(self, cell: int, index_from_latest: int, cause: int = 16) -> None:
        """A hub releases one of its established calls."""
        hub_model = self._hub(cell)
        if hub_model.established and hub_model.connections:
            refs = list(hub_model.established)
            hub_model.send_bye(refs[-1 - index_from_latest % len(refs)], cause)

    def do_stray(self, cell: int, call: int, cause: int = 16) -> None:
        """A hub releases a call that no hub has, and responds to a set-up that it never received."""
        hub_model = self._hub(cell)
        if hub_model.connections:
            if call_ref(call) not in hub_model.established and not any(
                call_ref(call) in other.established for other in self.env.hubs.values()
            ):
                hub_model.send_bye(call_ref(call), cause)
            conn = hub_model.connections[0]
            conn.transport.write(
                b"SIP/2.0 200 OK\r\nCall-ID: ffff0000ffff0000\r\nCSeq: 1 INVITE\r\n"
                b"Content-Length: 2\r\n\r\nzz"
            )

    def do_spoil(self, cell: int, sample_index: int) -> None:
        """A hub sends malformed data."""
        hub_model = self._hub(cell)
        if hub_model.connections:
            raw = MALFORMED_HUB_DATA[sample_index % len(MALFORMED_HUB_DATA)]
            self.checker.on_hub_failed(hub_model.name, gone=False)
            self.checker.unknown_releases["ffff03aa00000002"] = 1
            hub_model.connections[-1].transport.write(raw)

    def do_gauge(self, cell: int, free: int) -> None:
        """A hub reports its number of free circuits."""
        self._hub(cell).send_state(free)

    def do_lose(self, cell: int, fault: str) -> None:
        """A hub's process dies, its machine becomes unreachable, its connections end, or it fails checks."""
        hub_model = self._hub(cell)
        address = hub_address(hub_model.name)
        self.checker.on_hub_failed(hub_model.name, gone=False)
        if fault == "die":
            self.env.network.hosts.pop(address, None)
            hub_model.established.clear()
        elif fault == "vanish":
            self.env.network.unreachable.add(address)
            for conn in hub_model.connections:
                conn.transport.silent = True  # type: ignore[attr-defined]
            for setup in hub_model.setups:
                if setup.open:
                    self.checker.on_given_up(hub_model, setup)
                    setup.open = False
            hub_model.connections.clear()
            hub_model.established.clear()
            return
        elif fault == "deaf":
            hub_model.ignores_options = True
            return
        for conn in list(hub_model.connections):
            conn.close(reset=fault != "close")

    def do_mend(self, cell: int) -> None:
        """A hub's process, machine and answers to checks are restored."""
        hub_model = self._hub(cell)
        address = hub_address(hub_model.name)
        hub_model.ignores_options = False
        self.env.network.unreachable.discard(address)
        self.env.network.hosts[address] = hub_model.accept_connection

    # The journal.

    def _publish(self, endpoints: list[dict[str, Any]], skip: int = 0) -> None:
        self.env.journal.publish(endpoints, skip=skip)
        self.env.run(0)
        if self.env.router.journal.pos >= self.env.journal.pos:
            for endpoint in endpoints:
                if endpoint["status"] == "Ready":
                    self.checker.on_hub_ready(endpoint["name"])
                else:
                    self.checker.on_hub_draining(endpoint["name"])

    def do_list(self, cell: int, status: str) -> None:
        """The journal publishes a hub's state."""
        name = self.hub_names[cell]
        if status == "Ready":
            self.checker.on_hub_ready(name)
        elif status == "Gone":
            self.checker.on_hub_failed(name, gone=True)
        self._publish([hub_endpoint(name, status)])

    def do_replace(self, cell: int, overlap: int = 0, cold: int = 0) -> None:
        """A new hub replaces another at its address, and may receive messages for its predecessor's calls."""
        old = self.hub_names[cell]
        self.checker.on_hub_failed(old, gone=True)
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
        """The journal service works, stalls, breaks off its answers or refuses connections."""
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

    def do_garble(self, sample_index: int) -> None:
        """The journal answers its open polls with a malformed body, and further ones for 250 ms."""
        journal = self.env.journal
        journal.mode, journal.bad_body = (
            "garble",
            MALFORMED_JOURNAL_BODIES[sample_index % len(MALFORMED_JOURNAL_BODIES)],
        )
        self._serve_bad_body()

    def do_http(self, sample_index: int) -> None:
        """The journal answers its open polls with malformed HTTP, and further ones for 250 ms."""
        journal = self.env.journal
        journal.mode, journal.bad_body = (
            "raw",
            MALFORMED_HTTP_RESPONSES[sample_index % len(MALFORMED_HTTP_RESPONSES)],
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

    def do_skip(self, skipped: int) -> None:
        """The journal skips event numbers, or with 0 repeats its latest event."""
        journal = self.env.journal
        if skipped:
            self._publish([hub_endpoint(self.hub_names[1])], skip=skipped)
            self.checker.on_hub_ready(self.hub_names[1])
        else:
            journal.entries = journal.entries[-3:] + journal.entries[-1:]

    def do_hup(self, variant: int) -> None:
        """SIGHUP: with ``variant`` 0 the journal has moved, with 2 the configuration file is invalid."""
        if variant == 0:
            self.env.move_journal()
        before = self.env.journal_index
        if variant == 2:
            self.env.journal_index = -1
        self.env.router.reload.set()
        self.env.run(0)
        self.env.journal_index = before

    def do_term(self) -> None:
        """The router receives SIGTERM."""
        if self.checker.term_us is None:
            self.checker.term_us = self.env.now_us
            self.env.terminate()

    # The exchange.

    def do_link(self, event: str) -> None:
        """The exchange's link comes up or ends, its ASP changes state, or BEAT goes unanswered."""
        exchange_model = self.env.exchange
        if event == "up":
            if exchange_model.active:
                self._on_link_lost()  # ASPUP makes an active ASP inactive (RFC 4666, 4.3.4.1)
            if self.env.connect_link():
                exchange_model.activate()
            return
        if event == "mute":
            exchange_model.answers_heartbeats = not exchange_model.answers_heartbeats
            return
        if event == "inactive":
            exchange_model.write(exchange.encode(exchange.ASPIA, exchange.ROUTING_CONTEXT))
        elif event == "down":
            exchange_model.write(exchange.encode(exchange.ASPDN, {}))
        else:
            exchange_model.drop(event == "reset")
        self._on_link_lost()

    def _on_link_lost(self) -> None:
        for offer in self.checker.inbound_circuits.values():
            if offer.open:
                offer.abandoned_us = self.env.now_us
        self.checker.on_hub_failed("h4", gone=False)
        for offer in self.checker.outbound_circuits.values():
            for attempt in offer.attempts:
                if attempt.hub_name == "h4" and attempt.end_us is None:
                    attempt.end_us, attempt.guarded = self.env.now_us, True

    def do_iam(self, cic: int, call: int, number: str = "7f3a", class_index: int = 0) -> None:
        """The exchange sends an IAM on a circuit that is idle on its side.

        ``class_index`` is 0 for voice, 1 for gold and 2 for a category that no class has.
        """
        exchange_model, checker = self.env.exchange, self.checker
        busy = (
            cic in checker.inbound_circuits or cic in checker.released_by or cic in checker.outbound_circuits
        )
        if busy or not exchange_model.active or not 1 <= cic <= CIRCUIT_COUNT:
            return
        now = self.env.now_us
        description = b"x%d-%d-%d" % (cic, call, now % 1_000_000_007)
        if any(offer.description == description for offer in checker.offers):
            return
        served = class_index < 2 and len(number) <= 16
        destination = {"7": 1, "0": 1, "1": 1, "2": 2, "3": 3}.get(number[:1], -1) if served else -1
        due_us = now + (3_000_000, 2_000_000, 3_000_000)[class_index]
        checker.on_exchange_offer(
            cic,
            OfferedCall(f"on circuit {cic}", None, now, due_us, destination, description, number, cic=cic),
        )
        exchange_model.write(exchange.encode_iam(cic, description, (10, 11, 77)[class_index], number))

    def _send_answer(self, cic: int) -> None:
        offer = self.checker.outbound_circuits.get(cic)
        if offer is None or not self.env.exchange.active or cic in self.checker.released_by:
            return
        last = offer.attempts[-1]
        if last.hub_name == "h4" and last.end_us is None:
            last.end_us, last.succeeded = self.env.now_us, True
            self.env.exchange.write(exchange.encode_anm(cic, hub.hub_description("h4", offer.ref)[:250]))
            self.checker.unresolved_answers["h4", offer.ref] = self.env.now_us

    def do_anm(self, index: int) -> None:
        """The exchange answers a call."""
        if self.checker.outbound_circuits:
            self._send_answer(
                list(self.checker.outbound_circuits)[index % len(self.checker.outbound_circuits)]
            )

    def do_rel(self, index: int, cause: int = 16, reset: int = 0) -> None:
        """The exchange sends REL, or RSC if ``reset``, on a circuit that has a call."""
        checker, exchange_model = self.checker, self.env.exchange
        busy = sorted(set(checker.inbound_circuits) | set(checker.outbound_circuits))
        if not busy or not exchange_model.active:
            return
        cic = busy[index % len(busy)]
        inbound, outbound = checker.inbound_circuits.get(cic), checker.outbound_circuits.get(cic)
        if cic in checker.released_by:
            return
        checker.released_by[cic] = "exchange"
        if inbound is not None:
            if inbound.open:
                inbound.abandoned_us = self.env.now_us
            elif (
                established_call := checker.established_calls.get(inbound.ref)
            ) is not None and not established_call.ended_by:
                established_call.ended_by = "caller"
                if not established_call.may_have_ended:
                    checker.expect("hub released", inbound.ref, 1_000_000)
        if outbound is not None:
            last = outbound.attempts[-1]
            if last.hub_name == "h4" and last.end_us is None:
                last.end_us, last.guarded = self.env.now_us, cause == 41 or bool(reset)
            checker.unresolved_answers.pop(("h4", outbound.ref), None)
            established_call = checker.established_calls.get(outbound.ref)
            if (
                established_call is not None
                and established_call.hub_name == "h4"
                and not established_call.ended_by
            ):
                established_call.ended_by = "hub"
                if checker.caller_reachable() and not established_call.may_have_ended:
                    checker.expect("caller told", outbound.ref, 1_000_000)
        exchange_model.write(
            exchange.encode_data(cic, exchange.RSC) if reset else exchange.encode_rel(cic, cause)
        )

    def _complete_release(self, cic: int) -> None:
        if self.checker.released_by.get(cic) == "router" and self.env.exchange.write(
            exchange.encode_data(cic, exchange.RLC)
        ):
            self.checker.on_circuit_freed(cic)

    def do_rlc(self, index: int) -> None:
        """The exchange sends an RLC that it has held back."""
        waiting = [cic for cic, who in self.checker.released_by.items() if who == "router"]
        if waiting:
            self._complete_release(waiting[index % len(waiting)])

    def do_exchange(self, answers: int, completes: int) -> None:
        """Set whether the exchange answers calls and completes releases by itself."""
        exchange_model = self.env.exchange
        exchange_model.answers_calls, exchange_model.completes_releases = bool(answers), bool(completes)

    def do_frame(self, sample_index: int) -> None:
        """The exchange sends a malformed or unexpected message."""
        raw = MALFORMED_M3UA_DATA[sample_index % len(MALFORMED_M3UA_DATA)]
        self.env.exchange.write(raw)
        # After a broken message header the router can't parse what follows, so the link is dropped.
        if sample_index % len(MALFORMED_M3UA_DATA) in (0, 2):
            self.env.run(0)
            self.env.exchange.drop()
            self._on_link_lost()

    # The operator, the clock and the operating system.

    def do_snmp(self, sample_index: int) -> None:
        """The SNMP agent receives a malformed datagram."""
        agent = self.env.network.datagram_sockets[SNMP_LISTEN_ADDRESS]
        agent.deliver(MALFORMED_SNMP_DATA[sample_index % len(MALFORMED_SNMP_DATA)], ("10.5.0.1", 161))

    def do_clock(self, by_us: int) -> None:
        """The system clock is stepped."""
        self.env.runtime.skew_us += by_us

    def do_descriptors(self, count: int) -> None:
        """The next ``count`` accepts fail for lack of descriptors."""
        for listener in self.env.network.listeners.values():
            listener.accept_failures += count

    def do_wait(self, us: int) -> None:
        """Time passes."""
        self.env.run(us)

    # The recovery check after a script.

    def _check_recovery(self) -> None:
        """Undo every fault; open calls must end, and each hub must serve a new call.

        After SIGTERM, instead, the router must exit within 6 s.
        """
        checker, env = self.checker, self.env
        env.journal.mode = "ok"
        if checker.term_us is not None:
            env.run(6_000_000)
            checker.check_overdue()
            if not env.terminated:
                checker.add_violation("does not leave", "still running 6 s after SIGTERM")
            return
        self.do_journal("ok")
        for cell in HUB_CELLS:
            self.do_mend(cell)
            hub_model = self._hub(cell)
            hub_model.mode, hub_model.delay_us = "stand", 0
            hub_model.send_state(20)
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
                    "not served again", f"no call established at {self.hub_names[cell]} in 20 attempts"
                )
        self._check_tables_empty()

    def _serve_every_cell(self) -> set[int]:
        """Offer calls for each hub's cell, up to 20 times; the cells at which one was established."""
        env, checker, served = self.env, self.checker, set()
        for again in range(20):
            missing = [cell for cell in HUB_CELLS if cell not in served]
            if not missing:
                break
            for cell in missing:
                call = 1000 + 10 * again + cell
                caller_model = env.caller_connection(90)
                if caller_model is None:
                    checker.add_violation("not served again", "the router accepts no connection")
                    return set(HUB_CELLS)
                data, offer = self._make_offer(caller_model, call, cell, True, 3000, "", 0)
                checker.on_offer(offer)
                caller_model.transport.write(data)
                env.run(100_000)
                if "up" in offer.answers:
                    served.add(cell)
            env.run(700_000)
        return served

    def _check_tables_empty(self) -> None:
        """Release every call and close every connection; 40 s later the router's tables must be empty."""
        env, checker, router = self.env, self.checker, self.env.router
        # The id of a call that both comes from and goes to the exchange is never sent to a peer.
        calls_without_ref = sum(not ref.isalnum() for ref in checker.established_calls)
        for ref, leg in list(router.established.legs.items()):
            established_call = checker.established_calls.get(ref)
            if established_call is None and not calls_without_ref:
                checker.add_violation("call invented", f"{ref} is established in the router's tables only")
            calls_without_ref -= established_call is None
            if not isinstance(leg.origin, Caller):  # the router takes its release from its exchange only
                checker.on_caller_release(ref)
                router.established.release_from_caller(ref, 16)
            elif (caller_model := env.caller_connection(90)) is not None:
                checker.on_caller_release(ref)
                caller_model.transport.write(caller.encode_message("down", ref, c=16))
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
            "ids of ended calls": router.established.recently_ended,
            "calls of the facade": router.facade._calls,
            "calls of the decision module": router.facade._module.calls,
            "callers": router.front.callers,
            "pending releases to callers": router.front.releases.waiting,
            "set-ups": [
                key
                for router_hub in router.hubs.hubs.values()
                for conn in router_hub.connections
                for key in conn.setups
            ],
            "pending releases to hubs": [
                release for router_hub in router.hubs.hubs.values() for release in router_hub.pending_releases
            ],
            "set-ups out in the decision module": [
                call for x in router.facade._module.exchanges.values() for call in x.pending
            ],
            # A router without calls may have up to 40 greenlets and 16 deadlines.
            "greenlets": [None] * (len(env.runtime.live_greenlets) - 40),
            "deadlines": [None] * (len(router.deadlines._due) - 16),
        }
        for name, table in tables.items():
            if table:
                checker.add_violation(
                    "table not empty", f"{name}: {len(table)} left after 40 s without traffic"
                )


def run_script(steps: list[Step], thorough: bool = True) -> tuple[list[Violation], dict[str, int]]:
    """Run a script; its violations, and the features that it reached with their counts."""
    runner = ScriptRunner()
    violations = runner.run(steps, thorough)
    reached = dict(runner.checker.counts)
    for template, count in runner.env.log_recorder.templates.items():
        reached["log: " + template] = count
    return violations, reached
