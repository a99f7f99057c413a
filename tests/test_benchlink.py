"""The wire: codec, bad input, and the command run as the deploy file runs it."""

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
    "a_key_of_tomorrow": {"x": 1},
}


def xid(cell: int) -> bytes:
    return bytes([10, 0, 0, cell, 0x40, 0x1F])


def frame(now: int, number: int, *records: tuple[int, bytes]) -> bytes:
    body = b"".join(benchlink.record(code, data) for code, data in records)
    return struct.pack("<IQI", 16 + len(body), now, number) + body


def opened(agent: int = 0, seed: int = 7, **changes: Any) -> tuple[int, bytes]:
    text = json.dumps(OPTIONS | changes).encode()
    return 1, struct.pack("<HQI", agent, seed, len(text)) + text


def page(number: int = 0) -> tuple[int, bytes]:
    lines = [struct.pack("<B6sfBQBH", 0, xid(c), 1.0, 0, 0, 0, c) for c in range(3)]
    return 11, struct.pack("<II", number, len(lines)) + b"".join(lines)


def listed(agent: int = 0) -> tuple[int, bytes]:
    return 2, struct.pack("<HBII", agent, 2, 41, 0)


def offered(call: int, to: float = 1.0, agent: int = 0, flags: int = 0) -> tuple[int, bytes]:
    return 3, struct.pack("<HIIfIQHIfHf", agent, call, 3000000, to, 0, 99, flags, 12000, -1.0, 0, 1.0)


def actions(reply: bytes) -> list[tuple[int, bytes]]:
    out, at = [], 8
    while at < len(reply):
        code, size = struct.unpack_from("<HI", reply, at)
        out.append((code, reply[at + 6 : at + 6 + size]))
        at += 6 + size
    return out


def codes(reply: bytes) -> list[int]:
    return [code for code, _ in actions(reply)]


def command() -> list[str]:
    text = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    assert text == "exec .venv/bin/python -m barleywheel.benchlink"
    return [sys.executable, *text.split()[2:]]


def serve(data: bytes, **env: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        command(), input=data, capture_output=True, cwd=ROOT, env=os.environ | env, timeout=60, check=False
    )


def day(agents: list[int]) -> bytes:
    """A made-up stretch for some agents; what each is told does not depend on the others."""
    out = [frame(1000, 1, page(), *[r for a in agents for r in (opened(a, 7 + a), listed(a))])]
    rngs = {a: random.Random(a) for a in agents}
    for turn in range(2, 120):
        records = []
        for a in agents:
            rng = rngs[a]
            records.append(offered(1000 * turn + a, float(rng.choice([1, 2])), a))
            ending, load = rng.choice([0, 254, 253]), struct.pack("<4f", rng.randrange(9), 20, 3, 5)
            body = struct.pack("<HIB6sHIBIB", a, 1000 * (turn - 1) + a, 0, xid(1), ending, 9000, 0, 3, 4)
            records.append((5, body + load))
            records.append((7, struct.pack("<HI", a, turn)))
        out.append(frame(turn * 100_000, turn, *records))
    return b"".join(out)


def by_agent(stream: bytes) -> dict[int, list[tuple[int, bytes]]]:
    out: dict[int, list[tuple[int, bytes]]] = {}
    at = 0
    while at < len(stream):
        size = int.from_bytes(stream[at : at + 4], "little")
        for code, data in actions(stream[at : at + size]):
            out.setdefault(int.from_bytes(data[:2], "little"), []).append((code, data))
        at += size
    return out


def test_empty_batch_as_the_protocol_shows_it() -> None:
    reply = benchlink.BatchDecoder().batch(bytes.fromhex("100000005a5c80000000000001000000"))
    assert reply == bytes.fromhex("0800000001000000")


def test_a_call_is_decoded_and_sent() -> None:
    decoder = benchlink.BatchDecoder()
    decoder.batch(frame(1000, 1, opened(), page(), listed()))
    sent = dict(actions(decoder.batch(frame(2000, 2, offered(5)))))
    assert sent[65][:12] == struct.pack("<HI6s", 0, 5, xid(1))


