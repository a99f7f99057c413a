"""The simulator's protocol: binary frames on standard input and output, one Controller for each agent.

This module only translates; ``barleywheel.controller`` makes every decision. Instances share nothing but the
numbered exchange lists, which the protocol itself shares between them.
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

FRAME_HEADER = struct.Struct("<IQI")
REPLY_HEADER = struct.Struct("<II")
RECORD_HEADER = struct.Struct("<HI")
OPEN_HEADER = struct.Struct("<HQI")
EXCHANGE_LIST_HEADER = struct.Struct("<II")
EXCHANGE_LIST_ENTRY = struct.Struct("<B6sfBQBH")
DISCOVERY_RECORD = struct.Struct("<HBII")
ACCEPT_RECORD = struct.Struct("<HIIfIQHIfHf")
ACCEPTED_RECORD = struct.Struct("<HIB6sI")
COMPLETED_RECORD = struct.Struct("<HIB6sHIBIB")
PROBE_DONE_RECORD = struct.Struct("<H6sHIB")
AGENT_AND_NUMBER = struct.Struct("<HI")  # the number of a call or the token of a timer
FROM_PEER_HEADER = struct.Struct("<HHH")
AGENT_ID = struct.Struct("<H")
SET_UP_RECORD = struct.Struct("<HI6sI")
REFUSE_RECORD = struct.Struct("<HII")
CANCEL_RECORD = struct.Struct("<HIB")
SET_TIMER_RECORD = struct.Struct("<HIQ")
PROBE_RECORD = struct.Struct("<H6s")
PEER_MESSAGE_HEADER = struct.Struct("<HHH")
TEXT_HEADER = struct.Struct("<HH")
# Mark, cell, accept fraction; a bit map of the reachable cells follows.
PEER_REPORT = struct.Struct("<BHB")
PEER_REPORT_MARK = 0xC1  # identifies the layout
PEER_MESSAGE_LIMIT_BYTES = 256
SUBSCRIBE_RECORD = struct.Struct("<HB")
ALL_PEERS = 0xFFFF
TEXT_LIMIT_BYTES = 0xFFFF

OUTCOME_BY_CODE = {
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
    """A frame or a record in it is truncated or inconsistent."""


class SettingsError(Exception):
    """A required setting is missing or a setting has an invalid value; the text goes to the simulator."""


def _required(table: dict[str, Any], key: str, prefix: str) -> Any:
    if table.get(key) is None:
        raise SettingsError(f"necessary setting missing: {prefix}{key}")
    return table[key]


def _optional(table: dict[str, Any], key: str, default: Any) -> Any:
    """A setting, or ``default`` if it is missing or null."""
    value = table.get(key)
    return default if value is None else value


def _item_or_default(values: Any, index: int, default: Any) -> Any:
    if not isinstance(values, list) or index >= len(values) or values[index] is None:
        return default
    return values[index]


def parse_settings(text: bytes) -> tuple[api.Settings, list[str]]:
    """Parse the settings; return them and the names of the fields of a load report."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        return _settings_from_json(raw)
    except (TypeError, ValueError, OverflowError, AttributeError) as error:
        raise SettingsError(f"setting with an unusable value: {error}") from error


