"""The simulator's protocol: codec, invalid input, and the command as the deploy file runs it."""

from __future__ import annotations

import json
import os
import random
import struct
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from barleywheel import benchlink
from barleywheel import interface as api

ROOT = Path(__file__).parent.parent
OPTIONS: dict[str, Any] = {
    "balancers": 3,
    "classes": [{"aim_us": 1500000, "hard_limit_us": 9000000, "worth": 1.0, "idempotency": "free"}],
    "family_info": {"home_no": 0, "layout": "mesh", "guard_us": 300000, "pools_by_class": [None]},
    "limits": {"cancel": True, "send_cap": 4},
    "report": {"fields": ["free", "size", "pending", "can_take"], "how": "answers"},
    "tick_us": 5000,
    "unknown_key": {"x": 1},
}


def exchange_id(cell: int) -> bytes:
    return bytes([10, 0, 0, cell, 0x40, 0x1F])


def frame(now: int, number: int, *records: tuple[int, bytes]) -> bytes:
    body = b"".join(benchlink.encode_record(code, data) for code, data in records)
    return struct.pack("<IQI", 16 + len(body), now, number) + body


def open_record(agent: int = 0, seed: int = 7, **changes: Any) -> tuple[int, bytes]:
    text = json.dumps(OPTIONS | changes).encode()
    return 1, struct.pack("<HQI", agent, seed, len(text)) + text


def exchange_list_record(number: int = 0) -> tuple[int, bytes]:
    lines = [struct.pack("<B6sfBQBH", 0, exchange_id(c), 1.0, 0, 0, 0, c) for c in range(3)]
    return 11, struct.pack("<II", number, len(lines)) + b"".join(lines)


def discovery_record(agent: int = 0) -> tuple[int, bytes]:
    return 2, struct.pack("<HBII", agent, 2, 41, 0)


def accept_record(call: int, to: float = 1.0, agent: int = 0, flags: int = 0) -> tuple[int, bytes]:
    return 3, struct.pack("<HIIfIQHIfHf", agent, call, 3000000, to, 0, 99, flags, 12000, -1.0, 0, 1.0)


def actions(reply: bytes) -> list[tuple[int, bytes]]:
    out, offset = [], 8
    while offset < len(reply):
        code, size = struct.unpack_from("<HI", reply, offset)
        out.append((code, reply[offset + 6 : offset + 6 + size]))
        offset += 6 + size
    return out


def action_codes(reply: bytes) -> list[int]:
    return [code for code, _ in actions(reply)]


def command() -> list[str]:
    text = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    assert text == "exec .venv/bin/python -m barleywheel.benchlink"
    return [sys.executable, *text.split()[2:]]


def run_command(data: bytes, **env: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        command(), input=data, capture_output=True, cwd=ROOT, env=os.environ | env, timeout=60, check=False
    )


def made_up_frames(agents: list[int]) -> bytes:
    """Made-up frames for some agents; the records of each do not depend on the other agents."""
    out = [
        frame(
            1000,
            1,
            exchange_list_record(),
            *[r for a in agents for r in (open_record(a, 7 + a), discovery_record(a))],
        )
    ]
    rngs = {a: random.Random(a) for a in agents}
    for turn in range(2, 120):
        records = []
        for a in agents:
            rng = rngs[a]
            records.append(accept_record(1000 * turn + a, float(rng.choice([1, 2])), a))
            outcome_code, load = rng.choice([0, 254, 253]), struct.pack("<4f", rng.randrange(9), 20, 3, 5)
            body = struct.pack(
                "<HIB6sHIBIB", a, 1000 * (turn - 1) + a, 0, exchange_id(1), outcome_code, 9000, 0, 3, 4
            )
            records.append((5, body + load))
            records.append((7, struct.pack("<HI", a, turn)))
        out.append(frame(turn * 100_000, turn, *records))
    return b"".join(out)


def by_agent(stream: bytes) -> dict[int, list[tuple[int, bytes]]]:
    out: dict[int, list[tuple[int, bytes]]] = {}
    offset = 0
    while offset < len(stream):
        size = int.from_bytes(stream[offset : offset + 4], "little")
        for code, data in actions(stream[offset : offset + size]):
            out.setdefault(int.from_bytes(data[:2], "little"), []).append((code, data))
        offset += size
    return out


def test_empty_frame_of_the_protocol_description() -> None:
    reply = benchlink.BatchDecoder().handle_frame(bytes.fromhex("100000005a5c80000000000001000000"))
    assert reply == bytes.fromhex("0800000001000000")


