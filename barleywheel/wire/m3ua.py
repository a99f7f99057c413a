"""M3UA (RFC 4666): the common header, parameters and the messages spoken here, cut off a TCP stream."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

LIMIT = 16 * 1024
HEADER = struct.Struct(">BBBBI")
PARAMETER = struct.Struct(">HH")
ROUTING = struct.Struct(">IIBBBB")
SI_ISUP = 5
VERSION = 1


class Kind(IntEnum):
    """Class and type of a message as one number."""

    ERR = 0x0000
    NTFY = 0x0001
    DATA = 0x0101
    DUNA = 0x0201
    DAVA = 0x0202
    DAUD = 0x0203
    SCON = 0x0204
    ASPUP = 0x0301
    ASPDN = 0x0302
    BEAT = 0x0303
    ASPUP_ACK = 0x0304
    ASPDN_ACK = 0x0305
    BEAT_ACK = 0x0306
    ASPAC = 0x0401
    ASPIA = 0x0402
    ASPAC_ACK = 0x0403
    ASPIA_ACK = 0x0404


class Tag(IntEnum):
    """Parameters."""

    INFO = 0x0004
    ROUTING_CONTEXT = 0x0006
    DIAGNOSTIC = 0x0007
    HEARTBEAT = 0x0009
    TRAFFIC_MODE = 0x000B
    ERROR_CODE = 0x000C
    STATUS = 0x000D
    ASP_ID = 0x0011
    AFFECTED = 0x0012
    CONGESTION = 0x0205
    PROTOCOL_DATA = 0x0210


class Error(IntEnum):
    """Error codes of ERR."""

    INVALID_VERSION = 0x01
    UNSUPPORTED_CLASS = 0x03
    UNSUPPORTED_TYPE = 0x04
    UNEXPECTED_MESSAGE = 0x06
    PARAMETER_FIELD = 0x12
    MISSING_PARAMETER = 0x16
    INVALID_ROUTING_CONTEXT = 0x19
    NO_AS_FOR_ASP = 0x1A


# Status types and informations of NTFY: application server state changes.
AS_INACTIVE = struct.pack(">HH", 1, 2)
AS_ACTIVE = struct.pack(">HH", 1, 3)
AS_PENDING = struct.pack(">HH", 1, 4)


@dataclass(slots=True)
class Message:
    """One message; ``code`` is its class and type, known or not."""

    code: int
    version: int = VERSION
    parameters: dict[int, bytes] = field(default_factory=dict)

    def number(self, tag: Tag) -> int | None:
        """A parameter of four bytes as a number."""
        value = self.parameters.get(tag)
        return int.from_bytes(value[:4], "big") if value is not None and len(value) >= 4 else None

    def point_codes(self) -> list[int]:
        """The affected point codes; the mask before each is for clusters, which are not served."""
        value = self.parameters.get(Tag.AFFECTED, b"")
        return [int.from_bytes(value[at + 1 : at + 4], "big") for at in range(0, len(value) - 3, 4)]


@dataclass(slots=True)
class Transfer:
    """The protocol data of DATA."""

    opc: int
    dpc: int
    user: bytes
    si: int = SI_ISUP
    ni: int = 2
    sls: int = 0


def parse_next(buffer: Buffer) -> Message | None:
    """Take the next message off the buffer; None until it is whole."""
    if len(buffer) < HEADER.size:
        return None
    version, _, kind, what, length = HEADER.unpack(buffer.peek(HEADER.size))
    if not HEADER.size <= length <= LIMIT:
        raise Malformed(f"M3UA length of {length}")
    if len(buffer) < length:
        return None
    body = buffer.take(length)[HEADER.size :]
    message, at = Message(kind << 8 | what, version), 0
    while at + PARAMETER.size <= len(body):
        tag, size = PARAMETER.unpack_from(body, at)
        if size < PARAMETER.size or at + size > len(body):
            raise Malformed("M3UA parameter longer than its message")
        message.parameters.setdefault(tag, body[at + PARAMETER.size : at + size])
        at += size + -size % 4
    return message


def encode(kind: Kind, parameters: dict[Tag, bytes] | None = None) -> bytes:
    """One message."""
    body = b""
    for tag, value in (parameters or {}).items():
        size = PARAMETER.size + len(value)
        body += PARAMETER.pack(tag, size) + value + bytes(-size % 4)
    return HEADER.pack(VERSION, 0, kind >> 8, kind & 0xFF, HEADER.size + len(body)) + body


def encode_transfer(transfer: Transfer, context: int) -> bytes:
    """DATA."""
    head = ROUTING.pack(transfer.opc, transfer.dpc, transfer.si, transfer.ni, 0, transfer.sls)
    return encode(
        Kind.DATA, {Tag.ROUTING_CONTEXT: context.to_bytes(4, "big"), Tag.PROTOCOL_DATA: head + transfer.user}
    )


def decode_transfer(message: Message) -> Transfer | None:
    """The protocol data; None where it is missing or cut short."""
    value = message.parameters.get(Tag.PROTOCOL_DATA, b"")
    if len(value) < ROUTING.size:
        return None
    opc, dpc, si, ni, _, sls = ROUTING.unpack_from(value)
    return Transfer(opc, dpc, value[ROUTING.size :], si, ni, sls)
