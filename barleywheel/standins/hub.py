"""Build hubs on SIP over TCP, as PROTOCOL words them (RFC 3261 for the grammar)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Protocol

from barleywheel.standins import ProtocolError, Scheduler, Transport

REQUEST_LINE = re.compile(r"(INVITE|ACK|CANCEL|BYE|OPTIONS) sip:([0-9a-z]*)@net SIP/2\.0\Z")
STATUS_LINE = re.compile(r"SIP/2\.0 (\d{3}) ")
NUMBER_PATTERN = re.compile(r"[0-9a-f]{1,16}\Z")
REASON_PATTERN = re.compile(r"Q\.850;cause=(\d{1,3})\Z")
MAX_MESSAGE_BYTES = 16 * 1024


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


def parse_head(head: str) -> Message:
    """A head, strictly; ProtocolError where RFC 3261 or PROTOCOL would not have it."""
    first, *rest = head.split("\r\n")
    headers: dict[str, str] = {}
    for line in rest:
        name, colon, value = line.partition(": ")
        if not colon or name in headers or not value.isprintable():
            raise ProtocolError(f"hub: header {line!r}")
        headers[name] = value
    if match := STATUS_LINE.match(first):
        return Message(match[1], "", headers, b"")
    match = REQUEST_LINE.match(first)
    if not match or not {"Call-ID", "CSeq", "Content-Length"} <= set(headers):
        raise ProtocolError(f"hub: {first!r} with {sorted(headers)}")
    method, number = match[1], match[2]
    if headers["CSeq"].split()[1:] != [method] or not headers["CSeq"].split()[0].isdigit():
        raise ProtocolError(f"hub: CSeq {headers['CSeq']!r} on {method}")
    if method == "INVITE" and not (
        NUMBER_PATTERN.match(number) and headers.get("X-Patience", "").isdigit() and headers.get("Subject")
    ):
        raise ProtocolError(f"hub: set-up {first!r} with {headers}")
    if method == "BYE":
        reason = REASON_PATTERN.match(headers.get("Reason", ""))
        if not reason or not 0 < int(reason[1]) < 128:
            raise ProtocolError(f"hub: release with {headers.get('Reason')!r}")
    return Message(method, number, headers, b"")


class HubObserver(Protocol):
    """Who is told what happens at a hub."""

    def on_setup(self, hub: Hub, setup: Setup) -> None:
        """An INVITE came whole."""

    def on_given_up(self, hub: Hub, setup: Setup) -> None:
        """It was cancelled, or its connection was closed by the router."""

    def on_acknowledged(self, hub: Hub, ref: str) -> None:
        """An ACK came."""

    def on_released(self, hub: Hub, ref: str) -> None:
        """A BYE came."""

    def on_answering(self, hub: Hub, setup: Setup, status: int) -> None:
        """The hub is about to answer."""

    def on_releasing(self, hub: Hub, ref: str) -> None:
        """The hub is about to send a BYE."""


@dataclass(eq=False)
class Setup:
    """One INVITE."""

    conn: HubConnection
    message: Message
    open: bool = True
    cancelled: bool = False
    answers: list[int] = field(default_factory=list)

    @property
    def ref(self) -> str:
        """The call's id."""
        return self.message.ref


class HubConnection:
    """One connection of the router's to a hub."""

    def __init__(self, hub: Hub, transport: Transport) -> None:
        self.hub, self.transport, self.open = hub, transport, True
        self.setups: dict[str, Setup] = {}
        self._buffer = bytearray()

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``; ProtocolError where the router's bytes are no SIP."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            message = parse_head(self._buffer[:end].decode("ascii"))
            size = int(message.headers.get("Content-Length", "0"))
            if end + 4 + size > MAX_MESSAGE_BYTES:
                raise ProtocolError("hub: message over 16 KiB")
            if len(self._buffer) < end + 4 + size:
                return
            message.body = bytes(self._buffer[end + 4 : end + 4 + size])
            del self._buffer[: end + 4 + size]
            self.hub.on_message(self, message)
        if len(self._buffer) > MAX_MESSAGE_BYTES:
            raise ProtocolError("hub: message over 16 KiB")

    def connection_lost(self, reset: bool) -> None:
        """See ``virtual.network.StreamHandler``: what is open on the connection is given up."""
        self.open = False
        self.hub.conns.remove(self)
        for setup in self.setups.values():
            if setup.open:
                setup.open, setup.cancelled = False, True
                self.hub.observer.on_given_up(self.hub, setup)

    def close(self, reset: bool = False) -> None:
        """The hub ends it."""
        if self.open:
            self.transport.close(reset)
            self.connection_lost(reset)

    def send_request(self, first: str, ref: str, *more: str) -> bool:
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
        return self.transport.write("\r\n".join(lines).encode())


