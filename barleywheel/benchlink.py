"""The simulator's wire: binary frames on standard input and output, one Controller an instance.

Translation only. Every choice is made in ``barleywheel.controller``; nothing here is shared
between instances except the numbered lists that the wire itself shares.
"""

from __future__ import annotations

import json
import math
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from barleywheel import interface as api
from barleywheel.controller import Controller

HEADER = struct.Struct("<IQI")
REPLY = struct.Struct("<II")
RECORD = struct.Struct("<HI")
OPEN = struct.Struct("<HQI")
PAGE = struct.Struct("<II")
ENTRY = struct.Struct("<B6sfBQBH")
DISCOVERY = struct.Struct("<HBII")
ACCEPT = struct.Struct("<HIIfIQHIfHf")
STANDS = struct.Struct("<HIB6sI")
COMPLETED = struct.Struct("<HIB6sHIBIB")
PROBED = struct.Struct("<H6sHIB")
PAIR = struct.Struct("<HI")
PEER = struct.Struct("<HHH")
AGENT = struct.Struct("<H")
ISSUE = struct.Struct("<HI6sI")
REFUSE = struct.Struct("<HII")
ABORT = struct.Struct("<HIB")
REMIND = struct.Struct("<HIQ")
PROBE = struct.Struct("<H6s")
MEMO = struct.Struct("<HHH")
TEXT = struct.Struct("<HH")
NOTE = struct.Struct("<BHB")  # a peer report: mark, cell, accept fraction; a bit an exchange follows
NOTE_MARK = 0xC1  # tells the layout
NOTE_LIMIT = 256  # bytes of a message
WATCH = struct.Struct("<HB")
EVERY_PEER = 0xFFFF
TEXT_LIMIT = 0xFFFF

OUTCOMES = {
    0: api.Outcome.OK,
    255: api.Outcome.ERROR,
    254: api.Outcome.REJECTED,
    253: api.Outcome.TIMEOUT,
    252: api.Outcome.UNREACHABLE,
    251: api.Outcome.RESET,
    250: api.Outcome.CANCELLED,
    249: api.Outcome.NOT_SENT,
}
LOAD_ATTRIBUTE_BY_FIELD = {
    "free": "free_circuits",
    "size": "group_size",
    "cpu_share": "utilisation",
    "pending": "queue",
    "busy_reqs": "in_progress",
    "svc_ms": "wait_ms",
    "can_take": "can_take",
    "hold_back": "hold_back",
}


class WireError(Exception):
    """The frame or a record in it contradicts itself."""


class SettingsError(Exception):
    """A necessary setting is missing or has no usable value."""


def _need(table: dict[str, Any], key: str, where: str) -> Any:
    if table.get(key) is None:
        raise SettingsError(f"necessary setting missing: {where}{key}")
    return table[key]


def _get(table: dict[str, Any], key: str, default: Any) -> Any:
    """A setting, or its neutral meaning where it is missing or null."""
    value = table.get(key)
    return default if value is None else value


def _at(values: Any, index: int, default: Any) -> Any:
    if not isinstance(values, list) or index >= len(values) or values[index] is None:
        return default
    return values[index]


