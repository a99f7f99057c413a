"""Faults of one line, planted in a copy of the program: does the fuzzer find them, and how soon?

Each is a text that stands once in one file, and what takes its place. ``barleywheel fuzz plant`` copies the
package, plants one, and runs its target from an empty corpus. The program itself is never touched.
"""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
GRACE_S = 30.0


@dataclass(frozen=True)
class PlantedFault:
    """One fault: ``old`` in ``file`` becomes ``new``; ``target`` should find it."""

    name: str
    target: str
    file: str
    old: str
    new: str


@dataclass(frozen=True)
class PlantedFaultResult:
    """What became of a plant: the rule that showed it, or "" where none did in the time."""

    fault: PlantedFault
    rule: str
    seen: str
    inputs: int
    seconds: float


class StaleQuoteError(Exception):
    """A plant's text does not stand in its file just once."""


PLANTED_FAULTS = (
    PlantedFault(
        "second answer",
        "router",
        "fronts/platform.py",
        'self.conn.write(jsonlines.encode("down", request.ref, advice, rejection.cause))',
        'self.conn.write(2 * jsonlines.encode("down", request.ref, advice, rejection.cause))',
    ),
    PlantedFault(
        "answer dropped",
        "router",
        "core/call_manager.py",
        "        call.request.origin.reject(call.request, rejection)\n",
        "        call.attempts > 1 or call.request.origin.reject(call.request, rejection)\n",
    ),
    PlantedFault(
        "guard skipped",
        "module",
        "controller.py",
        "elif outcome not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT):",
        "elif outcome not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.RESET):",
    ),
    PlantedFault(
        "drain check skipped",
        "module",
        "controller.py",
        "if x.entry.cell == offer.destination and x.entry.state is api.ExchangeState.READY",
        "if x.entry.cell == offer.destination",
    ),
    PlantedFault(
        "cancel left out",
        "router",
        "core/call_manager.py",
        "if result.status in (AttemptStatus.TIMEOUT, AttemptStatus.CALLER_GONE, AttemptStatus.CLOSED):",
        "if result.status in (AttemptStatus.TIMEOUT, AttemptStatus.CLOSED):",
    ),
    PlantedFault(
        "late answer not undone",
        "router",
        "net/hubs.py",
        "if attempt is None or not attempt.finish(result):\n                conn.write(sip.bye(",
        "if attempt is not None and not attempt.finish(result):\n                conn.write(sip.bye(",
    ),
    PlantedFault(
        "description cut",
        "router",
        "net/hubs.py",
        "AttemptStatus.ANSWERED, load=load, description=message.body, at_us=now_us()",
        "AttemptStatus.ANSWERED, load=load, description=message.body[:-1], at_us=now_us()",
    ),
    PlantedFault(
        "circuit not freed",
        "circuits",
        "fronts/m3ua.py",
        "if circuit.state in (CircuitState.RELEASING, CircuitState.BLOCKED) and not circuit.rel_queued:",
        "if circuit.state is CircuitState.BLOCKED and not circuit.rel_queued:",
    ),
    PlantedFault(
        "circuit given twice",
        "circuits",
        "fronts/m3ua.py",
        "if circuit.state is CircuitState.IDLE]\n        return min(",
        "if circuit.state is not CircuitState.OUTGOING]\n        return min(",
    ),
    PlantedFault(
        "release of a standing call not passed on",
        "circuits",
        "fronts/m3ua.py",
        "                self.call_manager.established.release_from_caller(ref, cause)",
        "                pass",
    ),
    PlantedFault(
        "length off by one",
        "sip",
        "wire/sip.py",
        "message.body = buffer.take(size)[end + 4 :]",
        "message.body = buffer.take(size)[end + 3 :]",
    ),
    PlantedFault(
        "deep nesting not caught",
        "jsonlines",
        "wire/jsonlines.py",
        "except (ValueError, RecursionError) as error:",
        "except ValueError as error:",
    ),
    PlantedFault(
        "padding forgotten",
        "m3ua",
        "wire/m3ua.py",
        "body += PARAMETER_HEADER.pack(tag, size) + value + bytes(-size % 4)",
        "body += PARAMETER_HEADER.pack(tag, size + size % 2) + value + bytes(-size % 4)",
    ),
    PlantedFault(
        "optional parameter cut",
        "isup",
        "wire/isup.py",
        "value = data[offset + 2 : offset + 2 + data[offset + 1]]\n",
        "value = data[offset + 2 : offset + 1 + data[offset + 1]]\n",
    ),
    PlantedFault(
        "ids kept for ever",
        "router",
        "core/release.py",
        "self._deadlines.schedule(now_us() + ENDED_TTL_US, lambda: self.recently_ended.discard(ref))",
        "pass",
    ),
    PlantedFault(
        "released twice",
        "router",
        "core/release.py",
        "leg = self.legs.pop(ref, None)\n        if leg is not None:\n            self.remember_ended(ref)",
        "leg = self.legs.get(ref)\n        if leg is not None:\n            self.remember_ended(ref)",
    ),
    PlantedFault(
        "deadline ignored",
        "router",
        "core/call_manager.py",
        "attempt.started_us + attempt.limit_us,\n",
        "attempt.started_us + 9 * attempt.limit_us,\n",
    ),
    PlantedFault(
        "attempts without end",
        "module",
        "controller.py",
        "offer.destination != self.settings.home_cell and (cap is None or call.attempts < cap):",
        "offer.destination != self.settings.home_cell:",
    ),
    PlantedFault(
        "journal's reader ends",
        "router",
        "net/journal.py",
        "POLL_ERRORS = (OSError, ValueError, Malformed, ",
        "POLL_ERRORS = (OSError, ValueError, ",
    ),
    PlantedFault(
        "nesting unchecked",
        "config",
        "config.py",
        "except (ValueError, RecursionError) as error:",
        "except ValueError as error:",
    ),
)


