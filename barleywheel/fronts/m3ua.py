"""The second front: calls taken from and placed at exchanges that speak ISUP over M3UA over TCP.

A peer is an exchange with its circuits; it outlives its links. A link is one TCP connection with the
state of its ASP. Calls are keyed by OPC, DPC and CIC: the front has the own point code, the peer its
one, and the circuit its CIC.
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
from barleywheel.net import sockets
from barleywheel.net.connection import Connection
from barleywheel.wire import isup, m3ua
from barleywheel.wire.m3ua import Error, Kind, Tag

log = logging.getLogger(__name__)
MAX_RELS = 3  # RELs sent for one release before the circuit is taken out of service
CONGESTION_VALIDITY_US = 3_000_000  # how long an SCON counts unless it is told anew


class CircuitState(Enum):
    """State of a circuit."""

    IDLE = "idle"
    INCOMING = "in"  # IAM heard, not yet answered
    OUTGOING = "out"  # IAM sent, not yet answered
    ANSWERED = "up"
    RELEASING = "releasing"  # REL sent or waiting for the link; RLC awaited
    BLOCKED = "blocked"  # no RLC came: not used until the peer resets it


class AspState(Enum):
    """State of the peer's ASP on a link."""

    DOWN = "down"
    INACTIVE = "inactive"
    ACTIVE = "active"


@dataclass(eq=False)
class Circuit:
    """One circuit and the call on it."""

    cic: int
    state: CircuitState = CircuitState.IDLE
    ref: str = ""
    attempt: Attempt | None = None  # OUT: what is answered by ANM or REL
    cause: int = 16  # RELEASING: of the release
    queued: bool = False  # RELEASING: waits for the link
    sent: int = 0  # RELEASING: RELs sent
    timer: DeadlineHandle | None = None


class Link(Connection):
    """A connection and its ASP's state."""

    asp = AspState.DOWN
    exchange: Peer | None = None
    last_received_us = 0