def test_offered_call_gets_a_set_up() -> None:
    decoder = benchlink.BatchDecoder()
    decoder.handle_frame(frame(1000, 1, open_record(), exchange_list_record(), discovery_record()))
    sent = dict(actions(decoder.handle_frame(frame(2000, 2, accept_record(5)))))
    assert sent[65][:12] == struct.pack("<HI6s", 0, 5, exchange_id(1))


def test_fields_of_an_offered_call() -> None:
    decoder = benchlink.BatchDecoder()
    instance = benchlink.Instance(api.Settings([]), [], 1)
    text = "0300 c4913a5d 80a90300 00006442 00000000 640ad2557c3bf091 0800 e02e0000 00008043 0000 00009644"
    with pytest.raises(struct.error):
        decoder.decode_call_offered(instance, bytes.fromhex(text)[:30])
    event = decoder.decode_call_offered(instance, bytes.fromhex(text))
    assert isinstance(event, api.CallOffered)
    assert (event.call, event.time_left_us, event.destination) == (0x5D3A91C4, 240_000, 57)
    assert (event.in_transit, event.source_cell, event.advised_cell, event.width) == (True, 256, None, 1200.0)


def test_attempt_causes_and_unknown_load_values() -> None:
    decoder = benchlink.BatchDecoder()
    settings, fields = benchlink.parse_settings(json.dumps(OPTIONS).encode())
    instance = benchlink.Instance(settings, fields, 1)
    load = struct.pack("<4f", 7.0, 20.0, -1.0, float("nan"))
    body = struct.pack("<HIB6sHIBIB", 0, 5, 1, exchange_id(1), 254, 9000, 1, 18, 4) + load
    event = decoder.decode_attempt_ended(instance, body)
    assert isinstance(event, api.AttemptEnded)
    assert (event.outcome, event.cause) == (api.Outcome.REJECTED, api.Cause.CRANKBACK)
    assert event.downstream_overloaded
    assert event.load == api.Load(free_circuits=7.0, group_size=20.0)
    waits = decoder.decode_attempt_ended(
        instance, struct.pack("<HIB6sHIBIB", 0, 5, 1, exchange_id(1), 254, 9, 1, 3 + 16 * 25, 0)
    )
    assert isinstance(waits, api.AttemptEnded)
    assert (waits.cause, waits.wait_us) == (api.Cause.PROCESSOR_OVERLOADED, 25_000)


def test_every_action_is_encoded() -> None:
    all_actions: list[api.Action] = [
        api.SetUp(1, exchange_id(1), 5),
        api.Refuse(1),
        api.Fail(1),
        api.Cancel(1, 0),
        api.SetTimer(1, 2),
        api.Probe(exchange_id(1)),
        api.PeerReport(4, 0.5, 9),
        api.Log("text"),
        api.Subscribe(),
        api.FetchList(),
    ]
    assert [benchlink.encode(3, a)[0] for a in all_actions] == [65, 66, 67, 68, 69, 70, 72, 73, 75, 76]
    assert benchlink.encode(3, api.PeerReport(7, 1.0, 0x102)) == bytes.fromhex(
        "48000c0000000300ffff0600c10700ff0201"
    )
    assert benchlink.encode(3, api.SetTimer(77, 8881786)) == bytes.fromhex(
        "45000e00000003004d0000007a86870000000000"
    )


@pytest.mark.parametrize("reachable_cells", [0, 1, 1 << 59, (1 << 60) - 1])
def test_peer_report_is_encoded_and_decoded(reachable_cells: int) -> None:
    sent = benchlink.encode(3, api.PeerReport(7, 51 / 255, reachable_cells))
    body = struct.pack("<HH", 0, 3) + sent[10:]  # to agent 0, from 3: the length and the payload
    decoder = benchlink.BatchDecoder()
    decoder.handle_frame(frame(1000, 1, open_record()))
    assert decoder.decode_peer_report(decoder.instances[0], body) == api.PeerReport(
        7, 51 / 255, reachable_cells
    )


def test_peer_report_is_cut_to_the_message_limit() -> None:
    assert len(benchlink.encode(3, api.PeerReport(7, 1.0, 1 << 9000))) == 6 + 2 + 2 + 2 + 256


@pytest.mark.parametrize("payload", [b"", b"hi", b"\xc1\x07", b"\xff" * 200, b"\x00" * 4])
def test_messages_that_are_not_reports_are_ignored(payload: bytes) -> None:
    decoder = benchlink.BatchDecoder()
    decoder.handle_frame(frame(1000, 1, open_record(), exchange_list_record(), discovery_record()))
    body = struct.pack("<HHH", 0, 2, len(payload)) + payload
    assert (
        action_codes(decoder.handle_frame(frame(2000, 2, (9, body), (9, body[:-1] if payload else body))))
        == []
    )


