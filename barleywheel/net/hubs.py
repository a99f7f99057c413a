"""The pool of SIP connections to build hubs: the first of each is opened before there is a call for it."""

from __future__ import annotations

import logging

from barleywheel.core import runtime
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import Attempt, AttemptResult, AttemptStatus, Leg, RefusalReason
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade
from barleywheel.net import sockets
from barleywheel.net.hub import Hub, HubAttempt, HubConnection, PendingRelease
from barleywheel.wire import sip
from barleywheel.wire.journal import Endpoint

log = logging.getLogger(__name__)
US_PER_MS = 1000
RECONNECT_DELAYS_S = (0.1, 0.25, 0.5, 1.0)  # indexed by the failed connects in a row, up to the last
# Below 8 s: callers must be notified within 8 s of the end of a call, and an unreachable hub reports no ends.
RELEASE_AFTER_SILENCE_US = 7_300_000
# After this silence a new connection is opened to find out whether the hub is still reachable.
RECONNECT_AFTER_SILENCE_US = 3_000_000
# A connection with an open set-up on which nothing was read for this long is pinged with OPTIONS.
PING_AFTER_SILENCE_US = 80_000
# Even a slow hub answers OPTIONS immediately; a connection without an answer by then is closed.
PING_TIMEOUT_US = 100_000
RELEASE_RETENTION_US = 8_000_000  # how long a release waits for a connection to its hub
# By then a hub has noticed that this side closed a connection, and sends no more releases on it.
CLOSE_NOTICED_AFTER_US = 100_000
STATUS_BY_RESPONSE = {
    503: AttemptStatus.REFUSED,
    486: AttemptStatus.ERROR,
    500: AttemptStatus.ERROR,
    480: AttemptStatus.NOT_SENT,
    504: AttemptStatus.RESET,
}
REASON_BY_NOTE = {reason.value: reason for reason in RefusalReason}


