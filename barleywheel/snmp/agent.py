"""Read-only SNMPv2c agent over UDP: GET, GETNEXT and GETBULK on the objects of BARLEYWHEEL-MIB.txt.

Messages are encoded and decoded by pysnmp, so this module is imported only if the agent is configured.
"""

from __future__ import annotations

import logging
from bisect import bisect_right
from typing import TYPE_CHECKING, Any

from pyasn1.codec.ber import decoder, encoder
from pyasn1.error import PyAsn1Error
from pysnmp.proto.api import v2c
from pysnmp.proto.error import ProtocolError

from barleywheel.core import runtime
from barleywheel.core.model import AttemptStatus
from barleywheel.core.runtime import now_us
from barleywheel.net import sockets

if TYPE_CHECKING:
    from barleywheel.router import Router

log = logging.getLogger(__name__)
Oid = tuple[int, ...]
SYSTEM_OID: Oid = (1, 3, 6, 1, 2, 1, 1)
ROUTER_OID: Oid = (1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 3868)
CALLS_OID: Oid = ROUTER_OID + (1,)
REJECTED_OID: Oid = ROUTER_OID + (2,)
OUTCOMES_OID: Oid = ROUTER_OID + (3,)
HUBS_OID: Oid = ROUTER_OID + (4,)
LINKS_OID: Oid = ROUTER_OID + (5,)
MAX_DATAGRAM_BYTES = 65535
RECEIVE_RETRY_DELAY_S = 0.05
MAX_REQUEST_BYTES = 4096  # decoding 64 KiB of BER would take about a second of processor time
MAX_BULK_VARBINDS = 64  # a longer GETBULK response would not fit into a datagram
LINK_STATE_NUMBERS = {"down": 1, "inactive": 2, "active": 3}


