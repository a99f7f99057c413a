"""An exchange that speaks ISUP over M3UA over TCP, from RFC 4666 and Q.763."""

from __future__ import annotations

import struct
from collections.abc import Callable

from barleywheel.standins import ProtocolError, Transport

# M3UA message codes (RFC 4666): the class in the high byte, the type in the low byte.
ASPUP = 0x301
ASPDN = 0x302
BEAT = 0x303
ASPUP_ACK = 0x304
ASPDN_ACK = 0x305
BEAT_ACK = 0x306
ASPAC = 0x401
ASPIA = 0x402
ASPAC_ACK = 0x403
ASPIA_ACK = 0x404
ERR = 0x000
NTFY = 0x001
DATA = 0x101
DUNA = 0x201
DAVA = 0x202
DAUD = 0x203
SCON = 0x204
# Those that the router may send.
M3UA_CODES_FROM_ROUTER = {
    ERR,
    NTFY,
    DATA,
    DAVA,
    ASPUP_ACK,
    ASPDN_ACK,
    BEAT,
    BEAT_ACK,
    ASPAC_ACK,
    ASPIA_ACK,
}
# ISUP message types (Q.763).
IAM = 1
ACM = 6
ANM = 9
REL = 12
RLC = 16
RSC = 18
ROUTING_CONTEXT = {0x06: b"\0\0\0\1"}  # M3UA parameters: tag to value
EXCHANGE_POINT_CODE = 200
ROUTER_POINT_CODE = 100
# Arguments: exchange, CIC, ISUP message type, body without the type, description.
MessageHandler = Callable[["Exchange", int, int, bytes, bytes], None]


def encode(message_code: int, params: dict[int, bytes]) -> bytes:
    """One M3UA message; ``params`` maps tags to values."""
    body = b"".join(
        struct.pack(">HH", tag, 4 + len(value)) + value + bytes(-len(value) % 4)
        for tag, value in params.items()
    )
    return struct.pack(">BBHI", 1, 0, message_code, 8 + len(body)) + body


def encode_data(
    cic: int, isup_type: int, body: bytes = b"", opc: int = EXCHANGE_POINT_CODE, dpc: int = ROUTER_POINT_CODE
) -> bytes:
    """A DATA message that carries an ISUP message."""
    routing_label = struct.pack(">IIBBBB", opc, dpc, 5, 2, 0, cic & 15)
    return encode(DATA, ROUTING_CONTEXT | {0x210: routing_label + struct.pack("<HB", cic, isup_type) + body})


def encode_iam(cic: int, description: bytes = b"", category: int = 10, number: str = "7f3a") -> bytes:
    """An IAM; the called number's digits are packed in pairs, the first in the low half of the byte."""
    padded = number + "0" * (len(number) % 2)
    digits = bytes(int(padded[at + 1] + padded[at], 16) for at in range(0, len(padded), 2))
    called_number = bytes([3 | 0x80 * (len(number) % 2), 0x10]) + digits
    options = b"\x20" + bytes([len(description)]) + description + b"\0" if description else b""
    pointers = bytes([2, len(called_number) + 2 if options else 0])
    return encode_data(
        cic,
        IAM,
        bytes([0, 0x20, 1, category, 0]) + pointers + bytes([len(called_number)]) + called_number + options,
    )


def encode_anm(cic: int, description: bytes) -> bytes:
    """An ANM with the description as user-to-user information."""
    return encode_data(cic, ANM, b"\1\x20" + bytes([len(description)]) + description + b"\0")


def encode_rel(cic: int, cause: int) -> bytes:
    """A REL with its cause."""
    return encode_data(cic, REL, bytes([2, 0, 2, 0x80, 0x80 | cause & 0x7F]))


class Exchange:
    """An exchange and its link to the router; the circuits' states are kept by whoever drives it.

    ``answers_calls``: whether an IAM from the router is answered with ANM; nothing is sent otherwise.
    ``completes_releases``: whether a REL from the router is answered with RLC. The driver acts on both.
    """

    def __init__(self, on_message: MessageHandler) -> None:
        self.transport: Transport | None = None
        self.on_message = on_message
        self.active = False
        self.on_link_lost: Callable[[], object] = lambda: None  # called when the router ends the link
        self.answers_calls, self.completes_releases = True, True
        self.answers_heartbeats = True
        self._buffer = b""

    def attach(self, transport: Transport) -> Exchange:
        """Take over a new link. ASPUP and ASPAC are not sent yet; see ``activate``."""
        self.transport, self._buffer, self.active = transport, b"", False
        return self

    def activate(self) -> None:
        """Send ASPUP and ASPAC, the requests to carry traffic."""
        self.write(encode(ASPUP, {0x11: b"\0\0\0\1"}))
        self.write(encode(ASPAC, ROUTING_CONTEXT))

    def write(self, data: bytes) -> bool:
        """Send on the link; return False if there is none."""
        return self.transport is not None and self.transport.write(data)

    def drop(self, reset: bool = False) -> None:
        """Close the link from the exchange's side, or reset it."""
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
            version, _, message_code, length = struct.unpack(">BBHI", self._buffer[:8])
            if (
                version != 1
                or message_code not in M3UA_CODES_FROM_ROUTER
                or not 8 <= length <= 16 * 1024
                or length % 4
            ):
                raise ProtocolError(f"exchange: malformed or unexpected M3UA header {self._buffer[:8]!r}")
            if len(self._buffer) < length:
                return
            body, self._buffer = self._buffer[8:length], self._buffer[length:]
            self._handle_message(message_code, body)

    def _handle_message(self, message_code: int, body: bytes) -> None:
        params, at = {}, 0
        while at < len(body):
            tag, size = struct.unpack_from(">HH", body, at)
            if size < 4 or at + size > len(body):
                raise ProtocolError(f"exchange: M3UA parameter {tag:#x} with length {size}")
            params[tag] = body[at + 4 : at + size]
            at += size + -size % 4
        if message_code == ASPAC_ACK:
            self.active = True
        elif message_code in (ASPIA_ACK, ASPDN_ACK):
            self.active = False
        elif message_code == BEAT and self.answers_heartbeats:
            self.write(encode(BEAT_ACK, {0x09: params[0x09]}))
        elif message_code == DATA:
            self._handle_isup(params)

    def _handle_isup(self, params: dict[int, bytes]) -> None:
        opc, dpc, si, ni = struct.unpack_from(">IIBB", params[0x210], 0)
        cic, isup_type = struct.unpack_from("<HB", params[0x210], 12)
        body = params[0x210][15:]
        if (opc, dpc, si, ni) != (ROUTER_POINT_CODE, EXCHANGE_POINT_CODE, 5, 2) or (
            isup_type not in (IAM, ACM, ANM, REL, RLC)
        ):
            raise ProtocolError(
                f"exchange: DATA with OPC {opc}, DPC {dpc}, SI {si}, NI {ni}, ISUP type {isup_type}"
            )
        if isup_type == REL and (len(body) != 5 or not 0 < body[4] & 0x7F):
            raise ProtocolError(f"exchange: malformed REL {body!r}")
        description = b""
        if isup_type in (IAM, ANM):
            pointer = 6 if isup_type == IAM else 0  # to the optional parameters
            if body[pointer]:
                at = pointer + body[pointer]
                if body[at] != 0x20 or len(body) != at + 3 + body[at + 1] or body[-1] != 0:
                    raise ProtocolError(f"exchange: malformed user-to-user information in {body!r}")
                description = body[at + 2 : -1]
        self.on_message(self, cic, isup_type, body, description)