class HubPool:
    """Sends attempts to hubs and passes the hubs' messages to the core."""

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

    def update(self, endpoints: list[Endpoint], is_snapshot: bool) -> None:
        """Apply a change of the hub list; hubs that a snapshot does not list are removed."""
        listed = set()
        for endpoint in endpoints:
            name = endpoint.name.encode()
            listed.add(name)
            if endpoint.status == "Gone":
                self._remove(name)
            elif name in self.hubs:
                if self.facade.is_ready(name):  # a hub that drains is the process that it was
                    self._update_listed_hub(self.hubs[name], endpoint)
            elif endpoint.address is not None:
                self._add(name, endpoint.address, endpoint.since_ms)
        if is_snapshot:
            for name in [name for name in self.hubs if name not in listed]:
                self._remove(name)

    def _add(self, name: bytes, address: str, since_ms: int) -> None:
        for other in list(self.hubs.values()):
            # Two processes can't listen at one address. One that drains doesn't listen, and may have calls.
            if other.address == address and self.facade.is_ready(other.name):
                self._end_process(other, now_us())
        self.hubs[name] = Hub(name, address, since_ms)
        if self.facade.cell_of(name) != self.facade.home_cell and not self._has_other_carrier(name):
            runtime.spawn(self._maintain_connection, self.hubs[name])

    def _update_listed_hub(self, hub: Hub, endpoint: Endpoint) -> None:
        """Notice that a hub which is listed again has a new process: at a new address, or started later."""
        if endpoint.address not in (None, hub.address):
            log.info("hub has moved: hub=%s address=%s", endpoint.name, endpoint.address)
            self._remove(hub.name)
            self._add(hub.name, str(endpoint.address), endpoint.since_ms)
        elif endpoint.since_ms > hub.since_ms:
            log.info("hub was started again: hub=%s since_ms=%d", endpoint.name, endpoint.since_ms)
            hub.since_ms = endpoint.since_ms
            self._end_process(hub, runtime.from_unix_us(endpoint.since_ms * US_PER_MS))

    def _end_process(self, hub: Hub, ended_us: int) -> None:
        """Release the calls of a process that has ended, and close the connections to it."""
        if not self._has_other_carrier(hub.name):
            self.call_manager.established.release_all_at_hub(hub.name, ended_us)
        for conn in list(hub.connections):
            if conn.opened_us < ended_us:
                conn.close()

    def _has_other_carrier(self, name: bytes) -> bool:
        return self.facade.cell_of(name) in self.call_manager.carriers

    def _remove(self, name: bytes) -> None:
        hub = self.hubs.pop(name, None)
        if hub is not None:
            hub.gone = True
            hub.maintenance_needed.set()
            # The hub's process has ended, and its calls with it. Traffic on a connection does not disprove
            # that: it may come from a new hub at the same address.
            self.call_manager.established.release_all_at_hub(name)
            for conn in hub.connections:
                conn.close()

    # Connections.

    def _maintain_connection(self, hub: Hub) -> None:
        """Keep a connection open: the hub sends group state and releases on it."""
        failed_connects = 0
        while not hub.gone:
            needs_connection = hub.usable_connection() is None or hub.repeat_is_due
            if needs_connection and not hub.has_most_connections and not self._is_address_reused(hub):
                failed_connects = 0 if self._connect(hub) else failed_connects + 1
            elif hub.repeat_is_due and hub.has_most_connections:
                self._close_one_idle_connection(hub)
            elif now_us() - hub.last_received_us > RECONNECT_AFTER_SILENCE_US:
                self._replace_silent_connection(hub)
            hub.maintenance_needed.clear()
            hub.maintenance_needed.wait(
                RECONNECT_DELAYS_S[min(failed_connects, len(RECONNECT_DELAYS_S) - 1)]
                if hub.usable_connection() is None or hub.repeat_due_us is not None
                else 1.0
            )

    def _close_one_idle_connection(self, hub: Hub) -> None:
        """Make room for a new connection, if there is an idle one."""
        for conn in hub.idle_connections()[:1]:
            conn.close()

    def _replace_silent_connection(self, hub: Hub) -> None:
        """Replace silent connections by a new one; a connect to a machine that vanished does not succeed."""
        idle = hub.idle_connections()
        if hub.has_most_connections:
            self._close_one_idle_connection(hub)
        elif self._connect(hub) is None:
            for conn in hub.connections:
                conn.suspect = now_us() - hub.last_received_us > RECONNECT_AFTER_SILENCE_US
        else:
            for conn in idle:
                conn.close()

    def _schedule_silence_release(self, hub: Hub) -> None:
        """Release the calls of a hub that can't be reached, unless it sends something before then."""
        silent_since_us = hub.last_received_us
        if hub.release_scheduled_for_silence_since_us != silent_since_us:
            hub.release_scheduled_for_silence_since_us = silent_since_us

            def release_if_silent() -> None:
                # A hub that is cut off can't report that a call has ended, yet the caller must be notified
                # within 8 s. The cost: calls that would have continued are released as well.
                if hub.last_received_us == silent_since_us:
                    log.warning("calls released, hub unreachable: hub=%s", hub.name.decode())
                    self.call_manager.established.release_all_at_hub(hub.name)

            self.deadlines.schedule(
                max(silent_since_us + RELEASE_AFTER_SILENCE_US, now_us()), release_if_silent
            )

    def _is_address_reused(self, hub: Hub) -> bool:
        """Whether a ready hub that was listed later has the address of this one, whose process has ended."""
        later = False
        for other in self.hubs.values():
            if later and other.address == hub.address and self.facade.is_ready(other.name):
                return True
            later = later or other is hub
        return False

    def _connect(self, hub: Hub) -> HubConnection | None:
        """Open a connection; blocks until it is established, refused or timed out. None if it failed."""
        repeat_due_us = hub.repeat_due_us if hub.repeat_is_due else None
        hub.connecting += 1
        try:
            sock = sockets.connect(hub.address, self.connect_timeout_s)
        except (OSError, ValueError) as error:
            log.info("connect to hub failed: hub=%s %s", hub.name.decode(), error)
            if not isinstance(error, ConnectionRefusedError):
                self._schedule_silence_release(hub)
            elif not hub.connections:
                # Nothing listens and no connection is left: the hub's process and its calls have ended.
                self.call_manager.established.release_all_at_hub(hub.name)
            else:
                # A draining hub refuses new connections but keeps its open ones, so its calls must not be
                # released: the refusal counts as a sign of life.
                hub.last_received_us = now_us()
            return None
        finally:
            hub.connecting -= 1
            hub.connect_attempt_ended.set()
        hub.last_received_us = now_us()
        if hub.repeat_due_us == repeat_due_us:  # no further connection has ended meanwhile
            hub.repeat_due_us = None
        conn = HubConnection(sock, hub.name.decode(), self.deadlines)
        hub.connections.append(conn)
        runtime.spawn(self._read, hub, conn)
        for release in hub.pending_releases:
            if release.expires_us > now_us():
                conn.write(sip.bye(release.ref, release.cseq, release.called_number, release.cause))
        hub.pending_releases.clear()
        return conn

    def _read(self, hub: Hub, conn: HubConnection) -> None:
        try:
            for message in conn.messages(sip.parse_next):
                conn.last_received_us = hub.last_received_us = now_us()
                conn.suspect = False
                try:
                    self._handle_message(hub, conn, message)
                except Exception:  # one bad message must not end the connection's other calls
                    log.exception("failed to handle a message from a hub: hub=%s", conn.peer)
        finally:
            self._remove_connection(hub, conn)

    def _remove_connection(self, hub: Hub, conn: HubConnection) -> None:
        """Forget a connection that has ended, and end its open set-ups."""
        hub.connections.remove(conn)
        if conn.setups or conn.reset:
            log.info("hub connection lost: hub=%s reset=%s open=%d", conn.peer, conn.reset, len(conn.setups))
        for attempt in list(conn.setups.values()):
            # A final response counts only on the connection of its INVITE, so these set-ups have failed.
            attempt.finish(AttemptResult(AttemptStatus.RESET))
        conn.setups.clear()
        if hub.gone and not hub.connections:
            self.call_manager.established.release_all_at_hub(hub.name)
        # Releases that were on their way on the connection are lost. The hub repeats them on the next one
        # that is opened, so one is opened even if a usable one is left.
        hub.repeat_due_us = now_us() + (0 if conn.ended_by_peer else CLOSE_NOTICED_AFTER_US)
        hub.maintenance_needed.set()

    # Attempts.

    def place(self, attempt: Attempt) -> None:
        """Send the set-up on an open connection, or on a new one if none is usable."""
        hub = self.hubs.get(attempt.hub)
        if hub is None or self._is_address_reused(hub):
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT))
        elif (conn := hub.usable_connection(attempt.call)) is not None:
            self._send(conn, attempt)
        else:
            runtime.spawn(self._connect_and_send, hub, attempt)

    def _connect_and_send(self, hub: Hub, attempt: Attempt) -> None:
        if hub.has_most_connections:
            suspects = [conn for conn in hub.idle_connections() if conn.suspect]
            if not suspects:
                self._send_on_existing_connection(hub, attempt)
                return
            suspects[0].close()
        conn = self._connect(hub)
        hub.maintenance_needed.set()
        if conn is None:
            attempt.finish(AttemptResult(AttemptStatus.UNREACHABLE))
        elif not attempt.has_ended:
            self._send(conn, attempt)

    def _send_on_existing_connection(self, hub: Hub, attempt: Attempt) -> None:
        """Wait for connects in progress and use what they open: the hub has its maximum of connections."""
        while hub.connecting and hub.usable_connection(attempt.call) is None and not attempt.has_ended:
            hub.connect_attempt_ended.clear()
            hub.connect_attempt_ended.wait(self.connect_timeout_s)
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
            # Nothing new may go to a hub after it was reported draining or gone, and the hub list may have
            # changed during the connect.
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT))
            return
        request = attempt.call.request
        # CSeq is counted per connection and call. A hub answers its first INVITE of a call with CSeq 1, so
        # with a CSeq that continued from an attempt at another hub the answer would match no attempt.
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
            # The connection was reset while idle and no byte of the INVITE left, so the call has not run.
            conn.setups.pop((request.ref, cseq), None)
            log.info("set-up not sent, trying another connection: hub=%s ref=%s", conn.peer, request.ref)
            self.place(attempt)
        elif not conn.silence_check_scheduled:
            self._schedule_silence_check(conn, attempt.hub, PING_AFTER_SILENCE_US, False)

    def _schedule_silence_check(
        self, conn: HubConnection, name: bytes, delay_us: int, ping_sent: bool
    ) -> None:
        """Check later whether a connection has gone silent: ping it first, then close it.

        A connection is checked while it has open set-ups or is suspect. A hub that is merely slow answers the
        ping (OPTIONS) immediately. Without an answer the connection is closed, which ends its set-ups, keeps
        new ones off it, and makes the hub send the releases of its calls on another one. Connections to a
        draining hub are not checked, because they could not be replaced: it accepts no new ones.
        """
        last_received_us = conn.last_received_us
        conn.silence_check_scheduled = True

        def check() -> None:
            conn.silence_check_scheduled = False
            if not conn.open or not (conn.setups or conn.suspect) or not self.facade.is_ready(name):
                return
            now = now_us()
            oldest_sent_us = next(iter(conn.setups.values())).sent_us if conn.setups else 0
            # Checked again later: something was received meanwhile, read or not (this process may have been
            # off its processor), or the oldest set-up is too recent.
            if (
                conn.last_received_us != last_received_us
                or conn.unread()
                or now - oldest_sent_us < PING_AFTER_SILENCE_US // 2
            ):
                self._schedule_silence_check(conn, name, PING_AFTER_SILENCE_US, False)
            elif ping_sent:
                log.info(
                    "hub connection closed, no answer to OPTIONS: hub=%s open=%d", conn.peer, len(conn.setups)
                )
                conn.close()
            else:
                conn.write(sip.request("OPTIONS", "sip:ping@net", f"{now:016x}", 1))
                self._schedule_silence_check(conn, name, PING_TIMEOUT_US, True)

        self.deadlines.schedule(now_us() + delay_us, check)

    def cancel(self, attempt: Attempt) -> None:
        """Send a CANCEL for an attempt that has ended; its late answer, if one comes, is released."""
        hub_attempt, ref = attempt.carrier_state, attempt.call.request.ref
        if (
            not isinstance(hub_attempt, HubAttempt)
            or hub_attempt.conn.setups.pop((ref, hub_attempt.cseq), None) is None
        ):
            return
        hub_attempt.conn.remember_ended((ref, hub_attempt.cseq))
        hub_attempt.conn.write(
            sip.request("CANCEL", f"sip:{hub_attempt.called_number}@net", ref, hub_attempt.cseq)
        )
        if (
            hub_attempt.conn.last_received_us < attempt.sent_us
            and attempt.result is not None
            and (attempt.result.status is AttemptStatus.TIMEOUT)
        ):
            hub_attempt.conn.suspect = True  # the machine may have vanished; a new connect will show it
            if not hub_attempt.conn.silence_check_scheduled:
                self._schedule_silence_check(hub_attempt.conn, attempt.hub, 0, False)
            if (hub := self.hubs.get(attempt.hub)) is not None:
                hub.maintenance_needed.set()

    def release(self, leg: Leg, cause: int) -> None:
        """Send a BYE for an established call, on the INVITE's connection, another one or the next opened."""
        hub_attempt = leg.carrier_state
        if not isinstance(hub_attempt, HubAttempt):
            return
        hub = self.hubs.get(leg.hub)
        connections = [hub_attempt.conn] + ([c for c in hub.connections if not c.suspect] if hub else [])
        data = sip.bye(leg.ref, hub_attempt.cseq + 1, hub_attempt.called_number, cause)
        if not any(conn.write(data) for conn in connections) and hub is not None:
            now = now_us()
            hub.pending_releases = [release for release in hub.pending_releases if release.expires_us > now]
            hub.pending_releases.append(
                PendingRelease(
                    now + RELEASE_RETENTION_US,
                    leg.ref,
                    hub_attempt.cseq + 1,
                    hub_attempt.called_number,
                    cause,
                )
            )

    # Messages from hubs.

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
        """End the attempt that a final response belongs to: same connection, Call-ID and CSeq."""
        ref, cseq, load = message.call_id, message.cseq[0], message.load
        attempt = conn.setups.pop((ref, cseq), None)
        number = attempt.call.request.called_number if attempt else ""
        if attempt is None:
            log.info(
                "final response without an open attempt: hub=%s ref=%s cseq=%d status=%d",
                conn.peer,
                ref,
                cseq,
                message.status,
            )
            if (ref, cseq) not in conn.ended_setups:
                # A duplicate response or an unknown Call-ID: only acknowledged, since a BYE would release
                # the call that the first response established.
                conn.write(sip.request("ACK", "sip:@net", ref, cseq))
                return
        conn.write(sip.request("ACK", f"sip:{number}@net", ref, cseq))
        if message.status < 300:
            result = AttemptResult(
                AttemptStatus.ANSWERED, load=load, description=message.body, at_us=now_us()
            )
            if attempt is None or not attempt.finish(result):
                conn.write(sip.bye(ref, cseq + 1, number, 16))  # late: the attempt has ended
                conn.ended_setups.pop((ref, cseq), None)  # a copy of the answer is not released again
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
                "set-up failed: hub=%s ref=%s status=%d note=%s",
                conn.peer,
                ref,
                message.status,
                message.headers.get("x-note", ""),
            )
        if (attempt is None or not attempt.finish(result)) and load:
            self.facade.report_load(hub.name, load)
