"""Engines: where inputs come from, and what is learnt from what they reached."""

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
# Every so many'th script is followed by the long spell in which all must be well again.
FULL_CHECK_INTERVAL = 8
NEW_INPUT_INTERVAL = 2  # every so many'th input is new; the others are kept ones, changed


@dataclass(frozen=True)
class Finding:
    """A rule that an input breaks, the input made small."""

    target: str
    rule: str
    seen: str
    input: Input


@dataclass
class FuzzProgress:
    """How many inputs, and what they reached."""

    inputs: int = 0
    seconds: float = 0.0
    features: dict[str, int] = field(default_factory=dict)
    entries: list[CorpusEntry] = field(default_factory=list)
    findings: dict[str, Finding] = field(default_factory=dict)


def features(reached: dict[str, int]) -> set[str]:
    """What an input reached, counts by powers of two."""
    return {f"{name} x{1 << (count.bit_length() - 1)}" for name, count in reached.items() if count > 0}


class FuzzSession:
    """One target under the seeded engine: new inputs, and changes of those that reached something new."""

    def __init__(self, target: Target, seed: int, corpus: list[CorpusEntry]) -> None:
        self.target, self.progress = target, FuzzProgress()
        self.source = SeededSource(f"{target.name} {seed}")
        self.queue: list[Input] = [entry.input for entry in corpus] + list(target.seeds)
        self.pool: list[Input] = list(self.queue)

    def next_input(self) -> Input:
        """The next input: the corpus first."""
        if self.queue:
            return self.queue.pop(0)
        if self.target.make is None:
            return self._mutate_bytes()
        if not self.pool or self.source.below(NEW_INPUT_INTERVAL) == 0:
            return self.target.make(self.source)
        return self._mutate_steps()

    def _mutate_steps(self) -> Input:
        """Some steps of one script, and of another; some of them twice, some gone."""
        assert self.target.make is not None
        source = self.source
        pool = cast(list[list[Any]], self.pool)
        old = list(pick(source, pool))
        other = pick(source, pool) if source.below(2) else self.target.make(source)
        for _ in range(1 + source.below(4)):
            at = source.below(len(old) + 1)
            match source.below(4):
                case 0:
                    del old[at : at + 1 + source.below(4)]
                case 1:
                    start = source.below(len(other) + 1)
                    old[at:at] = other[start : start + 1 + source.below(6)]
                case 2 if at < len(old):
                    old.insert(source.below(len(old) + 1), old[at])
                case _ if at < len(old) and len(old) > 1:
                    to = source.below(len(old))
                    old[at], old[to] = old[to], old[at]
        return old[:80]

    def _mutate_bytes(self) -> bytes:
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
                case 6 if words:  # a value in place of another: between two marks of a text
                    end = at
                    while end < len(data) and data[end] not in b",}]\r\n;":
                        end += 1
                    data[at:end] = pick(source, words)
                case _ if data:
                    data[min(at, len(data) - 1)] ^= 1 << source.below(8)
        return bytes(data[:MAX_INPUT_BYTES])

    def run_one(self) -> Violation | None:
        """Run one input; the first violation of a rule that was not yet found broken, shrunk and noted."""
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
        """Run for so long, or for so many inputs (0: no bound); ``report`` hears twice a second."""
        start = last_report = time.monotonic()
        while (not inputs or self.progress.inputs < inputs) and (
            not seconds or time.monotonic() - start < seconds
        ):
            self.run_one()
            self.progress.seconds = time.monotonic() - start
            if time.monotonic() - last_report > 0.5:
                last_report = time.monotonic()
                report(self.progress)
        report(self.progress)
        return self.progress


def violates(target: Target, rule: str) -> Callable[[Input], bool]:
    """Whether an input breaks that rule first."""

    def fails(fuzz_input: Input) -> bool:
        violations, _ = target.check(fuzz_input)
        return bool(violations) and violations[0].rule == rule

    return fails


def shrink_finding(target: Target, fuzz_input: Input, violation: Violation, seconds: float = 20.0) -> Finding:
    """A finding, its input made small."""
    small = shrink(fuzz_input, violates(target, violation.rule), seconds)
    violations, _ = target.check(small)
    seen = violations[0].seen if violations else violation.seen
    return Finding(target.name, violation.rule, seen, small)


def minimise(target: Target, entries: list[CorpusEntry]) -> list[CorpusEntry]:
    """Those that reach something which no smaller one reaches, and the findings and hard cases."""
    seen: set[str] = set()
    chosen = []
    for one in sorted(entries, key=lambda one: (not one.note.startswith("finding"), len(str(one.input)))):
        _, reached = target.check(one.input)
        new = features(reached) - seen
        if new or one.note.startswith(("finding", "hard case")):
            seen |= new
            chosen.append(one)
    return chosen


def hypothesis_run(target: Target, seconds: float, seed: int) -> Iterator[Finding | int]:
    """The same scripts drawn by hypothesis, which shrinks by itself: how many, then the findings."""
    import hypothesis
    from hypothesis import strategies

    assert target.make is not None
    make, until, count, findings = target.make, time.monotonic() + seconds, 0, {}

    class TimeLimitReached(BaseException):
        """The time is over."""

    def body(data: Any) -> None:
        nonlocal count
        if time.monotonic() > until:
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
            max_examples=1_000_000,
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
