"""Codec for the hubs' protocol: the part of SIP over TCP (RFC 3261) that calls need."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

MAX_MESSAGE_BYTES = 16 * 1024
MAX_CSEQ = 1 << 31  # RFC 3261, 8.1.1.5
STATUS_LINE = re.compile(r"SIP/2\.0 ([1-6]\d\d)(?: .*)?\Z")
REQUEST_LINE = re.compile(r"([A-Z]+) (\S+) SIP/2\.0\Z")
# Start lines that show a wrong Content-Length, or a message cut off within its header.
START_LINE_IN_BODY = re.compile(rb"SIP/2\.0 [1-6]\d\d |[A-Z]{3,16} [^\s]{1,200} SIP/2\.0\r\n")
START_LINE_IN_HEADER = re.compile(r"SIP/2\.0 [1-6]\d\d |[A-Z] \S+ SIP/2\.0\Z")
# A hub's message begins with one of these: a response, or a request of a registered method. None of them ends
# in another, so a start line without its first bytes is not taken for one. PRACK is left out because it ends
# in ACK; hubs have no use for it.
MESSAGE_STARTS = (
    b"SIP/2.0 ",
    b"ACK ",
    b"BYE ",
    b"CANCEL ",
    b"INFO ",
    b"INVITE ",
    b"MESSAGE ",
    b"NOTIFY ",
    b"OPTIONS ",
    b"PUBLISH ",
    b"REFER ",
    b"REGISTER ",
    b"SUBSCRIBE ",
    b"UPDATE ",
)
LINE_END = b"\r\n"
# Bytes behind a body that are examined: keep-alives and the start of the next message.
LOOKAHEAD_BYTES = 24
INVALID_CHARACTERS = re.compile(r"[\x00-\x08\x0b-\x1f\x7f\ufffd]")
CAUSE_PARAMETER = re.compile(r"cause\s*=\s*(\d{1,3})(?!\d)", re.I)
CAUSE_NORMAL_CLEARING = 16
CAUSE_NORMAL_UNSPECIFIED = 31
COMPACT_HEADER_NAMES = {"i": "call-id", "l": "content-length", "v": "via", "s": "subject"}


@dataclass(slots=True)
class Message:
    """A request (``method``) or a response (``status``)."""

    method: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def call_id(self) -> str:
        """The Call-ID header; empty if missing."""
        return self.headers.get("call-id", "")

    @property
    def cseq(self) -> tuple[int, str]:
        """Number and method of the CSeq header; (0, '') if it is missing or invalid."""
        number, _, method = self.headers.get("cseq", "").partition(" ")
        if not (number.isascii() and number.isdigit() and len(number) <= 10 and int(number) < MAX_CSEQ):
            return 0, ""
        return int(number), method.strip()

    @property
    def cause(self) -> int:
        """The Q.850 cause of the Reason header; 16 without the header, 31 if it has no valid cause."""
        reason = self.headers.get("reason")
        if reason is None:
            return CAUSE_NORMAL_CLEARING
        match = CAUSE_PARAMETER.search(reason)
        return int(match[1]) if match and 0 < int(match[1]) < 128 else CAUSE_NORMAL_UNSPECIFIED

    @property
    def load(self) -> dict[str, float]:
        """The load report in X-State; values that are not numbers are skipped."""
        values = {}
        for part in self.headers.get("x-state", "").split(";"):
            name, _, text = part.partition(":")
            try:
                values[name.strip()] = float(text)
            except ValueError:
                continue
        return values


def parse_next(buffer: Buffer) -> Message | None:
    """Take the next message from the buffer; None while it is incomplete."""
    while buffer.peek(2) == b"\r\n":  # keep-alive between messages
        buffer.take(2)
    if buffer.parsed_head is None:  # parse the head only once, however slowly the body is received
        end = buffer.find(b"\r\n\r\n")
        if end > MAX_MESSAGE_BYTES or end < 0 and len(buffer) > MAX_MESSAGE_BYTES:
            raise Malformed("message over 16 KiB")
        if end < 0:
            return None
        message = parse_head(buffer.peek(end))
        length = message.headers.get("content-length", "")
        if not (length.isascii() and length.isdigit() and len(length) < 10):
            raise Malformed("invalid Content-Length")
        size = end + 4 + int(length)
        if size > MAX_MESSAGE_BYTES:
            raise Malformed("message over 16 KiB")
        buffer.parsed_head = end, size, message
    end, size, message = buffer.parsed_head
    if len(buffer) < size:
        return None
    if len(buffer) < size + LOOKAHEAD_BYTES and buffer.more_unread:
        return None  # the bytes behind the body have been received but did not fit into the last read
    message.body = buffer.take(size)[end + 4 :]
    # A wrong length shows in the bytes that follow, or in a body that contains the start of the next message.
    if START_LINE_IN_BODY.search(message.body) or not _may_follow(message.body, buffer.peek(LOOKAHEAD_BYTES)):
        raise Malformed("Content-Length does not match the message")
    return message


def _may_follow(body: bytes, rest: bytes) -> bool:
    """Whether the bytes behind a body, possibly incomplete, are keep-alives and the start of a message."""
    if body and not body.endswith(LINE_END) and rest[:1] == b"\r":
        return False  # rather the body's own last line end than a keep-alive
    while rest.startswith(LINE_END):
        rest = rest[len(LINE_END) :]
    return rest in (b"", b"\r") or any(
        rest.startswith(start) or start.startswith(rest) for start in MESSAGE_STARTS
    )


def parse_head(data: bytes) -> Message:
    """Parse the start line and the headers."""
    text = re.sub(r"\r\n[ \t]+", " ", data.decode("utf-8", "replace"))
    lines = text.split("\r\n")
    if INVALID_CHARACTERS.search(text.replace("\r\n", "")):
        raise Malformed("invalid characters in a header")
    message = Message()
    if match := STATUS_LINE.match(lines[0]):
        message.status = int(match[1])
    elif match := REQUEST_LINE.match(lines[0]):
        message.method = match[1]
    else:
        raise Malformed("no SIP start line")
    for line in lines[1:]:
        if START_LINE_IN_HEADER.search(line):
            raise Malformed("start line within a header")  # the previous message was cut off
        name, colon, value = line.partition(":")
        if not colon:
            raise Malformed("header without a colon")
        name = name.strip().lower()
        name, value = COMPACT_HEADER_NAMES.get(name, name), value.strip()
        if name == "content-length" and message.headers.get(name, value) != value:
            raise Malformed("two different Content-Lengths")
        message.headers.setdefault(name, value)
    if message.status and not (message.call_id and message.cseq[1]):
        raise Malformed("response without Call-ID or CSeq")
    return message


def request(
    method: str, uri: str, call_id: str, cseq: int, extra_headers: tuple[str, ...] = (), body: bytes = b""
) -> bytes:
    """Encode a request."""
    lines = (
        f"{method} {uri} SIP/2.0",
        "Via: SIP/2.0/TCP peer",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
        *extra_headers,
        f"Content-Length: {len(body)}",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body


def invite(call_id: str, cseq: int, number: str, class_name: str, patience_ms: int, body: bytes) -> bytes:
    """Encode an INVITE."""
    return request(
        "INVITE",
        f"sip:{number}@net",
        call_id,
        cseq,
        (f"Subject: {class_name}", f"X-Patience: {patience_ms}"),
        body,
    )


def bye(call_id: str, cseq: int, number: str, cause: int) -> bytes:
    """Encode a BYE."""
    return request("BYE", f"sip:{number}@net", call_id, cseq, (f"Reason: Q.850;cause={cause}",))


def response(status: int, reason: str, to: Message) -> bytes:
    """Encode a response to a request of the peer."""
    echoed_headers = [
        f"{name}: {to.headers[key]}"
        for name, key in (("Via", "via"), ("Call-ID", "call-id"), ("CSeq", "cseq"))
        if key in to.headers
    ]
    return "\r\n".join([f"SIP/2.0 {status} {reason}", *echoed_headers, "Content-Length: 0", "", ""]).encode()