def copy_with_fault(fault: PlantedFault, folder: Path) -> Path:
    """A copy of the package with the fault in it; StaleQuoteError where its text does not stand once."""
    shutil.copytree(PACKAGE, folder / "barleywheel", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "barleywheel" / fault.file
    text = path.read_text()
    if text.count(fault.old) != 1:
        raise StaleQuoteError(f"{fault.name}: its text stands {text.count(fault.old)} times in {fault.file}")
    path.write_text(text.replace(fault.old, fault.new))
    return folder


def run_planted_fault(fault: PlantedFault, seconds: float, seed: int) -> PlantedFaultResult:
    """Run a plant's target until a rule breaks or the time is over."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = copy_with_fault(fault, Path(scratch))
        done = subprocess.run(
            [sys.executable, "-m", "barleywheel.fuzz.plants", fault.target, str(seconds), str(seed)],
            cwd=folder,
            env=os.environ | {"PYTHONPATH": str(folder)},
            text=True,
            capture_output=True,
            timeout=seconds + GRACE_S,
        )
    try:
        rule, seen, inputs, took = json.loads(done.stdout.splitlines()[-1])
    except (ValueError, IndexError):
        rule, seen, inputs, took = "worker died", done.stderr[-300:], 0, 0.0
    return PlantedFaultResult(fault, rule, seen, inputs, took)


def run_planted_faults(
    faults: list[PlantedFault], seconds: float, seed: int, jobs: int
) -> Iterator[PlantedFaultResult]:
    """All of them, so many at a time, in the order in which they are done."""
    with ThreadPoolExecutor(jobs) as pool:
        for future in as_completed(
            [pool.submit(run_planted_fault, fault, seconds, seed) for fault in faults]
        ):
            yield future.result()


def main() -> None:
    """The process that looks for one plant: target, seconds, seed."""
    import time

    from barleywheel.fuzz.engine import FULL_CHECK_INTERVAL, FuzzSession
    from barleywheel.fuzz.targets import TARGETS

    target, seconds, seed = TARGETS[sys.argv[1]], float(sys.argv[2]), int(sys.argv[3])
    session, start, count = FuzzSession(target, seed, []), time.monotonic(), 0
    while time.monotonic() - start < seconds:
        fuzz_input = session.next_input()
        violations, _ = (
            target.quick_check(fuzz_input)
            if target.quick_check and count % FULL_CHECK_INTERVAL
            else target.check(fuzz_input)
        )
        count += 1
        if violations:
            print(json.dumps([violations[0].rule, violations[0].seen, count, time.monotonic() - start]))
            return
    print(json.dumps(["", "", count, seconds]))


if __name__ == "__main__":
    main()
