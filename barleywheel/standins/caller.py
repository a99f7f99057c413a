"""Callers on JSON lines, as PROTOCOL words them."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from barleywheel.standins import ProtocolError, Transport

MessageHandler = Callable[["Caller", str, str, dict[str, Any]], None]  # caller, type, id, the whole message


def to_json_string(data: bytes) -> str:
    """Bytes as they travel inside JSON here."""
    return data.decode("utf-8", "surrogateescape")


def encode_message(kind: str, ref: str, fields: dict[str, str] | None = None, **more: Any) -> bytes:
    """One message."""
    message = {"t": kind, "ref": ref, "f": fields or {}} | more
    return json.dumps(message, ensure_ascii=False).encode("utf-8", "surrogateescape") + b"\n"


def encode_setup(
    ref: str,
    destination: int,
    description: bytes,
    class_name: str = "voice",
    left_ms: int = 3000,
    number: str = "7f3a",
    flags: str = "",
) -> bytes:
    """A set-up. Flags: ``r`` redialled, ``t`` in transit (from exchange 3), ``a`` cut and come again."""
    extras = f"dest:{destination};width:1;via:{3 if 't' in flags else -1}"
    extras += ";transit:1" * ("t" in flags) + ";again:1" * ("a" in flags)
    fields = {"class": class_name, "left": str(left_ms), "key": number, "extras": extras}
    if "r" in flags:
        fields["retry"] = "1"
    return encode_message("new", ref, fields, d=to_json_string(description))


class Caller:
    """One connection from callers."""

    def __init__(
        self,
        name: int,
        transport: Transport,
        on_message: MessageHandler,
        on_close: Callable[[Caller, bool], None],
    ) -> None:
        self.name, self.transport, self.open = name, transport, True
        self._on_message, self._on_close = on_message, on_close
        self._partial_line = b""

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``; ProtocolError where a line is none of the protocol's."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if len(line) > 16 * 1024:
                raise ProtocolError("caller: line over 16 KiB")
            try:
                message = json.loads(line.decode("utf-8", "surrogateescape"))
                kind, ref = message["t"], message["ref"]
            except (ValueError, KeyError, TypeError) as error:
                raise ProtocolError(f"caller: no message: {line[:80]!r}") from error
            cause = message.get("c")
            if kind == "down" and (type(cause) is not int or not 0 < cause < 128):
                raise ProtocolError(f"caller: release with cause {cause!r}")
            if kind not in ("up", "down", "ack", "hb_ok"):
                raise ProtocolError(f"caller: message of type {kind!r}")
            self._on_message(self, kind, ref, message)

    def connection_lost(self, reset: bool) -> None:
        """See ``virtual.network.StreamHandler``."""
        self.open = False
        self._on_close(self, reset)

    def close(self, reset: bool = False) -> None:
        """Hang up."""
        self.open = False
        self.transport.close(reset)
