"""M3UA codec (RFC 4666): common header, parameters and the message types in use, framed on a TCP stream."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from barleywheel.net.buffer import Buffer
from barleywheel.wire import Malformed

MAX_MESSAGE_BYTES = 16 * 1024
COMMON_HEADER = struct.Struct(">BBBBI")  # version, reserved, message class, message type, message length
PARAMETER_HEADER = struct.Struct(">HH")  # tag, length with this header and without padding
PROTOCOL_DATA_HEADER = struct.Struct(">IIBBBB")  # OPC, DPC, SI, NI, message priority, SLS
ISUP_SERVICE_INDICATOR = 5
VERSION = 1


class MessageCode(IntEnum):
    """Message class (high byte) and message type (low byte) as one number."""

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
    """Parameter tags (RFC 4666, 3.2)."""

    INFO_STRING = 0x0004
    ROUTING_CONTEXT = 0x0006
    DIAGNOSTIC_INFORMATION = 0x0007
    HEARTBEAT_DATA = 0x0009
    TRAFFIC_MODE_TYPE = 0x000B
    ERROR_CODE = 0x000C
    STATUS = 0x000D
    ASP_IDENTIFIER = 0x0011
    AFFECTED_POINT_CODES = 0x0012
    CONGESTION_INDICATIONS = 0x0205
    PROTOCOL_DATA = 0x0210


class ErrorCode(IntEnum):
    """Values of the Error Code parameter of ERR (RFC 4666, 3.8.1)."""

    INVALID_VERSION = 0x01
    UNSUPPORTED_CLASS = 0x03
    UNSUPPORTED_TYPE = 0x04
    UNEXPECTED_MESSAGE = 0x06
    PARAMETER_FIELD = 0x12
    MISSING_PARAMETER = 0x16
    INVALID_ROUTING_CONTEXT = 0x19
    NO_AS_FOR_ASP = 0x1A


# Status parameter of NTFY: type 1 (application server state change) and the new state.
AS_INACTIVE_STATUS = struct.pack(">HH", 1, 2)
AS_ACTIVE_STATUS = struct.pack(">HH", 1, 3)
AS_PENDING_STATUS = struct.pack(">HH", 1, 4)


@dataclass(slots=True)
class Message:
    """An M3UA message; ``code`` holds class and type, also of messages that ``MessageCode`` does not list."""

    code: int
    version: int = VERSION
    parameters: dict[int, bytes] = field(default_factory=dict)

    def number(self, tag: Tag) -> int | None:
        """The first four bytes of a parameter as an integer; None if it is absent or shorter."""
        value = self.parameters.get(tag)
        return int.from_bytes(value[:4], "big") if value is not None and len(value) >= 4 else None

    def point_codes(self) -> list[int]:
        """The affected point codes. The mask byte before each denotes a cluster and is ignored."""
        value = self.parameters.get(Tag.AFFECTED_POINT_CODES, b"")
        return [
            int.from_bytes(value[offset + 1 : offset + 4], "big") for offset in range(0, len(value) - 3, 4)
        ]


@dataclass(slots=True)
class Transfer:
    """The Protocol Data parameter of DATA: routing label, service information and the user part's message."""

    opc: int  # originating point code
    dpc: int  # destination point code
    user: bytes  # message of the user part, such as ISUP
    si: int = ISUP_SERVICE_INDICATOR
    ni: int = 2  # network indicator: national network
    sls: int = 0  # signalling link selection


def parse_next(buffer: Buffer) -> Message | None:
    """Remove and return the next message of the buffer; None while it is incomplete."""
    if len(buffer) < COMMON_HEADER.size:
        return None
    version, _, message_class, message_type, length = COMMON_HEADER.unpack(buffer.peek(COMMON_HEADER.size))
    if not COMMON_HEADER.size <= length <= MAX_MESSAGE_BYTES:
        raise Malformed(f"M3UA message length invalid: {length}")
    if len(buffer) < length:
        return None
    body = buffer.take(length)[COMMON_HEADER.size :]
    message, offset = Message(message_class << 8 | message_type, version), 0
    while offset + PARAMETER_HEADER.size <= len(body):
        tag, size = PARAMETER_HEADER.unpack_from(body, offset)
        if size < PARAMETER_HEADER.size or offset + size > len(body):
            raise Malformed("M3UA parameter length too small or beyond the end of the message")
        message.parameters.setdefault(tag, body[offset + PARAMETER_HEADER.size : offset + size])
        offset += size + -size % 4
    return message


def encode(code: MessageCode, parameters: dict[Tag, bytes] | None = None) -> bytes:
    """Encode a message; each parameter is padded to a multiple of four bytes."""
    body = b""
    for tag, value in (parameters or {}).items():
        size = PARAMETER_HEADER.size + len(value)
        body += PARAMETER_HEADER.pack(tag, size) + value + bytes(-size % 4)
    return COMMON_HEADER.pack(VERSION, 0, code >> 8, code & 0xFF, COMMON_HEADER.size + len(body)) + body


def encode_transfer(transfer: Transfer, routing_context: int) -> bytes:
    """Encode a DATA message."""
    header = PROTOCOL_DATA_HEADER.pack(transfer.opc, transfer.dpc, transfer.si, transfer.ni, 0, transfer.sls)
    return encode(
        MessageCode.DATA,
        {Tag.ROUTING_CONTEXT: routing_context.to_bytes(4, "big"), Tag.PROTOCOL_DATA: header + transfer.user},
    )


def decode_transfer(message: Message) -> Transfer | None:
    """Decode the Protocol Data of a DATA message; None if it is absent or truncated."""
    value = message.parameters.get(Tag.PROTOCOL_DATA, b"")
    if len(value) < PROTOCOL_DATA_HEADER.size:
        return None
    opc, dpc, si, ni, _, sls = PROTOCOL_DATA_HEADER.unpack_from(value)
    return Transfer(opc, dpc, value[PROTOCOL_DATA_HEADER.size :], si, ni, sls)