def parse_settings(text: bytes) -> tuple[api.Settings, list[str]]:
    """Translate the options text; returns the settings and the names of the report's values."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        return _settings(raw)
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        raise SettingsError(f"setting with an unusable value: {error}") from error


def _settings(raw: dict[str, Any]) -> tuple[api.Settings, list[str]]:
    family = raw.get("family_info") or {}
    limits = raw.get("limits") or {}
    contract = raw.get("contract") or {}
    report = raw.get("report") or {}
    classes = []
    if not isinstance(_need(raw, "classes", ""), list) or not raw["classes"]:
        raise SettingsError("necessary setting without entries: classes")
    for index, item in enumerate(raw["classes"]):
        hold = _at(family.get("mean_hold_us"), index, None)
        deadline = int(_need(item, "hard_limit_us", f"classes[{index}]."))
        classes.append(
            api.CallClass(
                aim_us=int(_get(item, "aim_us", deadline)),
                deadline_us=deadline,
                worth=float(_get(item, "worth", 1.0)),
                late_share=float(_get(item, "late_share", 0.0)),
                effect=api.Effect(_get(item, "idempotency", "free")),
                scope=api.Scope(_get(item, "group", "all")),
                window_us=int(_get(item, "window_us", 0)),
                mean_hold_us=None if hold is None else int(hold),
                width=float(_at(family.get("widths"), index, 1.0)),
                pools=tuple(_at(family.get("pools_by_class"), index, ())),
            )
        )
    tenants = [
        api.Tenant(quota_per_s=item.get("quota_per_s"), share=item.get("share"))
        for item in raw.get("tenants") or []
    ]
    settings = api.Settings(
        classes=classes,
        controller_number=int(_get(raw, "my_number", 0)),
        controllers=max(1, int(_get(raw, "balancers", 1))),
        home_cell=int(_get(family, "home_no", -1)),
        pools=family.get("layout") == "pools",
        tenants=tenants,
        over_share_worth=float(_get(raw, "over_share_worth", 1.0)),
        guard_us=int(_get(family, "guard_us", 0)),
        repeat_us=int(_get(family, "repeat_us", 0)),
        reports_in_answers=_get(family, "peer_load", _get(report, "how", "answers")) == "answers",
        route_advice=bool(_get(family, "route_advice", False)),
        max_attempts=int(limits["send_cap"]) if limits.get("send_cap") else None,
        may_cancel=bool(_get(limits, "cancel", False)),
        may_probe=bool(_get(limits, "probing", False)),
        may_message=bool(_get(limits, "peers", False)),
        retry_after=bool(_get(limits, "retry_after", False)),
        max_retry_after_us=int(_get(limits, "max_retry_after_us", 0)),
        discovery_on_request=raw.get("discovery") == "on_request",
        ask_within_us=int(_get(contract, "ask_within_us", 10_000_000)),
        cold_from=float(_get(contract, "cold_from", 1.0)),
        cold_us=int(_get(contract, "cold_us", 0)),
        tip_multiple=float(_get(contract, "tip_multiple", 1.0)),
        fall_us=int(_get(contract, "fall_us", 1_000_000)),
        tick_us=int(_get(raw, "tick_us", 1_000)),
        callers_mark_redials=bool(_get(raw.get("client_habits") or {}, "marks_retry", False)),
    )
    return settings, [str(name) for name in report.get("fields") or []]


def _number(value: float) -> int | None:
    """A small number carried as a float; -1 and nonsense mean none."""
    return int(value) if math.isfinite(value) and value >= 0 else None


class Instance:
    """One hosted controller and the meaning of its load reports."""

    def __init__(self, settings: api.Settings, fields: list[str], seed: int) -> None:
        self.controller = Controller(settings, seed)
        self.fields = [LOAD_ATTRIBUTE_BY_FIELD.get(name) for name in fields]

    def load(self, body: bytes, at: int, count: int) -> api.Load:
        """Translate a load report; the wire's -1 and anything not finite mean unknown."""
        load = api.Load()
        for name, value in zip(self.fields, struct.unpack_from(f"<{count}f", body, at), strict=False):
            if name is not None and math.isfinite(value) and value >= 0:
                setattr(load, name, value)
        return load


