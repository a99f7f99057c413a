"""Bytes for the parsers, and what must hold of every one of them.

A parser answers any bytes with a message, with "not whole yet", or with the one exception that it is allowed;
how the bytes were split over reads makes no difference; what is encoded is decoded again; and the work is
bounded by a multiple of the bytes.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from barleywheel.fuzz.rules import Violation
from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed, isup, jsonlines, m3ua, sip

WORK_PER_BYTE = 16  # bytes looked at or copied for each byte that came, and so many more in all:
WORK_ALLOWANCE = 64 * 1024
CutFunction = Callable[[Buffer], Any]


class MeteredBuffer(Buffer):
    """A buffer that counts the bytes that its users look at or copy."""

    def __init__(self) -> None:
        super().__init__()
        self.work = 0

    def append(self, data: bytes) -> None:
        """What a socket would have read in."""
        while data:
            self.reserve()
            room = len(self.data) - self.end
            part, data = data[:room], data[room:]
            self.data[self.end : self.end + len(part)] = part
            self.end += len(part)

    def find(self, mark: bytes) -> int:
        """See ``Buffer``."""
        before = self.start + self.searched(mark)
        at = super().find(mark)
        self.work += (self.end if at < 0 else self.start + at + len(mark)) - before
        return at

    def peek(self, count: int) -> bytes:
        """See ``Buffer``."""
        found = super().peek(count)
        self.work += len(found)
        return found


def parse_all(cut: CutFunction, pieces: list[bytes]) -> tuple[list[str], str, int]:
    """Messages as text, how it ended ("" or the fault), and the work."""
    buffer, found = MeteredBuffer(), []
    for piece in pieces:
        buffer.append(piece)
        try:
            while (message := cut(buffer)) is not None:
                found.append(repr(message))
        except Malformed:
            return found, "Malformed", buffer.work
        except Exception as error:
            return found, f"{type(error).__name__}: {str(error)[:200]}", buffer.work
    return found, "", buffer.work


def split_pieces(data: bytes) -> list[bytes]:
    """Pieces by the bytes themselves, a hundred or so of what is long: an input always has the same split."""
    pieces, at, seed, most = [], 0, zlib.crc32(data), max(37, len(data) // 64)
    while at < len(data):
        seed = seed * 1103515245 + 12345 & 0x7FFFFFFF
        size = 1 + (seed >> 16) % most
        pieces.append(data[at : at + size])
        at += size
    return pieces


def check_stream(cut: CutFunction, data: bytes, looks_ahead: bool = False) -> list[Violation]:
    """What must hold of a parser of a stream.

    One that looks ahead may refuse a message for what stands behind it, which it can't where that has not
    come: then the messages of the one are the first of the other, and one of them is refused.
    """
    whole, fault, work = parse_all(cut, [data])
    violations = []
    if fault not in ("", "Malformed"):
        violations.append(Violation("parser raised", fault))
    # Byte by byte only what is short: pieces of a few bytes show as well what is done again for each.
    for pieces in (
        split_pieces(data),
        [data[at : at + 1] for at in range(len(data) if len(data) <= 600 else 0)],
    ):
        if data and not pieces:
            continue
        other, other_fault, work = parse_all(cut, pieces)
        ends = {fault, other_fault}
        if looks_ahead and "Malformed" in ends and ends <= {"", "Malformed"}:
            shorter, longer = sorted((whole, other), key=len)
            if longer[: len(shorter)] == shorter:
                continue
        if other != whole or other_fault != fault:
            violations.append(
                Violation("depends on the split", f"{whole} {fault} whole, {other} {other_fault} split")
            )
            break
        if work > WORK_PER_BYTE * len(data) + WORK_ALLOWANCE:
            violations.append(
                Violation("work", f"{work} bytes looked at for {len(data)} in {len(pieces)} pieces")
            )
            break
    return violations


def check_jsonlines(data: bytes) -> list[Violation]:
    """The callers' wire."""
    violations = check_stream(jsonlines.parse_next, data)
    buffer = MeteredBuffer()
    body = data[:4000]
    line = jsonlines.encode("up", "9b1f03aa00000001", description=body)
    buffer.append(line)
    try:
        message = jsonlines.parse_next(buffer) if len(line) <= jsonlines.MAX_LINE_BYTES else None
    except Malformed as error:
        return [*violations, Violation("not decoded again", str(error))]
    if message is not None and jsonlines.description(message) != body:
        violations.append(Violation("not decoded again", f"{jsonlines.description(message)!r} for {body!r}"))
    buffer = MeteredBuffer()
    buffer.append(data)
    try:
        while (message := jsonlines.parse_next(buffer)) is not None:
            violations += _request(message)
    except Malformed:
        pass
    except Exception as error:
        violations.append(Violation("request raised", f"{type(error).__name__}: {error}"))
    return violations


