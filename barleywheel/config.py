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
    known: dict[str, Any]
    settings: api.Settings
    names: dict[str, list[str]]


def address(value: object, what: str) -> str:
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
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path}: no settings")
    settings = raw["settings"]
    try:
        parsed, _ = parse_settings(json.dumps(settings).encode())
        classes = [str(item.get("name", at)) for at, item in enumerate(settings["classes"])]
        limits = settings.get("limits") or {}
        known = raw.get("known") or {}
        if not isinstance(known, dict):
            raise ConfigError(f"{path}: known is no object")
        return Config(
            name=environ.get("LB_NAME") or str(raw.get("name", "")),
            listen=address(environ.get("LB_LISTEN") or raw.get("listen"), "listen"),
            journal=address(raw.get("journal"), "journal"),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            connect_timeout_us=int(limits.get("connect_timeout_us") or 500_000),
            known=known,
            settings=parsed,
            names={"classes": classes, "zones": [str(z) for z in settings.get("zones") or []],
                   "kinds": [str(k) for k in settings.get("kinds") or []]},
        )
    except (SettingsError, ValueError, TypeError, AttributeError) as error:
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
class Extras:
    """What the operator's file sets up."""

    m3ua: M3uaConfig | None = None
    snmp: SnmpConfig | None = None


def extras(path: str | None) -> Extras:
    """Read the operator's file."""
    if path is None:
        return Extras()
    try:
        with open(path, "rb") as file:
            return parse_extras(file.read(), path)
    except OSError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_extras(data: bytes, path: str) -> Extras:
    """Read an operator's file's bytes; ConfigError, which names the path, where they can't be used."""
    try:
        raw = tomllib.loads(data.decode())
        return Extras(_m3ua(raw["m3ua"]) if "m3ua" in raw else None,
                      _snmp(raw["snmp"]) if "snmp" in raw else None)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _circuits(text: str) -> list[int]:
    """Circuits as "1-15,17-31"."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    if not found or not 0 <= min(found) <= max(found) <= 0xFFF:
        raise ValueError(f"no circuits: {text!r}")
    return found


def _m3ua(raw: dict[str, Any]) -> M3uaConfig:
    peers = [PeerConfig(int(peer["point_code"]), peer.get("asp"), _circuits(str(peer["circuits"])),
                        peer.get("cell")) for peer in raw["peer"]]
    if len({peer.point_code for peer in peers}) < len(peers) or not peers:
        raise ValueError("peers need point codes of their own")
    return M3uaConfig(
        listen=address(raw["listen"], "m3ua.listen"),
        point_code=int(raw["point_code"]),
        network_indicator=int(raw.get("network_indicator", 2)),
        routing_context=int(raw.get("routing_context", 1)),
        rlc_ms=int(raw.get("rlc_ms", 15_000)),
        beat_ms=int(raw.get("beat_ms", 30_000)),
        up_ms=int(raw.get("up_ms", 5_000)),
        classes={name: ClassConfig(int(item["category"]), int(item["patience_ms"]))
                 for name, item in raw["classes"].items()},
        numbers={str(prefix).lower(): int(cell) for prefix, cell in raw["numbers"].items()},
        peers=peers,
    )


def _snmp(raw: dict[str, Any]) -> SnmpConfig:
    return SnmpConfig(address(raw["listen"], "snmp.listen"), str(raw["community"]))
