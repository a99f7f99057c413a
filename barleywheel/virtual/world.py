"""One router among its stand-ins, in memory and on virtual time."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from contextlib import ExitStack
from functools import cache
from typing import Any

from barleywheel import config
from barleywheel.core import runtime as core_runtime
from barleywheel.net import sockets
from barleywheel.net.sockets import Address
from barleywheel.router import Router
from barleywheel.standins import caller, exchange, hub, journal
from barleywheel.virtual.network import Party, VirtualNetwork, Wire
from barleywheel.virtual.runtime import VirtualRuntime
from barleywheel.wire import journal as journal_wire

START_US = 1_700_000_000_000_000
LISTEN: Address = ("10.0.0.4", 3868)
LINKS: Address = ("10.0.0.4", 2905)
AGENT: Address = ("10.0.0.4", 1161)
JOURNALS: tuple[Address, Address] = (("10.2.0.1", 2379), ("10.2.0.2", 2379))
HOME, CELLS, EXCHANGE_CELL = 0, (1, 2, 3), 4
AIMS_US = {"voice": 1_200_000, "gold": 800_000}
DEADLINES_US = {"voice": 9_000_000, "gold": 6_000_000}
MOST_ATTEMPTS, GUARD_US = 4, 300_000
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "classes": [
        {"name": name, "aim_us": AIMS_US[name], "hard_limit_us": DEADLINES_US[name], "worth": worth}
        for name, worth in (("voice", 1.0), ("gold", 8.0))
    ],
    "family_info": {"home_no": HOME, "layout": "mesh", "guard_us": GUARD_US},
    "limits": {"cancel": True, "send_cap": MOST_ATTEMPTS, "connect_timeout_us": 300_000},
    "contract": {"cold_from": 0.3, "cold_us": 10_000_000, "tip_multiple": 2.0, "fall_us": 2_000_000},
    "report": {"fields": ["free", "size", "pending", "can_take"], "how": "answers"},
    "tick_us": 5000,
    "zones": ["east"],
    "kinds": ["std"],
}
EXTRAS = """
[m3ua]
listen = "10.0.0.4:2905"
point_code = 100
rlc_ms = 2000
beat_ms = 3000
up_ms = 1000
numbers = { 0 = 1, 1 = 1, 2 = 2, 3 = 3, 7 = 1 }
classes = { voice = { category = 10, patience_ms = 3000 }, gold = { category = 11, patience_ms = 2000 } }
[[m3ua.peer]]
point_code = 200
asp = 1
circuits = "1-6"
cell = 4
[snmp]
listen = "10.0.0.4:1161"
community = "public"
"""


def address_of(name: str) -> Address:
    """Where a hub listens: by its cell, so that a replacement has its predecessor's address."""
    return (f"10.1.0.{name[1]}", 5060)


