"""Build hubs that speak SIP over TCP, as the platform's PROTOCOL specifies (grammar from RFC 3261)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Protocol

from barleywheel.standins import ProtocolError, Scheduler, Transport

REQUEST_LINE_PATTERN = re.compile(r"(INVITE|ACK|CANCEL|BYE|OPTIONS) sip:([0-9a-z]*)@net SIP/2\.0\Z")
STATUS_LINE_PATTERN = re.compile(r"SIP/2\.0 (\d{3}) ")
NUMBER_PATTERN = re.compile(r"[0-9a-f]{1,16}\Z")
REASON_PATTERN = re.compile(r"Q\.850;cause=(\d{1,3})\Z")
MAX_MESSAGE_BYTES = 16 * 1024


@dataclass(eq=False)
class Message:
    """A message from the router; ``method`` is the status code if it is a response."""

    method: str
    number: str
    headers: dict[str, str]
    body: bytes

    @property
    def ref(self) -> str:
        """The call id, from Call-ID."""
        return self.headers["Call-ID"]

    @property
    def cseq(self) -> str:
        """The sequence number, from CSeq."""
        return self.headers["CSeq"].split()[0]


def parse_head(head: str) -> Message:
    """Parse a start line and headers; ProtocolError if RFC 3261 or PROTOCOL does not allow them."""
    start_line, *header_lines = head.split("\r\n")
    headers: dict[str, str] = {}
    for line in header_lines:
        name, colon, value = line.partition(": ")
        if not colon or name in headers or not value.isprintable():
            raise ProtocolError(f"hub: malformed or repeated header {line!r}")
        headers[name] = value
    if match := STATUS_LINE_PATTERN.match(start_line):
        return Message(match[1], "", headers, b"")
    match = REQUEST_LINE_PATTERN.match(start_line)
    if not match or not {"Call-ID", "CSeq", "Content-Length"} <= set(headers):
        raise ProtocolError(f"hub: start line {start_line!r} with headers {sorted(headers)}")
    method, number = match[1], match[2]
    if headers["CSeq"].split()[1:] != [method] or not headers["CSeq"].split()[0].isdigit():
        raise ProtocolError(f"hub: CSeq {headers['CSeq']!r} on {method}")
    if method == "INVITE" and not (
        NUMBER_PATTERN.match(number) and headers.get("X-Patience", "").isdigit() and headers.get("Subject")
    ):
        raise ProtocolError(f"hub: set-up {start_line!r} with {headers}")
    if method == "BYE":
        reason = REASON_PATTERN.match(headers.get("Reason", ""))
        if not reason or not 0 < int(reason[1]) < 128:
            raise ProtocolError(f"hub: release with reason {headers.get('Reason')!r}")
    return Message(method, number, headers, b"")


class HubObserver(Protocol):
    """Receives the events at the hubs."""

    def on_setup(self, hub: Hub, setup: Setup) -> None:
        """A complete INVITE was received."""

    def on_given_up(self, hub: Hub, setup: Setup) -> None:
        """The router cancelled an unanswered set-up, or its connection ended."""

    def on_acknowledged(self, hub: Hub, ref: str) -> None:
        """An ACK was received."""

    def on_released(self, hub: Hub, ref: str) -> None:
        """A BYE was received."""

    def on_answering(self, hub: Hub, setup: Setup, status: int) -> None:
        """Called before the hub sends a response to a set-up; ``setup`` is still in its previous state."""

    def on_releasing(self, hub: Hub, ref: str) -> None:
        """Called before the hub sends a BYE."""


@dataclass(eq=False)
class Setup:
    """A received INVITE. ``open`` until it has a final response or is given up."""

    conn: HubConnection
    message: Message
    open: bool = True
    cancelled: bool = False
    answers: list[int] = field(default_factory=list)  # status codes sent

    @property
    def ref(self) -> str:
        """The call id."""
        return self.message.ref


class HubConnection:
    """A connection from the router to a hub."""

    def __init__(self, hub: Hub, transport: Transport) -> None:
        self.hub, self.transport, self.open = hub, transport, True
        self.setups: dict[str, Setup] = {}
        self._buffer = bytearray()

    def data_received(self, data: bytes) -> None:
        """See ``virtual.network.StreamHandler``; ProtocolError if the bytes are not valid SIP."""
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
        """See ``virtual.network.StreamHandler``; open set-ups on the connection count as given up."""
        self.open = False
        self.hub.conns.remove(self)
        for setup in self.setups.values():
            if setup.open:
                setup.open, setup.cancelled = False, True
                self.hub.observer.on_given_up(self.hub, setup)

    def close(self, reset: bool = False) -> None:
        """Close the connection from the hub's side."""
        if self.open:
            self.transport.close(reset)
            self.connection_lost(reset)

    def send_request(self, method_and_uri: str, ref: str, *headers: str) -> bool:
        """Send a request from the hub, without a body."""
        lines = [
            f"{method_and_uri} SIP/2.0",
            "Via: SIP/2.0/TCP hub",
            f"Call-ID: {ref}",
            f"CSeq: 7 {method_and_uri.split()[0]}",
            *headers,
            "Content-Length: 0",
            "",
            "",
        ]
        return self.transport.write("\r\n".join(lines).encode())


