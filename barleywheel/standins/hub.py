"""Build hubs on SIP over TCP, as PROTOCOL words them (RFC 3261 for the grammar)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Protocol

from barleywheel.standins import Broken, Later, Line

FIRST = re.compile(r"(INVITE|ACK|CANCEL|BYE|OPTIONS) sip:([0-9a-z]*)@net SIP/2\.0\Z")
STATUS = re.compile(r"SIP/2\.0 (\d{3}) ")
NUMBER = re.compile(r"[0-9a-f]{1,16}\Z")
REASON = re.compile(r"Q\.850;cause=(\d{1,3})\Z")
MOST = 16 * 1024


@dataclass(eq=False)
class Message:
    """A message of the router's."""

    method: str
    number: str
    headers: dict[str, str]
    body: bytes

    @property
    def ref(self) -> str:
        """The call's id."""
        return self.headers["Call-ID"]

    @property
    def cseq(self) -> str:
        """The number in CSeq."""
        return self.headers["CSeq"].split()[0]


def read(head: str) -> Message:
    """A head, strictly; Broken where RFC 3261 or PROTOCOL would not have it."""
    first, *rest = head.split("\r\n")
    headers: dict[str, str] = {}
    for one in rest:
        name, colon, value = one.partition(": ")
        if not colon or name in headers or not value.isprintable():
            raise Broken(f"hub: header {one!r}")
        headers[name] = value
    if found := STATUS.match(first):
        return Message(found[1], "", headers, b"")
    found = FIRST.match(first)
    if not found or not {"Call-ID", "CSeq", "Content-Length"} <= set(headers):
        raise Broken(f"hub: {first!r} with {sorted(headers)}")
    method, number = found[1], found[2]
    if headers["CSeq"].split()[1:] != [method] or not headers["CSeq"].split()[0].isdigit():
        raise Broken(f"hub: CSeq {headers['CSeq']!r} on {method}")
    if method == "INVITE" and not (
        NUMBER.match(number) and headers.get("X-Patience", "").isdigit() and headers.get("Subject")
    ):
        raise Broken(f"hub: set-up {first!r} with {headers}")
    if method == "BYE":
        reason = REASON.match(headers.get("Reason", ""))
        if not reason or not 0 < int(reason[1]) < 128:
            raise Broken(f"hub: release with {headers.get('Reason')!r}")
    return Message(method, number, headers, b"")


class Watcher(Protocol):
    """Who is told what happens at a hub."""

    def setup(self, hub: Hub, setup: Setup) -> None:
        """An INVITE came whole."""

    def given_up(self, hub: Hub, setup: Setup) -> None:
        """It was cancelled, or its connection was closed by the router."""

    def acknowledged(self, hub: Hub, ref: str) -> None:
        """An ACK came."""

    def released(self, hub: Hub, ref: str) -> None:
        """A BYE came."""

    def answering(self, hub: Hub, setup: Setup, status: int) -> None:
        """The hub is about to answer."""

    def releasing(self, hub: Hub, ref: str) -> None:
        """The hub is about to send a BYE."""


@dataclass(eq=False)
class Setup:
    """One INVITE."""

    conn: Trunk
    message: Message
    open: bool = True
    cancelled: bool = False
    answers: list[int] = field(default_factory=list)

    @property
    def ref(self) -> str:
        """The call's id."""
        return self.message.ref


class Trunk:
    """One connection of the router's to a hub."""

    def __init__(self, hub: Hub, wire: Line) -> None:
        self.hub, self.wire, self.open = hub, wire, True
        self.setups: dict[str, Setup] = {}
        self._in = bytearray()

    def received(self, data: bytes) -> None:
        """See ``virtual.network.Party``; Broken where the router's bytes are no SIP."""
        self._in += data
        while (end := self._in.find(b"\r\n\r\n")) >= 0:
            message = read(self._in[:end].decode("ascii"))
            size = int(message.headers.get("Content-Length", "0"))
            if end + 4 + size > MOST:
                raise Broken("hub: message over 16 KiB")
            if len(self._in) < end + 4 + size:
                return
            message.body = bytes(self._in[end + 4 : end + 4 + size])
            del self._in[: end + 4 + size]
            self.hub.heard(self, message)
        if len(self._in) > MOST:
            raise Broken("hub: message over 16 KiB")

    def closed(self, reset: bool) -> None:
        """See ``virtual.network.Party``: what is open on the connection is given up."""
        self.open = False
        self.hub.conns.remove(self)
        for setup in self.setups.values():
            if setup.open:
                setup.open, setup.cancelled = False, True
                self.hub.watcher.given_up(self.hub, setup)

    def close(self, reset: bool = False) -> None:
        """The hub ends it."""
        if self.open:
            self.wire.close(reset)
            self.closed(reset)

    def say(self, first: str, ref: str, *more: str) -> bool:
        """A request of the hub's own."""
        lines = [
            f"{first} SIP/2.0",
            "Via: SIP/2.0/TCP hub",
            f"Call-ID: {ref}",
            f"CSeq: 7 {first.split()[0]}",
            *more,
            "Content-Length: 0",
            "",
            "",
        ]
        return self.wire.write("\r\n".join(lines).encode())


