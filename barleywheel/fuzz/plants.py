"""Planted faults: small changes to a copy of the program that show whether the fuzzer finds such faults.

A planted fault is a piece of program text that occurs exactly once in one file, and its replacement.
``barleywheel fuzz plant`` copies the package, applies one fault to the copy, and runs the fault's target from
an empty corpus until a rule is violated. It reports the rule and the time taken. The program itself is never
modified.
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

PACKAGE_FOLDER = Path(__file__).parent.parent
WORKER_GRACE_S = 30.0  # for a worker process to start and to finish its last input


@dataclass(frozen=True)
class PlantedFault:
    """Replaces ``old`` with ``new`` in ``file``; fuzzing ``target`` should find the fault."""

    name: str
    target: str
    file: str
    old: str
    new: str


@dataclass(frozen=True)
class PlantedFaultResult:
    """Whether a fault was found: the violated rule, or "" if none was violated within the time limit."""

    fault: PlantedFault
    rule: str
    detail: str
    inputs: int
    seconds: float


class StaleQuoteError(Exception):
    """The text that a planted fault replaces does not occur exactly once in its file."""


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
        "core/expiring_ids.py",
        "while self._expires_us and next(iter(self._expires_us.values())) <= now:",
        "while False:",
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
        "    Malformed,\n    UnusableResponseError,\n",
        "    UnusableResponseError,\n",
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
    """Copy the package to a folder and apply the fault; StaleQuoteError if its text is not there once."""
    shutil.copytree(PACKAGE_FOLDER, folder / "barleywheel", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "barleywheel" / fault.file
    text = path.read_text()
    if text.count(fault.old) != 1:
        raise StaleQuoteError(
            f"{fault.name}: replaced text occurs {text.count(fault.old)} times in {fault.file}"
        )
    path.write_text(text.replace(fault.old, fault.new))
    return folder


def run_planted_fault(fault: PlantedFault, seconds: float, seed: int) -> PlantedFaultResult:
    """Fuzz a faulty copy until a rule is violated or the time limit is reached."""
    with tempfile.TemporaryDirectory() as scratch_folder:
        folder = copy_with_fault(fault, Path(scratch_folder))
        process = subprocess.run(
            [sys.executable, "-m", "barleywheel.fuzz.plants", fault.target, str(seconds), str(seed)],
            cwd=folder,
            env=os.environ | {"PYTHONPATH": str(folder)},
            text=True,
            capture_output=True,
            timeout=seconds + WORKER_GRACE_S,
        )
    try:
        rule, detail, inputs, elapsed_s = json.loads(process.stdout.splitlines()[-1])
    except (ValueError, IndexError):
        rule, detail, inputs, elapsed_s = "worker died", process.stderr[-300:], 0, 0.0
    return PlantedFaultResult(fault, rule, detail, inputs, elapsed_s)


def run_planted_faults(
    faults: list[PlantedFault], seconds: float, seed: int, jobs: int
) -> Iterator[PlantedFaultResult]:
    """Run planted faults, ``jobs`` at a time; yields results in the order in which they finish."""
    with ThreadPoolExecutor(jobs) as pool:
        for future in as_completed(
            [pool.submit(run_planted_fault, fault, seconds, seed) for fault in faults]
        ):
            yield future.result()


def main() -> None:
    """Entry point of the worker process. Arguments: target, time limit in seconds, seed."""
    import time

    from barleywheel.fuzz.engine import FULL_CHECK_INTERVAL, FuzzSession
    from barleywheel.fuzz.targets import TARGETS

    target, seconds, seed = TARGETS[sys.argv[1]], float(sys.argv[2]), int(sys.argv[3])
    session, start_s, input_count = FuzzSession(target, seed, []), time.monotonic(), 0
    while time.monotonic() - start_s < seconds:
        fuzz_input = session.next_input()
        violations, _ = (
            target.quick_check(fuzz_input)
            if target.quick_check and input_count % FULL_CHECK_INTERVAL
            else target.check(fuzz_input)
        )
        input_count += 1
        if violations:
            print(
                json.dumps([violations[0].rule, violations[0].seen, input_count, time.monotonic() - start_s])
            )
            return
    print(json.dumps(["", "", input_count, seconds]))


if __name__ == "__main__":
    main()