def _request(message: dict[str, Any]) -> list[Violation]:
    from barleywheel.fronts.platform import CALL_ID_PATTERN, CALLED_NUMBER_PATTERN, read_request

    if message["t"] != "new" or not CALL_ID_PATTERN.match(message.get("ref", "")):
        return []
    request = read_request(None, message)  # type: ignore[arg-type]
    if request.destination >= 0 and request.time_left_us > 0:
        data = sip.invite(request.ref, 1, request.called_number, "voice", 1, request.description)
        if (
            not CALLED_NUMBER_PATTERN.match(request.called_number)
            or not 0 < request.width <= 64
            or len(data) > sip.MAX_MESSAGE_BYTES
        ):
            return [Violation("request", repr(request)[:300])]
    return []


def check_sip(data: bytes) -> list[Violation]:
    """The hubs' wire."""

    def cut(buffer: Buffer) -> Any:
        message = sip.parse_next(buffer)
        if message is not None:
            number, cause = message.cseq[0], message.cause
            if not 0 <= number <= 0xFFFFFFFF or not 0 < cause < 128:
                raise ArithmeticError(f"CSeq {number} or cause {cause}")
            if str(len(message.body)) != message.headers["content-length"].lstrip("0") and message.body:
                raise ArithmeticError(f"a body of {len(message.body)} bytes, and another length said")
            return message, message.load, sip.response(200, "OK", message)
        return None

    violations = check_stream(cut, data, looks_ahead=True)
    buffer = MeteredBuffer()
    buffer.append(sip.invite("9b1f03aa00000001", 1, "7f3a", "voice", 1, data[:8000]))
    again = sip.parse_head(buffer.peek(buffer.find(b"\r\n\r\n")))
    if again.headers["content-length"] != str(len(data[:8000])):
        violations.append(Violation("not decoded again", repr(again)))
    return violations


def check_m3ua(data: bytes) -> list[Violation]:
    """The exchanges' wire, and the ISUP in it."""

    def cut(buffer: Buffer) -> Any:
        message = m3ua.parse_next(buffer)
        if message is None:
            return None
        transfer = m3ua.decode_transfer(message)
        inner: object = None
        if transfer is not None:
            try:
                inner = isup.decode(transfer.user)
            except isup.IsupDecodeError:
                inner = "unreadable"
            again = MeteredBuffer()
            again.append(m3ua.encode_transfer(transfer, 1)) if len(transfer.user) < 8000 else None
            back = m3ua.parse_next(again)
            if back is not None and m3ua.decode_transfer(back) != transfer:
                raise ArithmeticError(f"not decoded again: {transfer}")
        return message, message.point_codes(), [message.number(tag) for tag in m3ua.Tag], inner

    return check_stream(cut, data)


def check_isup(data: bytes) -> list[Violation]:
    """One ISUP message: of these bytes, and one made of them that must come through whole."""
    kinds = tuple(isup.Type)
    made = isup.Message(len(data) & 0xFFF, kinds[len(data) % len(kinds)])
    if made.type == isup.Type.IAM:
        made.number, made.category = data[:8].hex()[: 1 + len(data) % 16], (data or b"\0")[-1]
    if made.type == isup.Type.REL:
        made.cause = 1 + (data or b"\0")[0] % 127
    if made.type in (isup.Type.IAM, isup.Type.ANM):
        made.description = data[: isup.MAX_DESCRIPTION]
    try:
        again = isup.decode(isup.encode(made))
    except isup.IsupDecodeError as error:
        return [Violation("not decoded again", f"{made}: {error}")]
    if again != made:
        return [Violation("not decoded again", f"{again} for {made}")]
    try:
        message = isup.decode(data)
    except isup.IsupDecodeError:
        return []
    except Exception as error:
        return [Violation("parser raised", f"{type(error).__name__}: {error}")]
    try:
        encoded = isup.encode(message)
    except ValueError:  # what this wire has no room for
        return []
    try:
        back = isup.decode(encoded)
    except isup.IsupDecodeError as error:
        return [Violation("not decoded again", f"{message}: {error}")]
    if message.type in tuple(isup.Type) and back != message:
        return [Violation("not decoded again", f"{back} for {message}")]
    return []
