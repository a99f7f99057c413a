"""Settings, events and actions of the decision module in ``barleywheel.controller``.

This module holds data types only. Times are whole microseconds. ``None`` means "not known", except for a
limit or quota, where it means that there is none. An exchange id is opaque: it is compared and returned,
never parsed. A cell is the number of an exchange in the mesh.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

ExchangeId = bytes


class Effect(Enum):
    """Effect of setting up a call a second time."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class Scope(Enum):
    """Which exchanges recognise a repeated set-up of a guarded call."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ExchangeState(IntEnum):
    """State of an exchange as discovery lists it."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListMode(IntEnum):
    """How the entries of a discovery event relate to the known list of exchanges."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class Cause(IntEnum):
    """Release cause reported with an outcome."""

    NONE = 0
    NO_CIRCUIT = 1
    CRANKBACK = 2
    PROCESSOR_OVERLOADED = 3
    SUBSCRIBER_BUSY = 4


@dataclass(slots=True)
class CallClass:
    """A class of calls."""

    aim_us: int  # a call should be established within this time
    deadline_us: int  # hard limit for the final answer
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.FREE
    scope: Scope = Scope.ALL
    window_us: int = 0
    mean_hold_us: int | None = None
    width: float = 1.0  # circuits that a call occupies
    pools: tuple[int, ...] = ()  # second-choice cells of the class, where Settings.pools is set


@dataclass(slots=True)
class Tenant:
    """A customer of the shared service; the quota holds for all controllers together."""

    quota_per_s: float | None = None
    share: float | None = None


@dataclass(slots=True)
class Settings:
    """Settings that a controller gets at its start."""

    classes: list[CallClass]
    controller_number: int = 0
    controllers: int = 1  # number of controllers in the mesh
    home_cell: int = -1  # cell of our own exchange
    pools: bool = False  # overflow goes only through the second-choice cells of the class
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    guard_us: int = 0  # guard time before a call is tried again after a broken attempt
    repeat_us: int = 0  # an unanswered set-up is repeated after this time; 0: never
    reports_in_answers: bool = True
    route_advice: bool = False
    max_attempts: int | None = None  # per call
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False  # to the other controllers
    retry_after: bool = False  # callers accept a retry-after time in a refusal
    max_retry_after_us: int = 0
    discovery_on_request: bool = False
    ask_within_us: int = 10_000_000  # limit for asking again after discovery has failed
    cold_from: float = 1.0  # share of its capacity that an exchange has right after its start
    cold_us: int = 0  # time from the start to full capacity
    tip_multiple: float = 1.0  # overload that a cold exchange withstands, as a multiple of its capacity
    fall_us: int = 1_000_000  # window over which that overload is measured
    tick_us: int = 1_000  # interval of the event batches
    callers_mark_redials: bool = False


@dataclass(slots=True)
class ExchangeEntry:
    """One exchange as discovery lists it; ``launched_us`` is 0 if it started long ago."""

    exchange: ExchangeId
    cell: int
    state: ExchangeState = ExchangeState.READY
    zone: int = 0
    share: float = 1.0
    kind: int = 0
    launched_us: int = 0


@dataclass(slots=True)
class Load:
    """Figures of a load report. The first two are exact; the others are delayed and noisy."""

    free_circuits: float | None = None
    group_size: float | None = None
    utilisation: float | None = None
    queue: float | None = None
    in_progress: float | None = None
    wait_ms: float | None = None
    can_take: float | None = None  # set-ups a second that the processor can accept
    hold_back: float | None = None


@dataclass(slots=True)
class Discovery:
    """A change of the list of exchanges, or the whole list."""

    mode: ListMode
    entries: list[ExchangeEntry]


@dataclass(slots=True)
class CallOffered:
    """A new call to decide: it entered the mesh here, or is in transit from ``source_cell``."""

    call: int
    time_left_us: int
    destination: int
    call_class: int = 0
    tenant: int = 0
    called_number: int = 0
    redialled: bool = False
    in_transit: bool = False
    interrupted_before: bool = False
    advised_cell: int | None = None
    source_cell: int | None = None
    width: float = 1.0


@dataclass(slots=True)
class CallStands:
    """The call is established; nothing remains to be decided."""

    call: int
    attempt: int
    exchange: ExchangeId
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; ``final`` is set if the call already has its final answer."""

    call: int
    attempt: int
    exchange: ExchangeId
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False
    cause: Cause = Cause.NONE
    downstream_overloaded: bool = False
    wait_us: int | None = None
    load: Load = field(default_factory=Load)


@dataclass(slots=True)
class CallerGone:
    """The caller hung up, or its time ran out."""

    call: int


@dataclass(slots=True)
class TimerDue:
    """A timer set with ``SetTimer`` has expired."""

    token: int


@dataclass(slots=True)
class LoadSeen:
    """Answer to a probe, or an unsolicited report of the circuits of our group."""

    exchange: ExchangeId
    outcome: Outcome
    elapsed_us: int
    load: Load


@dataclass(slots=True)
class PeerReport:
    """Report of a controller on its exchange to all other controllers; may be lost or delayed."""

    cell: int
    accept_fraction: float  # of set-ups that others should send to its processor, 0 to 1
    reachable_cells: int  # bit c is set if a call in transit finds circuits towards cell c


Event = Discovery | CallOffered | CallStands | AttemptEnded | CallerGone | TimerDue | LoadSeen | PeerReport


@dataclass(slots=True)
class SetUp:
    """Send the call to an exchange; with ``limit_us`` 0 the attempt lasts as long as the caller waits."""

    call: int
    exchange: ExchangeId
    limit_us: int = 0


@dataclass(slots=True)
class Refuse:
    """Final answer: the call is refused; in transit it is handed back to the previous exchange."""

    call: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: the set-up of the call has failed."""

    call: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in progress."""

    call: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request ``TimerDue(token)`` at ``due_us``."""

    token: int
    due_us: int


@dataclass(slots=True)
class Probe:
    """Request the load figures of an exchange."""

    exchange: ExchangeId


@dataclass(slots=True)
class Log:
    """A log message for the operators."""

    text: str


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes in discovery."""


@dataclass(slots=True)
class FetchList:
    """Request the complete list from discovery once."""


Action = SetUp | Refuse | Fail | Cancel | SetTimer | Probe | PeerReport | Log | Subscribe | FetchList