def test_fields_of_a_call() -> None:
    decoder = benchlink.BatchDecoder()
    instance = benchlink.Instance(api.Settings([]), [], 1)
    text = "0300 c4913a5d 80a90300 00006442 00000000 640ad2557c3bf091 0800 e02e0000 00008043 0000 00009644"
    with pytest.raises(struct.error):
        decoder.offered(instance, bytes.fromhex(text)[:30])
    event = decoder.offered(instance, bytes.fromhex(text))
    assert isinstance(event, api.CallOffered)
    assert (event.call, event.time_left_us, event.destination) == (0x5D3A91C4, 240_000, 57)
    assert (event.in_transit, event.source_cell, event.advised_cell, event.width) == (True, 256, None, 1200.0)


def test_outcome_causes_and_unknown_loads() -> None:
    decoder = benchlink.BatchDecoder()
    settings, fields = benchlink.parse_settings(json.dumps(OPTIONS).encode())
    instance = benchlink.Instance(settings, fields, 1)
    load = struct.pack("<4f", 7.0, 20.0, -1.0, float("nan"))
    body = struct.pack("<HIB6sHIBIB", 0, 5, 1, xid(1), 254, 9000, 1, 18, 4) + load
    event = decoder.ended(instance, body)
    assert isinstance(event, api.AttemptEnded)
    assert (event.outcome, event.cause) == (api.Outcome.REJECTED, api.Cause.CRANKBACK)
    assert event.downstream_overloaded
    assert event.load == api.Load(free_circuits=7.0, group_size=20.0)
    waits = decoder.ended(instance, struct.pack("<HIB6sHIBIB", 0, 5, 1, xid(1), 254, 9, 1, 3 + 16 * 25, 0))
    assert isinstance(waits, api.AttemptEnded)
    assert (waits.cause, waits.wait_us) == (api.Cause.PROCESSOR_OVERLOADED, 25_000)


def test_every_action_is_encoded() -> None:
    made: list[api.Action] = [
        api.SetUp(1, xid(1), 5),
        api.Refuse(1),
        api.Fail(1),
        api.Cancel(1, 0),
        api.SetTimer(1, 2),
        api.Probe(xid(1)),
        api.PeerReport(4, 0.5, 9),
        api.Log("text"),
        api.Subscribe(),
        api.FetchList(),
    ]
    assert [benchlink.encode(3, a)[0] for a in made] == [65, 66, 67, 68, 69, 70, 72, 73, 75, 76]
    assert benchlink.encode(3, api.PeerReport(7, 1.0, 0x102)) == bytes.fromhex(
        "48000c0000000300ffff0600c10700ff0201"
    )
    assert benchlink.encode(3, api.SetTimer(77, 8881786)) == bytes.fromhex(
        "45000e00000003004d0000007a86870000000000"
    )


@pytest.mark.parametrize("room", [0, 1, 1 << 59, (1 << 60) - 1])
def test_peer_reports_survive_the_wire(room: int) -> None:
    sent = benchlink.encode(3, api.PeerReport(7, 51 / 255, room))
    body = struct.pack("<HH", 0, 3) + sent[10:]  # to agent 0, from 3: the length and the payload
    decoder = benchlink.BatchDecoder()
    decoder.batch(frame(1000, 1, opened()))
    assert decoder.peer(decoder.instances[0], body) == api.PeerReport(7, 51 / 255, room)


def test_a_peer_report_never_outgrows_a_message() -> None:
    assert len(benchlink.encode(3, api.PeerReport(7, 1.0, 1 << 9000))) == 6 + 2 + 2 + 2 + 256


@pytest.mark.parametrize("payload", [b"", b"hi", b"\xc1\x07", b"\xff" * 200, b"\x00" * 4])
def test_messages_that_are_no_reports_are_dropped(payload: bytes) -> None:
    decoder = benchlink.BatchDecoder()
    decoder.batch(frame(1000, 1, opened(), page(), listed()))
    body = struct.pack("<HHH", 0, 2, len(payload)) + payload
    assert codes(decoder.batch(frame(2000, 2, (9, body), (9, body[:-1] if payload else body)))) == []


