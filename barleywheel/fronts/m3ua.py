"""Front for exchanges: accepts and places calls by ISUP over M3UA over TCP.

A peer is a remote exchange with its circuits; its state is kept while it has no link. A link is one TCP
connection with its ASP state. A call is identified by OPC, DPC and CIC: the front holds the local point
code, the peer the remote one, and the circuit the CIC.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from barleywheel.config import M3uaConfig, PeerConfig
from barleywheel.core import causes, runtime
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import DeadlineHandle, Deadlines
from barleywheel.core.model import (
    CAUSE_TEMPORARY_FAILURE,
    Attempt,
    AttemptResult,
    AttemptStatus,
    Leg,
    RefusalReason,
    Rejection,
    Request,
)
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade
from barleywheel.fronts.circuit_call_id import CircuitAddress, circuit_of, new_call_id
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.wire import isup, m3ua
from barleywheel.wire.m3ua import ErrorCode, MessageCode, Tag

log = logging.getLogger(__name__)
MAX_RELS = 3  # RELs sent for one release before the circuit is blocked
CONGESTION_VALIDITY_US = 3_000_000  # how long an SCON applies unless it is repeated


class CircuitState(Enum):
    """State of a circuit, as this side sees it."""

    IDLE = "idle"
    INCOMING = "in"  # IAM received, not yet answered
    OUTGOING = "out"  # IAM sent, not yet answered
    ANSWERED = "up"
    RELEASING = "releasing"  # REL sent, or queued until the link is active; RLC awaited
    BLOCKED = "blocked"  # no RLC received: not used until the peer sends RLC, REL or RSC for it


class AspState(Enum):
    """State of the peer's ASP on a link."""

    DOWN = "down"
    INACTIVE = "inactive"
    ACTIVE = "active"


@dataclass(eq=False)
class Circuit:
    """A circuit and the call on it."""

    cic: int
    state: CircuitState = CircuitState.IDLE
    ref: str = ""  # of the call
    attempt: Attempt | None = None  # OUTGOING: the attempt that ANM or REL will end
    release_cause: int = 16  # RELEASING: cause in REL
    rel_queued: bool = False  # RELEASING: REL to be sent when the link is active
    rels_sent: int = 0  # RELEASING
    rlc_timer: DeadlineHandle | None = None
    # A call may stand on a circuit that was never used, from before this process started.
    used_since_start: bool = False


class Link(Connection):
    """An M3UA connection and the state of its ASP."""

    asp_state = AspState.DOWN
    exchange: Peer | None = None  # set by ASPUP
    last_received_us = 0


