"""Stand-ins for the review's cases: callers, build hubs, the journal service, and the start of the router.

They follow the protocol and deployment pages, listen on free loopback ports, and write what is sent and
received to the case's ``record.txt``. They share no code with the program or its tests.
"""

from __future__ import annotations

import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 110
NUMBER = "7f3a9c21e0b4d655"
OFFER = b"9d41c07a5be2f318\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "classes": [
        {
            "name": "package-build",
            "aim_us": 1200000,
            "hard_limit_us": 9000000,
            "worth": 1.0,
            "late_share": 0.1,
            "idempotency": "free",
            "stream": True,
        },
        {
            "name": "security-rebuild",
            "aim_us": 800000,
            "hard_limit_us": 6000000,
            "worth": 8.0,
            "late_share": 0.25,
            "idempotency": "free",
            "stream": True,
        },
    ],
    "client_habits": {"marks_retry": True},
    "contract": {
        "cold_from": 0.29,
        "cold_us": 15000000,
        "fall_us": 2000000,
        "grace_to_answer_us": 20000,
        "stop_sending_within_us": 250000,
        "tip_multiple": 2.0,
    },
    "discovery": "pushed",
    "family": "trunks",
    "family_info": {
        "guard_us": 300000,
        "home_no": 0,
        "layout": "mesh",
        "mean_hold_us": [10200000, 6100000],
        "peer_load": "answers",
        "repeat_us": 800000,
        "widths": [1, 1],
    },
    "kinds": ["small-1core"],
    "limits": {
        "cancel": True,
        "connect_timeout_us": 500000,
        "idle_close_us": 600000000,
        "max_open": 20000,
        "send_cap": 6,
    },
    "my_number": 0,
    "report": {"fields": ["free", "size", "pending", "can_take"], "how": "answers"},
    "tick_us": 5000,
    "zone": 0,
    "zones": ["duluth", "chicago", "cleveland"],
}


class CannotRun(Exception):
    """The case could not be carried out, which says nothing about the rule."""


class Record:
    """The record of a run: one line for each thing sent, received or done, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def write(self, who: str, text: str) -> None:
        """Write a line to the record."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{time.monotonic() - self.started:9.3f}  {who:<10}  {text}\n")
                self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.write("case", text)
        print(text, flush=True)

    def close(self) -> None:
        """End the record."""
        with self._lock:
            self._file.close()


def _on_terminate(number: int, frame: object) -> None:
    raise CannotRun(f"ended by {signal.Signals(number).name}")


def start_thread(target: Callable[..., object], *args: object) -> None:
    """Run a function in a thread that does not keep the process alive."""
    threading.Thread(target=target, args=args, daemon=True).start()