def test_settings_missing_optional_null_and_necessary() -> None:
    bare = {"classes": [{"hard_limit_us": 5, "aim_us": None}], "tenants": None, "limits": None}
    settings, fields = benchlink.parse_settings(json.dumps(bare).encode())
    assert (settings.controllers, settings.max_attempts) == (1, None)
    assert (settings.classes[0].aim_us, fields) == (5, [])
    for broken in (b"{}", b"[]", b"nonsense", b'{"classes": [{}]}', b'{"classes": []}', b'{"classes": 3}'):
        with pytest.raises(benchlink.SettingsError):
            benchlink.parse_settings(broken)


def test_missing_necessary_setting_is_sent_as_the_failure_action() -> None:
    (action,) = actions(benchlink.BatchDecoder().batch(frame(1, 1, opened(classes=None))))
    assert action[0] == 74 and b"classes" in action[1]


def test_an_exception_in_the_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    decoder = benchlink.BatchDecoder()
    decoder.batch(frame(1000, 1, opened(), page(), listed()))

    def broken(*_: object) -> list[api.Action]:
        raise ValueError("broken on purpose")

    monkeypatch.setattr(decoder.instances[0].controller, "handle", broken)
    (action,) = actions(decoder.batch(frame(2000, 2, offered(5))))
    assert action[0] == 74 and b"broken on purpose" in action[1]


def test_unknown_records_and_foreign_agents_are_skipped() -> None:
    assert codes(benchlink.BatchDecoder().batch(frame(1, 1, (900, b"abc"), offered(5, agent=8)))) == []


def test_pages_are_resolved_in_event_order() -> None:
    empty = 11, struct.pack("<II", 0, 0)
    decoder = benchlink.BatchDecoder()
    decoder.batch(frame(1000, 1, opened(0), opened(1), page(), listed(0), empty, listed(1)))
    reply = decoder.batch(frame(2000, 2, offered(5, agent=0), offered(6, agent=1)))
    got = by_agent(reply)
    assert 65 in [c for c, _ in got[0]] and 66 in [c for c, _ in got[1]]


def test_exit_forgets_the_instance() -> None:
    decoder = benchlink.BatchDecoder()
    decoder.batch(frame(1000, 1, opened(), (10, struct.pack("<H", 0))))
    assert not decoder.instances


@pytest.mark.parametrize(
    "data",
    [
        b"\x10",
        b"\x05\x00\x00\x00",
        frame(1, 1, offered(5))[:-3],
        struct.pack("<IQIHI", 22, 1, 1, 3, 500),
        struct.pack("<IQIH", 18, 1, 1, 3),
        frame(1, 1, opened(), (3, b"\x00\x00\x01")),
        frame(1, 1, (11, struct.pack("<II", 0, 9))),
        frame(1, 1, (1, struct.pack("<HQI", 0, 1, 999))),
    ],
)
def test_bad_frames_end_with_one_line_and_an_error(data: bytes) -> None:
    done = serve(data)
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1 and b"Traceback" not in done.stderr


def test_end_of_input_between_frames_is_no_error() -> None:
    done = serve(bytes.fromhex("100000005a5c80000000000001000000"))
    assert (done.returncode, done.stdout, done.stderr) == (0, bytes.fromhex("0800000001000000"), b"")


def test_same_actions_under_other_hash_seeds() -> None:
    replies = {serve(day([0, 1, 2]), PYTHONHASHSEED=seed).stdout for seed in ("0", "1", "77")}
    assert len(replies) == 1 and len(replies.pop()) > 5000


def test_same_actions_in_one_process_and_in_three() -> None:
    together = by_agent(serve(day([0, 1, 2])).stdout)
    apart: dict[int, list[tuple[int, bytes]]] = {}
    for agent in range(3):
        apart |= by_agent(serve(day([agent])).stdout)
    assert together == apart and len(together) == 3
