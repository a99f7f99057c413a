"""Client of the journal service, which delivers the hub list by long poll over HTTP/1.1.

A slow response is not lost: when one is overdue, the client asks again on a new connection and keeps the
old one open, since the next response may be as late. Events carry numbers: one that arrives twice is applied
once.
"""

from __future__ import annotations

import logging

import httptools

from barleywheel.core import runtime
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade
from barleywheel.net import sockets
from barleywheel.net.buffer import Buffer
from barleywheel.net.hubs import HubPool
from barleywheel.wire import Malformed, journal

log = logging.getLogger(__name__)
POLL_HOLD_MS = 1000  # how long the service may delay its response when there is nothing new
# A response that takes longer is overdue. This is well within 7 s: the platform counts a change of the hub
# list as known 7 s after the journal has it, at the latest.
RESPONSE_DUE_US = 1_800_000
CONNECT_DUE_US = 600_000  # a connect that takes longer is overdue
# One overdue connect may go on for this long, beside others that are given up when they are overdue: the
# service may be slow to accept, or it may have come back after the lost packets of the first.
MAX_CONNECT_US = 10_000_000
MAX_POLL_AGE_US = 60_000_000  # a poll without a response by then is given up
MAX_OPEN_POLLS = 4
RETRY_DELAY_S = 0.2
# The delay doubles up to this while the service sends what can't be used, since the same may come each time.
MAX_RETRY_DELAY_S = 1.6
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
HTTP_OK = 200
HTTP_SERVER_ERROR = 500


class UnusableResponseError(Exception):
    """A complete response that tells nothing; the same request may get the same response again."""


POLL_ERRORS = (
    OSError,
    ValueError,
    Malformed,
    UnusableResponseError,
    httptools.HttpParserError,
    httptools.HttpParserUpgrade,
)


