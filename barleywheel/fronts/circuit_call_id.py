"""Call ids of the calls that arrive on circuits: they name the circuit, so that they survive a restart.

A hub releases a call by its id only. After a restart nothing else tells which exchange the caller is at. An
id is 16 hex digits: 24 bits of the peer's point code, 12 of the circuit identification code, 28 at random.
"""

from __future__ import annotations

from dataclasses import dataclass

from barleywheel.core import runtime

ID_DIGITS = 16
POINT_CODE_DIGITS = 6
CIC_DIGITS = 3
RANDOM_DIGITS = ID_DIGITS - POINT_CODE_DIGITS - CIC_DIGITS


@dataclass(frozen=True, slots=True)
class CircuitAddress:
    """A circuit of an exchange."""

    point_code: int
    cic: int


def new_call_id(circuit: CircuitAddress) -> str:
    """Return a new id for a call that arrives on the circuit."""
    address = f"{circuit.point_code:0{POINT_CODE_DIGITS}x}{circuit.cic:0{CIC_DIGITS}x}"
    return address + runtime.token()[:RANDOM_DIGITS]


def circuit_of(call_id: str) -> CircuitAddress | None:
    """Return the circuit that an id of ``new_call_id`` names; None if the id has another form.

    Any 16 hex digits have the form, also the ids of other callers, so there may be no such circuit.
    """
    if len(call_id) != ID_DIGITS:
        return None
    try:
        value = int(call_id[: POINT_CODE_DIGITS + CIC_DIGITS], 16)
    except ValueError:
        return None
    return CircuitAddress(value >> 4 * CIC_DIGITS, value & ((1 << 4 * CIC_DIGITS) - 1))
