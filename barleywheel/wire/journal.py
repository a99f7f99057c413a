"""The journal's answers: numbered events with hubs in them, checked whole before any of them is used."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from barleywheel.wire import Malformed

MAX_EVENTS, MAX_ENDPOINTS = 10_000, 10_000  # of one answer, and of one event
MAX_NAME_LENGTH = 256
MAX_NUMBER = 1 << 53  # what JSON carries exactly
MAX_CELL = 0xFFFF


@dataclass(slots=True)
class Endpoint:
    """A hub as an event tells it; an address of None changes nothing that is known."""

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
    """One event: the whole list, or what has changed in it."""

    pos: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_answer(body: bytes) -> tuple[int, list[Event]]:
    """The last number and the events of an answer; Malformed where any part of it can't be used."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Malformed(f"no JSON: {type(error).__name__}") from error
    return parse_events(raw)


def parse_events(raw: object) -> tuple[int, list[Event]]:
    """The same of parsed JSON, as ``known`` in the configuration has it."""
    if not isinstance(raw, dict):
        raise Malformed("an answer that is no object")
    entries = raw.get("entries") or []
    if not isinstance(entries, list) or len(entries) > MAX_EVENTS:
        raise Malformed("entries are no list, or too many")
    found = [event for entry in entries if (event := _event(entry)) is not None]
    last = max((event.pos for event in found), default=0)
    return _number(raw.get("pos", last), "pos"), found


def _event(entry: Any) -> Event | None:
    if not isinstance(entry, dict):
        raise Malformed("an event that is no object")
    pos, hosts = _number(entry.get("pos", 0), "pos"), entry.get("hosts")
    if not isinstance(hosts, dict):
        return Event(pos, False, [])  # of another kind: its number counts
    endpoints = hosts.get("endpoints") or []
    if not isinstance(endpoints, list) or len(endpoints) > MAX_ENDPOINTS:
        raise Malformed("endpoints are no list, or too many")
    return Event(pos, bool(hosts.get("snapshot")), [_endpoint(one) for one in endpoints])


def _endpoint(one: Any) -> Endpoint:
    if (
        not isinstance(one, dict)
        or not isinstance(one.get("name"), str)
        or not (0 < len(one["name"]) <= MAX_NAME_LENGTH)
    ):
        raise Malformed("an endpoint without a name")
    address = one.get("address")
    if address is not None and not _is_address(address):
        raise Malformed(f"no address: {str(address)[:80]!r}")
    weight = one.get("weight", 1.0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight <= MAX_NUMBER:
        raise Malformed("weight")
    cell = _number(one.get("group") or 0, "group")
    if cell > MAX_CELL:
        raise Malformed("group")
    return Endpoint(
        one["name"],
        cell,
        str(one.get("status")),
        address,
        str(one.get("zone", "")),
        str(one.get("type", "")),
        float(weight),
        _number(one.get("since_ms") or 0, "since_ms"),
    )


def _is_address(value: object) -> bool:
    if not isinstance(value, str) or len(value) > MAX_NAME_LENGTH:
        return False
    host, _, port = value.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535


def _number(value: object, what: str) -> int:
    """A whole number from 0; a float that is one will do, and a bool is none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_NUMBER:
        raise Malformed(f"{what} is no number: {str(value)[:40]!r}")
    return int(value)
