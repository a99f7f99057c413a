"""Entry point: runs the call router until SIGTERM or SIGINT, or one of the command-line tools."""

from __future__ import annotations

import argparse
import logging
import signal
import sys

import gevent

from barleywheel import config
from barleywheel.router import Router

log = logging.getLogger("barleywheel")
TOOL_COMMANDS = {"fuzz"}  # any other command line starts the router


def parse_arguments() -> argparse.Namespace:
    """Parse the command line of the router."""
    parser = argparse.ArgumentParser(prog="barleywheel", description="A call router.")
    parser.add_argument("extras", nargs="?", help="an operator's file, such as deploy/m3ua.toml")
    return parser.parse_args()


def main() -> int:
    """Run the tool that the command line names, or the router."""
    if sys.argv[1:] and sys.argv[1] in TOOL_COMMANDS:
        try:
            from barleywheel.cli import app  # here, since the router runs without its libraries
        except ImportError as error:
            print(
                f"barleywheel: the tools are not installed ({error}); pip install 'barleywheel[tools]'",
                file=sys.stderr,
            )
            return 2
        app()
    return serve()


def serve() -> int:
    """Run the router until it is stopped; return the exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        conf, operator = config.load(), config.load_operator_config(parse_arguments().extras)
        router = Router(conf, operator)
        # SIGHUP is handled before the start, since by default it would end the process.
        gevent.signal_handler(signal.SIGHUP, router.reload.set)
        gevent.signal_handler(signal.SIGTERM, router.stop.set)
        gevent.signal_handler(signal.SIGINT, router.stop.set)
        router.start(conf)
    except config.ConfigError as error:
        print(f"barleywheel: {error}", file=sys.stderr)
        return 2
    log.info("serving: name=%s listen=%s hubs=%d", conf.name, conf.listen, len(router.facade.entries))
    router.stop.wait()
    log.info(
        "shutting down: open=%d standing=%d",
        len(router.call_manager.open_calls),
        len(router.established.legs),
    )
    router.shut_down()
    log.info(
        "shut down: open=%d standing=%d", len(router.call_manager.open_calls), len(router.established.legs)
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
