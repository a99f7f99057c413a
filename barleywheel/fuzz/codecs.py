"""Checks of the wire parsers with arbitrary bytes.

For any input, a parser returns a message, reports that the message is still incomplete, or raises the one
exception that it may raise. The result does not depend on how the bytes were split over reads. An encoded
message decodes to the same message. The number of bytes examined is at most a multiple of the input's length.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from barleywheel.fuzz.rules import Violation
from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed, isup, jsonlines, m3ua, sip

MAX_EXAMINED_BYTES_PER_INPUT_BYTE = 16  # examined: searched or copied
EXTRA_EXAMINED_BYTES = 64 * 1024  # allowed on top of that, for an input of any length
ParseFunction = Callable[[Buffer], Any]  # the next message, or None if it is incomplete


class MeteredBuffer(Buffer):
    """A buffer that counts the bytes that a parser searches or copies."""

    def __init__(self) -> None:
        super().__init__()
        self.examined_bytes = 0

    def append(self, data: bytes) -> None:
        """Append bytes as a read from a socket does."""
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
        self.examined_bytes += (self.end if at < 0 else self.start + at + len(mark)) - before
        return at

    def peek(self, count: int) -> bytes:
        """See ``Buffer``."""
        data = super().peek(count)
        self.examined_bytes += len(data)
        return data


def parse_all(parse_next: ParseFunction, pieces: list[bytes]) -> tuple[list[str], str, int]:
    """Parse a stream; the messages as text, the error ("" if none), and the number of bytes examined."""
    buffer, messages = MeteredBuffer(), []
    for piece in pieces:
        buffer.append(piece)
        try:
            while (message := parse_next(buffer)) is not None:
                messages.append(repr(message))
        except Malformed:
            return messages, "Malformed", buffer.examined_bytes
        except Exception as error:
            return messages, f"{type(error).__name__}: {str(error)[:200]}", buffer.examined_bytes
    return messages, "", buffer.examined_bytes


def split_pieces(data: bytes) -> list[bytes]:
    """Split an input into pseudo-random pieces, about a hundred if it is long.

    The sizes derive from a checksum of the input, so an input is always split in the same way.
    """
    pieces, at, seed, max_piece_size = [], 0, zlib.crc32(data), max(37, len(data) // 64)
    while at < len(data):
        seed = seed * 1103515245 + 12345 & 0x7FFFFFFF
        size = 1 + (seed >> 16) % max_piece_size
        pieces.append(data[at : at + size])
        at += size
    return pieces


def check_stream(parse_next: ParseFunction, data: bytes, looks_ahead: bool = False) -> list[Violation]:
    """Check a stream parser: allowed errors, independence of the split, and a bound on the bytes examined.

    A parser that looks ahead may reject a message because of the bytes after it, but not before they have
    arrived. The messages of the split and of the unsplit input may then differ in number, if the shorter list
    is the beginning of the longer one and at least one of the two runs ends in ``Malformed``.
    """
    unsplit_messages, unsplit_error, examined_bytes = parse_all(parse_next, [data])
    violations = []
    if unsplit_error not in ("", "Malformed"):
        violations.append(Violation("parser raised", unsplit_error))
    # Only inputs of up to 600 bytes are split into single bytes: in longer ones, pieces of a few bytes
    # reveal repeated work just as well.
    for pieces in (
        split_pieces(data),
        [data[at : at + 1] for at in range(len(data) if len(data) <= 600 else 0)],
    ):
        if data and not pieces:
            continue
        split_messages, split_error, examined_bytes = parse_all(parse_next, pieces)
        errors = {unsplit_error, split_error}
        if looks_ahead and "Malformed" in errors and errors <= {"", "Malformed"}:
            shorter, longer = sorted((unsplit_messages, split_messages), key=len)
            if longer[: len(shorter)] == shorter:
                continue
        if split_messages != unsplit_messages or split_error != unsplit_error:
            violations.append(
                Violation(
                    "depends on the split",
                    f"{unsplit_messages} {unsplit_error} unsplit, {split_messages} {split_error} split",
                )
            )
            break
        if examined_bytes > MAX_EXAMINED_BYTES_PER_INPUT_BYTE * len(data) + EXTRA_EXAMINED_BYTES:
            violations.append(
                Violation("work", f"{examined_bytes} bytes examined for {len(data)} in {len(pieces)} pieces")
            )
            break
    return violations


def check_jsonlines(data: bytes) -> list[Violation]:
    """Check the JSON lines of callers: parser, round trip of a description, and reading of requests."""
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
            violations += _check_request(message)
    except Malformed:
        pass
    except Exception as error:
        violations.append(Violation("request raised", f"{type(error).__name__}: {error}"))
    return violations


def _check_request(message: dict[str, Any]) -> list[Violation]:
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
    """Check the SIP of hubs: parser, values of the messages, and the content length of an encoded INVITE."""

    def parse_and_check(buffer: Buffer) -> Any:
        message = sip.parse_next(buffer)
        if message is not None:
            cseq_number, cause = message.cseq[0], message.cause
            if not 0 <= cseq_number <= 0xFFFFFFFF or not 0 < cause < 128:
                raise ArithmeticError(f"out of range: CSeq {cseq_number} or cause {cause}")
            if str(len(message.body)) != message.headers["content-length"].lstrip("0") and message.body:
                raise ArithmeticError(f"body of {len(message.body)} bytes does not match Content-Length")
            return message, message.load, sip.response(200, "OK", message)
        return None

    violations = check_stream(parse_and_check, data, looks_ahead=True)
    buffer = MeteredBuffer()
    buffer.append(sip.invite("9b1f03aa00000001", 1, "7f3a", "voice", 1, data[:8000]))
    decoded = sip.parse_head(buffer.peek(buffer.find(b"\r\n\r\n")))
    if decoded.headers["content-length"] != str(len(data[:8000])):
        violations.append(Violation("not decoded again", repr(decoded)))
    return violations


def check_m3ua(data: bytes) -> list[Violation]:
    """Check the M3UA of exchanges: parser, the ISUP in transfers, and round trip of the transfers."""

    def parse_and_check(buffer: Buffer) -> Any:
        message = m3ua.parse_next(buffer)
        if message is None:
            return None
        transfer = m3ua.decode_transfer(message)
        isup_message: object = None
        if transfer is not None:
            try:
                isup_message = isup.decode(transfer.user)
            except isup.IsupDecodeError:
                isup_message = "unreadable"
            encoded = MeteredBuffer()
            encoded.append(m3ua.encode_transfer(transfer, 1)) if len(transfer.user) < 8000 else None
            decoded = m3ua.parse_next(encoded)
            if decoded is not None and m3ua.decode_transfer(decoded) != transfer:
                raise ArithmeticError(f"not decoded again: {transfer}")
        return message, message.point_codes(), [message.number(tag) for tag in m3ua.Tag], isup_message

    return check_stream(parse_and_check, data)


def check_isup(data: bytes) -> list[Violation]:
    """Check the round trip of an ISUP message built from the input, and decode the input as a message."""
    message_types = tuple(isup.Type)
    built = isup.Message(len(data) & 0xFFF, message_types[len(data) % len(message_types)])
    if built.type == isup.Type.IAM:
        built.number, built.category = data[:8].hex()[: 1 + len(data) % 16], (data or b"\0")[-1]
    if built.type == isup.Type.REL:
        built.cause = 1 + (data or b"\0")[0] % 127
    if built.type in (isup.Type.IAM, isup.Type.ANM):
        built.description = data[: isup.MAX_DESCRIPTION]
    try:
        decoded = isup.decode(isup.encode(built))
    except isup.IsupDecodeError as error:
        return [Violation("not decoded again", f"{built}: {error}")]
    if decoded != built:
        return [Violation("not decoded again", f"{decoded} for {built}")]
    try:
        message = isup.decode(data)
    except isup.IsupDecodeError:
        return []
    except Exception as error:
        return [Violation("parser raised", f"{type(error).__name__}: {error}")]
    try:
        encoded = isup.encode(message)
    except ValueError:  # the description is too long to be encoded
        return []
    try:
        decoded = isup.decode(encoded)
    except isup.IsupDecodeError as error:
        return [Violation("not decoded again", f"{message}: {error}")]
    if message.type in tuple(isup.Type) and decoded != message:
        return [Violation("not decoded again", f"{decoded} for {message}")]
    return []