class BatchDecoder:
    """Decodes batches, runs the controllers, encodes their actions."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.pages: dict[int, list[api.ExchangeEntry]] = {}

    def batch(self, frame: bytes) -> bytes:
        """Answer one complete frame."""
        size, now_us, number = HEADER.unpack_from(frame)
        if size != len(frame):
            raise WireError("frame length contradicts its header")
        out: list[bytes] = []
        at = HEADER.size
        while at < size:
            if at + RECORD.size > size:
                raise WireError("record header cut short")
            code, length = RECORD.unpack_from(frame, at)
            at += RECORD.size
            if at + length > size:
                raise WireError("record longer than its frame")
            try:
                self._record(code, frame[at : at + length], now_us, out)
            except struct.error as error:
                raise WireError(f"record of code {code} cut short: {error}") from error
            at += length
        body = b"".join(out)
        return REPLY.pack(REPLY.size + len(body), number) + body

    def _record(self, code: int, body: bytes, now_us: int, out: list[bytes]) -> None:
        if code == 1:
            self._open(body, out)
        elif code == 11:
            self._page(body)
        elif code == 10:
            self.instances.pop(AGENT.unpack_from(body)[0], None)
        elif code in EVENTS:
            agent = AGENT.unpack_from(body)[0]
            instance = self.instances.get(agent)
            if instance is None:
                return
            event = EVENTS[code](self, instance, body)
            if event is None:
                return
            try:
                actions = instance.controller.handle(now_us, event)
                out.extend(encode(agent, action) for action in actions)
            except Exception as error:
                report_failure(agent, f"{type(error).__name__}: {error}", out)

    def _open(self, body: bytes, out: list[bytes]) -> None:
        agent, seed, length = OPEN.unpack_from(body)
        if OPEN.size + length > len(body):
            raise WireError("settings longer than their record")
        try:
            settings, fields = parse_settings(body[OPEN.size : OPEN.size + length])
            self.instances[agent] = Instance(settings, fields, seed)
        except Exception as error:
            self.instances.pop(agent, None)
            report_failure(agent, f"{type(error).__name__}: {error}", out)

    def _page(self, body: bytes) -> None:
        number, count = PAGE.unpack_from(body)
        if PAGE.size + count * ENTRY.size > len(body):
            raise WireError("list longer than its record")
        entries = []
        for index in range(count):
            fields = ENTRY.unpack_from(body, PAGE.size + index * ENTRY.size)
            zone, exchange, share, kind, launched_us, state, cell = fields
            entries.append(
                api.ExchangeEntry(
                    exchange, cell, api.ExchangeState(min(state, 2)), zone, share, kind, launched_us
                )
            )
        self.pages[number] = entries

    def discovery(self, _: Instance, body: bytes) -> api.Event:
        """DISCOVERY, its page looked up in event order."""
        _, mode, _, number = DISCOVERY.unpack_from(body)
        if mode > max(api.ListMode):
            raise WireError(f"discovery of unknown mode {mode}")
        failed = mode == api.ListMode.FAILED
        return api.Discovery(api.ListMode(mode), [] if failed else self.pages.get(number, []))

    def offered(self, _: Instance, body: bytes) -> api.Event:
        """ACCEPT."""
        fields = ACCEPT.unpack_from(body)
        _, call, left, destination, tenant, key, flags, _, advised, profile, width = fields
        transit = bool(flags & 8)
        place = _number(advised)
        target = _number(destination)
        return api.CallOffered(
            call=call,
            time_left_us=left,
            destination=-1 if target is None else target,
            call_class=profile,
            tenant=tenant,
            called_number=key,
            redialled=bool(flags & 2),
            in_transit=transit,
            interrupted_before=bool(flags & 16),
            advised_cell=None if transit else place,
            source_cell=place if transit else None,
            width=width if math.isfinite(width) and width > 0 else 1.0,
        )

    def stands(self, _: Instance, body: bytes) -> api.Event:
        """ACCEPTED."""
        _, call, attempt, exchange, elapsed = STANDS.unpack_from(body)
        return api.CallStands(call, attempt, exchange, elapsed)

    def ended(self, instance: Instance, body: bytes) -> api.Event:
        """COMPLETED."""
        fields = COMPLETED.unpack_from(body)
        _, call, attempt, exchange, ending, elapsed, final, clear, count = fields
        low, high = clear & 15, clear >> 4
        cause = api.Cause(low) if low <= max(api.Cause) else api.Cause.NONE
        waits = cause is api.Cause.PROCESSOR_OVERLOADED and high > 0
        return api.AttemptEnded(
            call=call,
            attempt=attempt,
            exchange=exchange,
            outcome=OUTCOMES.get(ending, api.Outcome.ERROR),
            elapsed_us=elapsed,
            final=bool(final),
            cause=cause,
            downstream_overloaded=cause is api.Cause.CRANKBACK and high == 1,
            wait_us=high * 1000 if waits else None,
            load=instance.load(body, COMPLETED.size, count),
        )

    def gone(self, _: Instance, body: bytes) -> api.Event:
        """HANGUP."""
        return api.CallerGone(PAIR.unpack_from(body)[1])

    def timer(self, _: Instance, body: bytes) -> api.Event:
        """BELL."""
        return api.TimerDue(PAIR.unpack_from(body)[1])

    def probed(self, instance: Instance, body: bytes) -> api.Event:
        """PROBE_DONE."""
        _, exchange, ending, elapsed, count = PROBED.unpack_from(body)
        outcome = OUTCOMES.get(ending, api.Outcome.ERROR)
        return api.LoadSeen(exchange, outcome, elapsed, instance.load(body, PROBED.size, count))

    def peer(self, _: Instance, body: bytes) -> api.Event | None:
        """FROM_PEER; a payload that is no report of ours is dropped."""
        _, _, count = PEER.unpack_from(body)
        payload = body[PEER.size : PEER.size + count]
        if len(payload) < NOTE.size or len(payload) != count:
            return None
        mark, cell, accept = NOTE.unpack_from(payload)
        if mark != NOTE_MARK:
            return None
        return api.PeerReport(cell, accept / 255, int.from_bytes(payload[NOTE.size :], "little"))


EVENTS: dict[int, Callable[[BatchDecoder, Instance, bytes], api.Event | None]] = {
    2: BatchDecoder.discovery,
    3: BatchDecoder.offered,
    4: BatchDecoder.stands,
    5: BatchDecoder.ended,
    6: BatchDecoder.gone,
    7: BatchDecoder.timer,
    8: BatchDecoder.probed,
    9: BatchDecoder.peer,
}


def record(code: int, body: bytes) -> bytes:
    """Frame one record."""
    return RECORD.pack(code, len(body)) + body


def report_failure(agent: int, text: str, out: list[bytes]) -> None:
    """Report that the decisions failed, on the wire and on standard error."""
    print(f"barleywheel: agent {agent}: {text}", file=sys.stderr)
    data = text.encode()[:TEXT_LIMIT]
    out.append(record(74, TEXT.pack(agent, len(data)) + data))


def encode(agent: int, action: api.Action) -> bytes:
    """Encode one action of an instance."""
    match action:
        case api.SetUp():
            return record(65, ISSUE.pack(agent, action.call, action.exchange, action.limit_us))
        case api.Refuse():
            return record(66, REFUSE.pack(agent, action.call, action.retry_after_us))
        case api.Fail():
            return record(67, PAIR.pack(agent, action.call))
        case api.Cancel():
            return record(68, ABORT.pack(agent, action.call, action.attempt))
        case api.SetTimer():
            return record(69, REMIND.pack(agent, action.token, action.due_us))
        case api.Probe():
            return record(70, PROBE.pack(agent, action.exchange))
        case api.PeerReport():
            reachable = action.reachable_cells.to_bytes(
                (action.reachable_cells.bit_length() + 7) // 8, "little"
            )
            note = NOTE.pack(NOTE_MARK, action.cell, round(action.accept_fraction * 255)) + reachable
            note = note[:NOTE_LIMIT]
            return record(72, MEMO.pack(agent, EVERY_PEER, len(note)) + note)
        case api.Log():
            data = action.text.encode()[:TEXT_LIMIT]
            return record(73, TEXT.pack(agent, len(data)) + data)
        case api.Subscribe():
            return record(75, WATCH.pack(agent, 1))
        case api.FetchList():
            return record(76, AGENT.pack(agent))


def read_frame(source: BinaryIO) -> bytes | None:
    """Read one frame; None at the end of input between frames."""
    head = source.read(4)
    if not head:
        return None
    size = int.from_bytes(head, "little")
    if len(head) < 4 or size < HEADER.size:
        raise WireError("frame header cut short or too small a length")
    rest = source.read(size - 4)
    if len(rest) < size - 4:
        raise WireError("frame cut short")
    return head + rest


def main() -> int:
    """Serve batches until the end of input."""
    decoder = BatchDecoder()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(decoder.batch(frame))
            sys.stdout.buffer.flush()
    except WireError as error:
        print(f"barleywheel: bad input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
