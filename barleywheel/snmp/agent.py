"""The agent: SNMPv2c over UDP, GET, GETNEXT and GETBULK, read-only. See BARLEYWHEEL-MIB.txt.

BER and the messages come from pysnmp; this module is imported only where the agent is set up.
"""

from __future__ import annotations

import logging
from bisect import bisect_right
from typing import TYPE_CHECKING, Any

from pyasn1.codec.ber import decoder, encoder
from pyasn1.error import PyAsn1Error
from pysnmp.proto.api import v2c
from pysnmp.proto.error import ProtocolError

from barleywheel.core.model import AttemptStatus
from barleywheel.core.runtime import now_us
from barleywheel.net import sockets

if TYPE_CHECKING:
    from barleywheel.router import Router

log = logging.getLogger(__name__)
Oid = tuple[int, ...]
SYSTEM: Oid = (1, 3, 6, 1, 2, 1, 1)
ROOT: Oid = (1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 3868)
CALLS, REJECTED, OUTCOMES, HUBS, LINKS = (ROOT + (number,) for number in (1, 2, 3, 4, 5))
MOST_DATAGRAM = 4096  # bytes of a question; BER of 64 KiB would take the processor for a second
MOST_VARBINDS = 64  # more than this of a GETBULK would not fit a datagram
LINK_STATES = {"down": 1, "inactive": 2, "active": 3}


