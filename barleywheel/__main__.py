"""One real call router as a process: start, serve, and leave at SIGTERM."""

from __future__ import annotations

import argparse
import logging
import signal
import sys

import gevent

from barleywheel import config
from barleywheel.router import Router

log = logging.getLogger("barleywheel")
COMMANDS = {"fuzz"}  # the tools; anything else on the command line starts the router


def arguments() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(prog="barleywheel", description="A call router.")
    parser.add_argument("extras", nargs="?", help="an operator's file, such as deploy/m3ua.toml")
    return parser.parse_args()


def main() -> int:
    """Start what the command line asks for."""
    if sys.argv[1:] and sys.argv[1] in COMMANDS:
        try:
            from barleywheel.cli import app  # only here: it loads libraries that the router does without
        except ImportError as error:
            print(
                f"barleywheel: the tools are not installed ({error}); pip install 'barleywheel[tools]'",
                file=sys.stderr,
            )
            return 2
        app()
    return serve()


def serve() -> int:
    """Route calls until told to stop."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        conf, operator = config.load(), config.load_operator_config(arguments().extras)
        router = Router(conf, operator)
        gevent.signal_handler(signal.SIGHUP, router.reload.set)  # before the start: it must never end us
        gevent.signal_handler(signal.SIGTERM, router.stop.set)
        gevent.signal_handler(signal.SIGINT, router.stop.set)
        router.start(conf)
    except config.ConfigError as error:
        print(f"barleywheel: {error}", file=sys.stderr)
        return 2
    log.info("serving: name=%s listen=%s hubs=%d", conf.name, conf.listen, len(router.facade.entries))
    router.stop.wait()
    log.info(
        "leaving: open=%d standing=%d", len(router.call_manager.open_calls), len(router.established.legs)
    )
    router.shut_down()
    log.info("left: open=%d standing=%d", len(router.call_manager.open_calls), len(router.established.legs))
    return 0


if __name__ == "__main__":
    sys.exit(main())
