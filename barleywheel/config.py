"""Reads the configuration of the platform and the optional file of the operator."""

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
from barleywheel.wire.journal import Update

MAX_CIC = 0xFFF
MAX_POINT_CODE = 0xFFFFFF
MAX_TIME_MS = 3_600_000
ADDRESS_PATTERN = re.compile(r"[^\s:]+:\d{1,5}\Z")


class ConfigError(Exception):
    """The configuration is invalid or cannot be read."""


@dataclass(slots=True)
class Config:
    """The platform's configuration: name, addresses, settings and the initial hub list."""

    name: str
    listen: str
    journal: str
    seed: int
    sockets: int
    connect_timeout_us: int
    initial_hubs: Update
    settings: api.Settings
    names: dict[str, list[str]]


def parse_address(value: object, key: str) -> str:
    """Check an address of the form host:port; ConfigError if it has another form."""
    if (
        not isinstance(value, str)
        or not ADDRESS_PATTERN.match(value)
        or int(value.rpartition(":")[2]) > 65535
    ):
        raise ConfigError(f"{key} is not an address (host:port): {value!r}")
    return value


def load(environ: dict[str, str] | os._Environ[str] = os.environ) -> Config:
    """Read the configuration file that LB_CONFIG names."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            return parse(file.read(), path, environ)
    except OSError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse(data: bytes, path: str, environ: dict[str, str] | os._Environ[str]) -> Config:
    """Parse a configuration; ConfigError, with the path in its text, if it is invalid."""
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path}: settings are missing or not an object")
    settings = raw["settings"]
    try:
        parsed, _ = parse_settings(json.dumps(settings).encode())
        classes = [str(item.get("name", index)) for index, item in enumerate(settings["classes"])]
        limits = settings.get("limits") or {}
        return Config(
            name=environ.get("LB_NAME") or str(raw.get("name", "")),
            listen=parse_address(environ.get("LB_LISTEN") or raw.get("listen"), "listen"),
            journal=parse_address(raw.get("journal"), "journal"),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            connect_timeout_us=int(limits.get("connect_timeout_us") or 500_000),
            initial_hubs=journal_wire.parse_update(raw.get("known") or {}),
            settings=parsed,
            names={
                "classes": classes,
                "zones": [str(zone) for zone in settings.get("zones") or []],
                "kinds": [str(kind) for kind in settings.get("kinds") or []],
            },
        )
    except (SettingsError, Malformed, ValueError, OverflowError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


# The operator's file sets up the M3UA front and the SNMP agent. Both are off if no file is given.


@dataclass(slots=True)
class ClassConfig:
    """The calling party's category that marks a call class in ISUP, and how long its callers wait."""

    category: int
    patience_ms: int


@dataclass(slots=True)
class PeerConfig:
    """A remote exchange connected over M3UA."""

    point_code: int
    asp: int | None
    circuits: list[int]
    cell: int | None  # the exchange's number, if attempts are placed over this link


@dataclass(slots=True)
class M3uaConfig:
    """The M3UA front."""

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
    """The SNMP agent."""

    listen: str
    community: str


@dataclass(slots=True)
class OperatorConfig:
    """The operator's file; None where a part is off."""

    m3ua: M3uaConfig | None = None
    snmp: SnmpConfig | None = None


def load_operator_config(path: str | None) -> OperatorConfig:
    """Read the operator's file, if there is one."""
    if path is None:
        return OperatorConfig()
    try:
        with open(path, "rb") as file:
            return parse_operator_config(file.read(), path)
    except OSError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_operator_config(data: bytes, path: str) -> OperatorConfig:
    """Parse an operator's file; ConfigError, with the path in its text, if it is invalid."""
    try:
        raw = tomllib.loads(data.decode())
        return OperatorConfig(
            _parse_m3ua(raw["m3ua"]) if "m3ua" in raw else None,
            _parse_snmp(raw["snmp"]) if "snmp" in raw else None,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (ValueError, OverflowError, RecursionError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _parse_circuits(text: str) -> list[int]:
    """Parse a list of circuit ranges such as "1-15,17-31"."""
    circuits: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        # Checked before the range is expanded, because a huge one would fill memory.
        if not 0 <= int(first) <= int(last or first) <= MAX_CIC:
            raise ValueError(f"circuit range reversed or out of range: {text!r}")
        circuits += range(int(first), int(last or first) + 1)
    if not circuits or len(set(circuits)) < len(circuits):
        raise ValueError(f"no circuits, or a circuit listed twice: {text!r}")
    return circuits


def _int_in_range(
    raw: dict[str, Any], key: str, minimum: int, maximum: int, default: int | None = None
) -> int:
    """Look up an integer; ValueError if the value is not one or is out of range."""
    value: object = raw[key] if default is None else raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError(f"{key} is not a whole number from {minimum} to {maximum}: {str(value)[:40]!r}")
    return value


def _parse_m3ua(raw: dict[str, Any]) -> M3uaConfig:
    peers = [
        PeerConfig(
            _int_in_range(peer, "point_code", 0, MAX_POINT_CODE),
            _int_in_range(peer, "asp", 0, 0xFFFFFFFF) if "asp" in peer else None,
            _parse_circuits(str(peer["circuits"])),
            _int_in_range(peer, "cell", 0, 0xFFFF) if "cell" in peer else None,
        )
        for peer in raw["peer"]
    ]
    if len({peer.point_code for peer in peers}) < len(peers) or not peers:
        raise ValueError("no peers, or two with the same point code")
    return M3uaConfig(
        listen=parse_address(raw["listen"], "m3ua.listen"),
        point_code=_int_in_range(raw, "point_code", 0, MAX_POINT_CODE),
        network_indicator=_int_in_range(raw, "network_indicator", 0, 3, 2),
        routing_context=_int_in_range(raw, "routing_context", 0, 0xFFFFFFFF, 1),
        rlc_ms=_int_in_range(raw, "rlc_ms", 10, MAX_TIME_MS, 15_000),
        beat_ms=_int_in_range(raw, "beat_ms", 10, MAX_TIME_MS, 30_000),
        up_ms=_int_in_range(raw, "up_ms", 10, MAX_TIME_MS, 5_000),
        classes={
            name: ClassConfig(
                _int_in_range(item, "category", 0, 255), _int_in_range(item, "patience_ms", 1, MAX_TIME_MS)
            )
            for name, item in raw["classes"].items()
        },
        numbers={
            str(prefix).lower(): _int_in_range(raw["numbers"], prefix, 0, 0xFFFF) for prefix in raw["numbers"]
        },
        peers=peers,
    )


def _parse_snmp(raw: dict[str, Any]) -> SnmpConfig:
    return SnmpConfig(parse_address(raw["listen"], "snmp.listen"), str(raw["community"]))