class Agent:
    """Answers from what the router's parts count and hold."""

    def __init__(self, router: Router, listen: str, community: str) -> None:
        self.router, self.community = router, community.encode()
        self.started_us = now_us()
        self.hub_numbers: dict[bytes, int] = {}
        self.sock = sockets.datagrams(listen)

    def run(self) -> None:
        """Answer for ever."""
        while True:
            data, peer = self.sock.recvfrom(65535)
            try:
                answer = self.answer(data)
                if answer is not None:
                    self.sock.sendto(answer, peer)
            except Exception as error:  # no datagram may end the agent
                log.warning("SNMP message dropped: peer=%s:%d %s", *peer[:2], type(error).__name__)

    def view(self) -> dict[Oid, Any]:
        """All objects as they are now."""
        router, call_manager = self.router, self.router.call_manager
        counts, gauge, counter = call_manager.counts, v2c.Gauge32, v2c.Counter32
        found: dict[Oid, Any] = {
            SYSTEM + (1, 0): v2c.OctetString("barleywheel call router"),
            SYSTEM + (3, 0): v2c.TimeTicks((now_us() - self.started_us) // 10_000 & 0xFFFFFFFF),
            CALLS + (1, 0): counter(counts["calls"] & 0xFFFFFFFF),
            CALLS + (2, 0): counter(counts["stood"] & 0xFFFFFFFF),
            CALLS + (3, 0): counter(counts["abandoned"] & 0xFFFFFFFF),
            CALLS + (4, 0): gauge(len(call_manager.open_calls)),
            CALLS + (5, 0): gauge(len(router.established.legs)),
            CALLS + (6, 0): counter(counts["attempts"] & 0xFFFFFFFF),
            CALLS + (7, 0): v2c.Integer32(1 if router.journal.alive else 2),
        }
        for name, count in counts.items():
            if name.startswith("rejected."):
                found[REJECTED + (1, 2, int(name[9:]))] = counter(count & 0xFFFFFFFF)
        for number, status in enumerate(AttemptStatus, 1):
            found[OUTCOMES + (1, 2, number)] = v2c.OctetString(status.value)
            found[OUTCOMES + (1, 3, number)] = counter(counts[f"outcome.{status.value}"] & 0xFFFFFFFF)
        for key, entry in router.facade.entries.items():
            row = self.hub_numbers.setdefault(key, len(self.hub_numbers) + 1)
            hub = router.hubs.hubs.get(key)
            found[HUBS + (1, 2, row)] = v2c.OctetString(key)
            found[HUBS + (1, 3, row)] = v2c.Integer32(entry.cell)
            found[HUBS + (1, 4, row)] = v2c.Integer32(1 if router.facade.is_ready(key) else 2)
            found[HUBS + (1, 5, row)] = gauge(len(hub.connections) if hub else 0)
        for code, peer in (router.m3ua.peers if router.m3ua else {}).items():
            state = peer.link.asp_state.value if peer.link else "down"
            found[LINKS + (1, 2, code)] = v2c.Integer32(LINK_STATES[state])
            found[LINKS + (1, 3, code)] = gauge(len(peer.circuits))
            found[LINKS + (1, 4, code)] = gauge(sum(c.state.value != "idle" for c in peer.circuits.values()))
        return found

    def answer(self, data: bytes) -> bytes | None:
        """The answer to a message; None where there is none to give."""
        if len(data) > MOST_DATAGRAM:
            log.warning("SNMP message dropped: %d bytes", len(data))
            return None
        try:
            message, _ = decoder.decode(data, asn1Spec=v2c.Message())
        except (PyAsn1Error, ProtocolError):
            log.warning("SNMP message dropped: no SNMPv2c message")
            return None
        if int(v2c.apiMessage.get_version(message)) != 1 or (
            bytes(v2c.apiMessage.get_community(message)) != self.community
        ):
            log.warning("SNMP message dropped: other version or community")
            return None
        pdu = v2c.apiMessage.get_pdu(message)
        view = self.view()
        order = sorted(view)
        if pdu.isSameTypeWith(v2c.GetBulkRequestPDU()):
            names = [tuple(name) for name, _ in v2c.apiBulkPDU.get_varbinds(pdu)]
            once = max(0, int(v2c.apiBulkPDU.get_non_repeaters(pdu)))
            times = max(0, int(v2c.apiBulkPDU.get_max_repetitions(pdu)))
            values = self._bulk(view, order, names, once, times)
        elif pdu.isSameTypeWith(v2c.GetNextRequestPDU()):
            values = [self._next(view, order, tuple(name)) for name, _ in v2c.apiPDU.get_varbinds(pdu)]
        elif pdu.isSameTypeWith(v2c.GetRequestPDU()):
            values = [
                (tuple(name), self._get(view, order, tuple(name))) for name, _ in v2c.apiPDU.get_varbinds(pdu)
            ]
        elif pdu.isSameTypeWith(v2c.SetRequestPDU()):
            values = None
        else:
            return None
        response = v2c.apiMessage.get_response(message)
        answer = v2c.apiMessage.get_pdu(response)
        if values is None:
            v2c.apiPDU.set_varbinds(answer, v2c.apiPDU.get_varbinds(pdu))
            v2c.apiPDU.set_error_status(answer, 17)  # notWritable
            v2c.apiPDU.set_error_index(answer, 1)
        else:
            v2c.apiPDU.set_varbinds(answer, [(v2c.ObjectIdentifier(name), value) for name, value in values])
        encoded: bytes = encoder.encode(response)
        return encoded

    def _get(self, view: dict[Oid, Any], order: list[Oid], name: Oid) -> Any:
        if name in view:
            return view[name]
        at = bisect_right(order, name[:-1])
        known = at < len(order) and order[at][: len(name) - 1] == name[:-1]
        return v2c.NoSuchInstance("") if known else v2c.NoSuchObject("")

    def _next(self, view: dict[Oid, Any], order: list[Oid], name: Oid) -> tuple[Oid, Any]:
        at = bisect_right(order, name)
        return (order[at], view[order[at]]) if at < len(order) else (name, v2c.EndOfMibView(""))

    def _bulk(
        self, view: dict[Oid, Any], order: list[Oid], names: list[Oid], once: int, times: int
    ) -> list[tuple[Oid, Any]]:
        found = [self._next(view, order, name) for name in names[:once]]
        names = names[once:]
        while names and times > 0 and len(found) + len(names) <= MOST_VARBINDS:
            row = [self._next(view, order, name) for name in names]
            found += row
            names, times = [name for name, _ in row], times - 1
        return found
