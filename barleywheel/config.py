"""What the program is told at its start."""

from __future__ import annotations

import json
import os
import re
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
            raw = json.load(file)
    except (OSError, ValueError) as error:
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
