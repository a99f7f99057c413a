"""Fuzzing engines: generate inputs, run them, and keep those that reach new features."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

from barleywheel.fuzz.corpus import CorpusEntry
from barleywheel.fuzz.rules import Violation
from barleywheel.fuzz.shrink import Input, shrink
from barleywheel.fuzz.source import HypothesisSource, SeededSource, pick
from barleywheel.fuzz.targets import Target

MAX_INPUT_BYTES = 20_000
# One script in this many is followed by the recovery check, which takes far longer than most scripts.
FULL_CHECK_INTERVAL = 8
# On average one input in this many is newly generated; the others are mutations of kept inputs.
NEW_INPUT_INTERVAL = 2
MAX_MUTATED_STEPS = 80
PROGRESS_INTERVAL_S = 0.5
HYPOTHESIS_MAX_EXAMPLES = 1_000_000  # in effect unlimited: the time limit ends the run


@dataclass(frozen=True)
class Finding:
    """A broken rule and the shrunk input that breaks it."""

    target: str
    rule: str
    seen: str
    input: Input


@dataclass
class FuzzProgress:
    """The state of a run: inputs so far, features reached, kept inputs, and findings by rule."""

    inputs: int = 0
    seconds: float = 0.0
    features: dict[str, int] = field(default_factory=dict)
    entries: list[CorpusEntry] = field(default_factory=list)
    findings: dict[str, Finding] = field(default_factory=dict)


def features(reached: dict[str, int]) -> set[str]:
    """The features of an input: each name with its count rounded down to a power of two."""
    return {f"{name} x{1 << (count.bit_length() - 1)}" for name, count in reached.items() if count > 0}


class FuzzSession:
    """Runs one target under the seeded engine, which generates inputs and mutates those with new features."""

    def __init__(self, target: Target, seed: int, corpus: list[CorpusEntry]) -> None:
        self.target, self.progress = target, FuzzProgress()
        self.source = SeededSource(f"{target.name} {seed}")
        self.queue: list[Input] = [entry.input for entry in corpus] + list(target.seeds)
        self.pool: list[Input] = list(self.queue)

    def next_input(self) -> Input:
        """The next input: the corpus and the target's seeds first, then new and mutated inputs."""
        if self.queue:
            return self.queue.pop(0)
        if self.target.make is None:
            return self._mutate_bytes()
        if not self.pool or self.source.below(NEW_INPUT_INTERVAL) == 0:
            return self.target.make(self.source)
        return self._mutate_steps()

    def _mutate_steps(self) -> Input:
        """A kept script with steps removed, repeated, swapped, or inserted from another script."""
        assert self.target.make is not None
        source = self.source
        pool = cast(list[list[Any]], self.pool)
        steps = list(pick(source, pool))
        other = pick(source, pool) if source.below(2) else self.target.make(source)
        for _ in range(1 + source.below(4)):
            at = source.below(len(steps) + 1)
            match source.below(4):
                case 0:
                    del steps[at : at + 1 + source.below(4)]
                case 1:
                    start = source.below(len(other) + 1)
                    steps[at:at] = other[start : start + 1 + source.below(6)]
                case 2 if at < len(steps):
                    steps.insert(source.below(len(steps) + 1), steps[at])
                case _ if at < len(steps) and len(steps) > 1:
                    to = source.below(len(steps))
                    steps[at], steps[to] = steps[to], steps[at]
        return steps[:MAX_MUTATED_STEPS]

    def _mutate_bytes(self) -> bytes:
        """A kept input with bytes changed, removed, or inserted from the target's words or another input."""
        source, words = self.source, self.target.dictionary
        pool = cast(list[bytes], self.pool)
        data = bytearray(pick(source, pool))
        for _ in range(1 + source.below(5)):
            at = source.below(len(data) + 1)
            match source.below(8):
                case 0 if data:
                    data[min(at, len(data) - 1)] = source.below(256)
                case 1:
                    del data[at : at + 1 + source.below(16)]
                case 2 if words:
                    data[at:at] = pick(source, words)
                case 3 if words:
                    word = pick(source, words)
                    data[at : at + len(word)] = word
                case 4:
                    other = pick(source, pool)
                    start = source.below(len(other) + 1)
                    data[at:at] = other[start : start + source.below(200)]
                case 5:
                    data[at:at] = bytes([source.below(256)])
                case 6 if words:  # replace a value up to its delimiter
                    end = at
                    while end < len(data) and data[end] not in b",}]\r\n;":
                        end += 1
                    data[at:end] = pick(source, words)
                case _ if data:
                    data[min(at, len(data) - 1)] ^= 1 << source.below(8)
        return bytes(data[:MAX_INPUT_BYTES])

    def run_one(self) -> Violation | None:
        """Run one input and keep it if it reaches a new feature without a violation.

        Returns its first violation if that rule was not found broken before, and records the shrunk finding.
        """
        fuzz_input = self.next_input()
        quick_check = self.target.quick_check if self.progress.inputs % FULL_CHECK_INTERVAL else None
        violations, reached = quick_check(fuzz_input) if quick_check else self.target.check(fuzz_input)
        self.progress.inputs += 1
        new = [name for name in features(reached) if name not in self.progress.features]
        for name in new:
            self.progress.features[name] = 1
        if new and not violations:
            self.pool.append(fuzz_input)
            self.progress.entries.append(CorpusEntry(fuzz_input, new[0]))
        for violation in violations[:1]:
            if violation.rule not in self.progress.findings:
                self.progress.findings[violation.rule] = shrink_finding(self.target, fuzz_input, violation)
                return violation
        return None

    def run(self, seconds: float, inputs: int, report: Callable[[FuzzProgress], None]) -> FuzzProgress:
        """Run until the time or the number of inputs is reached (0: no limit).

        ``report`` is called with the progress twice a second and at the end.
        """
        start = last_report = time.monotonic()
        while (not inputs or self.progress.inputs < inputs) and (
            not seconds or time.monotonic() - start < seconds
        ):
            self.run_one()
            self.progress.seconds = time.monotonic() - start
            if time.monotonic() - last_report > PROGRESS_INTERVAL_S:
                last_report = time.monotonic()
                report(self.progress)
        report(self.progress)
        return self.progress