def _settings_from_json(raw: dict[str, Any]) -> tuple[api.Settings, list[str]]:
    family = raw.get("family_info") or {}
    limits = raw.get("limits") or {}
    contract = raw.get("contract") or {}
    report = raw.get("report") or {}
    classes = []
    if not isinstance(_required(raw, "classes", ""), list) or not raw["classes"]:
        raise SettingsError("necessary setting without entries: classes")
    for index, item in enumerate(raw["classes"]):
        mean_hold_us = _item_or_default(family.get("mean_hold_us"), index, None)
        deadline_us = int(_required(item, "hard_limit_us", f"classes[{index}]."))
        classes.append(
            api.CallClass(
                aim_us=int(_optional(item, "aim_us", deadline_us)),
                deadline_us=deadline_us,
                worth=float(_optional(item, "worth", 1.0)),
                late_share=float(_optional(item, "late_share", 0.0)),
                effect=api.Effect(_optional(item, "idempotency", "free")),
                scope=api.Scope(_optional(item, "group", "all")),
                window_us=int(_optional(item, "window_us", 0)),
                mean_hold_us=None if mean_hold_us is None else int(mean_hold_us),
                width=float(_item_or_default(family.get("widths"), index, 1.0)),
                pools=tuple(_item_or_default(family.get("pools_by_class"), index, ())),
            )
        )
    tenants = [
        api.Tenant(quota_per_s=item.get("quota_per_s"), share=item.get("share"))
        for item in raw.get("tenants") or []
    ]
    settings = api.Settings(
        classes=classes,
        controller_number=int(_optional(raw, "my_number", 0)),
        controllers=max(1, int(_optional(raw, "balancers", 1))),
        home_cell=int(_optional(family, "home_no", -1)),
        pools=family.get("layout") == "pools",
        tenants=tenants,
        over_share_worth=float(_optional(raw, "over_share_worth", 1.0)),
        guard_us=int(_optional(family, "guard_us", 0)),
        repeat_us=int(_optional(family, "repeat_us", 0)),
        reports_in_answers=_optional(family, "peer_load", _optional(report, "how", "answers")) == "answers",
        route_advice=bool(_optional(family, "route_advice", False)),
        max_attempts=int(limits["send_cap"]) if limits.get("send_cap") else None,
        may_cancel=bool(_optional(limits, "cancel", False)),
        may_probe=bool(_optional(limits, "probing", False)),
        may_message=bool(_optional(limits, "peers", False)),
        retry_after=bool(_optional(limits, "retry_after", False)),
        max_retry_after_us=int(_optional(limits, "max_retry_after_us", 0)),
        discovery_on_request=raw.get("discovery") == "on_request",
        ask_within_us=int(_optional(contract, "ask_within_us", 10_000_000)),
        cold_from=float(_optional(contract, "cold_from", 1.0)),
        cold_us=int(_optional(contract, "cold_us", 0)),
        tip_multiple=float(_optional(contract, "tip_multiple", 1.0)),
        fall_us=int(_optional(contract, "fall_us", 1_000_000)),
        tick_us=int(_optional(raw, "tick_us", 1_000)),
        callers_mark_redials=bool(_optional(raw.get("client_habits") or {}, "marks_retry", False)),
    )
    return settings, [str(name) for name in report.get("fields") or []]


def _optional_int(value: float) -> int | None:
    """Convert a small number carried as a float; None for -1 and all other negative or non-finite values."""
    return int(value) if math.isfinite(value) and value >= 0 else None


class Instance:
    """The controller of one agent, with the layout of its load reports."""

    def __init__(self, settings: api.Settings, fields: list[str], seed: int) -> None:
        self.controller = Controller(settings, seed)
        self.load_attributes = [LOAD_ATTRIBUTE_BY_FIELD.get(name) for name in fields]

    def decode_load(self, body: bytes, offset: int, count: int) -> api.Load:
        """Decode a load report; -1 and all other negative or non-finite values mean unknown."""
        load = api.Load()
        for name, value in zip(
            self.load_attributes, struct.unpack_from(f"<{count}f", body, offset), strict=False
        ):
            if name is not None and math.isfinite(value) and value >= 0:
                setattr(load, name, value)
        return load


