"""ISUP (Q.763): the messages of a basic call, in the user data of M3UA's DATA.

The number called is hex digits here, so all sixteen codes of an address signal are digits. The
description of a call travels as user-to-user information, in IAM and in ANM.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MAX_DIGITS = 16
MAX_DESCRIPTION = 252  # a parameter's length is one byte, and pointers too
CALLED, CAUSE, USER_TO_USER = 0x04, 0x12, 0x20
HEAD = struct.Struct("<HB")


class Type(IntEnum):
    """Message types."""

    IAM = 0x01
    ACM = 0x06
    ANM = 0x09
    REL = 0x0C
    RLC = 0x10
    RSC = 0x12


class IsupDecodeError(Exception):
    """The message contradicts itself."""


@dataclass(slots=True)
class Message:
    """One message of a circuit. What a type does not carry stays at its default."""

    cic: int
    type: int
    number: str = ""
    category: int = 10
    cause: int = 16
    description: bytes = b""


def encode(message: Message) -> bytes:
    """One message; fixed part, mandatory variable part, optional part."""
    head = HEAD.pack(message.cic & 0xFFF, message.type)
    optional = b""
    if message.description and message.type in (Type.IAM, Type.ANM):
        if len(message.description) > MAX_DESCRIPTION:
            raise ValueError("description too long for user-to-user information")
        optional = bytes([USER_TO_USER, len(message.description)]) + message.description + b"\0"
    if message.type == Type.IAM:
        called = _digits(message.number)
        variable = bytes([2, len(called) + 2 if optional else 0, len(called)]) + called
        return head + bytes([0, 0x20, 0x01, message.category, 0]) + variable + optional
    if message.type == Type.ACM:
        return head + bytes([0x16, 0x04, 0])
    if message.type == Type.ANM:
        return head + bytes([1 if optional else 0]) + optional
    if message.type == Type.REL:
        return head + bytes([2, 0, 2, 0x80, 0x80 | message.cause & 0x7F])
    return head + (b"\0" if message.type == Type.RLC else b"")


def _digits(number: str) -> bytes:
    odd = len(number) % 2
    padded = number + "0" * odd
    pairs = bytes(int(padded[at + 1] + padded[at], 16) for at in range(0, len(padded), 2))
    return bytes([0x80 * odd | 0x03, 0x10]) + pairs


def decode(data: bytes) -> Message:
    """Read one message; unknown types come back with their head alone."""
    try:
        cic, kind = HEAD.unpack_from(data)
        message = Message(cic & 0xFFF, kind)
        if kind == Type.IAM:
            message.category = data[HEAD.size + 3]
            at = HEAD.size + 5
            called = _variable(data, at)
            message.number = "".join(f"{byte & 15:x}{byte >> 4:x}" for byte in called[2:])
            message.number = message.number[: len(message.number) - (called[0] >> 7)]
            message.description = _optional(data, at + 1).get(USER_TO_USER, b"")
        elif kind == Type.ANM:
            message.description = _optional(data, HEAD.size).get(USER_TO_USER, b"")
        elif kind == Type.REL:
            message.cause = _variable(data, HEAD.size)[1] & 0x7F
        return message
    except (IndexError, struct.error) as error:
        raise IsupDecodeError(f"cut short: {error}") from error


def _variable(data: bytes, pointer_at: int) -> bytes:
    at = pointer_at + data[pointer_at]
    value = data[at + 1 : at + 1 + data[at]]
    if len(value) < 2 or len(value) != data[at] or data[pointer_at] == 0:
        raise IsupDecodeError("mandatory parameter missing or cut short")
    return value


def _optional(data: bytes, pointer_at: int) -> dict[int, bytes]:
    values: dict[int, bytes] = {}
    if pointer_at >= len(data) or data[pointer_at] == 0:
        return values
    at = pointer_at + data[pointer_at]
    while data[at] != 0:
        value = data[at + 2 : at + 2 + data[at + 1]]
        if len(value) != data[at + 1]:
            raise IsupDecodeError("optional parameter cut short")
        values[data[at]] = value
        at += 2 + len(value)
    return values
