"""An exchange that speaks ISUP over M3UA over TCP, from RFC 4666 and Q.763."""

from __future__ import annotations

import struct
from collections.abc import Callable

from barleywheel.standins import ProtocolError, Transport

ASPUP, ASPDN, BEAT, ASPUP_ACK, ASPDN_ACK, BEAT_ACK = 0x301, 0x302, 0x303, 0x304, 0x305, 0x306
ASPAC, ASPIA, ASPAC_ACK, ASPIA_ACK = 0x401, 0x402, 0x403, 0x404
ERR, NTFY, DATA, DUNA, DAVA, DAUD, SCON = 0x000, 0x001, 0x101, 0x201, 0x202, 0x203, 0x204
IAM, ACM, ANM, REL, RLC, RSC = 1, 6, 9, 12, 16, 18
KNOWN_TYPES = {ERR, NTFY, DATA, DAVA, ASPUP_ACK, ASPDN_ACK, BEAT, BEAT_ACK, ASPAC_ACK, ASPIA_ACK}
ROUTING_CONTEXT = {0x06: b"\0\0\0\1"}
EXCHANGE_POINT_CODE, ROUTER_POINT_CODE = 200, 100  # point codes, as the exchange sees them
# Arguments: exchange, cic, ISUP type, body, description.
MessageHandler = Callable[["Exchange", int, int, bytes, bytes], None]


def encode(code: int, params: dict[int, bytes]) -> bytes:
    """One M3UA message."""
    body = b"".join(
        struct.pack(">HH", tag, 4 + len(value)) + value + bytes(-len(value) % 4)
        for tag, value in params.items()
    )
    return struct.pack(">BBHI", 1, 0, code, 8 + len(body)) + body


def encode_data(
    cic: int, kind: int, body: bytes = b"", opc: int = EXCHANGE_POINT_CODE, dpc: int = ROUTER_POINT_CODE
) -> bytes:
    """DATA with an ISUP message."""
    head = struct.pack(">IIBBBB", opc, dpc, 5, 2, 0, cic & 15)
    return encode(DATA, ROUTING_CONTEXT | {0x210: head + struct.pack("<HB", cic, kind) + body})


def encode_iam(cic: int, description: bytes = b"", category: int = 10, number: str = "7f3a") -> bytes:
    """A set-up: the digits travel as swapped pairs."""
    even = number + "0" * (len(number) % 2)
    digits = bytes(int(even[at + 1] + even[at], 16) for at in range(0, len(even), 2))
    called = bytes([3 | 0x80 * (len(number) % 2), 0x10]) + digits
    options = b"\x20" + bytes([len(description)]) + description + b"\0" if description else b""
    pointers = bytes([2, len(called) + 2 if options else 0])
    return encode_data(
        cic, IAM, bytes([0, 0x20, 1, category, 0]) + pointers + bytes([len(called)]) + called + options
    )


def encode_anm(cic: int, description: bytes) -> bytes:
    """An answer."""
    return encode_data(cic, ANM, b"\1\x20" + bytes([len(description)]) + description + b"\0")


def encode_rel(cic: int, cause: int) -> bytes:
    """A release."""
    return encode_data(cic, REL, bytes([2, 0, 2, 0x80, 0x80 | cause & 0x7F]))


class Exchange:
    """One exchange and its link; circuits are kept as this side sees them.

    ``answers_calls`` says what becomes of the router's IAMs: ANM where true, nothing else.
    ``completes_releases``: whether the router's RELs get their RLC.
    """

    def __init__(self, on_message: MessageHandler) -> None:
        self.transport: Transport | None = None
        self.on_message = on_message
        self.active = False
        self.on_link_lost: Callable[[], object] = lambda: None  # told when the router ends the link
        self.answers_calls, self.completes_releases = True, True
        self.answers_heartbeats = True
        self._buffer = b""

    def attach(self, transport: Transport) -> Exchange:
        """A link is up; ASPUP and ASPAC are the caller's to send."""
        self.transport, self._buffer, self.active = transport, b"", False
        return self

    def activate(self) -> None:
        """Ask to carry traffic."""
        self.write(encode(ASPUP, {0x11: b"\0\0\0\1"}))
        self.write(encode(ASPAC, ROUTING_CONTEXT))

    def write(self, data: bytes) -> bool:
        """Send, if there is a link."""
        return self.transport is not None and self.transport.write(data)

    def drop(self, reset: bool = False) -> None:
        """The link ends from this side."""
        if self.transport is not None:
            self.transport.close(reset)
            self.transport, self.active = None, False

    def connection_lost(self, reset: bool) -> None:
        """See ``virtual.network.StreamHandler``."""
        self.transport, self.active = None, False
        self.on_link_lost()

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``."""
        self._buffer += data
        while len(self._buffer) >= 8:
            version, _, code, length = struct.unpack(">BBHI", self._buffer[:8])
            if version != 1 or code not in KNOWN_TYPES or not 8 <= length <= 16 * 1024 or length % 4:
                raise ProtocolError(f"exchange: header {self._buffer[:8]!r}")
            if len(self._buffer) < length:
                return
            body, self._buffer = self._buffer[8:length], self._buffer[length:]
            self._message(code, body)

    def _message(self, code: int, body: bytes) -> None:
        params, at = {}, 0
        while at < len(body):
            tag, size = struct.unpack_from(">HH", body, at)
            if size < 4 or at + size > len(body):
                raise ProtocolError(f"exchange: parameter {tag:#x} of {size}")
            params[tag] = body[at + 4 : at + size]
            at += size + -size % 4
        if code == ASPAC_ACK:
            self.active = True
        elif code in (ASPIA_ACK, ASPDN_ACK):
            self.active = False
        elif code == BEAT and self.answers_heartbeats:
            self.write(encode(BEAT_ACK, {0x09: params[0x09]}))
        elif code == DATA:
            self._isup(params)

    def _isup(self, params: dict[int, bytes]) -> None:
        opc, dpc, si, ni = struct.unpack_from(">IIBB", params[0x210], 0)
        cic, kind = struct.unpack_from("<HB", params[0x210], 12)
        body = params[0x210][15:]
        if (opc, dpc, si, ni) != (ROUTER_POINT_CODE, EXCHANGE_POINT_CODE, 5, 2) or kind not in (
            IAM,
            ACM,
            ANM,
            REL,
            RLC,
        ):
            raise ProtocolError(f"exchange: DATA {opc} {dpc} {si} {ni} type {kind}")
        if kind == REL and (len(body) != 5 or not 0 < body[4] & 0x7F):
            raise ProtocolError(f"exchange: REL {body!r}")
        description = b""
        if kind in (IAM, ANM):
            pointer = 6 if kind == IAM else 0
            if body[pointer]:
                at = pointer + body[pointer]
                if body[at] != 0x20 or len(body) != at + 3 + body[at + 1] or body[-1] != 0:
                    raise ProtocolError(f"exchange: user-to-user information in {body!r}")
                description = body[at + 2 : -1]
        self.on_message(self, cic, kind, body, description)
