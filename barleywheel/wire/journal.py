"""Codec for the journal's responses, which list hubs.

The service repeats an event until its number has been taken, so an invalid part of an event must not hide the
valid ones: it is left out and reported.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from barleywheel.wire import Malformed

MAX_EVENTS = 10_000  # per response
MAX_ENDPOINTS = 10_000  # per event
MAX_NAME_LENGTH = 256
MAX_EXACT_INTEGER = 1 << 53  # larger numbers lose precision as JSON numbers
MAX_CELL = 0xFFFF
LEAVING_STATUSES = ("Terminating", "Gone")


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


@dataclass(slots=True)
class Update:
    """What a response tells: events in the order of their numbers, and what was invalid and left out."""

    last: int = 0  # number of the last event that need not be asked for again
    events: list[Event] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


def parse_response(body: bytes) -> Update:
    """Return the events of a response; Malformed if it is no JSON object with a list of entries."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Malformed(f"invalid JSON: {type(error).__name__}") from error
    return parse_update(raw)


def parse_update(raw: object) -> Update:
    """Like ``parse_response`` for decoded JSON, such as ``known`` in the configuration."""
    if not isinstance(raw, dict):
        raise Malformed("answer is not an object")
    entries = raw.get("entries") or []
    if not isinstance(entries, list):
        raise Malformed("entries are not a list")
    update = Update()
    for entry in entries[:MAX_EVENTS]:
        try:
            update.events.append(_parse_event(entry, update.errors))
        except Malformed as error:
            update.errors.append(str(error))
    update.last = max((event.pos for event in update.events), default=0)
    if len(entries) <= MAX_EVENTS:  # else the others are asked for next
        try:
            update.last = _parse_number(raw.get("pos", update.last), "pos")
        except Malformed as error:
            update.errors.append(str(error))
    return update


def _parse_event(entry: Any, errors: list[str]) -> Event:
    if not isinstance(entry, dict):
        raise Malformed("event is not an object")
    pos, hosts = _parse_number(entry.get("pos", 0), "pos"), entry.get("hosts")
    if not isinstance(hosts, dict):
        return Event(pos, False, [])  # another kind of event: only its number is used
    raw_endpoints = hosts.get("endpoints") or []
    if not isinstance(raw_endpoints, list) or len(raw_endpoints) > MAX_ENDPOINTS:
        errors.append(f"event {pos}: endpoints are not a list, or too many")
        return Event(pos, False, [])
    endpoints = []
    for raw in raw_endpoints:
        try:
            endpoints.append(_parse_endpoint(raw))
        except Malformed as error:
            errors.append(f"event {pos}: {error}")
            if (leaving := _parse_leaving_endpoint(raw)) is not None:
                endpoints.append(leaving)
    # A list that was not read whole doesn't show which hubs are no longer listed.
    is_snapshot = bool(hosts.get("snapshot")) and len(endpoints) == len(raw_endpoints)
    return Event(pos, is_snapshot, endpoints)


def _parse_leaving_endpoint(raw: Any) -> Endpoint | None:
    """Return an invalid endpoint that drains or is gone, by what that takes: its name, group and status."""
    if not isinstance(raw, dict) or raw.get("status") not in LEAVING_STATUSES:
        return None
    try:
        return _parse_endpoint({key: raw.get(key) for key in ("name", "group", "status")})
    except Malformed:
        return None


def _parse_endpoint(raw: Any) -> Endpoint:
    if (
        not isinstance(raw, dict)
        or not isinstance(raw.get("name"), str)
        or not (0 < len(raw["name"]) <= MAX_NAME_LENGTH)
        or not _is_encodable(raw["name"])
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


def _is_encodable(text: str) -> bool:
    """Whether UTF-8 can represent the text; a JSON escape may denote a lone surrogate."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


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
