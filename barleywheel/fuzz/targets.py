"""The fuzz targets: parsers, which take bytes, and state machines, which take scripts."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from barleywheel import config
from barleywheel.core.deadlines import Deadlines
from barleywheel.facade import ControllerFacade
from barleywheel.fuzz import codecs, module, scripts
from barleywheel.fuzz.rules import Violation
from barleywheel.fuzz.shrink import Input
from barleywheel.fuzz.source import Source
from barleywheel.net.buffer import Buffer
from barleywheel.net.journal import POLL_ERRORS, JournalClient, Poller
from barleywheel.standins import caller, exchange
from barleywheel.virtual import environment
from barleywheel.wire import sip

CheckResult = tuple[list[Violation], dict[str, int]]  # and how often each feature was reached


@dataclass(frozen=True)
class Target:
    """A parser or state machine to fuzz.

    ``make`` generates a script, for targets whose inputs are scripts; ``seeds`` and the ``dictionary`` of
    tokens to insert are for targets whose inputs are bytes.
    """

    name: str
    description: str
    run: Callable[[Any], CheckResult]
    make: Callable[[Source], list[list[Any]]] | None = None
    seeds: tuple[bytes, ...] = ()
    dictionary: tuple[bytes, ...] = ()
    quick_check: Callable[[Any], CheckResult] | None = None  # a shorter check, used for most inputs of a run

    def check(self, fuzz_input: Input) -> CheckResult:
        """Run one input; a RecursionError is a violation too, also one raised in the test harness."""
        try:
            return self.run(fuzz_input)
        except RecursionError as error:
            return [Violation("recursion", str(error))], {}


def _count_violated_rules(check: Callable[[bytes], list[Violation]]) -> Callable[[bytes], CheckResult]:
    def run(data: bytes) -> CheckResult:
        violations = check(data)
        return violations, {violation.rule: 1 for violation in violations}

    return run


class PieceSocket:
    """A socket that delivers the given pieces, one per read, and then the end of the stream."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = [piece for piece in pieces if piece]

    def settimeout(self, seconds: float | None) -> None:
        """Ignored: reads never block."""

    def recv_into(self, view: memoryview) -> int:
        """Deliver the next piece, or as much of it as fits into the view."""
        if not self._pieces:
            return 0
        piece = self._pieces.pop(0)
        count = min(len(piece), len(view))
        view[:count] = piece[:count]
        if count < len(piece):
            self._pieces.insert(0, piece[count:])
        return count


class NullHubPool:
    """A stand-in for ``HubPool`` that ignores the hub list."""

    def update(self, endpoints: list[Any], is_snapshot: bool) -> None:
        """See ``HubPool``."""


def check_http(data: bytes) -> CheckResult:
    """Check journal responses: any bytes are events, or an error after which the client opens a new poll."""
    conf = environment.base_config()
    reached: dict[str, int] = {}
    for pieces in ([data], codecs.split_pieces(data)):
        facade = ControllerFacade(conf.settings, conf.names, 1, Deadlines())
        journal = JournalClient("10.2.0.1:1", facade, NullHubPool())  # type: ignore[arg-type]
        try:
            reusable = Poller(journal).read_response(PieceSocket(pieces), Buffer())  # type: ignore[arg-type]
            feature = f"again: {reusable}" if len(pieces) < 2 else "again"
        except POLL_ERRORS as error:
            feature = type(error).__name__
        except Exception as error:
            return [Violation("parser raised", f"{type(error).__name__}: {str(error)[:200]}")], {}
        reached[feature] = 1
    return [], reached


def check_config(data: bytes) -> CheckResult:
    """Check the platform's configuration: any bytes are a configuration or raise ConfigError."""
    try:
        conf = config.parse(data, "fuzz", {})
        ControllerFacade(conf.settings, conf.names, conf.seed, Deadlines())
        return [], {"accepted": 1}
    except config.ConfigError:
        return [], {"refused": 1}
    except Exception as error:
        return [Violation("parser raised", f"{type(error).__name__}: {str(error)[:200]}")], {}


