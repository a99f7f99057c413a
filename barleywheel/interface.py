"""Settings, events and actions of the decision module in ``barleywheel.controller``.

Only data lives here. Times are whole microseconds. ``None`` always means "not known".
An exchange id is opaque: it is compared and handed back, never taken apart.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

ExchangeId = bytes


class Effect(Enum):
    """What a repeated set-up of a call of some class would do."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class Scope(Enum):
    """Which exchanges recognise a repeat of a guarded call."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ExchangeState(IntEnum):
    """State of an exchange in discovery."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListMode(IntEnum):
    """How a discovery event relates to the list held so far."""

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
    """Release cause that came with an outcome."""

    NONE = 0
    NO_CIRCUIT = 1
    CRANKBACK = 2
    PROCESSOR_OVERLOADED = 3
    SUBSCRIBER_BUSY = 4


@dataclass(slots=True)
class CallClass:
    """One class of call."""

    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.FREE
    scope: Scope = Scope.ALL
    window_us: int = 0
    mean_hold_us: int | None = None
    width: float = 1.0
    pools: tuple[int, ...] = ()


@dataclass(slots=True)
class Tenant:
    """A customer sharing the service; the quota is summed over all controllers."""

    quota_per_s: float | None = None
    share: float | None = None


@dataclass(slots=True)
class Settings:
    """What a controller is told at its start."""

    classes: list[CallClass]
    controller_number: int = 0
    controllers: int = 1
    home_cell: int = -1
    pools: bool = False
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    guard_us: int = 0
    repeat_us: int = 0
    reports_in_answers: bool = True
    route_advice: bool = False
    max_attempts: int | None = None
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    discovery_on_request: bool = False
    ask_within_us: int = 10_000_000
    cold_from: float = 1.0
    cold_us: int = 0
    tip_multiple: float = 1.0
    fall_us: int = 1_000_000
    tick_us: int = 1_000
    callers_mark_redials: bool = False


@dataclass(slots=True)
class ExchangeEntry:
    """One exchange as discovery describes it; ``launched_us`` 0 means long ago."""

    exchange: ExchangeId
    cell: int
    state: ExchangeState = ExchangeState.READY
    zone: int = 0
    share: float = 1.0
    kind: int = 0
    launched_us: int = 0


@dataclass(slots=True)
class Load:
    """Figures of a load report; the first two are exact, the others late and noisy."""

    free_circuits: float | None = None
    group_size: float | None = None
    utilisation: float | None = None
    queue: float | None = None
    in_progress: float | None = None
    wait_ms: float | None = None
    can_take: float | None = None
    hold_back: float | None = None


@dataclass(slots=True)
class Discovery:
    """News of the list of exchanges."""

    mode: ListMode
    entries: list[ExchangeEntry]


@dataclass(slots=True)
class CallOffered:
    """A call to be decided: it entered here, or is in transit from ``source_cell``."""

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
    """The call is set up; no duty is left."""

    call: int
    attempt: int
    exchange: ExchangeId
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; ``final`` says that the call has its answer."""

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
    """The caller left, or its time ran out."""

    call: int


@dataclass(slots=True)
class TimerDue:
    """A timer asked for with ``SetTimer`` came due."""

    token: int


@dataclass(slots=True)
class LoadSeen:
    """Answer to a probe, or unasked news of the own group's circuits."""

    exchange: ExchangeId
    outcome: Outcome
    elapsed_us: int
    load: Load


@dataclass(slots=True)
class PeerReport:
    """What one controller tells all others of its exchange, and hears from them; may be lost or late."""

    cell: int
    accept_fraction: float  # fraction of set-ups that its processor should be sent, 0 to 1
    reachable_cells: int  # bit c is set where a call in transit finds circuits towards exchange c


Event = Discovery | CallOffered | CallStands | AttemptEnded | CallerGone | TimerDue | LoadSeen | PeerReport


@dataclass(slots=True)
class SetUp:
    """Send the call to an exchange; ``limit_us`` 0 waits as long as the caller does."""

    call: int
    exchange: ExchangeId
    limit_us: int = 0


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away (transit: turned back)."""

    call: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: given up."""

    call: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    call: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for ``TimerDue(token)`` at ``due_us``."""

    token: int
    due_us: int


@dataclass(slots=True)
class Probe:
    """Ask an exchange for its load."""

    exchange: ExchangeId


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class FetchList:
    """Ask discovery once for the whole list."""


Action = SetUp | Refuse | Fail | Cancel | SetTimer | Probe | PeerReport | Log | Subscribe | FetchList