def encode_response(message: Message, status: int, body: bytes = b"", *more: str) -> bytes:
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

    def __init__(self, name: str, cell: int, observer: HubObserver, schedule: Scheduler) -> None:
        self.name, self.cell, self.observer, self._schedule = name, cell, observer, schedule
        self.conns: list[HubConnection] = []
        self.setups: list[Setup] = []  # every one that came, the latest last
        self.established: dict[str, HubConnection] = {}
        self.mode, self.delay_us = "stand", 0
        self.ignores_options = False  # passes no test
        self.free_circuits, self.group_size = 20, 20

    def accept_connection(self, transport: Transport) -> HubConnection:
        """The router connects; the state of the group comes before anything else."""
        conn = HubConnection(self, transport)
        self.conns.append(conn)
        conn.send_request(
            "NOTIFY sip:group@net", "x", f"X-State: x0:{self.free_circuits};x1:{self.group_size}"
        )
        return conn

    def on_message(self, conn: HubConnection, message: Message) -> None:
        """A whole message."""
        match message.method:
            case "INVITE":
                setup = conn.setups[message.ref] = Setup(conn, message)
                self.setups.append(setup)
                self.observer.on_setup(self, setup)
                if self.mode != "hold":
                    self._schedule(self.delay_us, lambda: self.answer_by_mode(setup))
            case "CANCEL":
                conn.transport.write(encode_response(message, 200))
                cancelled = conn.setups.get(message.ref)
                if cancelled is not None and cancelled.open:
                    cancelled.open, cancelled.cancelled = False, True
                    self.observer.on_given_up(self, cancelled)
            case "BYE":
                conn.transport.write(encode_response(message, 200))
                self.established.pop(message.ref, None)
                self.observer.on_released(self, message.ref)
            case "ACK":
                self.observer.on_acknowledged(self, message.ref)
            case "OPTIONS" if not self.ignores_options:
                conn.transport.write(encode_response(message, 200))

    def answer_by_mode(self, setup: Setup) -> None:
        """Answer a set-up as the mode says, unless it was given up."""
        if setup.open and self.mode != "hold":
            status, _, note = ("200", "", "") if self.mode == "stand" else self.mode.partition(" ")
            self.answer(setup, int(status), note)

    def answer(self, setup: Setup, status: int, note: str = "") -> None:
        """Answer a set-up, whatever has become of it."""
        if not setup.conn.open:
            return
        self.observer.on_answering(self, setup, status)
        setup.answers.append(status)
        if status >= 200:
            setup.open = False
        if 200 <= status < 300:
            self.established[setup.ref] = setup.conn
        more = [f"X-State: x0:{self.free_circuits};x1:{self.group_size};queue:1;qps:60"]
        if note:
            more.append(f"X-Note: {note}")
        body = hub_description(self.name, setup.ref) if 200 <= status < 300 else b""
        setup.conn.transport.write(encode_response(setup.message, status, body, *more))

    def send_bye(self, ref: str, cause: int) -> bool:
        """Release a call: on the connection that carried its set-up, else on any open one."""
        conn = self.established.pop(ref, None)
        if conn is None or not conn.open:
            conn = self.conns[-1] if self.conns else None
        if conn is None:
            return False
        self.observer.on_releasing(self, ref)
        return conn.send_request("BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}")

    def send_state(self, free: int) -> None:
        """The state of the group, on every open connection."""
        self.free_circuits = free
        for conn in list(self.conns):
            conn.send_request("NOTIFY sip:group@net", "x", f"X-State: x0:{free};x1:{self.group_size}")


def hub_description(hub: str, ref: str) -> bytes:
    """The description that a hub gives for a call: what no text codec leaves alone."""
    return f"{hub} {ref}\r\n\r\nSIP\u00e9".encode() + b'\xff\xfe\x00\x80"\\'
