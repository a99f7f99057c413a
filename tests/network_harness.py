"""The real program with simulated callers, hubs and journal service, each in threads of this process."""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any, BinaryIO, TypeVar

ROOT = Path(__file__).parent.parent
WAIT_TIMEOUT_S = 20.0  # only a failing test waits this long
M = TypeVar("M")
DESCRIPTION = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n\xff\xfe\r\n"
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "classes": [
        {"name": "voice", "aim_us": 1200000, "hard_limit_us": 9000000, "worth": 1.0},
        {"name": "gold", "aim_us": 800000, "hard_limit_us": 6000000, "worth": 8.0},
    ],
    "family_info": {"home_no": 0, "layout": "mesh", "guard_us": 300000},
    "limits": {"cancel": True, "send_cap": 4, "connect_timeout_us": 300000},
    "report": {"fields": ["free", "size", "pending", "can_take"], "how": "answers"},
    "tick_us": 5000,
    "zones": ["east"],
    "kinds": ["std"],
}


class Inbox(list[M]):
    """Messages that a simulated peer has received; a test can wait for one of them."""

    def __init__(self) -> None:
        super().__init__()
        self.changed = threading.Condition()

    def add(self, item: M) -> None:
        with self.changed:
            self.append(item)
            self.changed.notify_all()

    def wait_and_pop(self, matches: Callable[[M], bool], timeout_s: float = WAIT_TIMEOUT_S) -> M:
        """Wait for the first item that matches, remove and return it."""
        with self.changed:
            if not self.changed.wait_for(lambda: any(map(matches, self)), timeout_s):
                raise AssertionError(f"no matching item received; the others: {list(self)}")
            match = next(filter(matches, self))
            self.remove(match)
            return match


def read_head(file: BinaryIO) -> str:
    """Read the lines up to an empty one; "" at the end of the stream, where readline returns b"" for ever."""
    text = b""
    while (line := file.readline()) not in (b"", b"\r\n"):
        text += line
    return text.decode()


def start_thread(target: Callable[..., object], *args: object) -> None:
    threading.Thread(target=target, args=args, daemon=True).start()


class SipMessage:
    """A SIP message received by a hub."""

    def __init__(self, hub: Hub, sock: socket.socket, head: str, body: bytes) -> None:
        self.hub, self.sock, self.body, self.received_at = hub, sock, body, time.time()
        self.start_line, *rest = head.split("\r\n")
        self.headers = dict(line.split(": ", 1) for line in rest)
        self.method, self.ref = self.start_line.split()[0], self.headers["Call-ID"]

    def __repr__(self) -> str:
        return f"<{self.start_line} {self.ref} {self.headers['CSeq']}>"

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        extra_headers = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        echo = "".join(f"{name}: {self.headers[name]}\r\n" for name in ("Via", "Call-ID", "CSeq"))
        head = f"SIP/2.0 {status} X\r\n{echo}{extra_headers}Content-Length: {len(body)}\r\n\r\n"
        self.sock.sendall(head.encode() + body)


