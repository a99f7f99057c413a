"""The parts of one call router, put together: start, follow the configuration, leave."""

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
ACCEPT_S = 0.9  # how long after SIGTERM new set-ups may still come
LONGEST_S = 3.0  # SIGKILL may follow 0.7 s after the longest deadline, which counts as no more than this
# What is left this long after that deadline is failed at once: the answers need time to go.
SHUTDOWN_MARGIN_S = 0.4


class Router:
    """One call router. ``reload`` is set where the configuration is to be read again by ``load``."""

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
        self.established.unknown_release_listener = self.front
        self.journal = JournalClient(conf.journal, self.facade, self.hubs)
        self.stop, self.reload = runtime.event(), runtime.event()
        self.shutdown_s = (
            min(LONGEST_S, max(c.deadline_us for c in conf.settings.classes) / 1e6) + SHUTDOWN_MARGIN_S
        )
        self._load = load
        self.snmp = operator.snmp
        self.m3ua: M3uaFront | None = None
        if operator.m3ua is not None:
            self.m3ua = M3uaFront(operator.m3ua, self.call_manager, self.facade, self.deadlines)

    def start(self, conf: config.Config) -> None:
        """Listen and begin to serve; ConfigError where that can't be."""
        try:
            self.journal.apply(*conf.initial_hubs)
            self.front.listen(conf.listen)
            if self.m3ua is not None:
                self.m3ua.listen()
                runtime.spawn(self.m3ua.run, on_error=self._broken)
            if self.snmp is not None:
                from barleywheel.snmp.agent import Agent  # only here: it loads a library of its own

                agent = Agent(self, self.snmp.listen, self.snmp.community)
                runtime.spawn(agent.run, on_error=self._broken)
        except (KeyError, ValueError, TypeError, OSError) as error:
            raise config.ConfigError(f"can't start: {type(error).__name__}: {error}") from error
        for part in (self.deadlines.run, self.journal.run, self.front.run, self._reload):
            runtime.spawn(part, on_error=self._broken)

    def _reload(self) -> None:
        """Read the configuration again whenever that is asked for, and follow a journal that moved."""
        while True:
            self.reload.wait()
            self.reload.clear()
            try:
                conf = self._load()
            except config.ConfigError as error:
                log.warning("configuration not reloaded, the old one stays: %s", error)
                continue
            log.info("configuration reloaded: journal=%s", conf.journal)
            self.journal.set_address(conf.journal)

    def _broken(self, greenlet: object) -> None:
        log.critical("a part of the router ended: %s", greenlet)

    def shut_down(self) -> None:
        """Finish what is taken: callers may still send for a while."""
        self.front.shutting_down = True
        until = now_us() + int(self.shutdown_s * 1e6)
        runtime.sleep(min(ACCEPT_S, self.shutdown_s))
        self.front.close()
        # Guards set-ups that still come on open connections: one taken as we went was never answered.
        while (not self.front.close_idle() or self.call_manager.open_calls) and now_us() < until:
            runtime.sleep(0.02)
        for call in list(self.call_manager.open_calls.values()):
            call.close(Rejection(CAUSE_TEMPORARY_FAILURE))
        runtime.sleep(0.05)
