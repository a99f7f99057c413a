"""Front for the platform's callers, which speak JSON lines."""

from __future__ import annotations

import logging
import math
import re
from collections import OrderedDict
from typing import Any

from barleywheel.core import runtime
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import (
    CAUSE_INVALID_MESSAGE,
    CAUSE_NORMAL_CLEARING,
    CAUSE_TEMPORARY_FAILURE,
    Rejection,
    Request,
)
from barleywheel.core.runtime import now_us
from barleywheel.fronts.release_delivery import CallerTrust, ReleaseDelivery
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.wire import Malformed, jsonlines, sip

log = logging.getLogger(__name__)
CALL_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
CALLED_NUMBER_PATTERN = re.compile(r"[0-9a-fA-F]{1,16}\Z")
# A connection without a complete message must be closed within 3 s.
FIRST_MESSAGE_TIMEOUT_US = 2_300_000
# A set-up whose time left exceeds its class's deadline by more is rejected: no caller waits that long.
DEADLINE_TOLERANCE_US = 1_000_000
INVITE_OVERHEAD_BYTES = 512  # upper bound on the size of an INVITE without its description
MAX_WIDTH_CIRCUITS = 64.0


class Caller:
    """A connection from callers, and the origin of the requests received on it."""

    def __init__(self, front: PlatformFront, conn: Connection) -> None:
        self.front, self.conn = front, conn
        self.refs: set[str] = set()  # call ids of its open set-ups
        self.has_sent_message = self.has_sent_invalid = False
        self.trust = CallerTrust.UNKNOWN
        self.established_count = 0  # calls reported to it as established and not yet as released

    def answer(self, request: Request, description: bytes) -> bool:
        """Report the call as established."""
        data = jsonlines.encode("up", request.ref, description=description)
        if len(data) > jsonlines.MAX_LINE_BYTES:  # JSON escapes made it too long for the protocol
            self.reject(request, Rejection(CAUSE_TEMPORARY_FAILURE))
            return False
        self.refs.discard(request.ref)
        if not self.conn.write(data):
            return False
        self.established_count += 1
        self.raise_trust(CallerTrust.CALLER)
        return True

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Report the call as refused or failed, with a retry time if the decision module advises one."""
        # If the call id repeats that of an open call, that call stays open on this connection.
        if request.ref not in self.front.call_manager.open_calls:
            self.refs.discard(request.ref)
        if rejection.cause == CAUSE_INVALID_MESSAGE:
            self.has_sent_invalid = True
        if not self.has_sent_invalid and self.front.is_listed(request.destination):
            self.raise_trust(CallerTrust.LIKELY_CALLER)
        ms = math.ceil(rejection.retry_after_us / 1000)
        advice = {"wait": str(ms)} if ms else {}
        self.conn.write(jsonlines.encode("down", request.ref, advice, rejection.cause))

    def release(self, ref: str, cause: int) -> None:
        """Report the release of an established call."""
        self.established_count -= 1
        self.front.releases.send(ref, cause, self)

    def raise_trust(self, trust: CallerTrust) -> None:
        """Record what a message has shown about the peer; releases that wait for such a one are sent."""
        if trust > self.trust:
            self.trust = trust
            self.front.releases.on_trust_changed(self)


class PlatformFront:
    """Accepts callers' connections, and turns their messages into requests and releases."""

    def __init__(self, call_manager: CallManager, deadlines: Deadlines, max_callers: int) -> None:
        self.call_manager, self.deadlines, self.max_callers = call_manager, deadlines, max_callers
        self.callers: OrderedDict[Caller, None] = OrderedDict()  # in the order of their last message
        self.releases = ReleaseDelivery(deadlines, lambda: reversed(self.callers))
        self.shutting_down = self.closed = False
        self._listener: sockets.Listener | None = None

    def is_listed(self, destination: int) -> bool:
        """Whether the hub list has a hub of that exchange."""
        return bool(self.call_manager.facade.hubs_of(destination))

    def listen(self, address: str) -> None:
        """Open the listening socket."""
        self._listener = sockets.listen(address, 512)

    def run(self) -> None:
        """Accept connections until closed."""
        assert self._listener is not None
        for sock, address in sockets.accepted_connections(self._listener, lambda: self.closed):
            if len(self.callers) >= self.max_callers and not self._close_idle_connection():
                log.warning("connection closed, too many callers: peer=%s:%d", *address)
                sock.close()
                continue
            conn = Connection(sock, f"{address[0]}:{address[1]}", self.deadlines, FIRST_MESSAGE_TIMEOUT_US)
            caller = Caller(self, conn)
            self.callers[caller] = None
            runtime.spawn(self._serve, caller)

    def close(self) -> None:
        """Stop accepting connections."""
        self.closed = True
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> bool:
        """Close every connection without an open set-up or unread bytes; True if none is left open."""
        for caller in self._idle_connections():
            if not caller.conn.unread():
                caller.conn.close()
        return not any(caller.conn.open for caller in self.callers)

    def _idle_connections(self) -> list[Caller]:
        """Connections without an open set-up, queued output or an incomplete message."""
        return [
            caller
            for caller in self.callers
            if not caller.refs and caller.conn.can_write_now and not len(caller.conn.buffer)
        ]

    def _close_idle_connection(self) -> bool:
        """Close the idle connection that is least needed; False if there is none."""
        idle = self._idle_connections()
        # First those that sent nothing, then those that sent nothing valid, each by the time of their last
        # message. Last those with established calls, because releases are reported on them: on another
        # connection they might reach a peer that is not a caller.
        idle.sort(key=lambda caller: (caller.has_sent_message, caller.trust, caller.established_count > 0))
        # Closing a connection with unread bytes would lose set-ups that are received but not yet handled.
        caller = next((caller for caller in idle if not caller.conn.unread()), None)
        if caller is None:
            return False
        log.info(
            "idle connection closed, connection limit reached: peer=%s asked=%s",
            caller.conn.peer,
            caller.has_sent_message,
        )
        del self.callers[caller]
        caller.conn.close()
        return True

    def _serve(self, caller: Caller) -> None:
        try:
            for message in caller.conn.messages(jsonlines.parse_next):
                caller.has_sent_message = True
                if caller in self.callers:
                    self.callers.move_to_end(caller)
                self._handle_message_or_close(caller, message)
        finally:
            # However the connection ends: an entry left behind would take the place of a caller for good.
            self.callers.pop(caller, None)
            for ref in list(caller.refs):
                self.call_manager.abandon(ref)

    def _handle_message_or_close(self, caller: Caller, message: dict[str, Any]) -> None:
        try:
            self._handle_message(caller, message)
        except Malformed as error:
            log.warning("connection closed, malformed input: peer=%s %s", caller.conn.peer, error)
            caller.conn.close()
        except Exception:  # a defect; what one peer sends must end no more than its connection
            log.exception("connection closed, failed to handle a message: peer=%s", caller.conn.peer)
            caller.conn.close()

    def _handle_message(self, caller: Caller, message: dict[str, Any]) -> None:
        kind, ref = message["t"], message.get("ref", "")
        if kind == "hb":
            caller.raise_trust(CallerTrust.CALLER)
            caller.conn.write(jsonlines.encode("hb_ok", ref, cause=0 if self.shutting_down else 1))
            return
        if not CALL_ID_PATTERN.match(ref):
            raise Malformed("invalid call id")
        if kind == "new":
            if caller.conn.peer_has_closed():
                return  # nobody waits for its answer, and nothing of it has been sent on
            request = read_request(caller, message)
            if (
                request.time_left_us
                > self.call_manager.facade.deadline_us(request.class_name) + DEADLINE_TOLERANCE_US
            ):
                request.time_left_us = -1
            if ref not in self.call_manager.open_calls:
                caller.refs.add(ref)
                self.releases.discard(ref)  # it would seem to end the new call
            self.call_manager.accept(request)
        elif kind == "down":
            self._handle_release(caller, ref, message.get("c"))
        elif kind != "ack":
            raise Malformed("unknown message type")

    def _handle_release(self, caller: Caller, ref: str, cause: object) -> None:
        call, leg = self.call_manager.open_calls.get(ref), self.call_manager.established.legs.get(ref)
        if any(item is not None and not isinstance(item.origin, Caller) for item in (call, leg)):
            log.warning("release of a call of another front ignored: peer=%s ref=%s", caller.conn.peer, ref)
            return
        if self.call_manager.abandon(ref):
            caller.refs.discard(ref)
            return
        # type() rather than isinstance(), because JSON's true is an int too.
        number = cause if type(cause) is int and 0 < cause < 128 else CAUSE_NORMAL_CLEARING
        if leg is not None and isinstance(leg.origin, Caller):
            leg.origin.established_count -= 1
        if self.call_manager.established.release_from_caller(ref, number) or self.releases.discard(ref):
            caller.conn.write(jsonlines.encode("ack", ref))
            caller.raise_trust(CallerTrust.CALLER)  # only its caller knows the id of a call that stands
        elif ref not in self.call_manager.established.recently_ended:
            log.info("release of an unknown call: ref=%s cause=%d", ref, number)
            caller.conn.write(jsonlines.encode("ack", ref))

    def release_unknown(self, ref: str, cause: int) -> bool:
        """Report the release of a call that was established before this process started."""
        self.releases.send(ref, cause)
        return True