def violates(target: Target, rule: str) -> Callable[[Input], bool]:
    """A predicate: whether an input's first violation is of that rule."""

    def fails(fuzz_input: Input) -> bool:
        violations, _ = target.check(fuzz_input)
        return bool(violations) and violations[0].rule == rule

    return fails


def shrink_finding(target: Target, fuzz_input: Input, violation: Violation, seconds: float = 20.0) -> Finding:
    """The finding with its input shrunk, and with what the shrunk input showed."""
    shrunk = shrink(fuzz_input, violates(target, violation.rule), seconds)
    violations, _ = target.check(shrunk)
    seen = violations[0].seen if violations else violation.seen
    return Finding(target.name, violation.rule, seen, shrunk)


def minimise(target: Target, entries: list[CorpusEntry]) -> list[CorpusEntry]:
    """The findings, the hard cases, and the entries with a feature that no smaller entry reaches."""
    covered: set[str] = set()
    kept = []
    for entry in sorted(
        entries, key=lambda entry: (not entry.note.startswith("finding"), len(str(entry.input)))
    ):
        _, reached = target.check(entry.input)
        new = features(reached) - covered
        if new or entry.note.startswith(("finding", "hard case")):
            covered |= new
            kept.append(entry)
    return kept


def hypothesis_run(target: Target, seconds: float, seed: int) -> Iterator[Finding | int]:
    """Run scripts drawn by hypothesis, which shrinks them itself; yields their number, then the findings."""
    import hypothesis
    from hypothesis import strategies

    assert target.make is not None
    make, deadline, count, findings = target.make, time.monotonic() + seconds, 0, {}

    class TimeLimitReached(BaseException):
        """Ends the run at its time limit."""

    def body(data: Any) -> None:
        nonlocal count
        if time.monotonic() > deadline:
            raise TimeLimitReached
        fuzz_input = make(HypothesisSource(data, strategies.integers))
        violations, _ = target.check(fuzz_input)
        count += 1
        if violations:
            findings[violations[0].rule] = Finding(
                target.name, violations[0].rule, violations[0].seen, fuzz_input
            )
            raise AssertionError(violations[0].rule)

    test = hypothesis.seed(seed)(
        hypothesis.settings(
            max_examples=HYPOTHESIS_MAX_EXAMPLES,
            database=None,
            deadline=None,
            print_blob=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        )(hypothesis.given(strategies.data())(body))
    )
    try:
        test()
    except (TimeLimitReached, AssertionError):
        pass
    yield count
    yield from findings.values()
