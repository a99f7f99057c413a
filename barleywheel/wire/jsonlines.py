"""Codec for the callers' protocol: one JSON object per line."""

from __future__ import annotations

import json
from typing import Any

from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

MAX_LINE_BYTES = 16 * 1024
BLANK_CHARACTERS = b" \t\r\n"  # blank lines between messages are skipped
MAX_BLANK_BYTES = 1024  # more of them in a row are no line ends or keep-alives but junk


def parse_next(buffer: Buffer) -> dict[str, Any] | None:
    """Take the next message from the buffer; None while it is incomplete."""
    buffer.skip_leading(BLANK_CHARACTERS)
    if buffer.skipped_bytes > MAX_BLANK_BYTES:
        raise Malformed("too many blank lines")
    end = buffer.find(b"\n")
    if end > MAX_LINE_BYTES or end < 0 and len(buffer) > MAX_LINE_BYTES:
        raise Malformed("line over 16 KiB")
    if end < 0:
        return None
    line = buffer.take(end + 1)
    try:
        # surrogateescape passes the bytes of a description through unchanged, UTF-8 or not.
        message = json.loads(line.decode("utf-8", "surrogateescape"))
    except (ValueError, RecursionError) as error:
        raise Malformed(f"invalid JSON: {error}") from error
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise Malformed("not an object with a message type")
    if not _is_encodable_text(message.get("ref", "")) or not isinstance(message.get("f") or {}, dict):
        raise Malformed("invalid id, or fields of the wrong type")
    if not isinstance(message.get("d", ""), str):
        raise Malformed("description of the wrong type")
    return message


def _is_encodable_text(value: object) -> bool:
    """Whether this is a string that ``encode`` can write; a JSON escape may denote a lone surrogate."""
    if not isinstance(value, str):
        return False
    try:
        value.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        return False
    return True


def encode(
    kind: str,
    ref: str,
    fields: dict[str, Any] | None = None,
    cause: int | None = None,
    description: bytes | None = None,
) -> bytes:
    """Encode a message as one line."""
    message: dict[str, Any] = {"t": kind, "ref": ref, "f": fields or {}}
    if cause is not None:
        message["c"] = cause
    if description is not None:
        message["d"] = description.decode("utf-8", "surrogateescape")
    text = json.dumps(message, ensure_ascii=False, separators=(",", ":"))
    return text.encode("utf-8", "surrogateescape") + b"\n"


def description(message: dict[str, Any]) -> bytes:
    """Return the description of a message as bytes."""
    text: str = message.get("d", "")
    # A lone surrogate from a JSON escape represents no byte; it is encoded as the surrogate itself.
    try:
        return text.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        return text.encode("utf-8", "surrogatepass")