def check_toml(data: bytes) -> CheckResult:
    """Check the operator's configuration file: any bytes allow a clean start or raise ConfigError."""
    try:
        operator_config = config.parse_operator_config(data, "fuzz")
    except config.ConfigError:
        return [], {"refused": 1}
    except Exception as error:
        return [Violation("parser raised", f"{type(error).__name__}: {str(error)[:200]}")], {}
    runner = scripts.ScriptRunner()
    runner.env.operator_config = operator_config
    violations = []
    try:
        with runner.env:
            runner.env.run(3_000_000)
            violations = [
                Violation("greenlet ended", repr(error)) for error in runner.env.runtime.uncaught_errors
            ]
            violations += [Violation("logged at ERROR", line) for line in runner.env.log_recorder.errors]
    except config.ConfigError:
        return [], {"can't start": 1}
    except Exception as error:
        return [Violation("start raised", f"{type(error).__name__}: {str(error)[:200]}")], {}
    return violations, {"accepted": 1}


@functools.cache
def _shared_agent() -> Any:
    from barleywheel.snmp.agent import Agent

    runner = scripts.ScriptRunner()
    runner.env.__enter__()
    agent = Agent(runner.env.router, "10.0.0.4:1162", "public")
    runner.env.__exit__()
    return agent


def check_snmp(data: bytes) -> CheckResult:
    """Check datagrams to the SNMP agent: any bytes get one UDP datagram as an answer, or no answer."""
    try:
        answer = _shared_agent().answer(data)
    except Exception as error:
        return [Violation("parser raised", f"{type(error).__name__}: {str(error)[:200]}")], {}
    if answer is not None and len(answer) > 65507:
        return [Violation("answer too large", f"{len(answer)} bytes for a request of {len(data)}")], {}
    return [], {"answered" if answer else "dropped": 1}


def quick_check(steps: list[list[Any]]) -> CheckResult:
    """Run a script without the long final phase in which the router must recover."""
    return scripts.run_script(steps, thorough=False)


def make_circuit_script(source: Source) -> list[list[Any]]:
    """Generate a script of events on an exchange's link and circuits, with a few calls to that exchange."""
    steps: list[list[Any]] = [["link", "up"]]
    for _ in range(1 + source.below(40)):
        step_kind = (
            "iam",
            "iam",
            "new",
            "anm",
            "rel",
            "rel",
            "rlc",
            "exchange",
            "link",
            "frame",
            "down",
            "bye",
            "mode",
            "wait",
            "wait",
        )[source.below(15)]
        step = [step_kind, *scripts.STEP_MAKERS[step_kind](source)]
        if step_kind == "new":
            step[3] = environment.EXCHANGE_CELL
        steps.append(step)
    return steps


SNMP_DATAGRAM = bytes.fromhex(
    "302602010104067075626c6963a019020101020100020100300e300c06082b060102010101000500"
)
HTTP_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
JOURNAL_EVENTS = json.dumps(
    {
        "pos": 2,
        "entries": [
            {
                "pos": 1,
                "hosts": {
                    "snapshot": True,
                    "endpoints": [
                        environment.hub_endpoint("h1"),
                        environment.hub_endpoint("h2", "Terminating", 5),
                    ],
                },
            },
            {"pos": 2, "hosts": {"endpoints": [environment.hub_endpoint("h1", "Gone")]}},
        ],
    }
).encode()
PLATFORM_CONFIG = json.dumps(
    {
        "name": "n3",
        "listen": "10.0.0.4:3868",
        "seed": "8c",
        "journal": "10.2.0.1:2379",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 4096},
        "known": {"pos": 0, "entries": []},
        "settings": environment.SETTINGS,
    }
).encode()