@dataclass(eq=False)
class Peer:
    """An exchange on the other side; the carrier of attempts there and the origin of its calls."""

    front: M3uaFront
    conf: PeerConfig
    circuits: dict[int, Circuit] = field(default_factory=dict)
    # The circuits that calls came in on; one that goes out over the same exchange has a second circuit here.
    by_ref: dict[str, Circuit] = field(default_factory=dict)
    link: Link | None = None
    unavailable = False  # DUNA
    congested_us = 0  # SCON

    def __post_init__(self) -> None:
        self.circuits = {cic: Circuit(cic) for cic in self.conf.circuits}

    @property
    def active(self) -> bool:
        """Whether DATA may be sent."""
        return self.link is not None and self.link.open and self.link.asp is AspState.ACTIVE

    def send(self, message: isup.Message) -> bool:
        """Send a message of a circuit; False if the link is not active."""
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
        """Whether we control a circuit at dual seizure: the higher point code has the even ones (Q.764)."""
        return (self.front.conf.point_code > self.conf.point_code) == (cic % 2 == 0)

    def seize_circuit(self) -> Circuit | None:
        """An idle circuit, one that we control if there is any; None when all are taken."""
        idle = [circuit for circuit in self.circuits.values() if circuit.state is CircuitState.IDLE]
        return min(idle, key=lambda circuit: not self.controls_circuit(circuit.cic)) if idle else None

    def free_circuit(self, circuit: Circuit) -> None:
        """The circuit is idle again."""
        if circuit.timer is not None:
            self.front.deadlines.cancel(circuit.timer)
        self._remove_reference(circuit)
        # whoever still holds the old one must not release a later call by it
        circuit.state = CircuitState.IDLE
        self.circuits[circuit.cic] = Circuit(circuit.cic)
        self.report_circuits()

    def report_circuits(self) -> None:
        """Tell the module the circuits of the group, as a hub's NOTIFY does."""
        if self.conf.cell is None:
            return
        idle = sum(circuit.state is CircuitState.IDLE for circuit in self.circuits.values())
        for hub in self.front.facade.hubs_of(self.conf.cell):
            self.front.facade.report_load(hub, {"free": idle, "size": len(self.circuits)})

    def start_release(self, circuit: Circuit, cause: int) -> None:
        """Send REL, or let it wait for the link; the circuit is taken until RLC."""
        circuit.state, circuit.attempt, circuit.cause, circuit.sent = CircuitState.RELEASING, None, cause, 0
        self._remove_reference(circuit)
        self.send_rel(circuit)

    def _remove_reference(self, circuit: Circuit) -> None:
        if self.by_ref.get(circuit.ref) is circuit:
            del self.by_ref[circuit.ref]

    def send_rel(self, circuit: Circuit) -> None:
        """Send REL once and wait for its RLC, or queue it: it goes out when the ASP is active again."""
        circuit.timer = None
        if circuit.state is not CircuitState.RELEASING:
            return
        if circuit.sent >= MAX_RELS:
            log.warning("circuit blocked, no RLC: peer=%d cic=%d", self.conf.point_code, circuit.cic)
            circuit.state = CircuitState.BLOCKED
        elif self.send(isup.Message(circuit.cic, isup.Type.REL, cause=circuit.cause)):
            circuit.queued, circuit.sent = False, circuit.sent + 1
            due = now_us() + self.front.conf.rlc_ms * 1000
            circuit.timer = self.front.deadlines.schedule(due, partial(self.send_rel, circuit))
        else:
            circuit.queued = True

    # The link.

    def handle_link_active(self) -> None:
        """The ASP is active: what waits goes out, each release once."""
        waiting = [circuit for circuit in self.circuits.values() if circuit.queued]
        if waiting:
            log.info("waiting releases sent: peer=%d count=%d", self.conf.point_code, len(waiting))
        for circuit in waiting:
            self.send_rel(circuit)
        self.report_circuits()

    def handle_link_down(self) -> None:
        """The ASP is no longer active: open set-ups end as reset, standing calls live on."""
        for circuit in list(self.circuits.values()):
            ref = circuit.ref
            if circuit.state is CircuitState.OUTGOING and circuit.attempt is not None:
                attempt = circuit.attempt
                self.start_release(circuit, CAUSE_TEMPORARY_FAILURE)
                attempt.finish(AttemptResult(AttemptStatus.RESET))
            elif circuit.state is CircuitState.INCOMING:
                self.start_release(circuit, CAUSE_TEMPORARY_FAILURE)
                self.front.call_manager.abandon(ref)

    # Carrier.

    def place(self, attempt: Attempt) -> None:
        """Seize a circuit and send IAM."""
        if not attempt.may_send(attempt.hub):
            attempt.finish(AttemptResult(AttemptStatus.NOT_SENT))
        elif not self.active or self.unavailable:
            attempt.finish(AttemptResult(AttemptStatus.UNREACHABLE))
        elif now_us() < self.congested_us:
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
            except ValueError as error:  # a description that this wire has no room for
                log.warning("call can't be placed: ref=%s %s", request.ref, error)
                attempt.finish(AttemptResult(AttemptStatus.ERROR))
                return
            attempt.sent_us, attempt.carrier_state = now_us(), circuit
            circuit.state, circuit.ref, circuit.attempt = CircuitState.OUTGOING, request.ref, attempt
            if self.send(iam):
                self.report_circuits()
            elif not attempt.has_ended:
                attempt.finish(AttemptResult(AttemptStatus.UNREACHABLE))
                self.free_circuit(circuit)

    def cancel(self, attempt: Attempt) -> None:
        """Give up a set-up: its circuit is released."""
        circuit = attempt.carrier_state
        if isinstance(circuit, Circuit) and circuit.attempt is attempt and attempt.result is not None:
            self.start_release(circuit, causes.TO_CAUSE[attempt.result.status])

    def release(self, leg: Leg, cause: int) -> None:
        """Take down a call that stands: one that we placed."""
        circuit = leg.carrier_state
        if isinstance(circuit, Circuit) and circuit.state is CircuitState.ANSWERED and circuit.ref == leg.ref:
            self.start_release(circuit, cause)

    # Origin.

    def answer(self, request: Request, description: bytes) -> bool:
        """ANM: the call stands. Where it can't be sent, the call is released instead."""
        circuit = self.by_ref.get(request.ref)
        if circuit is None or circuit.state is not CircuitState.INCOMING:
            return False
        try:
            anm = isup.Message(circuit.cic, isup.Type.ANM, description=description)
            sent = self.send(anm)
        except ValueError as error:
            log.warning("answer can't be passed on: ref=%s %s", request.ref, error)
            self.start_release(circuit, causes.CAUSE_INTERWORKING)
            return False
        if sent:
            circuit.state = CircuitState.ANSWERED
        return sent

    def reject(self, request: Request, rejection: Rejection) -> None:
        """REL in place of an answer."""
        circuit = self.by_ref.get(request.ref)
        if circuit is not None and circuit.state is CircuitState.INCOMING:
            self.start_release(circuit, rejection.cause)


