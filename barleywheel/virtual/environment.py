"""One router and its stand-ins, in memory and on virtual time."""

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
from barleywheel.virtual.network import PeerSocket, StreamHandler, VirtualNetwork
from barleywheel.virtual.runtime import VirtualRuntime
from barleywheel.wire import journal as journal_wire

# Unix time at which every run starts.
START_US = 1_700_000_000_000_000
CALLER_LISTEN_ADDRESS: Address = ("10.0.0.4", 3868)
M3UA_LISTEN_ADDRESS: Address = ("10.0.0.4", 2905)
SNMP_LISTEN_ADDRESS: Address = ("10.0.0.4", 1161)
JOURNAL_ADDRESSES: tuple[Address, Address] = (("10.2.0.1", 2379), ("10.2.0.2", 2379))
HOME_CELL = 0
HUB_CELLS = (1, 2, 3)
EXCHANGE_CELL = 4
AIM_US_BY_CLASS = {"voice": 1_200_000, "gold": 800_000}
DEADLINE_US_BY_CLASS = {"voice": 9_000_000, "gold": 6_000_000}
MAX_ATTEMPTS = 4  # per call
GUARD_US = 300_000  # before a call is tried again after a broken attempt
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "classes": [
        {
            "name": name,
            "aim_us": AIM_US_BY_CLASS[name],
            "hard_limit_us": DEADLINE_US_BY_CLASS[name],
            "worth": worth,
        }
        for name, worth in (("voice", 1.0), ("gold", 8.0))
    ],
    "family_info": {"home_no": HOME_CELL, "layout": "mesh", "guard_us": GUARD_US},
    "limits": {"cancel": True, "send_cap": MAX_ATTEMPTS, "connect_timeout_us": 300_000},
    "contract": {"cold_from": 0.3, "cold_us": 10_000_000, "tip_multiple": 2.0, "fall_us": 2_000_000},
    "report": {"fields": ["free", "size", "pending", "can_take"], "how": "answers"},
    "tick_us": 5000,
    "zones": ["east"],
    "kinds": ["std"],
}
OPERATOR_TOML = """
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


def hub_address(name: str) -> Address:
    """A hub's listen address; it depends on the cell alone, so a replacement has its predecessor's."""
    return (f"10.1.0.{name[1]}", 5060)


def hub_endpoint(name: str, status: str = "Ready", since_ms: int = 0) -> dict[str, Any]:
    """A hub's entry in a journal event. Its name is ``h``, its one-digit cell and a suffix unique there."""
    host, port = hub_address(name)
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
def base_config() -> config.Config:
    """The configuration without journal events, parsed once."""
    raw = {
        "name": "n0",
        "seed": "1",
        "limits": {"sockets": 64, "memory_mb": 64},
        "listen": f"{CALLER_LISTEN_ADDRESS[0]}:{CALLER_LISTEN_ADDRESS[1]}",
        "journal": f"{JOURNAL_ADDRESSES[0][0]}:{JOURNAL_ADDRESSES[0][1]}",
        "settings": SETTINGS,
    }
    return config.parse(json.dumps(raw).encode(), "world", {})


@cache
def default_operator_config() -> config.OperatorConfig:
    """The operator's configuration file, parsed once."""
    return config.parse_operator_config(OPERATOR_TOML.encode(), "world")


def make_config(journal_address: Address, journal_events: dict[str, Any], seed: int) -> config.Config:
    """The configuration that a start or reload reads: the journal's address and its events so far."""
    conf = base_config()
    return config.Config(
        conf.name,
        conf.listen,
        "{}:{}".format(*journal_address),
        seed,
        conf.sockets,
        conf.connect_timeout_us,
        journal_wire.parse_update(journal_events),
        conf.settings,
        conf.names,
    )