class Agent:
    """Answers SNMP requests from the counters and the state of the router."""

    def __init__(self, router: Router, listen: str, community: str) -> None:
        self.router, self.community = router, community.encode()
        self.started_us = now_us()
        self.hub_rows: dict[bytes, int] = {}  # bwHubIndex by hub; kept while the router runs
        self.sock = sockets.datagrams(listen)

    def run(self) -> None:
        """Answer requests until the process ends."""
        while True:
            try:
                data, peer = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log.warning("SNMP receive failed: %s", error)
                runtime.sleep(RECEIVE_RETRY_DELAY_S)
                continue
            try:
                response = self.answer(data)
                if response is not None:
                    self.sock.sendto(response, peer)
            except Exception as error:  # a malformed request must not stop the agent
                log.warning("SNMP message dropped: peer=%s:%d %s", *peer[:2], type(error).__name__)
            runtime.yield_to_event_loop()

    def collect_objects(self) -> dict[Oid, Any]:
        """Read the current value of every object."""
        router, call_manager = self.router, self.router.call_manager
        counts, gauge, counter = call_manager.counts, v2c.Gauge32, v2c.Counter32
        objects: dict[Oid, Any] = {
            SYSTEM_OID + (1, 0): v2c.OctetString("barleywheel call router"),
            SYSTEM_OID + (3, 0): v2c.TimeTicks((now_us() - self.started_us) // 10_000 & 0xFFFFFFFF),
            CALLS_OID + (1, 0): counter(counts["calls"] & 0xFFFFFFFF),
            CALLS_OID + (2, 0): counter(counts["stood"] & 0xFFFFFFFF),
            CALLS_OID + (3, 0): counter(counts["abandoned"] & 0xFFFFFFFF),
            CALLS_OID + (4, 0): gauge(len(call_manager.open_calls)),
            CALLS_OID + (5, 0): gauge(len(router.established.legs)),
            CALLS_OID + (6, 0): counter(counts["attempts"] & 0xFFFFFFFF),
            CALLS_OID + (7, 0): v2c.Integer32(1 if router.journal.alive else 2),
        }
        for name, count in counts.items():
            if name.startswith("rejected."):
                objects[REJECTED_OID + (1, 2, int(name[9:]))] = counter(count & 0xFFFFFFFF)
        for number, status in enumerate(AttemptStatus, 1):
            objects[OUTCOMES_OID + (1, 2, number)] = v2c.OctetString(status.value)
            objects[OUTCOMES_OID + (1, 3, number)] = counter(counts[f"outcome.{status.value}"] & 0xFFFFFFFF)
        for key, entry in router.facade.entries.items():
            row = self.hub_rows.setdefault(key, len(self.hub_rows) + 1)
            hub = router.hubs.hubs.get(key)
            objects[HUBS_OID + (1, 2, row)] = v2c.OctetString(key)
            objects[HUBS_OID + (1, 3, row)] = v2c.Integer32(entry.cell)
            objects[HUBS_OID + (1, 4, row)] = v2c.Integer32(1 if router.facade.is_ready(key) else 2)
            objects[HUBS_OID + (1, 5, row)] = gauge(len(hub.connections) if hub else 0)
        for point_code, peer in (router.m3ua.peers if router.m3ua else {}).items():
            state = peer.link.asp_state.value if peer.link else "down"
            objects[LINKS_OID + (1, 2, point_code)] = v2c.Integer32(LINK_STATE_NUMBERS[state])
            objects[LINKS_OID + (1, 3, point_code)] = gauge(len(peer.circuits))
            objects[LINKS_OID + (1, 4, point_code)] = gauge(
                sum(c.state.value != "idle" for c in peer.circuits.values())
            )
        return objects

    def answer(self, data: bytes) -> bytes | None:
        """Encode the response to a request; None if it is to be dropped."""
        if len(data) > MAX_REQUEST_BYTES:
            log.warning("SNMP message dropped, too long: %d bytes", len(data))
            return None
        try:
            message, _ = decoder.decode(data, asn1Spec=v2c.Message())
        except (PyAsn1Error, ProtocolError):
            log.warning("SNMP message dropped: not a valid SNMPv2c message")
            return None
        if int(v2c.apiMessage.get_version(message)) != 1 or (
            bytes(v2c.apiMessage.get_community(message)) != self.community
        ):
            log.warning("SNMP message dropped: wrong version or community")
            return None
        pdu = v2c.apiMessage.get_pdu(message)
        objects = self.collect_objects()
        oids = sorted(objects)
        if pdu.isSameTypeWith(v2c.GetBulkRequestPDU()):
            requested = [tuple(oid) for oid, _ in v2c.apiBulkPDU.get_varbinds(pdu)]
            non_repeaters = max(0, int(v2c.apiBulkPDU.get_non_repeaters(pdu)))
            max_repetitions = max(0, int(v2c.apiBulkPDU.get_max_repetitions(pdu)))
            values = self._bulk(objects, oids, requested, non_repeaters, max_repetitions)
        elif pdu.isSameTypeWith(v2c.GetNextRequestPDU()):
            values = [self._next(objects, oids, tuple(oid)) for oid, _ in v2c.apiPDU.get_varbinds(pdu)]
        elif pdu.isSameTypeWith(v2c.GetRequestPDU()):
            values = [
                (tuple(oid), self._get(objects, oids, tuple(oid))) for oid, _ in v2c.apiPDU.get_varbinds(pdu)
            ]
        elif pdu.isSameTypeWith(v2c.SetRequestPDU()):
            values = None
        else:
            return None
        response = v2c.apiMessage.get_response(message)
        response_pdu = v2c.apiMessage.get_pdu(response)
        if values is None:
            v2c.apiPDU.set_varbinds(response_pdu, v2c.apiPDU.get_varbinds(pdu))
            v2c.apiPDU.set_error_status(response_pdu, 17)  # notWritable
            v2c.apiPDU.set_error_index(response_pdu, 1)
        else:
            v2c.apiPDU.set_varbinds(
                response_pdu, [(v2c.ObjectIdentifier(oid), value) for oid, value in values]
            )
        encoded: bytes = encoder.encode(response)
        return encoded

    def _get(self, objects: dict[Oid, Any], oids: list[Oid], oid: Oid) -> Any:
        if oid in objects:
            return objects[oid]
        index = bisect_right(oids, oid[:-1])
        object_exists = index < len(oids) and oids[index][: len(oid) - 1] == oid[:-1]
        return v2c.NoSuchInstance("") if object_exists else v2c.NoSuchObject("")

    def _next(self, objects: dict[Oid, Any], oids: list[Oid], oid: Oid) -> tuple[Oid, Any]:
        index = bisect_right(oids, oid)
        return (oids[index], objects[oids[index]]) if index < len(oids) else (oid, v2c.EndOfMibView(""))

    def _bulk(
        self,
        objects: dict[Oid, Any],
        oids: list[Oid],
        requested: list[Oid],
        non_repeaters: int,
        max_repetitions: int,
    ) -> list[tuple[Oid, Any]]:
        varbinds = [self._next(objects, oids, oid) for oid in requested[:non_repeaters]]
        requested = requested[non_repeaters:]
        while requested and max_repetitions > 0 and len(varbinds) + len(requested) <= MAX_BULK_VARBINDS:
            row = [self._next(objects, oids, oid) for oid in requested]
            varbinds += row
            requested, max_repetitions = [oid for oid, _ in row], max_repetitions - 1
        return varbinds
