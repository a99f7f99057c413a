"""Connections to build hubs, spoken to in SIP: at most four a hub, one of them opened early."""

from __future__ import annotations

import logging
from collections import OrderedDict

from barleywheel.core import runtime
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import Attempt, AttemptResult, AttemptStatus, Call, Leg, RefusalReason
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.wire import sip
from barleywheel.wire.journal import Endpoint

log = logging.getLogger(__name__)
MAX_CONNECTIONS = 4  # connections a hub
RECONNECT_DELAYS_S = (0.1, 0.25, 0.5, 1.0)  # waits between tries to reach a hub that can't be reached
# calls at a hub that vanished so long ago are released: 8 s after an end is too late
SILENCE_RELEASE_US = 7_300_000
SILENCE_RECONNECT_US = 3_000_000  # after so much silence a new connection must show that the hub is there
PING_AFTER_SILENCE_US = 80_000  # a set-up out, and nothing read for so long: the connection is tested
PING_TIMEOUT_US = 100_000  # a test is passed at once; without an answer in this time the connection is dead
CHECK_LATENESS_LIMIT_US = 20_000  # a check that runs so late proves nothing: it was we who stood still
MESSAGE_TIMEOUT_US = 250_000  # hubs write a message at once: the rest of a half one will not come
MAX_ENDED_SETUPS = 512  # set-ups that ended without standing, remembered for their late answers, a connection
RELEASE_RETENTION_US = 8_000_000  # how long a release waits for a connection to its hub
STATUS_BY_RESPONSE = {
    503: AttemptStatus.REFUSED,
    486: AttemptStatus.ERROR,
    500: AttemptStatus.ERROR,
    480: AttemptStatus.NOT_SENT,
    504: AttemptStatus.RESET,
}
REASON_BY_NOTE = {reason.value: reason for reason in RefusalReason}


class HubConnection(Connection):
    """A connection and the set-ups open on it."""

    def __init__(self, sock: sockets.Socket, peer: str, deadlines: Deadlines) -> None:
        super().__init__(sock, peer, deadlines, MESSAGE_TIMEOUT_US, first=False)
        self.setups: dict[tuple[str, int], Attempt] = {}
        # what a late 200 must be undone for
        self.ended_setups: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.last_received_us = now_us()
        self.check_scheduled = False  # a check of it is due while set-ups are out
        self.suspect = False  # a set-up on it timed out and nothing has been read since

    def remember_ended(self, key: tuple[str, int]) -> None:
        """Remember a set-up that has ended without standing."""
        self.ended_setups[key] = None
        if len(self.ended_setups) > MAX_ENDED_SETUPS:
            self.ended_setups.popitem(last=False)


class HubAttempt:
    """Where an attempt went: its connection and its place in the call's sequence."""

    def __init__(self, conn: HubConnection, cseq: int, number: str) -> None:
        self.conn, self.cseq, self.number = conn, cseq, number


class Hub:
    """One build hub: its address, its state and its connections."""

    def __init__(self, name: bytes, address: str) -> None:
        self.name, self.address = name, address
        self.connections: list[HubConnection] = []
        self.connecting = 0
        self.gone = False
        self.last_received_us = now_us()
        # the last_received_us for which a release of its calls is already due
        self.release_scheduled_for_us = 0
        # for its keeper; a try to connect has ended
        self.wake, self.connect_finished = runtime.event(), runtime.event()
        self.pending_releases: list[
            tuple[int, str, int, str, int]
        ] = []  # waiting for a connection: until, BYE

    def usable_connection(self, call: Call | None = None) -> HubConnection | None:
        """A connection for a new set-up: nothing queued, no half message read, not known to be silent.

        A call that goes to the same hub again takes one that has not carried it: hubs answer every INVITE of
        a call as CSeq 1, so only the connection tells its answers apart.
        """
        ready = [
            c
            for c in self.connections
            if c.can_write_now
            and not c.suspect
            and not len(c.buffer)
            and (call is None or c not in call.carrier_data)
        ]
        return min(ready, key=lambda c: len(c.setups)) if ready else None