class Hub:
    """A build hub. It sends its group state first; INVITEs go to the inbox and to ``on_invite``."""

    def __init__(
        self, name: str, cell: int, on_invite: Callable[[SipMessage], object] | None = None, free: int = 20
    ) -> None:
        self.name, self.cell, self.on_invite, self.free = name, cell, on_invite, free
        self.inbox: Inbox[SipMessage] = Inbox()
        self.conns: list[socket.socket] = []
        self.ignores_options = False  # sends no answer to OPTIONS pings
        # Whether a connection is opened before the first call: not if another carrier reaches its exchange.
        self.expects_early_connection = True
        self.listen(0)

    def listen(self, port: int) -> None:
        self.listener = socket.create_server(("127.0.0.1", port), reuse_port=False)
        self.port = self.listener.getsockname()[1]
        start_thread(self._accept, self.listener)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.conns.append(sock)
            self.send_request(sock, "NOTIFY sip:group@net", "x", f"X-State: x0:{self.free};x1:20\r\n")
            start_thread(self._read, sock)

    def send_request(
        self, sock: socket.socket, method_and_uri: str, ref: str, extra_headers: str = ""
    ) -> None:
        """Send a request from the hub."""
        method = method_and_uri.split()[0]
        sock.sendall(
            f"{method_and_uri} SIP/2.0\r\nVia: SIP/2.0/TCP hub\r\nCall-ID: {ref}\r\n"
            f"CSeq: 7 {method}\r\n{extra_headers}Content-Length: 0\r\n\r\n".encode()
        )

    def send_bye(self, ref: str, cause: int) -> None:
        self.send_request(self.conns[-1], "BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}\r\n")

    def _read(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as file, suppress(OSError):
            while head := read_head(file):
                size = re.search(r"Content-Length: (\d+)", head)
                message = SipMessage(self, sock, head.rstrip(), file.read(int(size[1]) if size else 0))
                self.inbox.add(message)
                if message.method == "OPTIONS" and not self.ignores_options:
                    message.answer(200)
                if message.method == "INVITE" and self.on_invite:
                    self.on_invite(message)

    def vanish(self) -> None:
        """Become unreachable: open connections stay open but silent, and new connects time out."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=0)
        self.pending_connects = []  # fill the backlog, as nothing accepts connections any more
        for _ in range(4):
            self.pending_connects.append(socket.socket())
            self.pending_connects[-1].setblocking(False)
            with suppress(BlockingIOError):
                self.pending_connects[-1].connect(("127.0.0.1", self.port))

    def kill(self) -> None:
        """End like a killed process: connects are refused and every connection is closed."""
        self.listener.shutdown(socket.SHUT_RDWR)  # otherwise the thread in accept keeps it open
        self.listener.close()
        for sock in self.conns:
            sock.shutdown(socket.SHUT_RDWR)
        self.conns.clear()


class Journal:
    """The journal service: long poll over HTTP/1.1, each answer ``delay_s`` late. ``stall``: no answers."""

    def __init__(self) -> None:
        self.entries: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.stall, self.delay_s = False, 0.0
        self.polls: Inbox[int] = Inbox()
        self.listener = socket.create_server(("127.0.0.1", 0))
        start_thread(self._accept)

    def publish(self, *hubs: Hub, status: str = "Ready", snapshot: bool = False, since: int = 0) -> None:
        endpoints = [
            {
                "name": hub.name,
                "address": f"127.0.0.1:{hub.port}",
                "zone": "east",
                "type": "std",
                "group": hub.cell,
                "status": status,
                "weight": 1,
                "since_ms": since,
            }
            for hub in hubs
        ]
        with self.changed:
            pos = len(self.entries) + 1
            self.entries.append(
                {"pos": pos, "hosts": {"index": pos, "snapshot": snapshot, "endpoints": endpoints}}
            )
            self.changed.notify_all()

    def entries_after(self, tail: int) -> dict[str, Any]:
        return {"pos": len(self.entries), "entries": self.entries[tail:]}

    def has_entries_after(self, tail: int) -> bool:
        return len(self.entries) > tail

    def _accept(self) -> None:
        while True:
            start_thread(self._serve, self.listener.accept()[0])

    def _serve(self, sock: socket.socket) -> None:
        with sock.makefile("rb") as file, suppress(OSError):
            while head := read_head(file):
                match = re.match(r"GET /journal\?tail=(\d+)&max_wait=(\d+) HTTP/1.1", head)
                assert match, head
                tail, wait = int(match[1]), int(match[2])
                self.polls.add(tail)
                if self.stall:
                    continue
                with self.changed:
                    self.changed.wait_for(partial(self.has_entries_after, tail), wait / 1000)
                    body = json.dumps(self.entries_after(tail)).encode()
                time.sleep(self.delay_s)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Caller:
    """A caller's connection to the program."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)
        self.inbox: Inbox[dict[str, Any]] = Inbox()
        self.closed = threading.Event()
        start_thread(self._read)

    def _read(self) -> None:
        with self.sock.makefile("rb") as file, suppress(OSError):
            for line in file:
                self.inbox.add(json.loads(line.decode("utf-8", "surrogateescape")))
        self.closed.set()

    def send(self, kind: str, ref: str, **members: Any) -> None:
        text = json.dumps({"t": kind, "ref": ref, "f": {}} | members, ensure_ascii=False)
        self.sock.sendall(text.encode("utf-8", "surrogateescape") + b"\n")

    def send_new(self, ref: str, to: int = 1, body: bytes = DESCRIPTION, **changes: str) -> None:
        fields = {"class": "voice", "left": "3000", "key": "7f3a", "extras": f"dest:{to};width:1;via:-1"}
        self.send("new", ref, f=fields | changes, d=body.decode("utf-8", "surrogateescape"))

    def receive(self, kind: str, ref: str, timeout_s: float = WAIT_TIMEOUT_S) -> dict[str, Any]:
        return self.inbox.wait_and_pop(lambda m: (m["t"], m["ref"]) == (kind, ref), timeout_s)


class NetworkHarness:
    """The program as a subprocess, with its simulated peers."""

    def __init__(
        self, tmp: Path, hubs: list[Hub], args: tuple[str, ...] = (), sockets: int = 256, **changes: Any
    ) -> None:
        self.tmp, self.args, self.hubs, self.journal = tmp, args, hubs, Journal()
        self.limits = {"sockets": sockets, "memory_mb": 64}
        self.settings = SETTINGS | changes
        self.journal.publish(*hubs, snapshot=True)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        self.start()

    def config(self) -> str:
        return json.dumps(
            {
                "name": "n0",
                "seed": "8c1f30d27a5be964",
                "limits": self.limits,
                "journal": f"127.0.0.1:{self.journal.listener.getsockname()[1]}",
                "known": self.journal.entries_after(0),
                "settings": self.settings,
            }
        )

    def start(self) -> None:
        config = self.tmp / "config.json"
        config.write_text(self.config())
        listen = f"127.0.0.1:{self.address[1]}"
        env = os.environ | {"LB_CONFIG": str(config), "LB_LISTEN": listen, "LB_NAME": "n0"}
        self.log = (self.tmp / "log").open("a+")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "barleywheel", *self.args], cwd=ROOT, env=env, stderr=self.log
        )
        self.wait_for(lambda: "serving:" in self.log_text() or self.process.poll() is not None)
        assert self.process.poll() is None, self.log_text()
        for hub in self.hubs:  # the first connection carries the group state, which routing needs
            if hub.cell and hub.expects_early_connection and hub.listener.fileno() >= 0:
                self.wait_for(partial(bool, hub.conns))

    def log_text(self) -> str:
        return (self.tmp / "log").read_text()

    def wait_for(self, condition: Callable[[], object]) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, self.log_text()
            time.sleep(0.01)

    def caller(self) -> Caller:
        return Caller(self.address)

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()
        self.log.close()


@contextmanager
def running_network(tmp: Path, *hubs: Hub, **changes: Any) -> Iterator[NetworkHarness]:
    harness = NetworkHarness(tmp, list(hubs), **changes)
    try:
        yield harness
        assert harness.process.poll() is None and "Traceback" not in harness.log_text(), harness.log_text()
    finally:
        harness.stop()


def answer_call(message: SipMessage) -> None:
    """Answer an INVITE with 200 and its own description: the call is established."""
    message.answer(200, message.body, X_State="x0:12;x1:20;queue:3")
