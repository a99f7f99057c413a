"""Builds one call router from its components, starts it, reloads its configuration and shuts it down."""

from __future__ import annotations

import logging
from collections.abc import Callable

from barleywheel import config
from barleywheel.core import runtime
from barleywheel.core.call_manager import CallManager
from barleywheel.core.deadlines import Deadlines
from barleywheel.core.model import CAUSE_TEMPORARY_FAILURE, Rejection
from barleywheel.core.release import EstablishedCalls
from barleywheel.core.runtime import now_us
from barleywheel.facade import ControllerFacade
from barleywheel.fronts.m3ua import M3uaFront
from barleywheel.fronts.platform import PlatformFront
from barleywheel.net.hubs import HubPool
from barleywheel.net.journal import JournalClient

log = logging.getLogger("barleywheel")
# Callers may send new set-ups for this long after SIGTERM.
NEW_CALL_PERIOD_S = 0.9
# SIGKILL may follow 0.7 s after the longest call deadline, of which no more than this time counts.
MAX_DEADLINE_S = 3.0
# Calls still open this long after that deadline are rejected, to leave time for sending their answers.
SHUTDOWN_MARGIN_S = 0.4


class Router:
    """One call router. Setting the event ``reload`` makes it read its configuration again with ``load``."""

    def __init__(
        self,
        conf: config.Config,
        operator: config.OperatorConfig,
        load: Callable[[], config.Config] = config.load,
    ) -> None:
        self.deadlines = Deadlines()
        self.facade = ControllerFacade(conf.settings, conf.names, conf.seed, self.deadlines)
        self.established = EstablishedCalls(self.deadlines)
        self.call_manager = CallManager(self.facade, self.deadlines, self.established)
        self.hubs = HubPool(self.call_manager, self.facade, self.deadlines, conf.connect_timeout_us)
        self.call_manager.default_carrier = self.hubs
        self.front = PlatformFront(self.call_manager, self.deadlines, conf.sockets // 2)
        self.journal = JournalClient(conf.journal, self.facade, self.hubs)
        self.stop, self.reload = runtime.event(), runtime.event()
        self.shutdown_s = (
            min(MAX_DEADLINE_S, max(c.deadline_us for c in conf.settings.classes) / 1e6) + SHUTDOWN_MARGIN_S
        )
        self._load = load
        self.snmp = operator.snmp
        self.m3ua: M3uaFront | None = None
        if operator.m3ua is not None:
            self.m3ua = M3uaFront(operator.m3ua, self.call_manager, self.facade, self.deadlines)
            self.established.unknown_release_listeners.append(self.m3ua)
        # Last, since it takes every call: its callers choose their ids themselves.
        self.established.unknown_release_listeners.append(self.front)

    def start(self, conf: config.Config) -> None:
        """Listen and begin to serve; ConfigError if that is not possible."""
        try:
            self.journal.apply(conf.initial_hubs)
            self.front.listen(conf.listen)
            if self.m3ua is not None:
                self.m3ua.listen()
                runtime.spawn(self.m3ua.run, on_error=self._log_component_end)
            if self.snmp is not None:
                from barleywheel.snmp.agent import Agent  # here, since it loads the SNMP library

                agent = Agent(self, self.snmp.listen, self.snmp.community)
                runtime.spawn(agent.run, on_error=self._log_component_end)
        except (KeyError, ValueError, TypeError, OSError) as error:
            raise config.ConfigError(f"can't start: {type(error).__name__}: {error}") from error
        for component_loop in (self.deadlines.run, self.journal.run, self.front.run, self._reload):
            runtime.spawn(component_loop, on_error=self._log_component_end)

    def _reload(self) -> None:
        """Read the configuration whenever ``reload`` is set, and use its address of the journal service."""
        while True:
            self.reload.wait()
            self.reload.clear()
            try:
                conf = self._load()
            except config.ConfigError as error:
                log.warning("configuration not reloaded, keeping the previous one: %s", error)
                continue
            except Exception:  # a defect; a later SIGHUP must still be followed
                log.exception("configuration not reloaded, keeping the previous one")
                continue
            log.info("configuration reloaded: journal=%s", conf.journal)
            self.journal.set_address(conf.journal)

    def _log_component_end(self, greenlet: object) -> None:
        log.critical("router component ended unexpectedly: %s", greenlet)

    def shut_down(self) -> None:
        """Accept set-ups for ``NEW_CALL_PERIOD_S``; reject the calls that are open when the time is over."""
        self.front.shutting_down = True
        deadline_us = now_us() + int(self.shutdown_s * 1e6)
        runtime.sleep(min(NEW_CALL_PERIOD_S, self.shutdown_s))
        self.front.close()
        # Connections are closed as they become idle: a set-up accepted on an open connection at the moment
        # of exit was never answered.
        while (not self.front.close_idle() or self.call_manager.open_calls) and now_us() < deadline_us:
            runtime.sleep(0.02)
        for call in list(self.call_manager.open_calls.values()):
            call.close(Rejection(CAUSE_TEMPORARY_FAILURE))
        runtime.sleep(0.05)
