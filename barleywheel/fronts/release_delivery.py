"""Delivery of releases to the platform's callers, on a connection that is known to be a caller's.

A standing call is tied to no connection: its release may go out on any connection from callers. Other peers
connect as well, and a release that one of them gets has not reached its caller.
"""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from barleywheel.core.deadlines import Deadlines
from barleywheel.core.runtime import now_us
from barleywheel.net.connection import Connection
from barleywheel.wire import jsonlines

log = logging.getLogger(__name__)
# A release is due at its caller within 1 s. A likely caller's connection gets it if no certain one is found.
LIKELY_CALLER_DELAY_US = 700_000
RETENTION_US = 8_000_000  # how long a release waits for a connection
MAX_WAITING_RELEASES = 10_000
REVIEW_INTERVAL_US = 100_000  # between two looks at the releases that wait, while there are any


class CallerTrust(IntEnum):
    """What a connection's messages show about who is at its other end."""

    UNKNOWN = 0
    LIKELY_CALLER = 1  # only valid set-ups, one of them for a listed exchange, which was refused
    CALLER = 2  # it sent a test, had a call established or released a call that stood


class CallerConnection(Protocol):
    """A connection that a release may be written to."""

    conn: Connection
    trust: CallerTrust


@dataclass(slots=True)
class WaitingRelease:
    """A release for which no connection of a caller was open."""

    cause: int
    since_us: int


class ReleaseDelivery:
    """Sends each release to a caller's connection; keeps it until there is one."""

    def __init__(self, deadlines: Deadlines, callers: Callable[[], Iterable[CallerConnection]]) -> None:
        """``callers`` returns the open connections, the one with the most recent message first."""
        self.deadlines, self._callers = deadlines, callers
        self.waiting: OrderedDict[str, WaitingRelease] = OrderedDict()  # the one that waits longest first
        # Ids of releases that are to be offered to likely callers, the one that waits longest first.
        self._to_be_offered: deque[str] = deque(maxlen=MAX_WAITING_RELEASES)
        self._review_scheduled = False

    def send(self, ref: str, cause: int, own: CallerConnection | None = None) -> None:
        """Send a release on the call's own connection, else on another caller's, else on the next one's."""
        host = own.conn.peer.partition(":")[0] if own is not None else ""
        others = [caller for caller in self._callers() if caller.trust is CallerTrust.CALLER]
        # Its peer may have left without notice; one on the call's own host is most likely to be its caller.
        others.sort(key=lambda caller: not caller.conn.peer.startswith(host + ":"))
        candidates = [own, *others] if own is not None else others
        if not any(self._write(caller, ref, cause) for caller in candidates):
            self._keep(ref, cause)

    def on_trust_changed(self, caller: CallerConnection) -> None:
        """Send what waits for a connection such as this has become."""
        for ref, release in list(self.waiting.items()):
            if caller.trust is CallerTrust.CALLER or self._is_nearly_late(release):
                self._send_waiting(ref, caller)

    def discard(self, ref: str) -> bool:
        """Drop a waiting release whose caller has released the call itself; False if there is none."""
        return self.waiting.pop(ref, None) is not None

    def _write(self, caller: CallerConnection, ref: str, cause: int) -> bool:
        # A write to a connection that the peer has closed succeeds and is lost.
        return not caller.conn.peer_has_closed() and caller.conn.write(
            jsonlines.encode("down", ref, cause=cause)
        )

    def _keep(self, ref: str, cause: int) -> None:
        self.waiting[ref] = WaitingRelease(cause, now_us())
        self._to_be_offered.append(ref)
        if len(self.waiting) > MAX_WAITING_RELEASES:
            dropped, _ = self.waiting.popitem(last=False)
            log.warning("release dropped, too many wait for a connection: ref=%s", dropped)
        self._schedule_review()

    def _schedule_review(self) -> None:
        if self.waiting and not self._review_scheduled:
            self._review_scheduled = True
            self.deadlines.schedule(now_us() + REVIEW_INTERVAL_US, self._review)

    def _review(self) -> None:
        """Drop the releases that have waited too long, and offer those that are nearly late."""
        self._review_scheduled = False
        now = now_us()
        while self.waiting and now - next(iter(self.waiting.values())).since_us >= RETENTION_US:
            self.waiting.popitem(last=False)
        while self._to_be_offered:
            release = self.waiting.get(self._to_be_offered[0])
            if release is not None and not self._is_nearly_late(release):
                break
            self._offer_to_likely_callers(self._to_be_offered.popleft())
        self._schedule_review()

    def _offer_to_likely_callers(self, ref: str) -> None:
        for caller in self._callers():
            if caller.trust is CallerTrust.LIKELY_CALLER and ref in self.waiting:
                self._send_waiting(ref, caller)

    def _is_nearly_late(self, release: WaitingRelease) -> bool:
        return now_us() - release.since_us >= LIKELY_CALLER_DELAY_US

    def _send_waiting(self, ref: str, caller: CallerConnection) -> None:
        if self._write(caller, ref, self.waiting[ref].cause):
            del self.waiting[ref]
