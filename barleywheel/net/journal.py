"""The journal service: the hub list by long poll over HTTP/1.1."""

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
POLL_HOLD_MS = 1000  # how long the service may hold a poll
# a poll that says nothing for so long is taken for cut off, well within the 7 s that count
POLL_TIMEOUT_S = 1.8
CONNECT_TIMEOUT_S = 0.6
RETRY_DELAY_S = 0.2
MAX_ANSWER_SIZE = 4 * 1024 * 1024
POLL_ERRORS = (OSError, ValueError, Malformed, httptools.HttpParserError, httptools.HttpParserUpgrade)


class JournalResponse:
    """One HTTP answer, as httptools fills it in."""

    def __init__(self) -> None:
        self.body = b""
        self.done = self.keep = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self.body += body

    def on_message_complete(self) -> None:
        """Called by the parser."""
        # Asked only here: behind the end of the answer the parser always says no, and every poll went over a
        # connection of its own, with 0.2 s in between in which nothing was heard.
        self.done, self.keep = True, bool(self.parser.should_keep_alive())


class JournalClient:
    """Follows the journal and hands its events to the module and to the pool."""

    def __init__(self, address: str, facade: ControllerFacade, hubs: HubPool) -> None:
        self.address, self.facade, self.hubs = address, facade, hubs
        self.pos = 0
        self.alive = False  # for the agent
        self._sock: sockets.Socket | None = None
        self._address_changed = runtime.event()

    def set_address(self, address: str) -> None:
        """Go on at another address, from the next number on; the old connection is dropped."""
        if address == self.address:
            return
        self.address = address
        self._address_changed.set()
        if self._sock is not None:
            self._sock.close()  # wakes a poll that is being held

    def apply(self, last: int, events: list[journal.Event]) -> None:
        """Take the events of an answer, each of them once."""
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
        """Poll for ever, over one connection while it works."""
        while True:
            self._address_changed.clear()
            try:
                self._follow()
            except POLL_ERRORS as error:
                if self.alive and not self._address_changed.is_set():
                    log.warning("journal poll broken off, opened anew: %s", error or type(error).__name__)
                self.alive = False
            self._address_changed.wait(RETRY_DELAY_S)

    def _follow(self) -> None:
        sock = self._sock = sockets.connect(self.address, CONNECT_TIMEOUT_S)
        if self._address_changed.is_set():  # while it was being connected
            sock.close()
            return
        try:
            buffer, again = Buffer(), True
            while again:
                sock.settimeout(POLL_TIMEOUT_S)
                sock.sendall(
                    f"GET /journal?tail={self.pos}&max_wait={POLL_HOLD_MS} HTTP/1.1\r\n"
                    f"Host: {self.address}\r\n\r\n".encode()
                )
                before, asked_us = self.pos, now_us()
                again = self._poll(sock, buffer)
                if again and self.pos == before and now_us() - asked_us < POLL_HOLD_MS * 500:
                    # guards against a service that says nothing, and that at once
                    self._address_changed.wait(RETRY_DELAY_S)
        finally:
            self._sock = None
            sock.close()

    def _poll(self, sock: sockets.Socket, buffer: Buffer) -> bool:
        """Read one answer; whether the connection may be used again."""
        answer = JournalResponse()
        parser = answer.parser
        until = now_us() + int(POLL_TIMEOUT_S * 1e6)
        while not answer.done:
            sock.settimeout(max(0.0, (until - now_us()) / 1e6))
            if buffer.fill(sock) == 0:
                raise ConnectionError("closed by the service")
            parser.feed_data(buffer.take(len(buffer)))
            if len(answer.body) > MAX_ANSWER_SIZE:
                raise ValueError("answer too large")
        if parser.get_status_code() != 200:
            raise ValueError(f"status {parser.get_status_code()}")
        self.apply(*journal.parse_answer(answer.body))
        self.alive = True
        return answer.keep
