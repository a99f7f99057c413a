"""A stand-in M3UA peer, written from RFC 4666 and Q.763 and with a codec of its own."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass

from tests.network_harness import Inbox, start_thread

ASPUP, ASPDN, BEAT, ASPUP_ACK, ASPDN_ACK, BEAT_ACK = 0x301, 0x302, 0x303, 0x304, 0x305, 0x306
ASPAC, ASPIA, ASPAC_ACK, ASPIA_ACK = 0x401, 0x402, 0x403, 0x404
ERR, NTFY, DATA, DUNA, DAVA, DAUD, SCON = 0x000, 0x001, 0x101, 0x201, 0x202, 0x203, 0x204
IAM, ACM, ANM, REL, RLC = 1, 6, 9, 12, 16
PEER_POINT_CODE, ROUTER_POINT_CODE = 200, 100  # point codes, as the peer sees them


@dataclass
class M3uaMessage:
    code: int
    params: dict[int, bytes]
    cic: int = -1
    type: int = -1
    body: bytes = b""

    @property
    def cause(self) -> int:
        return self.body[4] & 0x7F  # pointer, no options, length, location, cause

    @property
    def description(self) -> bytes:
        at = self.body.find(b"\x20", 1)
        return self.body[at + 2 : at + 2 + self.body[at + 1]] if self.body[0] else b""


def encode(code: int, params: dict[int, bytes]) -> bytes:
    body = b"".join(
        struct.pack(">HH", tag, 4 + len(value)) + value + bytes(-len(value) % 4)
        for tag, value in params.items()
    )
    return struct.pack(">BBHI", 1, 0, code, 8 + len(body)) + body


class M3uaPeer:
    """An exchange with point code 200 and its link."""

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
                body, params, at = file.read(length - 8), {}, 0
                while at < len(body):
                    tag, size = struct.unpack_from(">HH", body, at)
                    params[tag] = body[at + 4 : at + size]
                    at += size + -size % 4
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
        """The digits are swapped pairs: 7f3a."""
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
        """An ISUP message of that type, on that circuit if one is given."""
        return self.inbox.wait_and_pop(lambda m: m.code == DATA and m.type == kind and cic in (None, m.cic))
