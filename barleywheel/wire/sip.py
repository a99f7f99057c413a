"""The hubs' wire: SIP over TCP (RFC 3261), as much of it as calls here use."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

MAX_MESSAGE_BYTES = 16 * 1024
MAX_CSEQ = 1 << 31  # RFC 3261, 8.1.1.5
STATUS = re.compile(r"SIP/2\.0 ([1-6]\d\d)(?: .*)?\Z")
REQUEST = re.compile(r"([A-Z]+) (\S+) SIP/2\.0\Z")
START = re.compile(rb"SIP/2\.0 [1-6]\d\d |[A-Z]{3,16} [^\s]{1,200} SIP/2\.0\r\n")
INSIDE = re.compile(r"SIP/2\.0 [1-6]\d\d |[A-Z] \S+ SIP/2\.0\Z")
OPENING = re.compile(rb"[A-Z]{1,16}(?: .*|/.*)?\Z", re.S)  # how a message may begin, cut off anywhere
NOISE = re.compile(r"[\x00-\x08\x0b-\x1f\x7f\ufffd]")
CAUSE = re.compile(r"cause\s*=\s*(\d{1,3})(?!\d)", re.I)
NO_CAUSE, NORMAL_UNSPECIFIED = 16, 31
COMPACT = {"i": "call-id", "l": "content-length", "v": "via", "s": "subject"}


@dataclass(slots=True)
class Message:
    """A request (``method``) or a response (``status``)."""

    method: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""

    @property
    def call_id(self) -> str:
        """The call that it belongs to."""
        return self.headers.get("call-id", "")

    @property
    def cseq(self) -> tuple[int, str]:
        """Number and method; a missing or strange one is (0, '')."""
        number, _, method = self.headers.get("cseq", "").partition(" ")
        if not (number.isascii() and number.isdigit() and len(number) <= 10 and int(number) < MAX_CSEQ):
            return 0, ""
        return int(number), method.strip()

    @property
    def cause(self) -> int:
        """The Q.850 cause of the Reason header; 16 without one, 31 where it is none of Q.850's."""
        reason = self.headers.get("reason")
        if reason is None:
            return NO_CAUSE
        found = CAUSE.search(reason)
        return int(found[1]) if found and 0 < int(found[1]) < 128 else NORMAL_UNSPECIFIED

    @property
    def load(self) -> dict[str, float]:
        """The report in X-State; what is no number is left out."""
        values = {}
        for part in self.headers.get("x-state", "").split(";"):
            name, _, text = part.partition(":")
            try:
                values[name.strip()] = float(text)
            except ValueError:
                continue
        return values


def parse_next(buffer: Buffer) -> Message | None:
    """Take the next message off the buffer; None until it is whole."""
    while buffer.peek(2) == b"\r\n":  # keep-alive between messages
        buffer.take(2)
    if buffer.parsed_head is None:  # the head is read once, however slowly the body comes
        end = buffer.find(b"\r\n\r\n")
        if end > MAX_MESSAGE_BYTES or end < 0 and len(buffer) > MAX_MESSAGE_BYTES:
            raise Malformed("message over 16 KiB")
        if end < 0:
            return None
        message = parse_head(buffer.peek(end))
        length = message.headers.get("content-length", "")
        if not (length.isascii() and length.isdigit() and len(length) < 10):
            raise Malformed("bad Content-Length")
        size = end + 4 + int(length)
        if size > MAX_MESSAGE_BYTES:
            raise Malformed("message over 16 KiB")
        buffer.parsed_head = end, size, message
    end, size, message = buffer.parsed_head
    if len(buffer) < size:
        return None
    message.body = buffer.take(size)[end + 4 :]
    # A length that does not fit shows in what follows, or in a body that has taken in the next message.
    if (
        START.search(message.body)
        or (rest := buffer.peek(24))
        and not (rest.startswith(b"\r") or OPENING.match(rest))
    ):
        raise Malformed("Content-Length does not fit")
    return message


def parse_head(data: bytes) -> Message:
    """Read the first line and the headers."""
    text = re.sub(r"\r\n[ \t]+", " ", data.decode("utf-8", "replace"))
    lines = text.split("\r\n")
    if NOISE.search(text.replace("\r\n", "")):
        raise Malformed("noise in a header")
    message = Message()
    if found := STATUS.match(lines[0]):
        message.status = int(found[1])
    elif found := REQUEST.match(lines[0]):
        message.method = found[1]
    else:
        raise Malformed("no SIP first line")
    for line in lines[1:]:
        if INSIDE.search(line):
            raise Malformed("a message within a head")  # the one before it stopped short
        name, colon, value = line.partition(":")
        if not colon:
            raise Malformed("header without a colon")
        name = name.strip().lower()
        message.headers.setdefault(COMPACT.get(name, name), value.strip())
    if message.status and not (message.call_id and message.cseq[1]):
        raise Malformed("answer without Call-ID or CSeq")
    return message


def request(
    method: str, uri: str, call_id: str, cseq: int, more: tuple[str, ...] = (), body: bytes = b""
) -> bytes:
    """Encode a request."""
    lines = (
        f"{method} {uri} SIP/2.0",
        "Via: SIP/2.0/TCP peer",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
        *more,
        f"Content-Length: {len(body)}",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body


def invite(call_id: str, cseq: int, number: str, class_name: str, patience_ms: int, body: bytes) -> bytes:
    """Encode a set-up."""
    return request(
        "INVITE",
        f"sip:{number}@net",
        call_id,
        cseq,
        (f"Subject: {class_name}", f"X-Patience: {patience_ms}"),
        body,
    )


def bye(call_id: str, cseq: int, number: str, cause: int) -> bytes:
    """Encode a release."""
    return request("BYE", f"sip:{number}@net", call_id, cseq, (f"Reason: Q.850;cause={cause}",))


def response(status: int, reason: str, to: Message) -> bytes:
    """Encode an answer to a request of the other side."""
    echoed = [
        f"{name}: {to.headers[key]}"
        for name, key in (("Via", "via"), ("Call-ID", "call-id"), ("CSeq", "cseq"))
        if key in to.headers
    ]
    return "\r\n".join([f"SIP/2.0 {status} {reason}", *echoed, "Content-Length: 0", "", ""]).encode()