def answer(message: Message, status: int, body: bytes = b"", *more: str) -> bytes:
    """The bytes of an answer to a message of the router's."""
    echo = [
        f"{name}: {message.headers[name]}" for name in ("Via", "Call-ID", "CSeq") if name in message.headers
    ]
    lines = [f"SIP/2.0 {status} X", *echo, *more, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Hub:
    """One hub: its connections, the set-ups that it has not answered, and the calls that stand at it.

    ``mode`` says what becomes of a set-up: ``stand``, ``hold`` (until a script answers), or a status such as
    ``503 throttled``; ``delay_us`` is how long that takes.
    """

    def __init__(self, name: str, cell: int, watcher: Watcher, later: Later) -> None:
        self.name, self.cell, self.watcher, self._later = name, cell, watcher, later
        self.conns: list[Trunk] = []
        self.setups: list[Setup] = []  # every one that came, the latest last
        self.standing: dict[str, Trunk] = {}
        self.mode, self.delay_us = "stand", 0
        self.deaf = False  # passes no test
        self.free, self.size = 20, 20

    def connected(self, wire: Line) -> Trunk:
        """The router connects; the state of the group comes before anything else."""
        trunk = Trunk(self, wire)
        self.conns.append(trunk)
        trunk.say("NOTIFY sip:group@net", "x", f"X-State: x0:{self.free};x1:{self.size}")
        return trunk

    def heard(self, trunk: Trunk, message: Message) -> None:
        """A whole message."""
        match message.method:
            case "INVITE":
                setup = trunk.setups[message.ref] = Setup(trunk, message)
                self.setups.append(setup)
                self.watcher.setup(self, setup)
                if self.mode != "hold":
                    self._later(self.delay_us, lambda: self.decide(setup))
            case "CANCEL":
                trunk.wire.write(answer(message, 200))
                cancelled = trunk.setups.get(message.ref)
                if cancelled is not None and cancelled.open:
                    cancelled.open, cancelled.cancelled = False, True
                    self.watcher.given_up(self, cancelled)
            case "BYE":
                trunk.wire.write(answer(message, 200))
                self.standing.pop(message.ref, None)
                self.watcher.released(self, message.ref)
            case "ACK":
                self.watcher.acknowledged(self, message.ref)
            case "OPTIONS" if not self.deaf:
                trunk.wire.write(answer(message, 200))

    def decide(self, setup: Setup) -> None:
        """Answer a set-up as the mode says, unless it was given up."""
        if setup.open and self.mode != "hold":
            status, _, note = ("200", "", "") if self.mode == "stand" else self.mode.partition(" ")
            self.answer(setup, int(status), note)

    def answer(self, setup: Setup, status: int, note: str = "") -> None:
        """Answer a set-up, whatever has become of it."""
        if not setup.conn.open:
            return
        self.watcher.answering(self, setup, status)
        setup.answers.append(status)
        if status >= 200:
            setup.open = False
        if 200 <= status < 300:
            self.standing[setup.ref] = setup.conn
        more = [f"X-State: x0:{self.free};x1:{self.size};queue:1;qps:60"]
        if note:
            more.append(f"X-Note: {note}")
        body = described(self.name, setup.ref) if 200 <= status < 300 else b""
        setup.conn.wire.write(answer(setup.message, status, body, *more))

    def bye(self, ref: str, cause: int) -> bool:
        """Release a call: on the connection that carried its set-up, else on any open one."""
        trunk = self.standing.pop(ref, None)
        if trunk is None or not trunk.open:
            trunk = self.conns[-1] if self.conns else None
        if trunk is None:
            return False
        self.watcher.releasing(self, ref)
        return trunk.say("BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}")

    def gauge(self, free: int) -> None:
        """The state of the group, on every open connection."""
        self.free = free
        for trunk in list(self.conns):
            trunk.say("NOTIFY sip:group@net", "x", f"X-State: x0:{free};x1:{self.size}")


def described(hub: str, ref: str) -> bytes:
    """The description that a hub gives for a call: what no text codec leaves alone."""
    return f"{hub} {ref}\r\n\r\nSIP\u00e9".encode() + b'\xff\xfe\x00\x80"\\'
