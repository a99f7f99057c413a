"""Client of the journal service, which delivers the hub list by long poll over HTTP/1.1."""

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
# A poll without a response by then counts as lost. This is well within 7 s: the platform counts a change of
# the hub list as known 7 s after the journal has it, at the latest.
POLL_TIMEOUT_S = 1.8
CONNECT_TIMEOUT_S = 0.6
RETRY_DELAY_S = 0.2
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
POLL_ERRORS = (OSError, ValueError, Malformed, httptools.HttpParserError, httptools.HttpParserUpgrade)


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


class JournalClient:
    """Polls the journal and passes its events to the decision module and the hub pool."""

    def __init__(self, address: str, facade: ControllerFacade, hubs: HubPool) -> None:
        self.address, self.facade, self.hubs = address, facade, hubs
        self.pos = 0  # number of the last event applied
        self.alive = False  # whether the last poll succeeded; read by the SNMP agent
        self._sock: sockets.Socket | None = None
        self._address_changed = runtime.event()

    def set_address(self, address: str) -> None:
        """Continue at another address from the next event; the old connection is closed."""
        if address == self.address:
            return
        self.address = address
        self._address_changed.set()
        if self._sock is not None:
            self._sock.close()  # ends a poll in progress

    def apply(self, last: int, events: list[journal.Event]) -> None:
        """Apply the events of a response; those applied before are skipped."""
        for event in events:
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
        self.pos = max(self.pos, last)

    def run(self) -> None:
        """Poll for ever, on the same connection as long as it works."""
        while True:
            self._address_changed.clear()
            try:
                self._poll_until_closed()
            except POLL_ERRORS as error:
                if self.alive and not self._address_changed.is_set():
                    log.warning("journal poll failed, reconnecting: %s", error or type(error).__name__)
                self.alive = False
            self._address_changed.wait(RETRY_DELAY_S)

    def _poll_until_closed(self) -> None:
        sock = self._sock = sockets.connect(self.address, CONNECT_TIMEOUT_S)
        if self._address_changed.is_set():  # during the connect
            sock.close()
            return
        try:
            buffer, reusable = Buffer(), True
            while reusable:
                sock.settimeout(POLL_TIMEOUT_S)
                sock.sendall(
                    f"GET /journal?tail={self.pos}&max_wait={POLL_HOLD_MS} HTTP/1.1\r\n"
                    f"Host: {self.address}\r\n\r\n".encode()
                )
                previous_pos, sent_us = self.pos, now_us()
                reusable = self._poll(sock, buffer)
                if reusable and self.pos == previous_pos and now_us() - sent_us < POLL_HOLD_MS * 500:
                    # Avoids a busy loop if the service responds immediately without events.
                    self._address_changed.wait(RETRY_DELAY_S)
        finally:
            self._sock = None
            sock.close()

    def _poll(self, sock: sockets.Socket, buffer: Buffer) -> bool:
        """Read one response; returns whether the connection may be used again."""
        response = JournalResponse()
        parser = response.parser
        deadline_us = now_us() + int(POLL_TIMEOUT_S * 1e6)
        received_bytes = 0
        while not response.done:
            # Checked here because a read with a time-out does not time out while bytes are there.
            if now_us() >= deadline_us:
                raise TimeoutError("response not complete in time")
            sock.settimeout((deadline_us - now_us()) / 1e6)
            count = buffer.fill(sock)
            if count == 0:
                raise ConnectionError("connection closed by the service")
            received_bytes += count
            if received_bytes > MAX_RESPONSE_BYTES:
                raise ValueError("response too large")
            parser.feed_data(buffer.take(len(buffer)))
            runtime.yield_to_event_loop()
        if parser.get_status_code() != 200:
            raise ValueError(f"status {parser.get_status_code()}")
        self.apply(*journal.parse_response(bytes(response.body)))
        self.alive = True
        return response.keep_alive