def _int_or_default(value: object, default: int) -> int:
    try:
        return int(str(value))
    except ValueError:
        return default


def _float_or_default(value: object, default: float) -> float:
    try:
        return float(str(value))
    except ValueError:
        return default


def _parse_extras(text: object) -> dict[str, str]:
    return dict(part.split(":", 1) for part in str(text or "").split(";") if ":" in part)


def read_request(origin: Caller, message: dict[str, Any]) -> Request:
    """Build a request from a set-up; a negative time left or destination marks one that can't be served."""
    fields = message.get("f") or {}
    extras = _parse_extras(fields.get("extras"))
    left_ms = _float_or_default(fields.get("left"), -1.0)
    number, description = str(fields.get("key", "")), jsonlines.description(message)
    destination, source = _int_or_default(extras.get("dest"), -1), _int_or_default(extras.get("via", -1), -2)
    width = _float_or_default(extras.get("width", 1), -1.0)
    # Also keeps invalid input from the hubs: a hub closes its connection on it, with every set-up there.
    if (
        not CALLED_NUMBER_PATTERN.match(number)
        or len(description) + INVITE_OVERHEAD_BYTES > sip.MAX_MESSAGE_BYTES
    ):
        number, destination = "", -1
    if not 0 < width <= MAX_WIDTH_CIRCUITS or not -1 <= source <= 0xFFFF or destination > 0xFFFF:
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
