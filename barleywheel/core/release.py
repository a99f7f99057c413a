"""Last stage: calls that stand, and their release from either side."""

from __future__ import annotations

import logging

from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import CAUSE_TEMPORARY_FAILURE, Leg, ReleaseListener
from barleywheel.core.runtime import now_us

log = logging.getLogger(__name__)
ENDED_TTL_US = 30_000_000  # how long an ended call's id is remembered, so that a repeat is known as one


class EstablishedCalls:
    """Registry of the calls that stand."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.legs: dict[str, Leg] = {}
        self.recently_ended: set[str] = set()
        # who is told of calls that stood before our start
        self.unknown_release_listener: ReleaseListener | None = None
        self._deadlines = deadlines

    def add(self, leg: Leg) -> None:
        """A call stands."""
        self.legs[leg.ref] = leg

    def remember_ended(self, ref: str) -> None:
        """Remember an ended call's id for a while."""
        if ref not in self.recently_ended:
            self.recently_ended.add(ref)
            self._deadlines.schedule(now_us() + ENDED_TTL_US, lambda: self.recently_ended.discard(ref))

    def release_from_hub(self, ref: str, cause: int) -> None:
        """The hub's side released a call."""
        leg = self.legs.pop(ref, None)
        if leg is not None:
            self.remember_ended(ref)
            leg.origin.release(ref, cause)
        elif ref not in self.recently_ended and self.unknown_release_listener is not None:
            # Guards calls that stood before a restart: their callers wait for a release all the same.
            self.remember_ended(ref)
            log.info("release of a call from before the start: ref=%s cause=%d", ref, cause)
            self.unknown_release_listener.release(ref, cause)

    def release_from_caller(self, ref: str, cause: int) -> bool:
        """The caller's side released a call."""
        leg = self.legs.pop(ref, None)
        if leg is None:
            return False
        self.remember_ended(ref)
        leg.carrier.release(leg, cause)
        return True

    def release_all_at_hub(self, hub: bytes) -> None:
        """The hub's process is known to be dead, and with it every call there."""
        for ref in [ref for ref, leg in self.legs.items() if leg.hub == hub]:
            self.release_from_hub(ref, CAUSE_TEMPORARY_FAILURE)