class IncomingOrigin:
    """The origin of one peer's calls; a release goes to the circuit that the call is on."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.answer, self.reject = peer.answer, peer.reject

    def release(self, ref: str, cause: int) -> None:
        """A call that stood is over."""
        circuit = self.peer.by_ref.get(ref)
        if circuit is not None and circuit.state is CircuitState.ANSWERED:
            self.peer.start_release(circuit, cause)


class M3uaFront:
    """Listens for the peers' ASPs; they come up, become active and carry calls."""

    def __init__(
        self, conf: M3uaConfig, call_manager: CallManager, facade: ControllerFacade, deadlines: Deadlines
    ) -> None:
        self.conf, self.call_manager, self.facade, self.deadlines = conf, call_manager, facade, deadlines
        self.peers = {peer.point_code: Peer(self, peer) for peer in conf.peers}
        self.origins = {code: IncomingOrigin(peer) for code, peer in self.peers.items()}
        self.links: set[Link] = set()
        self._listener: sockets.Listener | None = None
        self._categories = {item.category: name for name, item in conf.classes.items()}
        for peer in self.peers.values():
            if peer.conf.cell is not None:
                call_manager.carriers[peer.conf.cell] = peer

    def category(self, class_name: str) -> int:
        """The calling party's category that stands for a class."""
        found = self.conf.classes.get(class_name)
        return found.category if found else 10

    def listen(self) -> None:
        """Open the listening socket."""
        self._listener = sockets.listen(self.conf.listen, 64)

    def run(self) -> None:
        """Accept for ever."""
        assert self._listener is not None
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError as error:
                log.warning("accept failed: %s", error)
                runtime.sleep(0.05)
                continue
            if len(self.links) >= 2 * len(self.peers):
                log.warning("connection closed, too many links: peer=%s:%d", *address)
                sock.close()
                continue
            link = Link(sock, f"{address[0]}:{address[1]}", self.deadlines, self.conf.up_ms * 1000, False)
            runtime.spawn(self._serve, link)

    # Links.

    def _serve(self, link: Link) -> None:
        self.links.add(link)
        link.last_received_us = now_us()
        self.deadlines.schedule(now_us() + self.conf.up_ms * 1000, partial(self._close_if_down, link))
        self._send_beat(link)
        for message in link.messages(m3ua.parse_next):
            link.last_received_us = now_us()
            try:
                self._handle_message(link, message)
            except Exception:  # one peer's message may not end the process
                log.exception("message of a peer not understood: peer=%s", link.peer)
        self.links.discard(link)
        self._leave_state(link, AspState.DOWN)

    def _close_if_down(self, link: Link) -> None:
        if link.open and link.asp is AspState.DOWN:
            log.warning("link closed, no ASPUP in time: peer=%s", link.peer)
            link.close()

    def _send_beat(self, link: Link) -> None:
        """Send BEAT; a link that says nothing for two periods is closed."""
        if not link.open:
            return
        period = self.conf.beat_ms * 1000
        if now_us() - link.last_received_us >= 2 * period:
            log.warning("link closed, no answer to BEAT: peer=%s", link.peer)
            link.close()
            return
        if link.asp is not AspState.DOWN:
            link.write(m3ua.encode(Kind.BEAT, {Tag.HEARTBEAT: now_us().to_bytes(8, "big")}))
        self.deadlines.schedule(now_us() + period, partial(self._send_beat, link))

    def _leave_state(self, link: Link, state: AspState) -> None:
        """The ASP leaves the active state, or the link is gone."""
        peer, was = link.exchange, link.asp
        link.asp = state
        if peer is None or peer.link is not link:
            return
        if state is AspState.DOWN:
            peer.link = None
        if was is AspState.ACTIVE:
            log.info("link down: peer=%d", peer.conf.point_code)
            peer.handle_link_down()

    def _send_error(self, link: Link, error: Error) -> None:
        log.warning("error sent: peer=%s code=%s", link.peer, error.name)
        link.write(m3ua.encode(Kind.ERR, {Tag.ERROR_CODE: error.to_bytes(4, "big")}))

    def _handle_message(self, link: Link, message: m3ua.Message) -> None:
        if message.version != m3ua.VERSION:
            self._send_error(link, Error.INVALID_VERSION)
            return
        context = message.number(Tag.ROUTING_CONTEXT)
        if context is not None and context != self.conf.routing_context:
            self._send_error(link, Error.INVALID_ROUTING_CONTEXT)
            return
        match message.code:
            case Kind.ASPUP:
                self._handle_aspup(link, message)
            case Kind.ASPDN:
                self._leave_state(link, AspState.DOWN)
                link.write(m3ua.encode(Kind.ASPDN_ACK))
            case Kind.BEAT:
                data = message.parameters.get(Tag.HEARTBEAT)
                link.write(m3ua.encode(Kind.BEAT_ACK, {Tag.HEARTBEAT: data} if data is not None else {}))
            case Kind.BEAT_ACK | Kind.NTFY:
                pass
            case Kind.ERR:
                log.warning("error heard: peer=%s code=%s", link.peer, message.number(Tag.ERROR_CODE))
            case Kind.ASPAC | Kind.ASPIA if link.exchange is None or link.asp is AspState.DOWN:
                self._send_error(link, Error.UNEXPECTED_MESSAGE)
            case Kind.ASPAC:
                self._activate(link)
            case Kind.ASPIA:
                self._leave_state(link, AspState.INACTIVE)
                link.write(m3ua.encode(Kind.ASPIA_ACK, self._context()))
                link.write(m3ua.encode(Kind.NTFY, self._context() | {Tag.STATUS: m3ua.AS_PENDING}))
            case Kind.DATA:
                self._handle_data(link, message)
            case Kind.DUNA | Kind.DAVA | Kind.SCON:
                self._handle_network_status(link, message)
            case Kind.DAUD:
                link.write(
                    m3ua.encode(
                        Kind.DAVA, self._context() | {Tag.AFFECTED: self.conf.point_code.to_bytes(4, "big")}
                    )
                )
            case code if code >> 8 in (0, 1, 2, 3, 4):
                self._send_error(link, Error.UNSUPPORTED_TYPE)
            case _:
                self._send_error(link, Error.UNSUPPORTED_CLASS)

    def _context(self) -> dict[Tag, bytes]:
        return {Tag.ROUTING_CONTEXT: self.conf.routing_context.to_bytes(4, "big")}

    def _handle_aspup(self, link: Link, message: m3ua.Message) -> None:
        number = message.number(Tag.ASP_ID)
        found = [peer for peer in self.peers.values() if peer.conf.asp == number] or (
            list(self.peers.values()) if number is None and len(self.peers) == 1 else []
        )
        if not found:
            self._send_error(link, Error.NO_AS_FOR_ASP)
            return
        # ASPUP on an active link takes it back to inactive (RFC 4666, 4.3.4.1)
        if link.asp is AspState.ACTIVE:
            self._leave_state(link, AspState.INACTIVE)
        link.exchange, link.asp = found[0], AspState.INACTIVE
        link.write(m3ua.encode(Kind.ASPUP_ACK))
        link.write(m3ua.encode(Kind.NTFY, self._context() | {Tag.STATUS: m3ua.AS_INACTIVE}))

    def _activate(self, link: Link) -> None:
        peer = link.exchange
        assert peer is not None
        old = peer.link
        if old is not None and old is not link:  # the peer came back before its old link was seen to end
            self._leave_state(old, AspState.DOWN)
            old.close()
        again = link.asp is AspState.ACTIVE
        peer.link, link.asp, peer.unavailable = link, AspState.ACTIVE, False
        link.write(m3ua.encode(Kind.ASPAC_ACK, self._context()))
        if not again:
            link.write(m3ua.encode(Kind.NTFY, self._context() | {Tag.STATUS: m3ua.AS_ACTIVE}))
            log.info("link active: peer=%d", peer.conf.point_code)
            peer.handle_link_active()

    def _handle_network_status(self, link: Link, message: m3ua.Message) -> None:
        points = message.point_codes()
        if not points:
            self._send_error(link, Error.MISSING_PARAMETER)
        for point in points:
            peer = self.peers.get(point)
            if peer is None or link.asp is not AspState.ACTIVE:
                continue
            log.info("network news: peer=%d %s", point, Kind(message.code).name)
            if message.code == Kind.SCON:
                quiet = message.number(Tag.CONGESTION) == 0
                peer.congested_us = 0 if quiet else now_us() + CONGESTION_VALIDITY_US
            else:
                peer.unavailable = message.code == Kind.DUNA

    # Calls.

    def _handle_data(self, link: Link, message: m3ua.Message) -> None:
        transfer = m3ua.decode_transfer(message)
        if link.asp is not AspState.ACTIVE:
            self._send_error(link, Error.UNEXPECTED_MESSAGE)
            return
        if transfer is None:
            self._send_error(link, Error.MISSING_PARAMETER)
            return
        peer = self.peers.get(transfer.opc)
        if (
            peer is not link.exchange
            or peer is None
            or transfer.dpc != self.conf.point_code
            or (transfer.si != m3ua.SI_ISUP)
        ):
            log.warning(
                "message for nobody here dropped: peer=%s opc=%d dpc=%d si=%d",
                link.peer,
                transfer.opc,
                transfer.dpc,
                transfer.si,
            )
            return
        try:
            heard = isup.decode(transfer.user)
        except isup.IsupDecodeError as error:
            log.warning("ISUP message dropped: peer=%d %s", transfer.opc, error)
            return
        circuit = peer.circuits.get(heard.cic)
        if circuit is None:
            log.warning("circuit not equipped: peer=%d cic=%d", transfer.opc, heard.cic)
            return
        match heard.type:
            case isup.Type.IAM:
                self._handle_iam(peer, circuit, heard)
            case isup.Type.ANM:
                self._handle_anm(peer, circuit, heard)
            case isup.Type.REL | isup.Type.RSC:
                self._handle_rel(peer, circuit, heard)
            case isup.Type.RLC:
                # One that came too late proves as well that the peer holds the circuit idle.
                if circuit.state in (CircuitState.RELEASING, CircuitState.BLOCKED) and not circuit.queued:
                    peer.free_circuit(circuit)
            case isup.Type.ACM:
                pass  # progress
            case _:
                log.info("ISUP message not used: peer=%d type=%d", transfer.opc, heard.type)

    def _handle_iam(self, peer: Peer, circuit: Circuit, heard: isup.Message) -> None:
        if circuit.state is CircuitState.OUTGOING and not peer.controls_circuit(circuit.cic):
            self._yield_circuit(peer, circuit)
            circuit = peer.circuits[circuit.cic]
        if circuit.state is not CircuitState.IDLE:
            # Dual seizure of a circuit that we control, or a repeat: the other side backs off.
            log.info("IAM on a taken circuit dropped: peer=%d cic=%d", peer.conf.point_code, circuit.cic)
            return
        class_name = self._categories.get(heard.category, "")
        known = self.conf.classes.get(class_name)
        ref = runtime.token()
        circuit.state, circuit.ref = CircuitState.INCOMING, ref
        peer.by_ref[ref] = circuit
        peer.report_circuits()
        peer.send(isup.Message(circuit.cic, isup.Type.ACM))
        self.call_manager.accept(
            Request(
                ref=ref,
                class_name=class_name,
                time_left_us=known.patience_ms * 1000 if known else 0,
                destination=self._destination(heard.number),
                called_number=heard.number,
                description=heard.description,
                received_us=now_us(),
                origin=self.origins[peer.conf.point_code],
            )
        )

    def _destination(self, number: str) -> int:
        """The cell of the longest prefix that fits; -1 for none."""
        if not 0 < len(number) <= isup.MAX_DIGITS:  # what hubs take: they close on anything else
            return -1
        fits = [prefix for prefix in self.conf.numbers if number.startswith(prefix)]
        return self.conf.numbers[max(fits, key=len)] if fits else -1

    def _yield_circuit(self, peer: Peer, circuit: Circuit) -> None:
        """Dual seizure lost: our set-up goes on over another circuit, if there is one."""
        attempt = circuit.attempt
        log.info("dual seizure lost: peer=%d cic=%d", peer.conf.point_code, circuit.cic)
        peer.free_circuit(circuit)
        if attempt is not None and not attempt.has_ended:
            # not for the new try: the peer's call has it
            peer.circuits[circuit.cic].state = CircuitState.BLOCKED
            peer.place(attempt)
            peer.circuits[circuit.cic].state = CircuitState.IDLE

    def _handle_anm(self, peer: Peer, circuit: Circuit, heard: isup.Message) -> None:
        attempt = circuit.attempt
        if circuit.state is CircuitState.OUTGOING and attempt is not None:
            circuit.attempt = None
            circuit.state = CircuitState.ANSWERED
            if not attempt.finish(
                AttemptResult(AttemptStatus.ANSWERED, description=heard.description, at_us=now_us())
            ):
                # the answer came in the turn in which the attempt was given up
                peer.start_release(circuit, 16)

    def _handle_rel(self, peer: Peer, circuit: Circuit, heard: isup.Message) -> None:
        """The peer releases, or resets, a circuit: RLC, and whatever was on it is over."""
        state, ref, attempt = circuit.state, circuit.ref, circuit.attempt
        peer.free_circuit(circuit)
        peer.send(isup.Message(circuit.cic, isup.Type.RLC))
        cause = heard.cause if heard.type == isup.Type.REL else CAUSE_TEMPORARY_FAILURE
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
            for hub in self.facade.hubs_of(peer.conf.cell):  # answered a moment ago, not yet passed on
                self.call_manager.handle_hub_release(hub, ref, cause)