def encode_response(message: Message, status: int, body: bytes = b"", *headers: str) -> bytes:
    """A response to a request from the router; ``headers`` follow those that it echoes."""
    echoed = [
        f"{name}: {message.headers[name]}" for name in ("Via", "Call-ID", "CSeq") if name in message.headers
    ]
    lines = [f"SIP/2.0 {status} X", *echoed, *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Hub:
    """A hub: its connections, the set-ups that it received and the calls established at it.

    ``mode`` is the reaction to a set-up: ``stand`` answers with 200, ``hold`` waits until a script answers,
    and a status with an optional X-Note, such as ``503 throttled``, is sent as it is.
    ``delay_us`` is the delay of the response.
    """

    def __init__(self, name: str, cell: int, observer: HubObserver, schedule: Scheduler) -> None:
        self.name, self.cell, self.observer, self._schedule = name, cell, observer, schedule
        self.conns: list[HubConnection] = []
        self.setups: list[Setup] = []  # all that were received, in order
        self.established: dict[str, HubConnection] = {}  # by call id
        self.mode, self.delay_us = "stand", 0
        self.ignores_options = False  # does not answer OPTIONS, so the router's connection test fails
        self.free_circuits, self.group_size = 20, 20

    def accept_connection(self, transport: Transport) -> HubConnection:
        """Accept a connection from the router; the first message on it is the state of the group."""
        conn = HubConnection(self, transport)
        self.conns.append(conn)
        conn.send_request(
            "NOTIFY sip:group@net", "x", f"X-State: x0:{self.free_circuits};x1:{self.group_size}"
        )
        return conn

    def on_message(self, conn: HubConnection, message: Message) -> None:
        """Handle a complete message from the router."""
        match message.method:
            case "INVITE":
                setup = conn.setups[message.ref] = Setup(conn, message)
                self.setups.append(setup)
                self.observer.on_setup(self, setup)
                if self.mode != "hold":
                    self._schedule(self.delay_us, lambda: self.answer_by_mode(setup))
            case "CANCEL":
                conn.transport.write(encode_response(message, 200))
                pending = conn.setups.get(message.ref)
                if pending is not None and pending.open:
                    pending.open, pending.cancelled = False, True
                    self.observer.on_given_up(self, pending)
            case "BYE":
                conn.transport.write(encode_response(message, 200))
                self.established.pop(message.ref, None)
                self.observer.on_released(self, message.ref)
            case "ACK":
                self.observer.on_acknowledged(self, message.ref)
            case "OPTIONS" if not self.ignores_options:
                conn.transport.write(encode_response(message, 200))

    def answer_by_mode(self, setup: Setup) -> None:
        """Answer a set-up as the mode says, unless it is no longer open."""
        if setup.open and self.mode != "hold":
            status, _, note = ("200", "", "") if self.mode == "stand" else self.mode.partition(" ")
            self.answer(setup, int(status), note)

    def answer(self, setup: Setup, status: int, note: str = "") -> None:
        """Answer a set-up on its connection, even one that was answered or given up before."""
        if not setup.conn.open:
            return
        self.observer.on_answering(self, setup, status)
        setup.answers.append(status)
        if status >= 200:
            setup.open = False
        if 200 <= status < 300:
            self.established[setup.ref] = setup.conn
        headers = [f"X-State: x0:{self.free_circuits};x1:{self.group_size};queue:1;qps:60"]
        if note:
            headers.append(f"X-Note: {note}")
        body = hub_description(self.name, setup.ref) if 200 <= status < 300 else b""
        setup.conn.transport.write(encode_response(setup.message, status, body, *headers))

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
        """Send the state of the group on every connection, with ``free`` circuits from now on."""
        self.free_circuits = free
        for conn in list(self.conns):
            conn.send_request("NOTIFY sip:group@net", "x", f"X-State: x0:{free};x1:{self.group_size}")


def hub_description(hub: str, ref: str) -> bytes:
    """A hub's description of a call, with bytes that text codecs alter: CRLF, non-UTF-8, NUL, quotes."""
    return f"{hub} {ref}\r\n\r\nSIP\u00e9".encode() + b'\xff\xfe\x00\x80"\\'