def endpoint(name: str, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
    """A hub as the journal tells it; its name is ``h``, its cell and what tells it from others there."""
    host, port = address_of(name)
    return {
        "name": name,
        "address": f"{host}:{port}",
        "zone": "east",
        "type": "std",
        "group": int(name[1]),
        "status": status,
        "weight": 1,
        "since_ms": since_ms,
    }


@cache
def parsed() -> config.Config:
    """The configuration without its events, parsed once."""
    raw = {
        "name": "n0",
        "seed": "1",
        "limits": {"sockets": 64, "memory_mb": 64},
        "listen": f"{LISTEN[0]}:{LISTEN[1]}",
        "journal": f"{JOURNALS[0][0]}:{JOURNALS[0][1]}",
        "settings": SETTINGS,
    }
    return config.parse(json.dumps(raw).encode(), "world", {})


@cache
def extras() -> config.OperatorConfig:
    """The operator's file."""
    return config.parse_operator_config(EXTRAS.encode(), "world")


def configured(journal_address: Address, known: dict[str, Any], seed: int) -> config.Config:
    """The configuration as one start or reload reads it."""
    conf = parsed()
    return config.Config(
        conf.name,
        conf.listen,
        "{}:{}".format(*journal_address),
        seed,
        conf.sockets,
        conf.connect_timeout_us,
        journal_wire.parse_events(known),
        conf.settings,
        conf.names,
    )


class Lines(logging.Handler):
    """What the router logs, by its templates; and whatever is at ERROR or above, in full."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.templates: dict[str, int] = {}
        self.errors: list[str] = []

    def handle(self, record: logging.LogRecord) -> bool:
        """Every record is formatted, since a line that can't be is a fault of its own."""
        message = record.getMessage()
        template = str(record.msg)
        self.templates[template] = self.templates.get(template, 0) + 1
        if record.levelno >= logging.ERROR:
            fault = record.exc_info[1] if record.exc_info else None
            self.errors.append(f"{message}: {fault!r}" if fault else message)
        return True


class World:
    """The router and everything round it. ``entered`` gives it time and sockets; ``run`` lets time pass.

    ``watcher`` hears of hubs, ``heard`` of callers' lines, ``isup`` of the exchange's messages.
    """

    def __init__(
        self,
        seed: int,
        watcher: hub.Watcher,
        heard: caller.Heard,
        hung: Callable[[caller.Caller, bool], None],
        isup: exchange.Heard,
    ) -> None:
        self.seed = seed
        self.runtime = VirtualRuntime(START_US, seed)
        self.network = VirtualNetwork(self.runtime)
        self.lines = Lines()
        self.watcher, self._heard, self._hung = watcher, heard, hung
        self.journal = journal.Journal(self.runtime.after)
        self.hubs: dict[str, hub.Hub] = {}
        self.callers: dict[int, caller.Caller] = {}
        self.dialled = 0
        self.exchange = exchange.Exchange(isup)
        self.journal_at = 0
        self._stack = ExitStack()
        self.router: Router
        self.left = False
        self.operator = extras()

    def __enter__(self) -> World:
        self._stack.enter_context(core_runtime.use_runtime(self.runtime))
        self._stack.enter_context(sockets.use_network(self.network))
        logger = logging.getLogger("barleywheel")
        before = logger.level, logger.propagate
        logger.setLevel(logging.INFO)
        logger.propagate = False
        logger.addHandler(self.lines)

        def restore() -> None:
            logger.removeHandler(self.lines)
            logger.setLevel(before[0])
            logger.propagate = before[1]

        self._stack.callback(restore)
        self._stack.callback(self.runtime.end)
        for cell in (HOME, *CELLS, EXCHANGE_CELL):
            self.add(f"h{cell}")
        self.journal.tell([endpoint(name) for name in self.hubs], snapshot=True)
        self.network.hosts[JOURNALS[0]] = self.journal.connected
        conf = configured(JOURNALS[0], self.journal.after(0), self.seed)
        self.router = Router(conf, self.operator, self.load)
        self.router.start(conf)
        self.run(0)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    @property
    def now_us(self) -> int:
        """Virtual time."""
        return self.runtime.time_us

    def run(self, us: int) -> None:
        """Let time pass."""
        self.runtime.run(us)

    def load(self) -> config.Config:
        """What a reload reads."""
        if self.journal_at < 0:
            raise config.ConfigError("world: no JSON")
        return configured(JOURNALS[self.journal_at], self.journal.after(0), self.seed)

    def add(self, name: str) -> hub.Hub:
        """A hub that listens at its cell's address."""
        made = self.hubs[name] = hub.Hub(name, int(name[1]), self.watcher, self.runtime.after)
        self.network.hosts[address_of(name)] = made.connected
        return made

    def caller(self, number: int) -> caller.Caller | None:
        """An open connection from callers, dialled where there is none; None where nobody listens."""
        found = self.callers.get(number)
        if found is not None and found.open:
            return found
        self.dialled += 1

        def party(wire: Wire) -> Party:
            made = self.callers[number] = caller.Caller(number, wire, self._heard, self._hung)
            return made

        dialled = self.network.dial(LISTEN, (f"10.3.0.{number + 1}", 40000 + self.dialled), party)
        return self.callers[number] if dialled is not None else None

    def link(self) -> bool:
        """The exchange's link, dialled where there is none."""
        return (
            self.exchange.wire is not None
            or self.network.dial(LINKS, ("10.4.0.1", 50000), self.exchange.attached) is not None
        )

    def move_journal(self) -> None:
        """The journal moves to its other address; the numbers go on."""
        self.network.hosts.pop(JOURNALS[max(0, self.journal_at)], None)
        self.journal_at = 1 - max(0, self.journal_at)
        self.network.hosts[JOURNALS[self.journal_at]] = self.journal.connected

    def leave(self) -> None:
        """SIGTERM."""

        def leaving() -> None:
            self.router.shut_down()
            self.left = True

        self.runtime.spawn(leaving)
