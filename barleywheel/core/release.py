"""Established calls and their release by either side."""

from __future__ import annotations

import logging

from barleywheel.core.deadlines import Deadlines
from barleywheel.core.expiring_ids import ExpiringIds
from barleywheel.core.model import CAUSE_TEMPORARY_FAILURE, Leg, UnknownReleaseListener

log = logging.getLogger(__name__)
# How long the id of an ended call is kept, so that a repeated release is recognised and ignored.
ENDED_TTL_US = 30_000_000
MAX_ENDED_IDS = 30_000  # 1,000 calls a second for that time; about 200 bytes each


class EstablishedCalls:
    """Registry of the established calls and of the ids of recently ended ones."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.legs: dict[str, Leg] = {}
        self.recently_ended = ExpiringIds(deadlines, ENDED_TTL_US, MAX_ENDED_IDS)
        # Asked in turn when a call that was established before this process started is released.
        self.unknown_release_listeners: list[UnknownReleaseListener] = []

    def add(self, leg: Leg) -> None:
        """Register a call that has been answered."""
        self.legs[leg.ref] = leg

    def remember_ended(self, ref: str) -> None:
        """Keep the id of an ended call for ``ENDED_TTL_US``."""
        self.recently_ended.add(ref)

    def release_from_hub(self, ref: str, cause: int) -> None:
        """Handle a release by the hub and pass it on to the caller."""
        leg = self.legs.pop(ref, None)
        if leg is not None:
            self.remember_ended(ref)
            leg.origin.release(ref, cause)
        elif ref not in self.recently_ended:
            # The call may have been established before a restart; its caller still waits for the release.
            self.remember_ended(ref)
            log.info("release of a call from before the last restart: ref=%s cause=%d", ref, cause)
            any(listener.release_unknown(ref, cause) for listener in self.unknown_release_listeners)

    def release_from_caller(self, ref: str, cause: int) -> bool:
        """Handle a release by the caller and pass it on to the hub; False for an unknown call."""
        leg = self.legs.pop(ref, None)
        if leg is None:
            return False
        self.remember_ended(ref)
        leg.carrier.release(leg, cause)
        return True

    def release_all_at_hub(self, hub: bytes, before_us: int | None = None) -> None:
        """Release every call at a hub whose process is known to have died, since its calls died with it.

        With ``before_us`` those that were established later are kept: a new process has them.
        """
        ended = [
            ref
            for ref, leg in self.legs.items()
            if leg.hub == hub and (before_us is None or leg.established_us < before_us)
        ]
        for ref in ended:
            self.release_from_hub(ref, CAUSE_TEMPORARY_FAILURE)
