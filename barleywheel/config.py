"""What the program is told at its start."""

from __future__ import annotations

import json
import os
import re
import tomllib
from dataclasses import dataclass
from typing import Any

from barleywheel import interface as api
from barleywheel.benchlink import SettingsError, parse_settings
from barleywheel.wire import Malformed
from barleywheel.wire import journal as journal_wire
from barleywheel.wire.journal import Event

MOST_CIC, MOST_POINT_CODE, MOST_MS = 0xFFF, 0xFFFFFF, 3_600_000
ADDRESS = re.compile(r"[^\s:]+:\d{1,5}\Z")


class ConfigError(Exception):
    """The configuration can't be used."""


@dataclass(slots=True)
class Config:
    """Name, addresses, settings and the hub list at the start."""

    name: str
    listen: str
    journal: str
    seed: int
    sockets: int
    connect_timeout_us: int
    initial_hubs: tuple[int, list[Event]]
    settings: api.Settings
    names: dict[str, list[str]]


def parse_address(value: object, what: str) -> str:
    """A host and a port."""
    if not isinstance(value, str) or not ADDRESS.match(value) or int(value.rpartition(":")[2]) > 65535:
        raise ConfigError(f"{what} is no address: {value!r}")
    return value


def load(environ: dict[str, str] | os._Environ[str] = os.environ) -> Config:
    """Read the file that LB_CONFIG names."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            return parse(file.read(), path, environ)
    except OSError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse(data: bytes, path: str, environ: dict[str, str] | os._Environ[str]) -> Config:
    """Read a configuration's bytes; ConfigError, which names the path, where they can't be used."""
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path}: no settings")
    settings = raw["settings"]
    try:
        parsed, _ = parse_settings(json.dumps(settings).encode())
        classes = [str(item.get("name", at)) for at, item in enumerate(settings["classes"])]
        limits = settings.get("limits") or {}
        return Config(
            name=environ.get("LB_NAME") or str(raw.get("name", "")),
            listen=parse_address(environ.get("LB_LISTEN") or raw.get("listen"), "listen"),
            journal=parse_address(raw.get("journal"), "journal"),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            connect_timeout_us=int(limits.get("connect_timeout_us") or 500_000),
            initial_hubs=journal_wire.parse_events(raw.get("known") or {}),
            settings=parsed,
            names={
                "classes": classes,
                "zones": [str(z) for z in settings.get("zones") or []],
                "kinds": [str(k) for k in settings.get("kinds") or []],
            },
        )
    except (SettingsError, Malformed, ValueError, OverflowError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


# What an operator adds: the second front and the agent, both off without a file.


@dataclass(slots=True)
class ClassConfig:
    """How a class of call looks in ISUP, and how long its callers wait."""

    category: int
    patience_ms: int


@dataclass(slots=True)
class PeerConfig:
    """An exchange that speaks M3UA."""

    point_code: int
    asp: int | None
    circuits: list[int]
    cell: int | None  # the exchange's number, if attempts are placed there


@dataclass(slots=True)
class M3uaConfig:
    """The second front."""

    listen: str
    point_code: int
    network_indicator: int
    routing_context: int
    rlc_ms: int
    beat_ms: int
    up_ms: int
    classes: dict[str, ClassConfig]
    numbers: dict[str, int]
    peers: list[PeerConfig]


@dataclass(slots=True)
class SnmpConfig:
    """The agent."""

    listen: str
    community: str


@dataclass(slots=True)
class OperatorConfig:
    """What the operator's file sets up."""

    m3ua: M3uaConfig | None = None
    snmp: SnmpConfig | None = None


def load_operator_config(path: str | None) -> OperatorConfig:
    """Read the operator's file."""
    if path is None:
        return OperatorConfig()
    try:
        with open(path, "rb") as file:
            return parse_operator_config(file.read(), path)
    except OSError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_operator_config(data: bytes, path: str) -> OperatorConfig:
    """Read an operator's file's bytes; ConfigError, which names the path, where they can't be used."""
    try:
        raw = tomllib.loads(data.decode())
        return OperatorConfig(
            _m3ua(raw["m3ua"]) if "m3ua" in raw else None, _snmp(raw["snmp"]) if "snmp" in raw else None
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (ValueError, OverflowError, RecursionError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _circuits(text: str) -> list[int]:
    """Circuits as "1-15,17-31"."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        if not 0 <= int(first) <= int(last or first) <= MOST_CIC:  # before any list is made of them
            raise ValueError(f"no circuits: {text!r}")
        found += range(int(first), int(last or first) + 1)
    if not found or len(set(found)) < len(found):
        raise ValueError(f"no circuits, or one twice: {text!r}")
    return found


def _within(raw: dict[str, Any], key: str, least: int, most: int, default: int | None = None) -> int:
    """A whole number of the file's; ValueError where it is none or out of its range."""
    value: object = raw[key] if default is None else raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise ValueError(f"{key} is no whole number from {least} to {most}: {str(value)[:40]!r}")
    return value


def _m3ua(raw: dict[str, Any]) -> M3uaConfig:
    peers = [
        PeerConfig(
            _within(peer, "point_code", 0, MOST_POINT_CODE),
            _within(peer, "asp", 0, 0xFFFFFFFF) if "asp" in peer else None,
            _circuits(str(peer["circuits"])),
            _within(peer, "cell", 0, 0xFFFF) if "cell" in peer else None,
        )
        for peer in raw["peer"]
    ]
    if len({peer.point_code for peer in peers}) < len(peers) or not peers:
        raise ValueError("peers need point codes of their own")
    return M3uaConfig(
        listen=parse_address(raw["listen"], "m3ua.listen"),
        point_code=_within(raw, "point_code", 0, MOST_POINT_CODE),
        network_indicator=_within(raw, "network_indicator", 0, 3, 2),
        routing_context=_within(raw, "routing_context", 0, 0xFFFFFFFF, 1),
        rlc_ms=_within(raw, "rlc_ms", 10, MOST_MS, 15_000),
        beat_ms=_within(raw, "beat_ms", 10, MOST_MS, 30_000),
        up_ms=_within(raw, "up_ms", 10, MOST_MS, 5_000),
        classes={
            name: ClassConfig(_within(item, "category", 0, 255), _within(item, "patience_ms", 1, MOST_MS))
            for name, item in raw["classes"].items()
        },
        numbers={
            str(prefix).lower(): _within(raw["numbers"], prefix, 0, 0xFFFF) for prefix in raw["numbers"]
        },
        peers=peers,
    )


def _snmp(raw: dict[str, Any]) -> SnmpConfig:
    return SnmpConfig(parse_address(raw["listen"], "snmp.listen"), str(raw["community"]))
