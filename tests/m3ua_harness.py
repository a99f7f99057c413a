"""A simulated M3UA peer exchange, with a codec of its own, written from RFC 4666 and Q.763.

A fault in the program's codec thus does not cancel out in the tests.

Parameter tags: 0x06 routing context, 0x09 heartbeat data, 0x0C error code, 0x0D status, 0x11 ASP identifier,
0x12 affected point code, 0x205 congestion indications, 0x210 protocol data.
"""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass

from tests.network_harness import Inbox, start_thread

# M3UA message class (high byte) and type (low byte).
ERR = 0x000
NTFY = 0x001
DATA = 0x101
DUNA = 0x201
DAVA = 0x202
DAUD = 0x203
SCON = 0x204
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

# ISUP message types.
IAM = 1
ACM = 6
ANM = 9
REL = 12
RLC = 16

PEER_POINT_CODE = 200
ROUTER_POINT_CODE = 100


@dataclass
class M3uaMessage:
    code: int
    params: dict[int, bytes]
    cic: int = -1
    type: int = -1
    body: bytes = b""

    @property
    def cause(self) -> int:
        return self.body[4] & 0x7F  # after two pointers, length and location

    @property
    def description(self) -> bytes:
        offset = self.body.find(b"\x20", 1)  # user-to-user information
        return self.body[offset + 2 : offset + 2 + self.body[offset + 1]] if self.body[0] else b""


def encode(code: int, params: dict[int, bytes]) -> bytes:
    body = b"".join(
        struct.pack(">HH", tag, 4 + len(value)) + value + bytes(-len(value) % 4)
        for tag, value in params.items()
    )
    return struct.pack(">BBHI", 1, 0, code, 8 + len(body)) + body


class M3uaPeer:
    """A peer exchange with point code 200 and one link to the router."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.inbox: Inbox[M3uaMessage] = Inbox()

    def connect(self, active: bool = True) -> M3uaPeer:
        self.sock = socket.create_connection(("127.0.0.1", self.port))
        start_thread(self._read, self.sock)
        if active:
            self.send(ASPUP, {0x11: b"\0\0\0\1"})
            self.receive(ASPUP_ACK)
            self.send(ASPAC, {0x06: b"\0\0\0\1"})
            self.receive(ASPAC_ACK)
        return self

    def drop(self) -> None:
        self.sock.shutdown(socket.SHUT_RDWR)

    def _read(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as file, suppress(OSError):
            while len(head := file.read(8)) == 8:
                code, length = struct.unpack(">HI", head[2:])
                body, params, offset = file.read(length - 8), {}, 0
                while offset < len(body):
                    tag, size = struct.unpack_from(">HH", body, offset)
                    params[tag] = body[offset + 4 : offset + size]
                    offset += size + -size % 4
                message = M3uaMessage(code, params)
                if code == DATA:
                    opc, dpc, si = struct.unpack_from(">IIB", params[0x210])
                    assert (opc, dpc, si) == (ROUTER_POINT_CODE, PEER_POINT_CODE, 5)
                    message.cic, message.type = struct.unpack_from("<HB", params[0x210], 12)
                    message.body = params[0x210][15:]
                self.inbox.add(message)

    def send(self, code: int, params: dict[int, bytes]) -> None:
        self.sock.sendall(encode(code, params))

    def receive(self, code: int) -> M3uaMessage:
        return self.inbox.wait_and_pop(lambda m: m.code == code)

    def send_isup(
        self, cic: int, kind: int, body: bytes = b"", opc: int = PEER_POINT_CODE, dpc: int = ROUTER_POINT_CODE
    ) -> None:
        head = struct.pack(">IIBBBB", opc, dpc, 5, 2, 0, cic & 15)
        self.send(DATA, {0x06: b"\0\0\0\1", 0x210: head + struct.pack("<HB", cic, kind) + body})

    def send_iam(
        self, cic: int, description: bytes = b"", category: int = 10, digits: bytes = b"\xf7\xa3"
    ) -> None:
        """Send IAM; ``digits`` are swapped pairs, by default those of 7f3a."""
        called = b"\x03\x10" + digits
        options = b"\x20" + bytes([len(description)]) + description + b"\0" if description else b""
        pointers = bytes([2, len(called) + 2 if options else 0])
        fixed = bytes([0, 0x20, 1, category, 0])
        self.send_isup(cic, IAM, fixed + pointers + bytes([len(called)]) + called + options)

    def send_anm(self, cic: int, description: bytes) -> None:
        self.send_isup(cic, ANM, b"\1\x20" + bytes([len(description)]) + description + b"\0")

    def send_rel(self, cic: int, cause: int) -> None:
        self.send_isup(cic, REL, bytes([2, 0, 2, 0x80, 0x80 | cause]))

    def receive_isup(self, kind: int, cic: int | None = None) -> M3uaMessage:
        """Wait for an ISUP message of the given type, and of the given circuit if there is one."""
        return self.inbox.wait_and_pop(lambda m: m.code == DATA and m.type == kind and cic in (None, m.cic))
