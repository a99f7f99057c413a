"""Stand-ins for the cases 6 to 10: build hubs, journal service, JSON clients, an ISUP exchange, the platform.

They follow the operators' PROTOCOL page and, for the exchange, RFC 4666 and Q.763. All addresses are loopback
addresses. Everything that is sent, answered and run is written to ``record.txt`` in the folder of the case.
"""

from __future__ import annotations

import json
import os
import re
import select
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
sys.path.insert(0, str(ROOT))

from barleywheel.standins import exchange  # noqa: E402  (the codec of the project's own stand-in)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 115.0
# The figures of a small deployment, as in the example of the WIRE page.
SETTINGS: dict[str, Any] = {
    "balancers": 4,
    "classes": [
        {
            "aim_us": 1200000,
            "group": "all",
            "hard_limit_us": 9000000,
            "idempotency": "free",
            "late_share": 0.1,
            "name": "package-build",
            "stream": True,
            "window_us": 5000000,
            "worth": 1.0,
        },
        {
            "aim_us": 800000,
            "group": "all",
            "hard_limit_us": 6000000,
            "idempotency": "free",
            "late_share": 0.25,
            "name": "security-rebuild",
            "stream": True,
            "window_us": 5000000,
            "worth": 8.0,
        },
    ],
    "client_habits": {"marks_retry": True},
    "contract": {
        "ask_within_us": 10000000,
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


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
            self._file.flush()


def start_thread(target: Callable[..., object], *args: object) -> None:
    """Run a function in a thread that ends with the process."""
    threading.Thread(target=target, args=args, daemon=True).start()


def wait_until(condition: Callable[[], object], seconds: float) -> bool:
    """Wait for a condition; False if it does not become true in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.005)
    return True


def free_port() -> int:
    """A TCP port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port: int = free.getsockname()[1]
        return port


def reset(sock: socket.socket) -> None:
    """End a connection with a reset. No thread may be blocked in a call on it."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class HubConnection:
    """A connection from the router to a build hub."""

    def __init__(self, hub: Hub, sock: socket.socket) -> None:
        self.hub, self.sock, self.open = hub, sock, True
        self.mute = False  # nothing more that the hub sends on it arrives
        self.given_up: set[str] = set()
        self._lock = threading.Lock()

    def send(self, data: bytes) -> bool:
        """Write a message; False if the connection has ended."""
        with self._lock:
            try:
                if self.open and not self.mute:
                    self.sock.sendall(data)
            except OSError:
                self.open = False
            return self.open

    def request(self, method_and_uri: str, ref: str, *headers: str) -> bool:
        """Send a request without a body."""
        method = method_and_uri.split()[0]
        lines = [
            f"{method_and_uri} SIP/2.0",
            "Via: SIP/2.0/TCP hub",
            f"Call-ID: {ref}",
            f"CSeq: 1 {method}",
            *headers,
            "Content-Length: 0",
        ]
        return self.send(("\r\n".join(lines) + "\r\n\r\n").encode())


class Hub:
    """A build hub.

    ``spoil`` may change the bytes of a 200 on its way; the call has run all the same. After an answer that
    stops short, nothing more arrives on its connection.
    """

    def __init__(self, record: Record, name: str, cell: int, size: int = 30) -> None:
        self.record, self.name, self.cell, self.size = record, name, cell, size
        self.answer_delay_s = 0.03
        self.spoil: Callable[[str, bytes], bytes] = lambda ref, data: data
        self.connections: list[HubConnection] = []
        self.standing: dict[str, HubConnection] = {}
        self.descriptions: dict[str, bytes] = {}  # given for each call
        self.setups: list[str] = []
        self.released_to_router: dict[str, float] = {}  # call: time of the first release sent
        self._repeat_on_next: list[tuple[str, int]] = []
        self.lock = threading.RLock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.settimeout(0.02)
        self.port: int = self.listener.getsockname()[1]
        self.away = self.parked = False
        self._fillers: list[socket.socket] = []
        start_thread(self._accept)

    def endpoint(self, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
        """The hub as the journal service lists it."""
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": "duluth",
            "type": "small-1core",
            "group": self.cell,
            "status": status,
            "weight": 1,
            "since_ms": since_ms,
        }

    def _accept(self) -> None:
        while True:
            if self.away:
                self.parked = True
                time.sleep(0.01)
                continue
            self.parked = False
            try:
                sock, _ = self.listener.accept()
            except TimeoutError:
                continue
            sock.setblocking(True)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = HubConnection(self, sock)
            with self.lock:
                self.connections.append(conn)
                self._send_state(conn)
                repeats, self._repeat_on_next = self._repeat_on_next, []
            for ref, cause in repeats:
                self.record.line(f"{self.name}: release again on a new connection: {ref} cause={cause}")
                conn.request("BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}")
            start_thread(self._read, conn)

    def _load(self) -> str:
        return f"x0:{self.size - len(self.standing)};x1:{self.size};queue:1;qps:60"

    def _send_state(self, conn: HubConnection) -> None:
        free = f"X-State: x0:{self.size - len(self.standing)};x1:{self.size}"
        conn.request("NOTIFY sip:group@net", "0" * 16, free)

    def send_state(self) -> None:
        """Tell the state of the group on every open connection, since it has changed."""
        with self.lock:
            for conn in [c for c in self.connections if c.open]:
                self._send_state(conn)

    def _read(self, conn: HubConnection) -> None:
        data = b""
        with suppress(OSError):
            while conn.open and not self.away:
                if not select.select([conn.sock], [], [], 0.05)[0] or self.away:
                    continue
                part = conn.sock.recv(65536)
                if not part:
                    break
                data += part
                while (end := data.find(b"\r\n\r\n")) >= 0:
                    head = data[:end].decode()
                    match = re.search(r"Content-Length: (\d+)", head)
                    size = end + 4 + (int(match[1]) if match else 0)
                    if len(data) < size:
                        break
                    body, data = data[end + 4 : size], data[size:]
                    self._handle(conn, head, body)
        if not self.away:
            conn.open = False
            with self.lock:
                if conn in self.connections:
                    self.connections.remove(conn)

    def _handle(self, conn: HubConnection, head: str, body: bytes) -> None:
        start, *lines = head.split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        method, ref = start.split()[0], headers["Call-ID"]
        echo = [f"{name}: {headers[name]}" for name in ("Via", "Call-ID", "CSeq") if name in headers]
        if method == "INVITE":
            self.record.line(f"{self.name}: set-up {ref} {headers['CSeq']} patience={headers['X-Patience']}")
            self.setups.append(ref)
            threading.Timer(self.answer_delay_s, self._answer, (conn, ref, echo)).start()
        elif method in ("CANCEL", "BYE", "OPTIONS"):
            self.record.line(f"{self.name}: {method} {ref} received")
            conn.send(("\r\n".join(["SIP/2.0 200 OK", *echo, "Content-Length: 0"]) + "\r\n\r\n").encode())
            if method == "CANCEL":
                conn.given_up.add(ref)
            elif method == "BYE" and ref in self.standing:
                del self.standing[ref]
                self.send_state()

    def _answer(self, conn: HubConnection, ref: str, echo: list[str]) -> None:
        if self.away or not conn.open or ref in conn.given_up:
            return
        with self.lock:
            self.standing[ref] = conn
            host = f"c=IN IP4 127.0.0.{self.cell}\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
            body = self.descriptions[ref] = f"{self.name}-{ref}\r\n{host}".encode()
            lines = ["SIP/2.0 200 OK", *echo, f"X-State: {self._load()}", f"Content-Length: {len(body)}"]
            data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
            self.record.line(f"{self.name}: answer 200 for {ref}")
            sent = self.spoil(ref, data)
            conn.send(sent)
            conn.mute = conn.mute or len(sent) < len(data)
            self.send_state()

    def end_call(self, ref: str, cause: int = 16) -> None:
        """Release a call: on the connection of its set-up, else on any; again on the next one opened."""
        with self.lock:
            conn = self.standing.pop(ref)
            self._repeat_on_next.append((ref, cause))
            if not conn.open or conn not in self.connections:
                conn = next((c for c in reversed(self.connections) if c.open), conn)
            sent = conn.request("BYE sip:a@net", ref, f"Reason: Q.850;cause={cause}")
            self.record.line(f"{self.name}: release of {ref} cause={cause} sent={sent}")
            if sent:
                self.released_to_router[ref] = time.monotonic()
            self.send_state()

    def vanish(self) -> list[str]:
        """Vanish: connections stay open and silent, new ones never come up. The calls here are cut."""
        self.away = True
        wait_until(lambda: self.parked, 1.0)
        self.listener.listen(0)
        for _ in range(4):  # these fill the queue of the listening socket, and nothing accepts them
            self._fillers.append(socket.socket())
            self._fillers[-1].setblocking(False)
            with suppress(BlockingIOError):
                self._fillers[-1].connect(("127.0.0.1", self.port))
        with self.lock:
            cut = list(self.standing)
            self.record.line(f"{self.name}: machine vanishes, calls cut: {len(cut)}")
            return cut

    def come_back(self) -> None:
        """The machine is back with a new process, which knows nothing of the earlier calls."""
        with self.lock:
            self.standing.clear()
            self._repeat_on_next.clear()
            old, self.connections = self.connections, []
            for conn in old:
                conn.open = False
                reset(conn.sock)
            for filler in self._fillers:
                filler.close()
            self.listener.listen(64)
            self.away = False
            self.record.line(f"{self.name}: machine is back, cold")


class Journal:
    """The journal service: long poll over HTTP/1.1."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port: int = self.listener.getsockname()[1]
        start_thread(self._accept)

    def publish(self, endpoints: list[dict[str, Any]], snapshot: bool = False) -> None:
        """Append an event."""
        with self.changed:
            pos = len(self.entries) + 1
            self.entries.append(
                {"pos": pos, "hosts": {"index": pos, "snapshot": snapshot, "endpoints": endpoints}}
            )
            told = ", ".join(f"{e['name']} {e['status']} since={e['since_ms']}" for e in endpoints)
            self.record.line(f"journal: event {pos}: {told}")
            self.changed.notify_all()

    def update(self, tail: int) -> dict[str, Any]:
        """The events after a number."""
        return {"pos": len(self.entries), "entries": self.entries[tail:]}

    def _accept(self) -> None:
        while True:
            start_thread(self._serve, self.listener.accept()[0])

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        with suppress(OSError):
            while part := sock.recv(4096):
                data += part
                while b"\r\n\r\n" in data:
                    head, _, data = data.partition(b"\r\n\r\n")
                    match = re.match(rb"GET /journal\?tail=(\d+)&max_wait=(\d+) HTTP/1.1", head)
                    if match is None:
                        return
                    tail, end = int(match[1]), time.monotonic() + int(match[2]) / 1000
                    with self.changed:
                        while len(self.entries) <= tail and (left := end - time.monotonic()) > 0:
                            self.changed.wait(left)
                        body = json.dumps(self.update(tail)).encode()
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Heard:
    """What clients were told: by call id, the messages with their times."""

    def __init__(self) -> None:
        self.messages: dict[str, list[tuple[float, str, dict[str, Any]]]] = {}
        self._lock = threading.Lock()

    def add(self, message: dict[str, Any]) -> None:
        """Note a message."""
        with self._lock:
            entry = (time.monotonic(), str(message.get("t")), message)
            self.messages.setdefault(str(message.get("ref")), []).append(entry)

    def first(self, ref: str, kind: str) -> tuple[float, str, dict[str, Any]] | None:
        """The first message of a kind about a call."""
        return next((entry for entry in self.messages.get(ref, []) if entry[1] == kind), None)


class Client:
    """A connection from callers."""

    def __init__(self, record: Record, name: str, port: int, heard: Heard) -> None:
        self.record, self.name, self.heard = record, name, heard
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open = True
        start_thread(self._read)

    def _read(self) -> None:
        with suppress(OSError, ValueError), self.sock.makefile("rb") as file:
            for line in file:
                message = json.loads(line.decode("utf-8", "surrogateescape"))
                self.record.line(f"{self.name} received: {json.dumps(message)}")
                self.heard.add(message)
        self.open = False

    def send(self, message: dict[str, Any]) -> None:
        """Send a message."""
        self.record.line(f"{self.name} sent: {json.dumps(message)}")
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def test(self) -> None:
        """Send a test."""
        self.send({"t": "hb", "ref": "1", "c": 0})

    def new(self, ref: str, cell: int, left_ms: int = 3000, name: str = "package-build") -> None:
        """Send a set-up."""
        fields = {
            "class": name,
            "left": str(left_ms),
            "key": ref[::-1],
            "extras": f"dest:{cell};width:1;via:-1",
        }
        body = f"{ref}\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        self.send({"t": "new", "ref": ref, "f": fields, "d": body})

    def close(self) -> None:
        """Close the connection."""
        self.record.line(f"{self.name}: closes its connection")
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class Platform:
    """Starts and ends the router by the command ``run`` of the deploy file."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.record = folder, Record(folder)
        self.record.line(f"case {folder.name}, TROUBLE={int(TROUBLE)}")
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.port, self.journal = free_port(), Journal(self.record)
        self.hubs: list[Hub] = []
        self.arguments = ""
        self.process: subprocess.Popen[bytes] | None = None
        start_thread(self._stop_late)

    def add_hubs(self, count: int) -> None:
        """Start build hubs of the exchanges 1, 2, ... and list them."""
        self.hubs = [Hub(self.record, f"s-{cell:08x}", cell) for cell in range(1, count + 1)]
        self.journal.publish([hub.endpoint() for hub in self.hubs], snapshot=True)

    def start(self) -> None:
        """Start the router and wait until it has a connection to each hub."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "journal": f"127.0.0.1:{self.journal.port}",
            "known": self.journal.update(0),
            "settings": SETTINGS,
        }
        (self.temp / "config.json").write_text(json.dumps(config))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        command = deploy["run"] + self.arguments
        environ = os.environ | {
            "LB_NAME": "n0",
            "LB_LISTEN": str(config["listen"]),
            "LB_CONFIG": str(self.temp / "config.json"),
            "TMPDIR": str(self.temp),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.record.line(f"platform: starts the router: {deploy['run']}")
        old = {id(conn) for hub in self.hubs for conn in hub.connections}
        log = (self.folder / "router.log").open("ab" if self.process else "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environ, stderr=log)
        log.close()

        def ready() -> bool:
            with suppress(OSError):
                socket.create_connection(("127.0.0.1", self.port)).close()
                return all(any(id(c) not in old for c in hub.connections) for hub in self.hubs)
            return False

        if not wait_until(ready, 30.0):
            self.finish(COULD_NOT_RUN, "the router does not start")
        time.sleep(0.3)

    def kill(self) -> None:
        """Kill the router outright."""
        assert self.process is not None
        self.record.line("platform: kills the router (SIGKILL)")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def client(self, name: str, heard: Heard) -> Client:
        """Connect to the router."""
        return Client(self.record, name, self.port, heard)

    def _stop_late(self) -> None:
        time.sleep(RUN_LIMIT_S)
        self.finish(COULD_NOT_RUN, "the case took too long")

    def finish(self, code: int, text: str) -> None:
        """End everything that was started, and the case with its exit code."""
        word = {HELD: "rule held", BROKEN: "RULE BROKEN"}.get(code, "could not run")
        if self.process is not None:
            if code != COULD_NOT_RUN and self.process.poll() is not None:
                text += f" (and the router ended by itself: {self.process.returncode})"
            self.process.kill()
            self.process.wait()
        self.record.line(f"result: {word}: {text}")
        print(f"case {self.folder.name}, TROUBLE={int(TROUBLE)}: {word}: {text}")
        for path in self.temp.iterdir():
            path.unlink()
        self.temp.rmdir()
        sys.stdout.flush()
        os._exit(code)


class Proxy:
    """A TCP proxy that can fall silent and can reset the connections through it."""

    def __init__(self, record: Record, target: int) -> None:
        self.record, self.target, self.silent = record, target, False
        self.pairs: list[tuple[socket.socket, socket.socket]] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=16)
        self.port: int = self.listener.getsockname()[1]
        start_thread(self._accept)

    def _accept(self) -> None:
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                reset(near)
                continue
            self.pairs.append((near, far))
            start_thread(self._carry, near, far)

    def _carry(self, near: socket.socket, far: socket.socket) -> None:
        with suppress(OSError):
            while (near, far) in self.pairs:
                if self.silent:
                    time.sleep(0.01)
                    continue
                for sock in select.select([near, far], [], [], 0.02)[0]:
                    data = sock.recv(65536) if not self.silent else b"-"
                    if not data:
                        raise OSError("closed")
                    if not self.silent:
                        (far if sock is near else near).sendall(data)
        reset(near)
        reset(far)

    def fall_silent(self) -> None:
        """Pass nothing on any more; the connections stay open."""
        self.silent = True
        self.record.line("network: the link falls silent")

    def drop(self) -> None:
        """Reset the connections; what was under way is lost. New ones are carried again."""
        self.pairs.clear()
        time.sleep(0.1)
        self.silent = False
        self.record.line("network: the link is reset, and a new one can come up")


class IsupExchange:
    """An exchange with ISUP over M3UA: it offers calls, and answers a release or a reset of a circuit."""

    NAMES = {1: "IAM", 6: "ACM", 9: "ANM", 12: "REL", 16: "RLC", 18: "RSC", 23: "GRS", 41: "GRA"}

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port, self.active = record, port, False
        self.sock: socket.socket | None = None
        self.standing: set[int] = set()
        self.released: dict[int, float] = {}  # circuit: when the router released or reset it
        self.refused: set[int] = set()
        start_thread(self._run)

    def _run(self) -> None:
        while True:
            with suppress(OSError):
                self.sock = socket.create_connection(("127.0.0.1", self.port))
                self.record.line("exchange: link up, sends ASPUP and ASPAC")
                self.sock.sendall(exchange.encode(exchange.ASPUP, {0x11: b"\0\0\0\1"}))
                self._read(self.sock)
            if self.active:
                self.record.line(f"exchange: link down, {len(self.standing)} calls stand")
            self.active = False
            time.sleep(0.2)

    def _read(self, sock: socket.socket) -> None:
        with suppress(OSError), sock.makefile("rb") as file:
            while len(head := file.read(8)) == 8:
                code, length = struct.unpack(">HI", head[2:])
                body, parameters, offset = file.read(length - 8), {}, 0
                while offset < len(body):
                    tag, size = struct.unpack_from(">HH", body, offset)
                    parameters[tag] = body[offset + 4 : offset + size]
                    offset += size + -size % 4
                if code == exchange.ASPUP_ACK:
                    sock.sendall(exchange.encode(exchange.ASPAC, exchange.ROUTING_CONTEXT))
                elif code == exchange.ASPAC_ACK:
                    self.record.line("exchange: link active")
                    self.active = True
                elif code == exchange.BEAT:
                    sock.sendall(exchange.encode(exchange.BEAT_ACK, {0x09: parameters[0x09]}))
                elif code == exchange.DATA:
                    self._handle_isup(parameters[0x210])

    def _handle_isup(self, data: bytes) -> None:
        cic, kind = struct.unpack_from("<HB", data, 12)
        self.record.line(f"exchange received: {self.NAMES.get(kind, kind)} circuit={cic}")
        if kind == exchange.ANM:
            self.standing.add(cic)
        elif kind in (exchange.REL, exchange.RSC):
            self._note_release(cic)
            self.send(exchange.encode_data(cic, exchange.RLC, b"\0"), f"RLC circuit={cic}")
        elif kind == 23:  # GRS: one pointer, the length, the range, which is the number of circuits less one
            circuits = range(cic, cic + data[17] + 1)
            for circuit in circuits:
                self._note_release(circuit)
            status = bytes(-(-len(circuits) // 8))
            gra = bytes([1, 1 + len(status), data[17]]) + status
            self.send(exchange.encode_data(cic, 41, gra), f"GRA circuit={cic}")

    def _note_release(self, cic: int) -> None:
        if cic in self.standing:
            self.released.setdefault(cic, time.monotonic())
        else:
            self.refused.add(cic)
        self.standing.discard(cic)

    def send(self, data: bytes, text: str) -> None:
        """Send a message on the link."""
        self.record.line(f"exchange sent: {text}")
        if self.sock is not None:
            with suppress(OSError):
                self.sock.sendall(data)

    def call(self, cic: int, number: str) -> None:
        """Offer a call on a circuit."""
        data = exchange.encode_iam(cic, f"call {number}".encode(), 10, number)
        self.send(data, f"IAM circuit={cic} number={number}")


def operator_file(path: Path, m3ua_port: int) -> None:
    """The operator's file of the repository, with free ports."""
    text = (ROOT / "deploy/m3ua.toml").read_text().replace("127.0.0.1:2905", f"127.0.0.1:{m3ua_port}")
    path.write_text(text.replace("127.0.0.1:1161", f"127.0.0.1:{free_port()}"))


def run_case(folder: Path, case: Callable[[Platform], None]) -> None:
    """Run a case; an error of the script itself means that it could not run."""
    platform = Platform(folder)
    try:
        case(platform)
    except Exception as error:  # the case is not shown by a fault of its own script
        platform.finish(COULD_NOT_RUN, f"{type(error).__name__}: {error}")