def test_settings_missing_optional_null_and_required() -> None:
    minimal_settings = {"classes": [{"hard_limit_us": 5, "aim_us": None}], "tenants": None, "limits": None}
    settings, fields = benchlink.parse_settings(json.dumps(minimal_settings).encode())
    assert (settings.controllers, settings.max_attempts, settings.classes[0].aim_us, fields) == (
        1,
        None,
        5,
        [],
    )
    for invalid in (b"{}", b"[]", b"nonsense", b'{"classes": [{}]}', b'{"classes": []}', b'{"classes": 3}'):
        with pytest.raises(benchlink.SettingsError):
            benchlink.parse_settings(invalid)


def test_missing_required_setting_is_reported_as_a_failure() -> None:
    (action,) = actions(benchlink.BatchDecoder().handle_frame(frame(1, 1, open_record(classes=None))))
    assert action[0] == 74 and b"classes" in action[1]


def test_exception_in_the_controller_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    decoder = benchlink.BatchDecoder()
    decoder.handle_frame(frame(1000, 1, open_record(), exchange_list_record(), discovery_record()))

    def raise_error(*_: object) -> list[api.Action]:
        raise ValueError("broken on purpose")

    monkeypatch.setattr(decoder.instances[0].controller, "handle", raise_error)
    (action,) = actions(decoder.handle_frame(frame(2000, 2, accept_record(5))))
    assert action[0] == 74 and b"broken on purpose" in action[1]


def test_unknown_records_and_agents_are_ignored() -> None:
    assert (
        action_codes(
            benchlink.BatchDecoder().handle_frame(frame(1, 1, (900, b"abc"), accept_record(5, agent=8)))
        )
        == []
    )


def test_exchange_lists_are_resolved_in_record_order() -> None:
    empty = 11, struct.pack("<II", 0, 0)
    decoder = benchlink.BatchDecoder()
    decoder.handle_frame(
        frame(
            1000,
            1,
            open_record(0),
            open_record(1),
            exchange_list_record(),
            discovery_record(0),
            empty,
            discovery_record(1),
        )
    )
    reply = decoder.handle_frame(frame(2000, 2, accept_record(5, agent=0), accept_record(6, agent=1)))
    actions_of_agent = by_agent(reply)
    assert 65 in [c for c, _ in actions_of_agent[0]] and 66 in [c for c, _ in actions_of_agent[1]]


def test_exit_record_removes_the_instance() -> None:
    decoder = benchlink.BatchDecoder()
    decoder.handle_frame(frame(1000, 1, open_record(), (10, struct.pack("<H", 0))))
    assert not decoder.instances


@pytest.mark.parametrize(
    "data",
    [
        b"\x10",
        b"\x05\x00\x00\x00",
        frame(1, 1, accept_record(5))[:-3],
        struct.pack("<IQIHI", 22, 1, 1, 3, 500),
        struct.pack("<IQIH", 18, 1, 1, 3),
        frame(1, 1, open_record(), (3, b"\x00\x00\x01")),
        frame(1, 1, (11, struct.pack("<II", 0, 9))),
        frame(1, 1, (1, struct.pack("<HQI", 0, 1, 999))),
    ],
)
def test_invalid_input_ends_with_one_line_and_an_error_status(data: bytes) -> None:
    result = run_command(data)
    assert result.returncode != 0
    assert len(result.stderr.splitlines()) == 1 and b"Traceback" not in result.stderr


def test_end_of_input_between_frames_is_not_an_error() -> None:
    result = run_command(bytes.fromhex("100000005a5c80000000000001000000"))
    assert (result.returncode, result.stdout, result.stderr) == (0, bytes.fromhex("0800000001000000"), b"")


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    replies = {
        run_command(made_up_frames([0, 1, 2]), PYTHONHASHSEED=seed).stdout for seed in ("0", "1", "77")
    }
    assert len(replies) == 1 and len(replies.pop()) > 5000


def test_actions_do_not_depend_on_other_agents_in_the_process() -> None:
    together = by_agent(run_command(made_up_frames([0, 1, 2])).stdout)
    apart: dict[int, list[tuple[int, bytes]]] = {}
    for agent in range(3):
        apart |= by_agent(run_command(made_up_frames([agent])).stdout)
    assert together == apart and len(together) == 3