class LogRecorder(logging.Handler):
    """Counts the router's log records by message template, and keeps those at ERROR or above in full."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.templates: dict[str, int] = {}
        self.errors: list[str] = []

    def handle(self, record: logging.LogRecord) -> bool:
        """Format every record, so that a log call whose arguments do not fit its template raises."""
        message = record.getMessage()
        template = str(record.msg)
        self.templates[template] = self.templates.get(template, 0) + 1
        if record.levelno >= logging.ERROR:
            error = record.exc_info[1] if record.exc_info else None
            self.errors.append(f"{message}: {error!r}" if error else message)
        return True


class VirtualEnvironment:
    """The router with every peer it talks to. Entering it starts the router; ``run`` advances time.

    ``observer`` receives the events at the hubs, ``on_message`` the router's messages to callers,
    ``on_close`` its closes of their connections and ``on_isup`` its ISUP messages to the exchange.
    """

    def __init__(
        self,
        seed: int,
        observer: hub.HubObserver,
        on_message: caller.MessageHandler,
        on_close: Callable[[caller.Caller, bool], None],
        on_isup: exchange.MessageHandler,
    ) -> None:
        self.seed = seed
        self.runtime = VirtualRuntime(START_US, seed)
        self.network = VirtualNetwork(self.runtime)
        self.log_recorder = LogRecorder()
        self.observer, self._on_message, self._on_close = observer, on_message, on_close
        self.journal = journal.Journal(self.runtime.after)
        self.hubs: dict[str, hub.Hub] = {}
        self.callers: dict[int, caller.Caller] = {}
        self.connections_made = 0
        self.exchange = exchange.Exchange(on_isup)
        self.journal_index = 0  # into JOURNAL_ADDRESSES; negative while the configuration is invalid
        self._exit_stack = ExitStack()
        self.router: Router
        self.terminated = False
        self.operator_config = default_operator_config()

    def __enter__(self) -> VirtualEnvironment:
        self._exit_stack.enter_context(core_runtime.use_runtime(self.runtime))
        self._exit_stack.enter_context(sockets.use_network(self.network))
        logger = logging.getLogger("barleywheel")
        previous = logger.level, logger.propagate
        logger.setLevel(logging.INFO)
        logger.propagate = False
        logger.addHandler(self.log_recorder)

        def restore() -> None:
            logger.removeHandler(self.log_recorder)
            logger.setLevel(previous[0])
            logger.propagate = previous[1]

        self._exit_stack.callback(restore)
        self._exit_stack.callback(self.runtime.stop)
        for cell in (HOME_CELL, *HUB_CELLS, EXCHANGE_CELL):
            self.add_hub(f"h{cell}")
        self.journal.publish([hub_endpoint(name) for name in self.hubs], snapshot=True)
        self.network.hosts[JOURNAL_ADDRESSES[0]] = self.journal.accept_connection
        conf = make_config(JOURNAL_ADDRESSES[0], self.journal.entries_after(0), self.seed)
        self.router = Router(conf, self.operator_config, self.load_config)
        self.router.start(conf)
        self.run(0)
        return self

    def __exit__(self, *_: object) -> None:
        self._exit_stack.close()

    @property
    def now_us(self) -> int:
        """The current virtual time."""
        return self.runtime.time_us

    def run(self, us: int) -> None:
        """Advance virtual time by ``us`` microseconds."""
        self.runtime.run(us)

    def load_config(self) -> config.Config:
        """The configuration for a reload; ConfigError while ``journal_index`` is negative."""
        if self.journal_index < 0:
            raise config.ConfigError("world: no JSON")
        return make_config(JOURNAL_ADDRESSES[self.journal_index], self.journal.entries_after(0), self.seed)

    def add_hub(self, name: str) -> hub.Hub:
        """Add a hub that listens at its cell's address, in place of any hub there."""
        model = self.hubs[name] = hub.Hub(name, int(name[1]), self.observer, self.runtime.after)
        self.network.hosts[hub_address(name)] = model.accept_connection
        return model

    def caller_connection(self, number: int) -> caller.Caller | None:
        """Caller connection ``number``, opened if it is not; None if the router does not accept it."""
        existing = self.callers.get(number)
        if existing is not None and existing.open:
            return existing
        self.connections_made += 1

        def make_handler(peer_socket: PeerSocket) -> StreamHandler:
            model = self.callers[number] = caller.Caller(
                number, peer_socket, self._on_message, self._on_close
            )
            return model

        accepted = self.network.connect_to_router(
            CALLER_LISTEN_ADDRESS, (f"10.3.0.{number + 1}", 40000 + self.connections_made), make_handler
        )
        return self.callers[number] if accepted is not None else None

    def connect_link(self) -> bool:
        """Connect the exchange's link if it is down; return whether it is connected."""
        return (
            self.exchange.transport is not None
            or self.network.connect_to_router(M3UA_LISTEN_ADDRESS, ("10.4.0.1", 50000), self.exchange.attach)
            is not None
        )

    def move_journal(self) -> None:
        """Move the journal service to its other address; event numbers continue."""
        self.network.hosts.pop(JOURNAL_ADDRESSES[max(0, self.journal_index)], None)
        self.journal_index = 1 - max(0, self.journal_index)
        self.network.hosts[JOURNAL_ADDRESSES[self.journal_index]] = self.journal.accept_connection

    def terminate(self) -> None:
        """Shut the router down, as SIGTERM does."""

        def terminate_router() -> None:
            self.router.shut_down()
            self.terminated = True

        self.runtime.spawn(terminate_router)