@dataclass(eq=False)
class Peer:
    """A remote exchange: the carrier of attempts placed there and the origin of its incoming calls."""

    front: M3uaFront
    conf: PeerConfig
    circuits: dict[int, Circuit] = field(default_factory=dict)
    # Circuits of incoming calls only: a call routed back to this exchange has an outgoing circuit as well.
    incoming_by_ref: dict[str, Circuit] = field(default_factory=dict)
    link: Link | None = None
    destination_unavailable = False  # set by DUNA, cleared by DAVA and ASPAC
    congested_until_us = 0  # set by SCON

    def __post_init__(self) -> None:
        self.circuits = {cic: Circuit(cic) for cic in self.conf.circuits}

    @property
    def active(self) -> bool:
        """Whether the ASP is active, so that DATA may be sent."""
        return self.link is not None and self.link.open and self.link.asp_state is AspState.ACTIVE

    def send(self, message: isup.Message) -> bool:
        """Send an ISUP message in DATA; False if the ASP is not active."""
        if self.link is None or not self.active:
            return False
        conf = self.front.conf
        transfer = m3ua.Transfer(
            conf.point_code,
            self.conf.point_code,
            isup.encode(message),
            ni=conf.network_indicator,
            sls=message.cic & 15,
        )
        return self.link.write(m3ua.encode_transfer(transfer, conf.routing_context))

    # Circuits.

    def controls_circuit(self, cic: int) -> bool:
        """Whether this side keeps a circuit at dual seizure: the higher point code has even CICs (Q.764)."""
        return (self.front.conf.point_code > self.conf.point_code) == (cic % 2 == 0)

    def seize_circuit(self) -> Circuit | None:
        """Select an idle circuit, preferably one that this side controls; None if there is none."""
        idle = [circuit for circuit in self.circuits.values() if circuit.state is CircuitState.IDLE]
        return min(idle, key=lambda circuit: not self.controls_circuit(circuit.cic)) if idle else None

    def free_circuit(self, circuit: Circuit) -> None:
        """Return a circuit to the idle state and report the available circuits."""
        if circuit.rlc_timer is not None:
            self.front.deadlines.cancel(circuit.rlc_timer)
        self._remove_reference(circuit)
        # Replaced by a new object: a stale reference to the old one must not release a later call.
        circuit.state = CircuitState.IDLE
        self.circuits[circuit.cic] = Circuit(circuit.cic, used_since_start=True)
        self.report_circuits()

    def report_circuits(self) -> None:
        """Report the idle circuits of the group to the routing decision, as the NOTIFY of a hub does."""
        if self.conf.cell is None:
            return
        idle = sum(circuit.state is CircuitState.IDLE for circuit in self.circuits.values())
        for hub in self.front.facade.hubs_of(self.conf.cell):
            self.front.facade.report_load(hub, {"free": idle, "size": len(self.circuits)})

    def start_release(self, circuit: Circuit, cause: int) -> None:
        """Send REL, or queue it until the ASP is active; the circuit stays in use until RLC."""
        circuit.state, circuit.attempt = CircuitState.RELEASING, None
        circuit.release_cause, circuit.rels_sent = cause, 0
        self._remove_reference(circuit)
        self.send_rel(circuit)

    def _remove_reference(self, circuit: Circuit) -> None:
        if self.incoming_by_ref.get(circuit.ref) is circuit:
            del self.incoming_by_ref[circuit.ref]

    def send_rel(self, circuit: Circuit) -> None:
        """Send or queue REL, depending on the ASP state; block the circuit once MAX_RELS were sent."""
        circuit.rlc_timer = None
        if circuit.state is not CircuitState.RELEASING:
            return
        if circuit.rels_sent >= MAX_RELS:
            log.warning("circuit blocked, no RLC received: peer=%d cic=%d", self.conf.point_code, circuit.cic)
            circuit.state = CircuitState.BLOCKED
        elif self.send(isup.Message(circuit.cic, isup.Type.REL, cause=circuit.release_cause)):
            circuit.rel_queued, circuit.rels_sent = False, circuit.rels_sent + 1
            due_us = now_us() + self.front.conf.rlc_ms * 1000
            circuit.rlc_timer = self.front.deadlines.schedule(due_us, partial(self.send_rel, circuit))
        else:
            circuit.rel_queued = True

    def restart_release(self, circuit: Circuit) -> None:
        """Send REL as if none had been sent."""
        if circuit.rlc_timer is not None:
            self.front.deadlines.cancel(circuit.rlc_timer)
        circuit.state, circuit.rels_sent = CircuitState.RELEASING, 0
        self.send_rel(circuit)

    # ASP state changes.

    def handle_asp_active(self) -> None:
        """Send REL on each circuit that is being released: what was sent before may be lost with its link."""
        unreleased = [
            circuit
            for circuit in self.circuits.values()
            if circuit.state in (CircuitState.RELEASING, CircuitState.BLOCKED)
        ]
        if unreleased:
            log.info("sending RELs on a new link: peer=%d count=%d", self.conf.point_code, len(unreleased))
        for circuit in unreleased:
            self.restart_release(circuit)
        self.report_circuits()

    def handle_asp_inactive(self) -> None:
        """The ASP is no longer active: set-ups not yet answered end as reset, answered calls are kept."""
        for circuit in list(self.circuits.values()):
            ref = circuit.ref
            if circuit.state is CircuitState.OUTGOING and circuit.attempt is not None:
                attempt = circuit.attempt
                self.start_release(circuit, CAUSE_TEMPORARY_FAILURE)
                attempt.finish(AttemptResult(AttemptStatus.RESET))
            elif circuit.state is CircuitState.INCOMING:
                self.start_release(circuit, CAUSE_TEMPORARY_FAILURE)
                self.front.call_manager.abandon(ref)

    # Carrier: calls placed at the exchange.

    def place(self, attempt: Attempt) -> None:
        """Seize a circuit and send IAM, or end the attempt."""
        if not attempt.may_send(attempt.hub):
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT))
        elif not self.active or self.destination_unavailable:
            attempt.finish(AttemptResult(AttemptStatus.UNREACHABLE))
        elif now_us() < self.congested_until_us:
            attempt.finish(AttemptResult(AttemptStatus.REFUSED, RefusalReason.PROCESSOR_OVERLOADED))
        elif (circuit := self.seize_circuit()) is None:
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT, RefusalReason.NO_CIRCUIT))
        else:
            request = attempt.call.request
            category = self.front.category(request.class_name)
            try:
                iam = isup.Message(
                    circuit.cic,
                    isup.Type.IAM,
                    request.called_number,
                    category,
                    description=request.description,
                )
                isup.encode(iam)
            except ValueError as error:  # the description is too long for user-to-user information
                log.warning("call not placed, IAM not encodable: ref=%s %s", request.ref, error)
                attempt.finish(AttemptResult(AttemptStatus.ERROR))
                return
            attempt.sent_us, attempt.carrier_state = now_us(), circuit
            circuit.state, circuit.ref, circuit.attempt = CircuitState.OUTGOING, request.ref, attempt
            circuit.used_since_start = True
            if self.send(iam):
                self.report_circuits()
            elif not attempt.has_ended:
                attempt.finish(AttemptResult(AttemptStatus.UNREACHABLE))
                self.free_circuit(circuit)

    def cancel(self, attempt: Attempt) -> None:
        """Release the circuit of an attempt that has ended on this side."""
        circuit = attempt.carrier_state
        if isinstance(circuit, Circuit) and circuit.attempt is attempt and attempt.result is not None:
            self.start_release(circuit, causes.TO_CAUSE[attempt.result.status])

    def release(self, leg: Leg, cause: int) -> None:
        """Release an answered call that was placed at this exchange."""
        circuit = leg.carrier_state
        if isinstance(circuit, Circuit) and circuit.state is CircuitState.ANSWERED and circuit.ref == leg.ref:
            self.start_release(circuit, cause)

    # Origin: calls received from the exchange.

    def answer(self, request: Request, description: bytes) -> bool:
        """Send ANM; False if it was not sent. If it cannot be encoded, the call is released."""
        circuit = self.incoming_by_ref.get(request.ref)
        if circuit is None or circuit.state is not CircuitState.INCOMING:
            return False
        try:
            anm = isup.Message(circuit.cic, isup.Type.ANM, description=description)
            sent = self.send(anm)
        except ValueError as error:
            log.warning("answer not passed on, ANM not encodable: ref=%s %s", request.ref, error)
            self.start_release(circuit, causes.CAUSE_INTERWORKING)
            return False
        if sent:
            circuit.state = CircuitState.ANSWERED
        return sent

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Send REL in place of ANM."""
        circuit = self.incoming_by_ref.get(request.ref)
        if circuit is not None and circuit.state is CircuitState.INCOMING:
            self.start_release(circuit, rejection.cause)


class IncomingOrigin:
    """The origin of the calls received from one peer.

    It is not ``Peer`` itself, whose ``release`` is that of a carrier, for calls placed at the exchange.
    """

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.answer, self.reject = peer.answer, peer.reject

    def release(self, ref: str, cause: int) -> None:
        """Release an answered call."""
        circuit = self.peer.incoming_by_ref.get(ref)
        if circuit is not None and circuit.state is CircuitState.ANSWERED:
            self.peer.start_release(circuit, cause)


class M3uaFront:
    """Accepts M3UA links from the configured peers; handles their ASP, network status and ISUP messages."""

    def __init__(
        self, conf: M3uaConfig, call_manager: CallManager, facade: ControllerFacade, deadlines: Deadlines
    ) -> None:
        self.conf, self.call_manager, self.facade, self.deadlines = conf, call_manager, facade, deadlines
        self.peers = {peer.point_code: Peer(self, peer) for peer in conf.peers}
        self.origins = {point_code: IncomingOrigin(peer) for point_code, peer in self.peers.items()}
        self.links: set[Link] = set()
        self._listener: sockets.Listener | None = None
        self._class_names_by_category = {item.category: name for name, item in conf.classes.items()}
        for peer in self.peers.values():
            if peer.conf.cell is not None:
                call_manager.carriers[peer.conf.cell] = peer

    def release_unknown(self, ref: str, cause: int) -> bool:
        """Release the circuit that the id names, if its call may be from before this process started."""
        address = circuit_of(ref)
        peer = self.peers.get(address.point_code) if address is not None else None
        circuit = peer.circuits.get(address.cic) if peer is not None and address is not None else None
        if peer is None or circuit is None:
            return False
        if circuit.used_since_start:
            # The exchange has used or released the circuit since, so it no longer has the call.
            log.info("release of a call that is over: peer=%d cic=%d", peer.conf.point_code, circuit.cic)
        else:
            circuit.used_since_start = True
            peer.start_release(circuit, cause)
        return True

    def category(self, class_name: str) -> int:
        """The calling party's category of a class; 10, ordinary subscriber, if none is configured."""
        class_config = self.conf.classes.get(class_name)
        return class_config.category if class_config else 10

    def listen(self) -> None:
        """Open the listening socket."""
        self._listener = sockets.listen(self.conf.listen, 64)

    def run(self) -> None:
        """Accept connections until the process ends."""
        assert self._listener is not None
        for sock, address in sockets.accepted_connections(self._listener, lambda: False):
            if len(self.links) >= 2 * len(self.peers):
                log.warning("connection closed, too many links open: peer=%s:%d", *address)
                sock.close()
                continue
            link = Link(sock, f"{address[0]}:{address[1]}", self.deadlines, self.conf.up_ms * 1000, False)
            runtime.spawn(self._serve, link)

    # Links.

    def _serve(self, link: Link) -> None:
        self.links.add(link)
        link.last_received_us = now_us()
        self.deadlines.schedule(now_us() + self.conf.up_ms * 1000, partial(self._close_if_asp_down, link))
        self._send_beat(link)
        try:
            for message in link.messages(m3ua.parse_next):
                link.last_received_us = now_us()
                try:
                    self._handle_message(link, message)
                except Exception:  # a message of one peer must not stop the service of the others
                    log.exception("error while handling an M3UA message: peer=%s", link.peer)
        finally:
            self.links.discard(link)
            self._lower_asp_state(link, AspState.DOWN)

    def _close_if_asp_down(self, link: Link) -> None:
        if link.open and link.asp_state is AspState.DOWN:
            log.warning("link closed, no ASPUP received in time: peer=%s", link.peer)
            link.close()

    def _send_beat(self, link: Link) -> None:
        """Send BEAT periodically; close the link if nothing was received for two periods."""
        if not link.open:
            return
        period_us = self.conf.beat_ms * 1000
        if now_us() - link.last_received_us >= 2 * period_us:
            log.warning("link closed, nothing received for two BEAT periods: peer=%s", link.peer)
            link.close()
            return
        if link.asp_state is not AspState.DOWN:
            link.write(m3ua.encode(MessageCode.BEAT, {Tag.HEARTBEAT_DATA: now_us().to_bytes(8, "big")}))
        self.deadlines.schedule(now_us() + period_us, partial(self._send_beat, link))

    def _lower_asp_state(self, link: Link, state: AspState) -> None:
        """Set the ASP state to inactive, or to down if the peer asks for it or the link has closed."""
        peer, old_state = link.exchange, link.asp_state
        link.asp_state = state
        if peer is None or peer.link is not link:
            return
        if state is AspState.DOWN:
            peer.link = None
        if old_state is AspState.ACTIVE:
            log.info("link down, ASP no longer active: peer=%d", peer.conf.point_code)
            peer.handle_asp_inactive()

    def _send_error(self, link: Link, error: ErrorCode) -> None:
        log.warning("M3UA error sent: peer=%s code=%s", link.peer, error.name)
        link.write(m3ua.encode(MessageCode.ERR, {Tag.ERROR_CODE: error.to_bytes(4, "big")}))

    def _handle_message(self, link: Link, message: m3ua.Message) -> None:
        if message.version != m3ua.VERSION:
            self._send_error(link, ErrorCode.INVALID_VERSION)
            return
        context = message.number(Tag.ROUTING_CONTEXT)
        if context is not None and context != self.conf.routing_context:
            self._send_error(link, ErrorCode.INVALID_ROUTING_CONTEXT)
            return
        match message.code:
            case MessageCode.ASPUP:
                self._handle_aspup(link, message)
            case MessageCode.ASPDN:
                self._lower_asp_state(link, AspState.DOWN)
                link.write(m3ua.encode(MessageCode.ASPDN_ACK))
            case MessageCode.BEAT:
                data = message.parameters.get(Tag.HEARTBEAT_DATA)
                link.write(
                    m3ua.encode(MessageCode.BEAT_ACK, {Tag.HEARTBEAT_DATA: data} if data is not None else {})
                )
            case MessageCode.BEAT_ACK | MessageCode.NTFY:
                pass
            case MessageCode.ERR:
                log.warning("M3UA error received: peer=%s code=%s", link.peer, message.number(Tag.ERROR_CODE))
            case (
                MessageCode.ASPAC
                | MessageCode.ASPIA
            ) if link.exchange is None or link.asp_state is AspState.DOWN:
                self._send_error(link, ErrorCode.UNEXPECTED_MESSAGE)
            case MessageCode.ASPAC:
                self._activate(link)
            case MessageCode.ASPIA:
                self._lower_asp_state(link, AspState.INACTIVE)
                link.write(m3ua.encode(MessageCode.ASPIA_ACK, self._routing_context()))
                link.write(
                    m3ua.encode(
                        MessageCode.NTFY,
                        self._routing_context() | {Tag.STATUS: m3ua.AS_PENDING_STATUS},
                    )
                )
            case MessageCode.DATA:
                self._handle_data(link, message)
            case MessageCode.DUNA | MessageCode.DAVA | MessageCode.SCON:
                self._handle_network_status(link, message)
            case MessageCode.DAUD:
                link.write(
                    m3ua.encode(
                        MessageCode.DAVA,
                        self._routing_context()
                        | {Tag.AFFECTED_POINT_CODES: self.conf.point_code.to_bytes(4, "big")},
                    )
                )
            case code if code >> 8 in (0, 1, 2, 3, 4):
                self._send_error(link, ErrorCode.UNSUPPORTED_TYPE)
            case _:
                self._send_error(link, ErrorCode.UNSUPPORTED_CLASS)

    def _routing_context(self) -> dict[Tag, bytes]:
        return {Tag.ROUTING_CONTEXT: self.conf.routing_context.to_bytes(4, "big")}

    def _handle_aspup(self, link: Link, message: m3ua.Message) -> None:
        asp_identifier = message.number(Tag.ASP_IDENTIFIER)
        # ASPUP without an ASP identifier: a peer configured without one, or the only peer.
        matches = [peer for peer in self.peers.values() if peer.conf.asp == asp_identifier] or (
            list(self.peers.values()) if asp_identifier is None and len(self.peers) == 1 else []
        )
        if not matches:
            self._send_error(link, ErrorCode.NO_AS_FOR_ASP)
            return
        # ASPUP while active sets the ASP back to inactive (RFC 4666, 4.3.4.1).
        if link.asp_state is AspState.ACTIVE:
            self._lower_asp_state(link, AspState.INACTIVE)
        link.exchange, link.asp_state = matches[0], AspState.INACTIVE
        link.write(m3ua.encode(MessageCode.ASPUP_ACK))
        link.write(
            m3ua.encode(MessageCode.NTFY, self._routing_context() | {Tag.STATUS: m3ua.AS_INACTIVE_STATUS})
        )

    def _activate(self, link: Link) -> None:
        peer = link.exchange
        assert peer is not None
        old_link = peer.link
        # the peer reconnected before the end of its old link was detected
        if old_link is not None and old_link is not link:
            self._lower_asp_state(old_link, AspState.DOWN)
            old_link.close()
        was_active = link.asp_state is AspState.ACTIVE
        peer.link, link.asp_state, peer.destination_unavailable = link, AspState.ACTIVE, False
        link.write(m3ua.encode(MessageCode.ASPAC_ACK, self._routing_context()))
        if not was_active:
            link.write(
                m3ua.encode(MessageCode.NTFY, self._routing_context() | {Tag.STATUS: m3ua.AS_ACTIVE_STATUS})
            )
            log.info("link active: peer=%d", peer.conf.point_code)
            peer.handle_asp_active()

    def _handle_network_status(self, link: Link, message: m3ua.Message) -> None:
        point_codes = message.point_codes()
        if not point_codes:
            self._send_error(link, ErrorCode.MISSING_PARAMETER)
        for point_code in point_codes:
            peer = self.peers.get(point_code)
            if peer is None or link.asp_state is not AspState.ACTIVE:
                continue
            log.info("network status received: peer=%d %s", point_code, MessageCode(message.code).name)
            if message.code == MessageCode.SCON:
                congestion_over = message.number(Tag.CONGESTION_INDICATIONS) == 0  # level 0: no congestion
                peer.congested_until_us = 0 if congestion_over else now_us() + CONGESTION_VALIDITY_US
            else:
                peer.destination_unavailable = message.code == MessageCode.DUNA

    # Calls.

    def _handle_data(self, link: Link, message: m3ua.Message) -> None:
        transfer = m3ua.decode_transfer(message)
        if link.asp_state is not AspState.ACTIVE:
            self._send_error(link, ErrorCode.UNEXPECTED_MESSAGE)
            return
        if transfer is None:
            self._send_error(link, ErrorCode.MISSING_PARAMETER)
            return
        peer = self.peers.get(transfer.opc)
        if (
            peer is not link.exchange
            or peer is None
            or transfer.dpc != self.conf.point_code
            or (transfer.si != m3ua.ISUP_SERVICE_INDICATOR)
        ):
            log.warning(
                "DATA dropped, unexpected point code or service indicator: peer=%s opc=%d dpc=%d si=%d",
                link.peer,
                transfer.opc,
                transfer.dpc,
                transfer.si,
            )
            return
        try:
            isup_message = isup.decode(transfer.user)
        except isup.IsupDecodeError as error:
            log.warning("malformed ISUP message dropped: peer=%d %s", transfer.opc, error)
            return
        circuit = peer.circuits.get(isup_message.cic)
        if circuit is None:
            log.warning(
                "ISUP message dropped, circuit not equipped: peer=%d cic=%d", transfer.opc, isup_message.cic
            )
            return
        match isup_message.type:
            case isup.Type.IAM:
                self._handle_iam(peer, circuit, isup_message)
            case isup.Type.ANM:
                self._handle_anm(peer, circuit, isup_message)
            case isup.Type.REL | isup.Type.RSC:
                self._handle_rel(peer, circuit, isup_message)
            case isup.Type.RLC:
                # A late RLC also shows that the peer regards the circuit as idle, so it frees a blocked one.
                if circuit.state in (CircuitState.RELEASING, CircuitState.BLOCKED) and not circuit.rel_queued:
                    peer.free_circuit(circuit)
            case isup.Type.ACM:
                pass  # progress only: the set-up goes on
            case _:
                log.info(
                    "ISUP message of unsupported type ignored: peer=%d type=%d",
                    transfer.opc,
                    isup_message.type,
                )

    def _handle_iam(self, peer: Peer, circuit: Circuit, isup_message: isup.Message) -> None:
        if circuit.state is CircuitState.OUTGOING and not peer.controls_circuit(circuit.cic):
            self._yield_circuit(peer, circuit)
            circuit = peer.circuits[circuit.cic]
        if circuit.state is not CircuitState.IDLE:
            # Dual seizure of a circuit that this side controls, or a repeated IAM: the peer yields.
            log.info("IAM dropped, circuit not idle: peer=%d cic=%d", peer.conf.point_code, circuit.cic)
            return
        class_name = self._class_names_by_category.get(isup_message.category, "")
        class_config = self.conf.classes.get(class_name)
        ref = new_call_id(CircuitAddress(peer.conf.point_code, circuit.cic))
        circuit.state, circuit.ref, circuit.used_since_start = CircuitState.INCOMING, ref, True
        peer.incoming_by_ref[ref] = circuit
        peer.report_circuits()
        peer.send(isup.Message(circuit.cic, isup.Type.ACM))
        self.call_manager.accept(
            Request(
                ref=ref,
                class_name=class_name,
                time_left_us=class_config.patience_ms * 1000 if class_config else 0,
                destination=self._destination(isup_message.number),
                called_number=isup_message.number,
                description=isup_message.description,
                received_us=now_us(),
                origin=self.origins[peer.conf.point_code],
            )
        )

    def _destination(self, number: str) -> int:
        """The exchange number of the longest matching prefix; -1 if none matches."""
        if not 0 < len(number) <= isup.MAX_CALLED_DIGITS:  # hubs close the connection on any other length
            return -1
        matching = [prefix for prefix in self.conf.numbers if number.startswith(prefix)]
        return self.conf.numbers[max(matching, key=len)] if matching else -1

    def _yield_circuit(self, peer: Peer, circuit: Circuit) -> None:
        """Yield a circuit to the peer after dual seizure; the attempt seizes another one, if any is idle."""
        attempt = circuit.attempt
        log.info("dual seizure, circuit yielded: peer=%d cic=%d", peer.conf.point_code, circuit.cic)
        peer.free_circuit(circuit)
        if attempt is not None and not attempt.has_ended:
            # blocked meanwhile, so that the attempt does not seize it again: the peer's call uses it
            peer.circuits[circuit.cic].state = CircuitState.BLOCKED
            peer.place(attempt)
            peer.circuits[circuit.cic].state = CircuitState.IDLE

    def _handle_anm(self, peer: Peer, circuit: Circuit, isup_message: isup.Message) -> None:
        attempt = circuit.attempt
        if circuit.state is CircuitState.OUTGOING and attempt is not None:
            circuit.attempt = None
            circuit.state = CircuitState.ANSWERED
            if not attempt.finish(
                AttemptResult(AttemptStatus.ANSWERED, description=isup_message.description, at_us=now_us())
            ):
                # the attempt was given up in this turn, and cancel() had not yet released the circuit
                peer.start_release(circuit, 16)

    def _handle_rel(self, peer: Peer, circuit: Circuit, isup_message: isup.Message) -> None:
        """Handle REL or RSC: answer with RLC and end the attempt or call on the circuit."""
        state, ref, attempt = circuit.state, circuit.ref, circuit.attempt
        peer.free_circuit(circuit)
        peer.send(isup.Message(circuit.cic, isup.Type.RLC))
        cause = isup_message.cause if isup_message.type == isup.Type.REL else CAUSE_TEMPORARY_FAILURE
        if state is CircuitState.OUTGOING and attempt is not None:
            status, reason = causes.from_cause(cause)
            attempt.finish(AttemptResult(status, reason, at_us=now_us()))
        elif state is CircuitState.INCOMING:
            self.call_manager.abandon(ref)
        elif state is CircuitState.ANSWERED and ref in self.call_manager.established.legs:
            leg = self.call_manager.established.legs[ref]
            if leg.carrier_state is circuit:
                self.call_manager.established.release_from_hub(ref, cause)
            else:
                self.call_manager.established.release_from_caller(ref, cause)
        elif state is CircuitState.ANSWERED and peer.conf.cell is not None:
            for hub in self.facade.hubs_of(peer.conf.cell):  # the answer is not passed to the caller yet
                self.call_manager.handle_hub_release(hub, ref, cause)