class BatchDecoder:
    """Decodes frames, passes their events to the controllers and encodes the resulting actions."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.exchange_lists: dict[int, list[api.ExchangeEntry]] = {}

    def handle_frame(self, frame: bytes) -> bytes:
        """Process one complete frame and return the reply frame."""
        size, now_us, number = FRAME_HEADER.unpack_from(frame)
        if size != len(frame):
            raise WireError("frame length differs from the length in its header")
        out: list[bytes] = []
        offset = FRAME_HEADER.size
        while offset < size:
            if offset + RECORD_HEADER.size > size:
                raise WireError("truncated record header")
            code, length = RECORD_HEADER.unpack_from(frame, offset)
            offset += RECORD_HEADER.size
            if offset + length > size:
                raise WireError("record extends beyond its frame")
            try:
                self._handle_record(code, frame[offset : offset + length], now_us, out)
            except struct.error as error:
                raise WireError(f"truncated record with code {code}: {error}") from error
            offset += length
        body = b"".join(out)
        return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), number) + body

    def _handle_record(self, code: int, body: bytes, now_us: int, out: list[bytes]) -> None:
        if code == 1:
            self._open_instance(body, out)
        elif code == 11:
            self._store_exchange_list(body)
        elif code == 10:
            self.instances.pop(AGENT_ID.unpack_from(body)[0], None)
        elif code in DECODER_BY_RECORD_CODE:
            agent_id = AGENT_ID.unpack_from(body)[0]
            instance = self.instances.get(agent_id)
            if instance is None:
                return
            event = DECODER_BY_RECORD_CODE[code](self, instance, body)
            if event is None:
                return
            try:
                actions = instance.controller.handle(now_us, event)
                out.extend(encode(agent_id, action) for action in actions)
            except Exception as error:
                report_failure(agent_id, f"{type(error).__name__}: {error}", out)

    def _open_instance(self, body: bytes, out: list[bytes]) -> None:
        agent_id, seed, length = OPEN_HEADER.unpack_from(body)
        if OPEN_HEADER.size + length > len(body):
            raise WireError("settings extend beyond their record")
        try:
            settings, fields = parse_settings(body[OPEN_HEADER.size : OPEN_HEADER.size + length])
            self.instances[agent_id] = Instance(settings, fields, seed)
        except Exception as error:
            self.instances.pop(agent_id, None)
            report_failure(agent_id, f"{type(error).__name__}: {error}", out)

    def _store_exchange_list(self, body: bytes) -> None:
        number, count = EXCHANGE_LIST_HEADER.unpack_from(body)
        if EXCHANGE_LIST_HEADER.size + count * EXCHANGE_LIST_ENTRY.size > len(body):
            raise WireError("exchange list extends beyond its record")
        entries = []
        for index in range(count):
            fields = EXCHANGE_LIST_ENTRY.unpack_from(
                body, EXCHANGE_LIST_HEADER.size + index * EXCHANGE_LIST_ENTRY.size
            )
            zone, exchange, share, kind, launched_us, state, cell = fields
            entries.append(
                api.ExchangeEntry(
                    exchange, cell, api.ExchangeState(min(state, 2)), zone, share, kind, launched_us
                )
            )
        self.exchange_lists[number] = entries

    def decode_discovery(self, _: Instance, body: bytes) -> api.Event:
        """Decode DISCOVERY; its exchange list is the latest one received under that number so far."""
        _, mode, _, number = DISCOVERY_RECORD.unpack_from(body)
        if mode > max(api.ListMode):
            raise WireError(f"discovery with unknown mode {mode}")
        failed = mode == api.ListMode.FAILED
        return api.Discovery(api.ListMode(mode), [] if failed else self.exchange_lists.get(number, []))

    def decode_call_offered(self, _: Instance, body: bytes) -> api.Event:
        """Decode ACCEPT: a call is offered."""
        fields = ACCEPT_RECORD.unpack_from(body)
        _, call, time_left_us, destination, tenant, called_number, flags, _, cell, call_class, width = fields
        in_transit = bool(flags & 8)
        advised_or_source_cell = _optional_int(cell)
        destination_cell = _optional_int(destination)
        return api.CallOffered(
            call=call,
            time_left_us=time_left_us,
            destination=-1 if destination_cell is None else destination_cell,
            call_class=call_class,
            tenant=tenant,
            called_number=called_number,
            redialled=bool(flags & 2),
            in_transit=in_transit,
            interrupted_before=bool(flags & 16),
            advised_cell=None if in_transit else advised_or_source_cell,
            source_cell=advised_or_source_cell if in_transit else None,
            width=width if math.isfinite(width) and width > 0 else 1.0,
        )

    def decode_call_established(self, _: Instance, body: bytes) -> api.Event:
        """Decode ACCEPTED: a call is established."""
        _, call, attempt, exchange, elapsed = ACCEPTED_RECORD.unpack_from(body)
        return api.CallStands(call, attempt, exchange, elapsed)

    def decode_attempt_ended(self, instance: Instance, body: bytes) -> api.Event:
        """Decode COMPLETED: an attempt ended, with a load report."""
        fields = COMPLETED_RECORD.unpack_from(body)
        _, call, attempt, exchange, outcome_code, elapsed, final, cause_and_detail, count = fields
        # The low four bits are the release cause; the others depend on it: a flag for a crankback, a waiting
        # time in milliseconds for an overloaded processor.
        cause_code, detail = cause_and_detail & 15, cause_and_detail >> 4
        cause = api.Cause(cause_code) if cause_code <= max(api.Cause) else api.Cause.NONE
        must_wait = cause is api.Cause.PROCESSOR_OVERLOADED and detail > 0
        return api.AttemptEnded(
            call=call,
            attempt=attempt,
            exchange=exchange,
            outcome=OUTCOME_BY_CODE.get(outcome_code, api.Outcome.ERROR),
            elapsed_us=elapsed,
            final=bool(final),
            cause=cause,
            downstream_overloaded=cause is api.Cause.CRANKBACK and detail == 1,
            wait_us=detail * 1000 if must_wait else None,
            load=instance.decode_load(body, COMPLETED_RECORD.size, count),
        )

    def decode_caller_gone(self, _: Instance, body: bytes) -> api.Event:
        """Decode HANGUP: the caller gave the call up."""
        return api.CallerGone(AGENT_AND_NUMBER.unpack_from(body)[1])

    def decode_timer_due(self, _: Instance, body: bytes) -> api.Event:
        """Decode BELL: a timer is due."""
        return api.TimerDue(AGENT_AND_NUMBER.unpack_from(body)[1])

    def decode_probe_result(self, instance: Instance, body: bytes) -> api.Event:
        """Decode PROBE_DONE: the result of a probe, with a load report."""
        _, exchange, outcome_code, elapsed, count = PROBE_DONE_RECORD.unpack_from(body)
        outcome = OUTCOME_BY_CODE.get(outcome_code, api.Outcome.ERROR)
        return api.LoadSeen(
            exchange, outcome, elapsed, instance.decode_load(body, PROBE_DONE_RECORD.size, count)
        )

    def decode_peer_report(self, _: Instance, body: bytes) -> api.Event | None:
        """Decode FROM_PEER; None if the payload is not a peer report in this layout."""
        _, _, count = FROM_PEER_HEADER.unpack_from(body)
        payload = body[FROM_PEER_HEADER.size : FROM_PEER_HEADER.size + count]
        if len(payload) < PEER_REPORT.size or len(payload) != count:
            return None
        mark, cell, accept = PEER_REPORT.unpack_from(payload)
        if mark != PEER_REPORT_MARK:
            return None
        return api.PeerReport(cell, accept / 255, int.from_bytes(payload[PEER_REPORT.size :], "little"))


DECODER_BY_RECORD_CODE: dict[int, Callable[[BatchDecoder, Instance, bytes], api.Event | None]] = {
    2: BatchDecoder.decode_discovery,
    3: BatchDecoder.decode_call_offered,
    4: BatchDecoder.decode_call_established,
    5: BatchDecoder.decode_attempt_ended,
    6: BatchDecoder.decode_caller_gone,
    7: BatchDecoder.decode_timer_due,
    8: BatchDecoder.decode_probe_result,
    9: BatchDecoder.decode_peer_report,
}


def encode_record(code: int, body: bytes) -> bytes:
    """Encode a record with its header."""
    return RECORD_HEADER.pack(code, len(body)) + body


def report_failure(agent_id: int, text: str, out: list[bytes]) -> None:
    """Report an agent's failure to the simulator and on standard error."""
    print(f"barleywheel: agent {agent_id}: {text}", file=sys.stderr)
    data = text.encode()[:TEXT_LIMIT_BYTES]
    out.append(encode_record(74, TEXT_HEADER.pack(agent_id, len(data)) + data))


