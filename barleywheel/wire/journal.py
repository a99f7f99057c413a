"""Codec for the journal's answers: numbered events that list hubs; one invalid part rejects the answer."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from barleywheel.wire import Malformed

MAX_EVENTS = 10_000  # per answer
MAX_ENDPOINTS = 10_000  # per event
MAX_NAME_LENGTH = 256
MAX_EXACT_INTEGER = 1 << 53  # larger numbers lose precision as JSON numbers
MAX_CELL = 0xFFFF


@dataclass(slots=True)
class Endpoint:
    """A hub as an event describes it; with an address of None its known address stays."""

    name: str
    cell: int
    status: str
    address: str | None = None
    zone: str = ""
    kind: str = ""
    weight: float = 1.0
    since_ms: int = 0


@dataclass(slots=True)
class Event:
    """A journal event: a snapshot of the hub list, or the hubs that have changed."""

    pos: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_answer(body: bytes) -> tuple[int, list[Event]]:
    """Return the last event number and the events of an answer; Malformed if any part is invalid."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Malformed(f"invalid JSON: {type(error).__name__}") from error
    return parse_events(raw)


def parse_events(raw: object) -> tuple[int, list[Event]]:
    """Like ``parse_answer`` for decoded JSON, such as ``known`` in the configuration."""
    if not isinstance(raw, dict):
        raise Malformed("answer is not an object")
    entries = raw.get("entries") or []
    if not isinstance(entries, list) or len(entries) > MAX_EVENTS:
        raise Malformed("entries are not a list, or too many")
    events = [event for entry in entries if (event := _parse_event(entry)) is not None]
    last = max((event.pos for event in events), default=0)
    return _parse_number(raw.get("pos", last), "pos"), events


def _parse_event(entry: Any) -> Event | None:
    if not isinstance(entry, dict):
        raise Malformed("event is not an object")
    pos, hosts = _parse_number(entry.get("pos", 0), "pos"), entry.get("hosts")
    if not isinstance(hosts, dict):
        return Event(pos, False, [])  # another kind of event: only its number is used
    endpoints = hosts.get("endpoints") or []
    if not isinstance(endpoints, list) or len(endpoints) > MAX_ENDPOINTS:
        raise Malformed("endpoints are not a list, or too many")
    return Event(pos, bool(hosts.get("snapshot")), [_parse_endpoint(raw) for raw in endpoints])


def _parse_endpoint(raw: Any) -> Endpoint:
    if (
        not isinstance(raw, dict)
        or not isinstance(raw.get("name"), str)
        or not (0 < len(raw["name"]) <= MAX_NAME_LENGTH)
    ):
        raise Malformed("endpoint without a valid name")
    address = raw.get("address")
    if address is not None and not _is_address(address):
        raise Malformed(f"invalid address: {str(address)[:80]!r}")
    weight = raw.get("weight", 1.0)
    if (
        isinstance(weight, bool)
        or not isinstance(weight, int | float)
        or not 0 <= weight <= MAX_EXACT_INTEGER
    ):
        raise Malformed("invalid weight")
    cell = _parse_number(raw.get("group") or 0, "group")
    if cell > MAX_CELL:
        raise Malformed("invalid group")
    return Endpoint(
        raw["name"],
        cell,
        str(raw.get("status")),
        address,
        str(raw.get("zone", "")),
        str(raw.get("type", "")),
        float(weight),
        _parse_number(raw.get("since_ms") or 0, "since_ms"),
    )


def _is_address(value: object) -> bool:
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535


def _parse_number(value: object, what: str) -> int:
    """Return a number from 0 as an int, floats truncated; Malformed for anything else, a bool included."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_EXACT_INTEGER:
        raise Malformed(f"{what} is not a valid number: {str(value)[:40]!r}")
    return int(value)