TARGETS = {
    target.name: target
    for target in (
        Target(
            "jsonlines",
            "JSON lines from callers, unsplit and split",
            _count_violated_rules(codecs.check_jsonlines),
            seeds=(
                caller.encode_setup("9b1f03aa5c7e2d41", 2, b"v=0\r\n\xff\xfe"),
                caller.encode_message("down", "9b1f03aa5c7e2d41", c=16),
                caller.encode_message("hb", "1", c=0),
                b"\n\n{}\n",
            ),
            dictionary=(
                b'"t":"new"',
                b'"ref":',
                b'"f":{',
                b'"d":"',
                b"\\ud800",
                b"\xed\xa0\x80",
                b"\n",
                b"1e999",
                b"NaN",
                b"Infinity",
                b"true",
                b"null",
                b"[" * 2000,
                b"9" * 5000,
                b"x" * 16384,
                b"dest:1;width:1;via:-1",
            ),
        ),
        Target(
            "sip",
            "SIP messages from hubs, unsplit and split",
            _count_violated_rules(codecs.check_sip),
            seeds=(
                sip.invite("9b1f03aa5c7e2d41", 1, "7f3a", "voice", 1500, b"v=0\r\n"),
                b"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP p\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n"
                b"X-State: x0:12;x1:40;queue:3\r\nContent-Length: 3\r\n\r\nabc",
                sip.bye("9b1f03aa5c7e2d41", 2, "7f3a", 41),
            ),
            dictionary=(
                b"SIP/2.0 ",
                b"\r\n\r\n",
                b"\r\n",
                b"Content-Length: ",
                b"CSeq: ",
                b"Reason: Q.850;cause=",
                b"X-State: ",
                b"l: ",
                b"i: ",
                b"\r\n ",
                b"9" * 5000,
                b"3000000000",
                b"\x00",
                b"\xff",
                b"inf",
                b"nan",
                b"X: " + b"y" * 8000 + b"\r\n",
            ),
        ),
        Target(
            "m3ua",
            "M3UA messages from exchanges, unsplit and split, with the ISUP in them",
            _count_violated_rules(codecs.check_m3ua),
            seeds=(
                exchange.encode_iam(1, b"v=0"),
                exchange.encode_anm(2, b"v=0"),
                exchange.encode_rel(3, 41),
                exchange.encode(exchange.ASPUP, {0x11: b"\0\0\0\1"}),
                exchange.encode(exchange.DUNA, {0x12: b"\0\0\0\xc8"}),
            ),
            dictionary=(
                b"\x01\x00\x01\x01",
                b"\x02\x10",
                b"\x00\x06\x00\x08",
                b"\x00\x00\x40\x00",
                b"\xff\xff",
            ),
        ),
        Target(
            "isup",
            "a single ISUP message",
            _count_violated_rules(codecs.check_isup),
            seeds=tuple(
                m3ua_message[36:]  # the ISUP message
                for m3ua_message in (
                    exchange.encode_iam(1, b"v=0"),
                    exchange.encode_anm(2, b"v=0"),
                    exchange.encode_rel(3, 41),
                    exchange.encode_data(1, 16),
                    exchange.encode_data(1, 18),
                )
            ),
            dictionary=(b"\x20", b"\x00", b"\xff", b"\x02\x0a"),
        ),
        Target(
            "snmp",
            "datagrams to the SNMP agent",
            check_snmp,
            seeds=(SNMP_DATAGRAM,),
            dictionary=(
                b"\x30\x80",
                b"\x06\x08",
                b"\xa0",
                b"\xa1",
                b"\xa5",
                b"\x84\xff\xff\xff\xff",
                b"\x30" * 200,
            ),
        ),
        Target(
            "http",
            "HTTP responses of the journal",
            check_http,
            seeds=(
                HTTP_RESPONSE % (len(JOURNAL_EVENTS), JOURNAL_EVENTS),
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            ),
            dictionary=(
                b'"pos":',
                b"1e999",
                b"null",
                b"[]",
                b"{}",
                b"-1",
                b'"endpoints":',
                b"Content-Length: ",
                b"\r\n\r\n",
                b"Transfer-Encoding: chunked",
                b"101 Switching",
                b"Upgrade: x\r\nConnection: Upgrade\r\n",
            ),
        ),
        Target(
            "config",
            "the platform's configuration",
            check_config,
            seeds=(PLATFORM_CONFIG,),
            dictionary=(
                b"1e999",
                b"null",
                b"[]",
                b"{}",
                b"-1",
                b"NaN",
                b'"x"',
                b"[" * 3000,
                b"9" * 5000,
                b"true",
                b"0",
            ),
        ),
        Target(
            "toml",
            "the operator's configuration file, and a start of the router with it",
            check_toml,
            seeds=(environment.OPERATOR_TOML.encode(),),
            dictionary=(
                b"1e999",
                b"nan",
                b"-1",
                b"0",
                b'""',
                b"[]",
                b"{}",
                b"99999999999",
                b'"0-99999999999"',
                b"true",
                b"[m3ua]",
                b"[snmp]",
                b"[[m3ua.peer]]",
                b"inf",
                b'"1-8,2"',
                b"= 0\n",
            ),
        ),
        Target(
            "module",
            "the decision module, with legal events in any order",
            module.run_script,
            module.make_script,
        ),
        Target(
            "circuits",
            "the signalling link and circuits of one exchange",
            scripts.run_script,
            make_circuit_script,
            quick_check=quick_check,
        ),
        Target(
            "router",
            "the whole router: callers, hubs, journal, exchange, SNMP agent, signals",
            scripts.run_script,
            scripts.make_script,
            quick_check=quick_check,
        ),
    )
}