def wait_until(condition: Callable[[], object], timeout_s: float) -> bool:
    """Wait for a condition; return whether it came true in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            return bool(condition())
        time.sleep(0.005)
    return True


def new_id() -> str:
    """Return a new call id of 16 hex digits."""
    return secrets.token_hex(8)


class SipMessage:
    """A SIP message that a hub has received."""

    def __init__(self, sock: socket.socket, head: str, body: bytes) -> None:
        self.sock, self.body = sock, body
        self.start_line, *lines = head.split("\r\n")
        self.headers = dict(line.split(": ", 1) for line in lines)
        self.method, self.ref = self.start_line.split()[0], self.headers["Call-ID"]
        self.first_byte_at = 0.0


class Hub:
    """A build hub. It sends the state of its group first on each connection and answers as pages say.

    ``on_invite`` may take over the answer to a set-up by returning True; else the call is established.
    ``established`` holds the calls that stand here, with the connection that carried their set-up.
    """

    def __init__(self, record: Record, name: str, cell: int, zone: str) -> None:
        self.record, self.name, self.cell, self.zone = record, name, cell, zone
        self.on_invite: Callable[[SipMessage], bool] = lambda message: False
        self.connections: list[socket.socket] = []
        self.established: dict[str, socket.socket] = {}
        self.messages: list[SipMessage] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        self.useless: set[socket.socket] = set()  # connections on which a spoilt answer was sent
        self.releases: list[tuple[str, int]] = []  # also sent on the next connection that is opened
        start_thread(self._accept)

    def entry(self, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
        """Return the hub as the journal service lists it."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "type": "small-1core",
            "group": self.cell,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(sock)
            self.record.write(self.name, "connection accepted")
            self.request(sock, "NOTIFY sip:group@net", new_id(), "X-State: x0:40;x1:40;queue:0;qps:60")
            releases, self.releases = self.releases, []
            for ref, cause in releases:
                self.request(sock, "BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}")
            start_thread(self._read, sock)

    def _read(self, sock: socket.socket) -> None:
        data, first_byte_at = b"", 0.0
        with suppress(OSError):
            while chunk := sock.recv(65536):
                if not data:
                    first_byte_at = time.monotonic()
                data += chunk
                while (end := data.find(b"\r\n\r\n")) >= 0:
                    head = data[:end].decode()
                    size = int((re.search(r"Content-Length: (\d+)", head) or [0, "0"])[1])
                    if len(data) < end + 4 + size:
                        break
                    message = SipMessage(sock, head, data[end + 4 : end + 4 + size])
                    message.first_byte_at = first_byte_at
                    data, first_byte_at = data[end + 4 + size :], time.monotonic()
                    self._handle(message)
        self.connections.remove(sock)
        self.record.write(self.name, "connection ended")

    def _handle(self, message: SipMessage) -> None:
        self.messages.append(message)
        self.record.write(self.name, f"got  {message.start_line} id={message.ref}")
        if message.method == "INVITE":
            if not self.on_invite(message):
                self.establish(message)
        elif message.method == "BYE":
            self.established.pop(message.ref, None)
            self.answer(message, 200)
        elif message.method in ("OPTIONS", "CANCEL"):
            self.answer(message, 200)

    def establish(self, message: SipMessage) -> None:
        """Answer a set-up with 200 and this hub's description."""
        self.established[message.ref] = message.sock
        self.answer(message, 200, self.description(message.ref))

    def description(self, ref: str) -> bytes:
        """Return the description that this hub gives for a call, of the form on the protocol page."""
        return ref.encode() + b"\r\nc=IN IP4 127.4.8.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"

    def answer(self, message: SipMessage, status: int, body: bytes = b"", length: int | None = None) -> None:
        """Answer a request in one write.

        ``length`` replaces the true Content-Length: such an answer is spoilt, and nothing more is sent on its
        connection.
        """
        if message.sock in self.useless:
            return
        if length is not None:
            self.useless.add(message.sock)
        size = len(body) if length is None else length
        lines = [
            f"SIP/2.0 {status} X",
            "Via: " + message.headers.get("Via", "SIP/2.0/TCP peer"),
            f"Call-ID: {message.ref}",
            f"CSeq: {message.headers['CSeq']}",
            *(["X-State: x0:39;x1:40;queue:0;qps:60"] if message.method == "INVITE" else []),
            f"Content-Length: {size}",
            "",
            "",
        ]
        self.record.write(
            self.name, f"sent {status} to {message.method} id={message.ref} length={size} body={body!r}"
        )
        with suppress(OSError):
            message.sock.sendall("\r\n".join(lines).encode() + body)

    def request(self, sock: socket.socket, method_and_uri: str, ref: str, *headers: str) -> None:
        """Send a request without a body."""
        lines = [
            f"{method_and_uri} SIP/2.0",
            "Via: SIP/2.0/TCP hub",
            f"Call-ID: {ref}",
            f"CSeq: 1 {method_and_uri.split()[0]}",
            *headers,
            "Content-Length: 0",
            "",
            "",
        ]
        self.record.write(self.name, f"sent {lines[0]} id={ref} {' '.join(headers)}")
        with suppress(OSError):
            sock.sendall("\r\n".join(lines).encode())

    def release(self, ref: str, cause: int = 16) -> None:
        """End a call: on the connection of its set-up if that is open, else on any open one."""
        sock = self.established.pop(ref)
        if sock not in self.connections:
            sock = self.connections[-1]
        self.request(sock, "BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}")
        self.releases.append((ref, cause))

    def stop(self) -> None:
        """End like a process that has finished draining: its connections and calls are cut."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.connections):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # reset
            sock.shutdown(socket.SHUT_RD)
            sock.close()
        self.record.write(self.name, f"process ended, calls cut: {len(self.established)}")
        self.established.clear()


class Journal:
    """The journal service. ``delay_s`` is how late it sends each answer that is due."""

    def __init__(self, record: Record) -> None:
        self.record, self.delay_s = record, 0.0
        self.entries: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        start_thread(self._accept)

    def publish(self, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        """Add an event."""
        with self.changed:
            pos = len(self.entries) + 1
            hosts = {"index": pos, "snapshot": snapshot, "endpoints": list(endpoints)}
            self.entries.append({"pos": pos, "hosts": hosts})
            self.changed.notify_all()
        for endpoint in endpoints:
            self.record.write("journal", f"event {pos}: {endpoint['name']} is {endpoint['status']}")

    def known(self) -> dict[str, Any]:
        """Return all events, as the configuration holds them."""
        return {"pos": len(self.entries), "entries": list(self.entries)}

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            start_thread(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        with suppress(OSError):
            while chunk := sock.recv(65536):
                data += chunk
                while (end := data.find(b"\r\n\r\n")) >= 0:
                    head, data = data[:end].decode(), data[end + 4 :]
                    match = re.match(r"GET /journal\?tail=(\d+)&max_wait=(\d+) HTTP/1\.1", head)
                    if not match:
                        raise CannotRun(f"unexpected request to the journal service: {head!r}")
                    self._answer(sock, int(match[1]), int(match[2]))

    def _answer(self, sock: socket.socket, tail: int, max_wait_ms: int) -> None:
        asked_at = time.monotonic()
        with self.changed:
            self.changed.wait_for(lambda: len(self.entries) > tail, max_wait_ms / 1000)
            later = {"pos": max(tail, len(self.entries)), "entries": self.entries[tail:]}
        time.sleep(self.delay_s)
        body = json.dumps(later).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            sock.sendall(head.encode() + body)
            outcome = "answered"
        except OSError:
            outcome = "not answered, the router had closed the connection,"
        if self.delay_s or later["entries"]:
            took_s, events = time.monotonic() - asked_at, [entry["pos"] for entry in later["entries"]]
            self.record.write(
                "journal",
                f"poll tail={tail} max_wait={max_wait_ms} {outcome} after {took_s:.3f} s, events {events}",
            )


class Caller:
    """A caller's connection."""

    def __init__(self, record: Record, name: str, address: str) -> None:
        host, port = address.split(":")
        self.record, self.name = record, name
        self.messages: list[dict[str, Any]] = []
        self.closed = threading.Event()
        self.sock = socket.create_connection((host, int(port)), timeout=5)
        self.sock.settimeout(None)
        self.record.write(name, "connected")
        start_thread(self._read)

    def _read(self) -> None:
        data = b""
        with suppress(OSError):
            while chunk := self.sock.recv(65536):
                *lines, data = (data + chunk).split(b"\n")
                for line in lines:
                    self.record.write(self.name, f"got  {line.decode('utf-8', 'replace')}")
                    self.messages.append(json.loads(line.decode("utf-8", "surrogateescape")))
        self.record.write(self.name, "connection ended")
        self.closed.set()

    def send_lines(self, *lines: bytes) -> None:
        """Send lines as they are, in one write."""
        for line in lines:
            self.record.write(self.name, f"sent {line[:400].decode('utf-8', 'replace')!r}")
        self.sock.sendall(b"".join(line + b"\n" for line in lines))

    def send(self, kind: str, ref: str, **members: Any) -> None:
        """Send a message."""
        self.send_lines(json.dumps({"t": kind, "ref": ref, "f": {}} | members).encode())

    def set_up(self, *refs: str, cell: int = 1, left_ms: int = 3000) -> None:
        """Send set-ups for the exchange of that number, in one write."""
        fields = {
            "class": "package-build",
            "left": str(left_ms),
            "key": NUMBER,
            "extras": f"dest:{cell};width:1;via:-1",
        }
        members = {"f": fields, "d": OFFER.decode()}
        self.send_lines(*(json.dumps({"t": "new", "ref": ref} | members).encode() for ref in refs))

    def find(self, kinds: tuple[str, ...], ref: str) -> dict[str, Any] | None:
        """Return the first message of one of these types about a call."""
        return next((m for m in list(self.messages) if m["t"] in kinds and m.get("ref") == ref), None)

    def wait(self, kinds: tuple[str, ...], ref: str, timeout_s: float) -> dict[str, Any] | None:
        """Wait for a message of one of these types about a call; None if none comes in time."""
        wait_until(lambda: self.find(kinds, ref) or self.closed.is_set(), timeout_s)
        return self.find(kinds, ref)

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Router:
    """The call router, started by the command ``run`` of the deploy file."""

    def __init__(self, record: Record, journal: Journal) -> None:
        self.record, self.journal = record, journal
        self.folder = Path(tempfile.mkdtemp(prefix="barleywheel-review-"))
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = f"127.0.0.1:{free.getsockname()[1]}"
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.command: str = deploy["run"]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the router, and wait until it passes a test."""
        config = self.folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": self.address,
                    "seed": secrets.token_hex(8),
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                    "journal": self.journal.address,
                    "known": self.journal.known(),
                    "settings": SETTINGS,
                }
            )
        )
        temporary = self.folder / "tmp"
        temporary.mkdir()
        environment = os.environ | {
            "LB_NAME": "n0",
            "LB_LISTEN": self.address,
            "LB_CONFIG": str(config),
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.record.write("router", f"started: {self.command}")
        if not wait_until(self._passes_test, 30):
            raise CannotRun(f"the router is not ready; its log: {self.log_text()[-2000:]}")

    def _passes_test(self) -> bool:
        if self.process is None or self.process.poll() is not None:
            raise CannotRun(f"the router has ended; its log: {self.log_text()[-2000:]}")
        with suppress(OSError):
            front = Caller(self.record, "front", self.address)
            front.send("hb", new_id(), c=0)
            passed = wait_until(lambda: front.messages or front.closed.is_set(), 2)
            front.close()
            return bool(passed and front.messages and front.messages[0].get("c") == 1)
        return False

    def log_text(self) -> str:
        """Return the router's log."""
        return (self.folder / "log").read_text(errors="replace")

    def stop(self) -> None:
        """End the router, and keep its log in the record."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()
            for line in self.log_text().splitlines():
                self.record.write("router log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: str, case: Callable[[Record, Router, Journal, list[Hub]], bool]) -> None:
    """Run a case among three hubs and exit: 1 if it says that the rule was broken, 0 if it held, else 2."""
    record = Record(Path(folder).resolve())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _on_terminate)
    signal.alarm(MAX_RUN_S)
    record.write("case", f"TROUBLE={'1' if TROUBLE else '0'}")
    journal = Journal(record)
    hubs = [Hub(record, f"s-{cell:08x}", cell, SETTINGS["zones"][cell]) for cell in range(3)]
    journal.publish(*(hub.entry() for hub in hubs), snapshot=True)
    router, code = Router(record, journal), 2
    try:
        code = 1 if case(record, router, journal, hubs) else 0
        record.say(f"rule {'BROKEN' if code else 'held'}")
    except Exception as error:  # anything unforeseen says nothing about the rule
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        router.stop()
        record.close()
    sys.stdout.flush()
    os._exit(code)