class HubPool:
    """Places attempts at hubs; tells the core what hubs say."""

    def __init__(
        self,
        call_manager: CallManager,
        facade: ControllerFacade,
        deadlines: Deadlines,
        connect_timeout_us: int,
    ) -> None:
        self.call_manager, self.facade, self.deadlines = call_manager, facade, deadlines
        self.connect_timeout_s = connect_timeout_us / 1e6
        self.hubs: dict[bytes, Hub] = {}

    def update(self, endpoints: list[Endpoint], whole: bool) -> None:
        """Follow the hub list."""
        named = set()
        for endpoint in endpoints:
            name = endpoint.name.encode("utf-8", "surrogatepass")
            named.add(name)
            if endpoint.status == "Gone":
                self._remove(name)
            elif name not in self.hubs and endpoint.address is not None:
                self.hubs[name] = Hub(name, endpoint.address)
                if self.facade.cell_of(name) != self.facade.home_cell and not self._has_other_carrier(name):
                    runtime.spawn(self._maintain, self.hubs[name])
        if whole:
            for name in [name for name in self.hubs if name not in named]:
                self._remove(name)

    def _has_other_carrier(self, name: bytes) -> bool:
        return self.facade.cell_of(name) in self.call_manager.carriers  # another carrier reaches that one

    def _remove(self, name: bytes) -> None:
        hub = self.hubs.pop(name, None)
        if hub is not None:
            hub.gone = True
            hub.wake.set()
            # Its process has ended, and its calls with it. A connection that still speaks may be that of a
            # new hub at the same address, so it proves nothing.
            self.call_manager.established.release_all_at_hub(name)
            for conn in hub.connections:
                conn.close()

    # Connections.

    def _maintain(self, hub: Hub) -> None:
        """Keep a connection open: group state comes on it, and releases."""
        tries = 0
        while not hub.gone:
            if (
                hub.usable_connection() is None
                and len(hub.connections) + hub.connecting < MAX_CONNECTIONS
                and not self._address_taken_over(hub)
            ):
                tries = 0 if self._connect(hub) else tries + 1
            elif now_us() - hub.last_received_us > SILENCE_RECONNECT_US:
                self._replace_silent_connection(hub)
            hub.wake.clear()
            hub.wake.wait(
                RECONNECT_DELAYS_S[min(tries, len(RECONNECT_DELAYS_S) - 1)]
                if hub.usable_connection() is None
                else 1.0
            )

    def _replace_silent_connection(self, hub: Hub) -> None:
        """Put a new connection in the place of a silent one: a machine that vanished lets none come up."""
        old = [conn for conn in hub.connections if not conn.setups]
        if len(hub.connections) + hub.connecting >= MAX_CONNECTIONS:
            if old:
                old[0].close()
        elif self._connect(hub) is None:
            for conn in hub.connections:
                conn.suspect = now_us() - hub.last_received_us > SILENCE_RECONNECT_US
        else:
            for conn in old:
                conn.close()

    def _schedule_silence_release(self, hub: Hub) -> None:
        """The hub can't be reached, or is gone with connections open: unless heard, its calls are over."""
        heard = hub.last_received_us
        if hub.release_scheduled_for_us != heard:
            hub.release_scheduled_for_us = heard

            def check() -> None:
                # Guards calls that end while their hub is cut off: nothing says so, and yet their
                # callers must be told within 8 s. Those that would have gone on are lost with them.
                if hub.last_received_us == heard:
                    log.warning("calls of a silent hub released: hub=%s", hub.name.decode())
                    self.call_manager.established.release_all_at_hub(hub.name)

            self.deadlines.schedule(max(heard + SILENCE_RELEASE_US, now_us()), check)

    def _address_taken_over(self, hub: Hub) -> bool:
        """A new hub may have the address of one that drains or is gone."""
        return not self.facade.is_ready(hub.name) and any(
            other.address == hub.address and self.facade.is_ready(other.name) for other in self.hubs.values()
        )

    def _connect(self, hub: Hub) -> HubConnection | None:
        """Open a connection; blocks until it is up, refused or timed out."""
        hub.connecting += 1
        try:
            sock = sockets.connect(hub.address, self.connect_timeout_s)
        except (OSError, ValueError) as error:
            log.info("hub not reached: hub=%s %s", hub.name.decode(), error)
            if not isinstance(error, ConnectionRefusedError):
                self._schedule_silence_release(hub)
            elif not hub.connections:
                # its process is dead, and its calls are cut
                self.call_manager.established.release_all_at_hub(hub.name)
            else:
                # Guards calls through a draining hub: it takes no new connections, and keeps those it has.
                hub.last_received_us = now_us()
            return None
        finally:
            hub.connecting -= 1
            hub.connect_finished.set()
        hub.last_received_us = now_us()
        conn = HubConnection(sock, hub.name.decode(), self.deadlines)
        hub.connections.append(conn)
        runtime.spawn(self._read, hub, conn)
        for until, ref, cseq, number, cause in hub.pending_releases:
            if until > now_us():
                conn.write(sip.bye(ref, cseq, number, cause))
        hub.pending_releases.clear()
        return conn

    def _read(self, hub: Hub, conn: HubConnection) -> None:
        for message in conn.messages(sip.parse_next):
            conn.last_received_us = hub.last_received_us = now_us()
            conn.suspect = False
            try:
                self._handle_message(hub, conn, message)
            except Exception:  # no hub's message may end the process, or the connection's other calls
                log.exception("message of a hub not understood: hub=%s", conn.peer)
        hub.connections.remove(conn)
        if conn.setups or conn.reset:
            log.info("hub connection lost: hub=%s reset=%s open=%d", conn.peer, conn.reset, len(conn.setups))
        for attempt in list(conn.setups.values()):
            # what is open on a closed connection is given up
            attempt.finish(AttemptResult(AttemptStatus.RESET))
        conn.setups.clear()
        if hub.gone and not hub.connections:
            self.call_manager.established.release_all_at_hub(hub.name)
        hub.wake.set()

    # Attempts.

    def place(self, attempt: Attempt) -> None:
        """Send the set-up on an open connection, else on a new one."""
        hub = self.hubs.get(attempt.hub)
        if hub is None:
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT))
        elif (conn := hub.usable_connection(attempt.call)) is not None:
            self._send(conn, attempt)
        else:
            runtime.spawn(self._connect_and_send, hub, attempt)

    def _connect_and_send(self, hub: Hub, attempt: Attempt) -> None:
        if len(hub.connections) + hub.connecting >= MAX_CONNECTIONS:
            silent = [c for c in hub.connections if c.suspect and not c.setups]
            if not silent:
                self._send_on_other(hub, attempt)
                return
            silent[0].close()
        conn = self._connect(hub)
        hub.wake.set()
        if conn is None:
            attempt.finish(AttemptResult(AttemptStatus.UNREACHABLE))
        elif not attempt.has_ended:
            self._send(conn, attempt)

    def _send_on_other(self, hub: Hub, attempt: Attempt) -> None:
        """Take what others have opened by then; no further connection is allowed."""
        while hub.connecting and hub.usable_connection(attempt.call) is None and not attempt.has_ended:
            hub.connect_finished.clear()
            hub.connect_finished.wait(self.connect_timeout_s)
        if attempt.has_ended:
            return
        if (conn := hub.usable_connection(attempt.call)) is not None:
            self._send(conn, attempt)
        else:
            attempt.finish(
                AttemptResult(
                    AttemptStatus.NOT_SENT if hub.usable_connection() else AttemptStatus.UNREACHABLE
                )
            )

    def _send(self, conn: HubConnection, attempt: Attempt) -> None:
        if not attempt.may_send(attempt.hub):
            # Guards rule 3: the list may have changed while a connection was awaited.
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT))
            return
        request = attempt.call.request
        # Counted by connection and call: a hub that gets its first INVITE of a call answers it as CSeq 1,
        # so a number that went on from an attempt at another hub never found its answer.
        now, cseq = now_us(), attempt.call.carrier_data.get(conn, 0) + 1
        attempt.call.carrier_data[conn] = cseq
        left_us = attempt.started_us + attempt.limit_us - now
        data = sip.invite(
            request.ref,
            cseq,
            request.called_number,
            request.class_name,
            max(1, left_us // 1000),
            request.description,
        )
        attempt.sent_us, attempt.carrier_state = now, HubAttempt(conn, cseq, request.called_number)
        conn.setups[request.ref, cseq] = attempt
        if not conn.write(data):
            # It was reset while it was idle, and not a byte of this left: it never ran.
            conn.setups.pop((request.ref, cseq), None)
            log.info("set-up moved to another connection: hub=%s ref=%s", conn.peer, request.ref)
            self.place(attempt)
        elif not conn.check_scheduled:
            self._schedule_check(conn, attempt.hub, PING_AFTER_SILENCE_US, False)

    def _schedule_check(self, conn: HubConnection, name: bytes, wait_us: int, tested: bool) -> None:
        """Look after a connection with set-ups out: one that is open and silent is of no further use.

        A hub that is merely slow passes the test (OPTIONS) at once; where nothing comes, the set-ups on the
        connection are given up, and others no longer go there. Not at a draining hub, which takes no new one.
        """
        heard, due, conn.check_scheduled = conn.last_received_us, now_us() + wait_us, True

        def check() -> None:
            conn.check_scheduled = False
            if not conn.open or not conn.setups or not self.facade.is_ready(name):
                return
            now = now_us()
            first = next(iter(conn.setups.values())).sent_us
            if (
                conn.last_received_us != heard
                or now - due > CHECK_LATENESS_LIMIT_US
                or now - first < PING_AFTER_SILENCE_US // 2
            ):
                self._schedule_check(conn, name, PING_AFTER_SILENCE_US, False)
            elif tested:
                log.info("connection closed, silent: hub=%s open=%d", conn.peer, len(conn.setups))
                conn.close()
            else:
                conn.write(sip.request("OPTIONS", "sip:ping@net", f"{now:016x}", 1))
                self._schedule_check(conn, name, PING_TIMEOUT_US, True)

        self.deadlines.schedule(due, check)

    def cancel(self, attempt: Attempt) -> None:
        """Give up a set-up; an answer that still comes finds nobody waiting."""
        hub_attempt, ref = attempt.carrier_state, attempt.call.request.ref
        if (
            not isinstance(hub_attempt, HubAttempt)
            or hub_attempt.conn.setups.pop((ref, hub_attempt.cseq), None) is None
        ):
            return
        hub_attempt.conn.remember_ended((ref, hub_attempt.cseq))
        hub_attempt.conn.write(sip.request("CANCEL", f"sip:{hub_attempt.number}@net", ref, hub_attempt.cseq))
        if (
            hub_attempt.conn.last_received_us < attempt.sent_us
            and attempt.result is not None
            and (attempt.result.status is AttemptStatus.TIMEOUT)
        ):
            hub_attempt.conn.suspect = True  # the machine may have vanished; a new connection will tell
            if (hub := self.hubs.get(attempt.hub)) is not None:
                hub.wake.set()

    def release(self, leg: Leg, cause: int) -> None:
        """Take down a call that stands: where its set-up went, else on any connection, else on the next."""
        hub_attempt = leg.carrier_state
        if not isinstance(hub_attempt, HubAttempt):
            return
        hub = self.hubs.get(leg.hub)
        connections = [hub_attempt.conn] + ([c for c in hub.connections if not c.suspect] if hub else [])
        data = sip.bye(leg.ref, hub_attempt.cseq + 1, hub_attempt.number, cause)
        if not any(conn.write(data) for conn in connections) and hub is not None:
            hub.pending_releases = [kept for kept in hub.pending_releases if kept[0] > now_us()]
            hub.pending_releases.append(
                (now_us() + RELEASE_RETENTION_US, leg.ref, hub_attempt.cseq + 1, hub_attempt.number, cause)
            )

    # What hubs say.

    def _handle_message(self, hub: Hub, conn: HubConnection, message: sip.Message) -> None:
        if message.status:
            if message.cseq[1] == "INVITE" and message.status >= 200:
                self._handle_final_response(hub, conn, message)
        elif message.method == "NOTIFY":
            self.facade.report_load(hub.name, message.load)
        elif message.method == "BYE":
            conn.write(sip.response(200, "OK", message))
            if load := message.load:
                self.facade.report_load(hub.name, load)
            self.call_manager.handle_hub_release(hub.name, message.call_id, message.cause)
        elif message.method != "ACK":
            conn.write(sip.response(200, "OK", message))

    def _handle_final_response(self, hub: Hub, conn: HubConnection, message: sip.Message) -> None:
        """A final answer. It counts only for the attempt with its connection, Call-ID and CSeq."""
        ref, cseq, load = message.call_id, message.cseq[0], message.load
        attempt = conn.setups.pop((ref, cseq), None)
        number = attempt.call.request.called_number if attempt else ""
        if attempt is None:
            log.info(
                "answer to no open attempt: hub=%s ref=%s cseq=%d status=%d",
                conn.peer,
                ref,
                cseq,
                message.status,
            )
            if (ref, cseq) not in conn.ended_setups:
                # A second copy, or an id that is not ours: a BYE would cut the call that the first one made.
                conn.write(sip.request("ACK", "sip:@net", ref, cseq))
                return
        conn.write(sip.request("ACK", f"sip:{number}@net", ref, cseq))
        if message.status < 300:
            result = AttemptResult(
                AttemptStatus.ANSWERED, load=load, description=message.body, at_us=now_us()
            )
            if attempt is None or not attempt.finish(result):
                conn.write(sip.bye(ref, cseq + 1, number, 16))  # late: nobody waits for this call
                if load:
                    self.facade.report_load(hub.name, load)
            return
        reason = REASON_BY_NOTE.get(message.headers.get("x-note", ""), RefusalReason.NONE)
        result = AttemptResult(
            STATUS_BY_RESPONSE.get(message.status, AttemptStatus.ERROR), reason, load, at_us=now_us()
        )
        conn.remember_ended((ref, cseq))
        if result.status is AttemptStatus.ERROR:
            log.info(
                "set-up ended in error: hub=%s ref=%s status=%d note=%s",
                conn.peer,
                ref,
                message.status,
                message.headers.get("x-note", ""),
            )
        if (attempt is None or not attempt.finish(result)) and load:
            self.facade.report_load(hub.name, load)
