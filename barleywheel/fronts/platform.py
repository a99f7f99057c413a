"""The platform's front: callers that speak JSON lines."""

from __future__ import annotations

import logging
import math
import re
from typing import Any

import gevent
import gevent.socket

from barleywheel.core.deadlines import Deadlines
from barleywheel.core.life import Life
from barleywheel.core.model import CAUSE_NORMAL, Rejection, Request, now_us
from barleywheel.net.connection import Connection
from barleywheel.wire import Malformed, jsonlines

log = logging.getLogger(__name__)
REF = re.compile(r"[0-9a-fA-F]{16}\Z")
NUMBER = re.compile(r"[0-9a-fA-F]{0,16}\Z")
RELEASE_KEPT_US = 8_000_000  # how long a release waits for a caller's connection


class Caller:
    """One connection from callers; the origin of the requests that came on it."""

    def __init__(self, front: PlatformFront, conn: Connection) -> None:
        self.front, self.conn = front, conn
        self.refs: set[str] = set()  # set-ups open on it

    def answer(self, request: Request, description: bytes) -> bool:
        """Tell that the call stands."""
        self.refs.discard(request.ref)
        return self.conn.write(jsonlines.encode("up", request.ref, description=description))

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Tell that the call is refused or failed, and when to come back where the module advises it."""
        self.refs.discard(request.ref)
        ms = math.ceil(rejection.retry_after_us / 1000)
        advice = {"wait": str(ms)} if ms else {}
        self.conn.write(jsonlines.encode("down", request.ref, advice, rejection.cause))

    def release(self, ref: str, cause: int) -> None:
        """Tell that a call that stood is over."""
        self.front.release(ref, cause, self.conn)


class PlatformFront:
    """Listens for callers."""

    def __init__(self, life: Life, deadlines: Deadlines, most: int) -> None:
        self.life, self.deadlines, self.most = life, deadlines, most
        self.callers: set[Caller] = set()
        self.waiting: dict[str, int] = {}  # releases that no connection was open for
        self.leaving = self.closed = False
        self._listener: gevent.socket.socket | None = None

    def listen(self, address: str) -> None:
        """Open the listening socket."""
        host, _, port = address.rpartition(":")
        self._listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        self._listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.listen(512)

    def run(self) -> None:
        """Accept until closed."""
        assert self._listener is not None
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                if self.closed:
                    return
                log.warning("accept failed: %s", error)  # out of descriptors: some come free in time
                gevent.sleep(0.05)
                continue
            if len(self.callers) >= self.most:
                log.warning("connection closed, too many callers: peer=%s:%d", *address[:2])
                sock.close()
                continue
            caller = Caller(self, Connection(sock, f"{address[0]}:{address[1]}"))
            self.callers.add(caller)
            gevent.spawn(self._serve, caller)
            for ref, cause in self.waiting.items():
                caller.conn.write(jsonlines.encode("down", ref, cause=cause))
            self.waiting.clear()

    def close(self) -> None:
        """Take no further connections."""
        self.closed = True
        if self._listener is not None:
            self._listener.close()

    def idle(self) -> bool:
        """Whether nothing waits to be written."""
        return not self.waiting and all(caller.conn.clear or not caller.conn.open for caller in self.callers)

    def _serve(self, caller: Caller) -> None:
        for message in caller.conn.messages(jsonlines.cut):
            try:
                self._heard(caller, message)
            except Malformed as error:
                log.warning("connection closed, malformed input: peer=%s %s", caller.conn.peer, error)
                caller.conn.close()
        self.callers.discard(caller)
        for ref in caller.refs:
            self.life.abandon(ref)

    def _heard(self, caller: Caller, message: dict[str, Any]) -> None:
        kind, ref = message["t"], message.get("ref", "")
        if kind == "hb":
            caller.conn.write(jsonlines.encode("hb_ok", ref, cause=0 if self.leaving else 1))
            return
        if not REF.match(ref):
            raise Malformed("no call id")
        if kind == "new":
            request = read_request(caller, message)
            if ref not in self.life.open:
                caller.refs.add(ref)
            self.life.take(request)
        elif kind == "down":
            self._down(caller, ref, message.get("c"))

    def _down(self, caller: Caller, ref: str, cause: object) -> None:
        if self.life.abandon(ref):
            caller.refs.discard(ref)
            return
        number = cause if isinstance(cause, int) else CAUSE_NORMAL
        if self.life.standing.by_caller(ref, number):
            caller.conn.write(jsonlines.encode("ack", ref))
        elif ref not in self.life.standing.ended:
            log.info("release of an unknown call: ref=%s cause=%d", ref, number)

    def release(self, ref: str, cause: int, conn: Connection | None = None) -> None:
        """Tell a release where the call came from, else on any connection, else on the next."""
        data = jsonlines.encode("down", ref, cause=cause)
        conns = [conn] if conn is not None else []
        if not any(c.write(data) for c in conns + [caller.conn for caller in self.callers]):
            self.waiting[ref] = cause
            self.deadlines.at(now_us() + RELEASE_KEPT_US, lambda: self.waiting.pop(ref, None))


def _int(value: object, default: int) -> int:
    try:
        return int(str(value))
    except ValueError:
        return default


def _extras(text: object) -> dict[str, str]:
    return dict(part.split(":", 1) for part in str(text or "").split(";") if ":" in part)


def read_request(origin: Caller, message: dict[str, Any]) -> Request:
    """Make a request of a set-up; what can't be served shows as a deadline or destination below zero."""
    fields = message.get("f") or {}
    extras = _extras(fields.get("extras"))
    try:
        left_ms = float(fields.get("left", "nan"))
    except (TypeError, ValueError):
        left_ms = -1.0
    number = str(fields.get("key", ""))
    destination = _int(extras.get("dest"), -1)
    if not NUMBER.match(number):  # also guards the hubs' wire, where it becomes part of a line
        number, destination = "", -1
    try:
        width = float(extras.get("width", 1))
    except ValueError:
        width = 1.0
    source = _int(extras.get("via"), -1)
    return Request(
        ref=message["ref"],
        class_name=str(fields.get("class", "")),
        left_us=int(left_ms * 1000) if 0 < left_ms < 1e9 else -1,
        destination=destination,
        number=number,
        description=jsonlines.description(message),
        received_us=now_us(),
        origin=origin,
        width=width if 0 < width < 1e6 else 1.0,
        source=source if source >= 0 else None,
        redialled=str(fields.get("retry", "0")) not in ("0", ""),
        in_transit=extras.get("transit") == "1",
        cut_before=extras.get("again") == "1",
    )
