"""Callers that speak JSON lines, as the platform's PROTOCOL specifies."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from barleywheel.standins import ProtocolError, Transport

# Arguments: caller, message type, call id, message.
MessageHandler = Callable[["Caller", str, str, dict[str, Any]], None]


def to_json_string(data: bytes) -> str:
    """Decode bytes to a JSON string; bytes that are not UTF-8 become lone surrogates."""
    return data.decode("utf-8", "surrogateescape")


def encode_message(message_type: str, ref: str, fields: dict[str, str] | None = None, **extra: Any) -> bytes:
    """One message as a line; ``extra`` adds members beside the type, the call id and the fields."""
    message = {"t": message_type, "ref": ref, "f": fields or {}} | extra
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
    """A set-up.

    Flags: ``r`` redialled, ``t`` in transit from exchange 3, ``a`` offered again after an interruption.
    """
    extras = f"dest:{destination};width:1;via:{3 if 't' in flags else -1}"
    extras += ";transit:1" * ("t" in flags) + ";again:1" * ("a" in flags)
    fields = {"class": class_name, "left": str(left_ms), "key": number, "extras": extras}
    if "r" in flags:
        fields["retry"] = "1"
    return encode_message("new", ref, fields, d=to_json_string(description))


class Caller:
    """A connection over which callers offer calls, numbered by the script that uses it."""

    def __init__(
        self,
        number: int,
        transport: Transport,
        on_message: MessageHandler,
        on_close: Callable[[Caller, bool], None],
    ) -> None:
        self.number, self.transport, self.open = number, transport, True
        self._on_message, self._on_close = on_message, on_close
        self._partial_line = b""

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``; ProtocolError if a line is not a valid message."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if len(line) > 16 * 1024:
                raise ProtocolError("caller: line over 16 KiB")
            try:
                message = json.loads(line.decode("utf-8", "surrogateescape"))
                message_type, ref = message["t"], message["ref"]
            except (ValueError, KeyError, TypeError) as error:
                raise ProtocolError(f"caller: malformed message: {line[:80]!r}") from error
            cause = message.get("c")
            if message_type == "down" and (type(cause) is not int or not 0 < cause < 128):
                raise ProtocolError(f"caller: release with cause {cause!r}")
            if message_type not in ("up", "down", "ack", "hb_ok"):
                raise ProtocolError(f"caller: message of type {message_type!r}")
            self._on_message(self, message_type, ref, message)

    def connection_lost(self, reset: bool) -> None:
        """See ``virtual.network.StreamHandler``."""
        self.open = False
        self._on_close(self, reset)

    def close(self, reset: bool = False) -> None:
        """Close the connection from the caller's side."""
        self.open = False
        self.transport.close(reset)