def encode(agent_id: int, action: api.Action) -> bytes:
    """Encode an action of an agent as a record."""
    match action:
        case api.SetUp():
            return encode_record(
                65, SET_UP_RECORD.pack(agent_id, action.call, action.exchange, action.limit_us)
            )
        case api.Refuse():
            return encode_record(66, REFUSE_RECORD.pack(agent_id, action.call, action.retry_after_us))
        case api.Fail():
            return encode_record(67, AGENT_AND_NUMBER.pack(agent_id, action.call))
        case api.Cancel():
            return encode_record(68, CANCEL_RECORD.pack(agent_id, action.call, action.attempt))
        case api.SetTimer():
            return encode_record(69, SET_TIMER_RECORD.pack(agent_id, action.token, action.due_us))
        case api.Probe():
            return encode_record(70, PROBE_RECORD.pack(agent_id, action.exchange))
        case api.PeerReport():
            reachable = action.reachable_cells.to_bytes(
                (action.reachable_cells.bit_length() + 7) // 8, "little"
            )
            report = (
                PEER_REPORT.pack(PEER_REPORT_MARK, action.cell, round(action.accept_fraction * 255))
                + reachable
            )
            report = report[:PEER_MESSAGE_LIMIT_BYTES]
            return encode_record(72, PEER_MESSAGE_HEADER.pack(agent_id, ALL_PEERS, len(report)) + report)
        case api.Log():
            data = action.text.encode()[:TEXT_LIMIT_BYTES]
            return encode_record(73, TEXT_HEADER.pack(agent_id, len(data)) + data)
        case api.Subscribe():
            return encode_record(75, SUBSCRIBE_RECORD.pack(agent_id, 1))
        case api.FetchList():
            return encode_record(76, AGENT_ID.pack(agent_id))


def read_frame(source: BinaryIO) -> bytes | None:
    """Read one frame; None if the input ends where a frame would begin."""
    head = source.read(4)
    if not head:
        return None
    size = int.from_bytes(head, "little")
    if len(head) < 4 or size < FRAME_HEADER.size:
        raise WireError("truncated frame header, or frame length too small")
    rest = source.read(size - 4)
    if len(rest) < size - 4:
        raise WireError("truncated frame")
    return head + rest


def main() -> int:
    """Process frames until the end of input."""
    decoder = BatchDecoder()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(decoder.handle_frame(frame))
            sys.stdout.buffer.flush()
    except WireError as error:
        print(f"barleywheel: invalid input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
