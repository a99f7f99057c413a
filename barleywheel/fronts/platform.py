"""The platform's front: callers that speak JSON lines."""

from __future__ import annotations

import logging
import math
import re
from collections import OrderedDict
from typing import Any

from barleywheel.core import runtime
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import CAUSE_NORMAL_CLEARING, CAUSE_TEMPORARY_FAILURE, Rejection, Request
from barleywheel.core.runtime import now_us
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.wire import Malformed, jsonlines, sip

log = logging.getLogger(__name__)
CALL_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
CALLED_NUMBER_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}\Z")
RELEASE_RETENTION_US = 8_000_000  # how long a release waits for a caller's connection
# a connection without a whole message for so long is closed: a close is owed within 3 s
FIRST_MESSAGE_TIMEOUT_US = 2_300_000
DEADLINE_TOLERANCE_US = 1_000_000  # no caller waits longer than its class's deadline, give or take this
INVITE_OVERHEAD = 512  # an INVITE is a description and at most so much round it
MAX_WIDTH = 64.0  # circuits


class Caller:
    """One connection from callers; the origin of the requests that came on it."""

    def __init__(self, front: PlatformFront, conn: Connection) -> None:
        self.front, self.conn = front, conn
        self.refs: set[str] = set()  # set-ups open on it
        self.has_sent_message = False  # a whole message has come on it
        self.trust = 0  # 1: it has sent what can be used; 2: a call of it stood
        self.established_count = 0  # calls that it has been told to stand, and not yet told to be over

    def answer(self, request: Request, description: bytes) -> bool:
        """Tell that the call stands."""
        data = jsonlines.encode("up", request.ref, description=description)
        if len(data) > jsonlines.MAX_LINE_BYTES:  # escaped, it has grown beyond what the wire allows
            self.reject(request, Rejection(CAUSE_TEMPORARY_FAILURE))
            return False
        self.refs.discard(request.ref)
        self.trust, self.established_count = 2, self.established_count + 1
        return self.conn.write(data)

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Tell that the call is refused or failed, and when to come back where the module advises it."""
        # a repeat of an open id: the first is still open here
        if request.ref not in self.front.call_manager.open_calls:
            self.refs.discard(request.ref)
        ms = math.ceil(rejection.retry_after_us / 1000)
        advice = {"wait": str(ms)} if ms else {}
        self.conn.write(jsonlines.encode("down", request.ref, advice, rejection.cause))

    def release(self, ref: str, cause: int) -> None:
        """Tell that a call that stood is over."""
        self.established_count -= 1
        self.front.release(ref, cause, self.conn)


class PlatformFront:
    """Listens for callers."""

    def __init__(self, call_manager: CallManager, deadlines: Deadlines, max_callers: int) -> None:
        self.call_manager, self.deadlines, self.max_callers = call_manager, deadlines, max_callers
        self.callers: OrderedDict[Caller, None] = OrderedDict()  # the one that spoke last comes last
        self.pending_releases: dict[str, int] = {}  # releases that no connection was open for
        self.shutting_down = self.closed = False
        self._listener: sockets.Listener | None = None

    def listen(self, address: str) -> None:
        """Open the listening socket."""
        self._listener = sockets.listen(address, 512)

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
                runtime.sleep(0.05)
                continue
            if len(self.callers) >= self.max_callers and not self._make_room():
                log.warning("connection closed, too many callers: peer=%s:%d", *address)
                sock.close()
                continue
            conn = Connection(sock, f"{address[0]}:{address[1]}", self.deadlines, FIRST_MESSAGE_TIMEOUT_US)
            caller = Caller(self, conn)
            self.callers[caller] = None
            runtime.spawn(self._serve, caller)
            if len(self.callers) >= self.max_callers:
                runtime.sleep(0)  # a closed one's descriptor comes free when its reader has had a turn

    def _raise_trust(self, caller: Caller) -> None:
        """It has sent what can be used: releases that found nobody go there."""
        caller.trust = max(caller.trust, 1)
        for ref, cause in self.pending_releases.items():
            caller.conn.write(jsonlines.encode("down", ref, cause=cause))
        self.pending_releases.clear()

    def close(self) -> None:
        """Take no further connections."""
        self.closed = True
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> bool:
        """Close every connection on which nothing is open or unread; True when none is left."""
        for caller in self._idle_connections():
            if not caller.conn.unread():
                caller.conn.close()
        return not any(caller.conn.open for caller in self.callers)

    def _idle_connections(self) -> list[Caller]:
        """Connections on which no set-up is open and nothing waits to be written or made whole."""
        return [
            caller
            for caller in self.callers
            if not caller.refs and caller.conn.can_write_now and not len(caller.conn.buffer)
        ]

    def _make_room(self) -> bool:
        """Close a connection on which nothing is open: one that never asked, else the one longest quiet."""
        quiet = self._idle_connections()
        # The silent go first, then those that sent nothing of use; last those whose calls stand, as they are
        # told on it: the rest may go to a peer that is no caller.
        quiet.sort(key=lambda caller: (caller.has_sent_message, caller.trust, caller.established_count > 0))
        # Guards set-ups that have come and wait for their reader's turn: a close would lose them.
        caller = next((caller for caller in quiet if not caller.conn.unread()), None)
        if caller is None:
            return False
        log.info(
            "connection closed to make room: peer=%s asked=%s", caller.conn.peer, caller.has_sent_message
        )
        del self.callers[caller]
        caller.conn.close()
        return True

    def _serve(self, caller: Caller) -> None:
        for message in caller.conn.messages(jsonlines.parse_next):
            caller.has_sent_message = True
            if caller in self.callers:
                self.callers.move_to_end(caller)
            try:
                self._handle_message(caller, message)
            except Malformed as error:
                log.warning("connection closed, malformed input: peer=%s %s", caller.conn.peer, error)
                caller.conn.close()
        self.callers.pop(caller, None)
        for ref in list(caller.refs):
            self.call_manager.abandon(ref)

    def _handle_message(self, caller: Caller, message: dict[str, Any]) -> None:
        kind, ref = message["t"], message.get("ref", "")
        if kind == "hb":
            self._raise_trust(caller)
            caller.conn.write(jsonlines.encode("hb_ok", ref, cause=0 if self.shutting_down else 1))
            return
        if not CALL_ID_PATTERN.match(ref):
            raise Malformed("no call id")
        if kind == "new":
            request = read_request(caller, message)
            if (
                request.time_left_us
                > self.call_manager.facade.deadline_us(request.class_name) + DEADLINE_TOLERANCE_US
            ):
                request.time_left_us = -1
            if ref not in self.call_manager.open_calls:
                caller.refs.add(ref)
                self._raise_trust(caller)
            self.call_manager.accept(request)
        elif kind == "down":
            self._handle_release(caller, ref, message.get("c"))
        elif kind != "ack":
            raise Malformed("unknown type")

    def _handle_release(self, caller: Caller, ref: str, cause: object) -> None:
        if self.call_manager.abandon(ref):
            caller.refs.discard(ref)
            return
        # true is an int too
        number = cause if type(cause) is int and 0 < cause < 128 else CAUSE_NORMAL_CLEARING
        leg = self.call_manager.established.legs.get(ref)
        if leg is not None and isinstance(leg.origin, Caller):
            leg.origin.established_count -= 1
        if self.call_manager.established.release_from_caller(ref, number):
            caller.conn.write(jsonlines.encode("ack", ref))
        elif ref not in self.call_manager.established.recently_ended:
            log.info("release of an unknown call: ref=%s cause=%d", ref, number)
            caller.conn.write(jsonlines.encode("ack", ref))

    def release(self, ref: str, cause: int, conn: Connection | None = None) -> None:
        """Tell a release where the call came from, else on any connection, else on the next."""
        data = jsonlines.encode("down", ref, cause=cause)
        conns = [conn] if conn is not None else []
        host = conn.peer.partition(":")[0] if conn is not None else ""
        # Guards releases against peers that are no callers, and against those that left unnoticed: those
        # whose calls stood first, the same machine among them, then those that spoke last.
        others = sorted(
            (caller for caller in reversed(self.callers) if caller.trust),
            key=lambda caller: (-caller.trust, not caller.conn.peer.startswith(host + ":")),
        )
        if not any(c.write(data) for c in conns + [caller.conn for caller in others]):
            self.pending_releases[ref] = cause
            self.deadlines.schedule(
                now_us() + RELEASE_RETENTION_US, lambda: self.pending_releases.pop(ref, None)
            )


def _int(value: object, default: int) -> int:
    try:
        return int(str(value))
    except ValueError:
        return default


def _float(value: object, default: float) -> float:
    try:
        return float(str(value))
    except ValueError:
        return default


def _extras(text: object) -> dict[str, str]:
    return dict(part.split(":", 1) for part in str(text or "").split(";") if ":" in part)


def read_request(origin: Caller, message: dict[str, Any]) -> Request:
    """Make a request of a set-up; what can't be served shows as a deadline or destination below zero."""
    fields = message.get("f") or {}
    extras = _extras(fields.get("extras"))
    left_ms = _float(fields.get("left"), -1.0)
    number, description = str(fields.get("key", "")), jsonlines.description(message)
    destination, source = _int(extras.get("dest"), -1), _int(extras.get("via", -1), -2)
    width = _float(extras.get("width", 1), -1.0)
    # Guards the hubs' wire too: a hub closes on what it can't read, with all that is open there.
    if not CALLED_NUMBER_PATTERN.match(number) or len(description) + INVITE_OVERHEAD > sip.MAX_MESSAGE_BYTES:
        number, destination = "", -1
    if not 0 < width <= MAX_WIDTH or not -1 <= source <= 0xFFFF or destination > 0xFFFF:
        destination = -1
    return Request(
        ref=message["ref"],
        class_name=str(fields.get("class", "")),
        time_left_us=int(left_ms * 1000) if 0 < left_ms < 1e9 else -1,
        destination=destination,
        called_number=number,
        description=description,
        received_us=now_us(),
        origin=origin,
        width=width,
        source_cell=source if source >= 0 else None,
        redialled=str(fields.get("retry", "0")) not in ("0", ""),
        in_transit=extras.get("transit") == "1",
        interrupted_before=extras.get("again") == "1",
    )
