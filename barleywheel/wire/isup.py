"""ISUP codec (Q.763): the messages of a basic call, carried as user data of M3UA DATA messages.

Called party numbers are hexadecimal here, so all sixteen address signal codes are valid digits. The
description of a call is carried as user-to-user information in IAM and ANM.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MAX_CALLED_DIGITS = 16
MAX_DESCRIPTION = 252  # bytes; parameter lengths and pointers are one byte each

# Parameter name codes (Q.763).
CALLED_PARTY_NUMBER = 0x04
CAUSE_INDICATORS = 0x12
USER_TO_USER_INFORMATION = 0x20

CIC_AND_TYPE = struct.Struct("<HB")  # circuit identification code, message type


class Type(IntEnum):
    """Message type codes."""

    IAM = 0x01
    ACM = 0x06
    ANM = 0x09
    REL = 0x0C
    RLC = 0x10
    RSC = 0x12


class IsupDecodeError(Exception):
    """An ISUP message is truncated or lacks a mandatory parameter."""


@dataclass(slots=True)
class Message:
    """A message about one circuit. Fields that its message type does not carry keep their defaults."""

    cic: int
    type: int
    number: str = ""
    category: int = 10  # calling party's category: ordinary subscriber
    cause: int = 16  # Q.850: normal call clearing
    description: bytes = b""


def encode(message: Message) -> bytes:
    """Encode a message: mandatory fixed part, mandatory variable part, optional part."""
    header = CIC_AND_TYPE.pack(message.cic & 0xFFF, message.type)
    optional = b""
    if message.description and message.type in (Type.IAM, Type.ANM):
        if len(message.description) > MAX_DESCRIPTION:
            raise ValueError("description too long for user-to-user information")
        optional = bytes([USER_TO_USER_INFORMATION, len(message.description)]) + message.description + b"\0"
    if message.type == Type.IAM:
        called = _encode_called_number(message.number)
        variable = bytes([2, len(called) + 2 if optional else 0, len(called)]) + called
        # nature of connection, forward call indicators (2), calling party's category, transmission medium
        return header + bytes([0, 0x20, 0x01, message.category, 0]) + variable + optional
    if message.type == Type.ACM:
        return header + bytes([0x16, 0x04, 0])  # backward call indicators (2), no optional part
    if message.type == Type.ANM:
        return header + bytes([1 if optional else 0]) + optional
    if message.type == Type.REL:
        # pointers to the cause indicators and to no optional part; length, location, cause value
        return header + bytes([2, 0, 2, 0x80, 0x80 | message.cause & 0x7F])
    return header + (b"\0" if message.type == Type.RLC else b"")


def _encode_called_number(number: str) -> bytes:
    """The called party number: nature of address, numbering plan, digits in swapped pairs."""
    odd = len(number) % 2
    padded = number + "0" * odd
    pairs = bytes(int(padded[index + 1] + padded[index], 16) for index in range(0, len(padded), 2))
    return bytes([0x80 * odd | 0x03, 0x10]) + pairs


def decode(data: bytes) -> Message:
    """Decode a message; of unknown message types, only CIC and type."""
    try:
        cic, message_type = CIC_AND_TYPE.unpack_from(data)
        message = Message(cic & 0xFFF, message_type)
        if message_type == Type.IAM:
            message.category = data[CIC_AND_TYPE.size + 3]
            pointer_offset = CIC_AND_TYPE.size + 5
            called = _mandatory_variable_parameter(data, pointer_offset)
            message.number = "".join(f"{byte & 15:x}{byte >> 4:x}" for byte in called[2:])
            # the odd/even bit set: the last digit is filler
            message.number = message.number[: len(message.number) - (called[0] >> 7)]
            message.description = _optional_parameters(data, pointer_offset + 1).get(
                USER_TO_USER_INFORMATION, b""
            )
        elif message_type == Type.ANM:
            message.description = _optional_parameters(data, CIC_AND_TYPE.size).get(
                USER_TO_USER_INFORMATION, b""
            )
        elif message_type == Type.REL:
            message.cause = _mandatory_variable_parameter(data, CIC_AND_TYPE.size)[1] & 0x7F
        return message
    except (IndexError, struct.error) as error:
        raise IsupDecodeError(f"message truncated: {error}") from error


def _mandatory_variable_parameter(data: bytes, pointer_offset: int) -> bytes:
    offset = pointer_offset + data[pointer_offset]
    value = data[offset + 1 : offset + 1 + data[offset]]
    if len(value) < 2 or len(value) != data[offset] or data[pointer_offset] == 0:
        raise IsupDecodeError("mandatory parameter missing or truncated")
    return value


def _optional_parameters(data: bytes, pointer_offset: int) -> dict[int, bytes]:
    values: dict[int, bytes] = {}
    if pointer_offset >= len(data) or data[pointer_offset] == 0:
        return values
    offset = pointer_offset + data[pointer_offset]
    while data[offset] != 0:
        value = data[offset + 2 : offset + 2 + data[offset + 1]]
        if len(value) != data[offset + 1]:
            raise IsupDecodeError("optional parameter truncated")
        values[data[offset]] = value
        offset += 2 + len(value)
    return values
