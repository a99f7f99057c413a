"""Callers on JSON lines, as PROTOCOL words them."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from barleywheel.standins import Broken, Line

Heard = Callable[["Caller", str, str, dict[str, Any]], None]  # caller, type, id, the whole message


def text(data: bytes) -> str:
    """Bytes as they travel inside JSON here."""
    return data.decode("utf-8", "surrogateescape")


def line(kind: str, ref: str, fields: dict[str, str] | None = None, **more: Any) -> bytes:
    """One message."""
    message = {"t": kind, "ref": ref, "f": fields or {}} | more
    return json.dumps(message, ensure_ascii=False).encode("utf-8", "surrogateescape") + b"\n"


def setup(
    ref: str,
    to: int,
    description: bytes,
    class_name: str = "voice",
    left_ms: int = 3000,
    number: str = "7f3a",
    flags: str = "",
) -> bytes:
    """A set-up. Flags: ``r`` redialled, ``t`` in transit (from exchange 3), ``a`` cut and come again."""
    extras = f"dest:{to};width:1;via:{3 if 't' in flags else -1}"
    extras += ";transit:1" * ("t" in flags) + ";again:1" * ("a" in flags)
    fields = {"class": class_name, "left": str(left_ms), "key": number, "extras": extras}
    if "r" in flags:
        fields["retry"] = "1"
    return line("new", ref, fields, d=text(description))


class Caller:
    """One connection from callers."""

    def __init__(self, name: int, wire: Line, heard: Heard, ended: Callable[[Caller, bool], None]) -> None:
        self.name, self.wire, self.open = name, wire, True
        self._heard, self._ended = heard, ended
        self._half = b""

    def received(self, data: bytes) -> None:
        """See ``virtual.network.Party``; Broken where a line is none of the protocol's."""
        *lines, self._half = (self._half + data).split(b"\n")
        for one in lines:
            if len(one) > 16 * 1024:
                raise Broken("caller: line over 16 KiB")
            try:
                message = json.loads(one.decode("utf-8", "surrogateescape"))
                kind, ref = message["t"], message["ref"]
            except (ValueError, KeyError, TypeError) as error:
                raise Broken(f"caller: no message: {one[:80]!r}") from error
            cause = message.get("c")
            if kind == "down" and (type(cause) is not int or not 0 < cause < 128):
                raise Broken(f"caller: release with cause {cause!r}")
            if kind not in ("up", "down", "ack", "hb_ok"):
                raise Broken(f"caller: message of type {kind!r}")
            self._heard(self, kind, ref, message)

    def closed(self, reset: bool) -> None:
        """See ``virtual.network.Party``."""
        self.open = False
        self._ended(self, reset)

    def close(self, reset: bool = False) -> None:
        """Hang up."""
        self.open = False
        self.wire.close(reset)