class JournalResponse:
    """An HTTP response, filled in by the httptools parser."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.done = self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        """Parser callback."""
        self.body += body

    def on_message_complete(self) -> None:
        """Parser callback."""
        # Read here because the parser reports False once the message is over: every poll then opened a
        # new connection, with a gap of 0.2 s in which no events were received.
        self.done, self.keep_alive = True, bool(self.parser.should_keep_alive())


class Poller:
    """Polls over one connection until that fails; once superseded, only until its response has come."""

    def __init__(self, client: JournalClient) -> None:
        self.client, self.address = client, client.address
        self.due_us = now_us() + CONNECT_DUE_US  # the connect or the response is overdue after this
        self.connecting = True
        self.superseded = False  # a successor polls as well; this one only waits for its response
        self.ended = runtime.event()
        self.retry_delay_s = RETRY_DELAY_S  # before the next poller, if this one fails
        self._sock: sockets.Socket | None = None
        self._closed = False

    def run(self) -> None:
        """Poll; errors of the connection or of the service end the poller and are logged."""
        try:
            self._poll_until_closed()
        except POLL_ERRORS as error:
            self._handle_failure(error)
        except Exception:  # a defect; the next poller goes on after the event that caused it
            log.exception("failed to handle a journal response")
        finally:
            self.connecting = False
            self.close()

    def close(self) -> None:
        """Close the connection, which ends the poller; has no effect if it is closed already."""
        self._closed = True
        if self._sock is not None:
            self._sock.close()
        self.ended.set()

    def _handle_failure(self, error: Exception) -> None:
        if self._closed or self.superseded:
            return
        if self.client.alive:
            log.warning("journal poll failed, reconnecting: %s", error or type(error).__name__)
        self.client.alive = False
        if isinstance(error, UnusableResponseError | Malformed):
            self.retry_delay_s = self.client.next_retry_delay_s()

    def _poll_until_closed(self) -> None:
        timeout_us = CONNECT_DUE_US if self.client.is_connecting(except_for=self) else MAX_CONNECT_US
        sock = self._sock = sockets.connect(self.address, timeout_us / 1e6)
        self.connecting = False
        buffer, reusable = Buffer(), not self._closed
        while reusable:
            previous_pos, sent_us = self.client.pos, now_us()
            self.due_us = sent_us + RESPONSE_DUE_US
            self._send_request(sock)
            reusable = self.read_response(sock, buffer)
            if reusable and self.client.pos == previous_pos and now_us() - sent_us < POLL_HOLD_MS * 500:
                # Avoids a busy loop if the service responds immediately without events.
                runtime.sleep(RETRY_DELAY_S)
            reusable = reusable and not self.superseded and not self._closed

    def _send_request(self, sock: sockets.Socket) -> None:
        sock.settimeout(RESPONSE_DUE_US / 1e6)
        sock.sendall(
            f"GET /journal?tail={self.client.pos}&max_wait={POLL_HOLD_MS} HTTP/1.1\r\n"
            f"Host: {self.address}\r\n\r\n".encode()
        )

    def read_response(self, sock: sockets.Socket, buffer: Buffer) -> bool:
        """Read one response and apply its events; returns whether the connection may be used again."""
        response = JournalResponse()
        parser = response.parser
        expires_us = now_us() + MAX_POLL_AGE_US
        received_bytes = 0
        while not response.done:
            # Checked here because a read with a time-out does not time out while bytes are there.
            if now_us() >= expires_us:
                raise TimeoutError("no complete response in time")
            sock.settimeout((expires_us - now_us()) / 1e6)
            count = buffer.fill(sock)
            if count == 0:
                raise ConnectionError("connection closed by the service")
            received_bytes += count
            if received_bytes > MAX_RESPONSE_BYTES:
                raise UnusableResponseError("response too large")
            parser.feed_data(buffer.take(len(buffer)))
            runtime.yield_to_event_loop()
        status = parser.get_status_code()
        if status >= HTTP_SERVER_ERROR:
            raise ConnectionError(f"status {status}")
        if status != HTTP_OK:
            raise UnusableResponseError(f"status {status}")
        if self._closed:
            raise ConnectionError("connection closed by this side")
        self.client.handle_response(journal.parse_response(bytes(response.body)))
        return response.keep_alive


class JournalClient:
    """Keeps a poll open at the journal, and passes its events to the decision module and the hub pool."""

    def __init__(self, address: str, facade: ControllerFacade, hubs: HubPool) -> None:
        self.address, self.facade, self.hubs = address, facade, hubs
        self.pos = 0  # number of the last event applied
        self.alive = False  # whether the last poll succeeded; read by the SNMP agent
        self._pollers: list[Poller] = []  # those with an open poll, the oldest first
        self._retry_delay_s = RETRY_DELAY_S
        self._address_changed = runtime.event()

    def set_address(self, address: str) -> None:
        """Continue at another address from the next event; the connections to the old one are closed."""
        if address == self.address:
            return
        self.address = address
        self._address_changed.set()
        for poller in self._pollers:
            poller.close()

    def apply(self, update: journal.Update) -> None:
        """Apply events; those applied before are skipped, and what was invalid is logged."""
        if update.errors:
            log.warning(
                "parts of journal events ignored: count=%d first=%s", len(update.errors), update.errors[0]
            )
        for event in update.events:
            if event.pos <= self.pos:
                continue
            self.pos = event.pos
            if not event.is_snapshot and not event.endpoints:
                continue
            self.facade.update_hubs(event.endpoints, event.is_snapshot)
            self.hubs.update(event.endpoints, event.is_snapshot)
            for endpoint in event.endpoints:
                log.info(
                    "hub list: hub=%s group=%s state=%s address=%s",
                    endpoint.name,
                    endpoint.cell,
                    endpoint.status,
                    endpoint.address,
                )
        self.pos = max(self.pos, update.last)

    def handle_response(self, update: journal.Update) -> None:
        """Apply the events of a response."""
        self.apply(update)
        self.alive = True
        self._retry_delay_s = RETRY_DELAY_S

    def is_connecting(self, except_for: Poller) -> bool:
        """Whether another poller's connect is in progress."""
        return any(poller.connecting for poller in self._pollers if poller is not except_for)

    def next_retry_delay_s(self) -> float:
        """The delay after a response that could not be used; each one is twice the one before."""
        delay_s = self._retry_delay_s
        self._retry_delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        return delay_s

    def run(self) -> None:
        """Poll for ever: a new poller follows one that has failed or whose response is overdue."""
        while True:
            self._address_changed.clear()
            poller = Poller(self)
            self._pollers = [other for other in self._pollers if not other.ended.is_set()] + [poller]
            runtime.spawn(poller.run)
            while not poller.ended.is_set() and now_us() < poller.due_us:
                poller.ended.wait((poller.due_us - now_us()) / 1e6)
            if poller.ended.is_set():
                self._address_changed.wait(poller.retry_delay_s)
            else:
                self._supersede(poller)

    def _supersede(self, poller: Poller) -> None:
        """Let a successor take over from a poller whose response is overdue."""
        if self.alive:
            log.warning("journal response overdue, asking again: open=%d", len(self._pollers))
        self.alive = False
        poller.superseded = True
        if sum(not other.ended.is_set() for other in self._pollers) >= MAX_OPEN_POLLS:
            poller.close()  # not an older one, whose response is to be expected first
