"""One process of a fuzz run: targets in turn, news as JSON lines on standard output.

A process of its own keeps a crash or a hang from ending the run, and atheris needs one anyway: its engine
never returns.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

from barleywheel.fuzz import corpus
from barleywheel.fuzz.engine import Finding, FuzzProgress, FuzzSession, hypothesis_run, shrink_finding
from barleywheel.fuzz.targets import TARGETS, Target


def send_message(**news: Any) -> None:
    """One line of news."""
    sys.stdout.write(json.dumps(news) + "\n")
    sys.stdout.flush()


def report_finding(found: Finding) -> None:
    """News of a finding."""
    send_message(finding=found.rule, target=found.target, seen=found.seen, **corpus.to_json(found.input))


def report_progress(target: Target, done: FuzzProgress) -> None:
    """News of how far a target is."""
    send_message(target=target.name, inputs=done.inputs, seconds=done.seconds, reached=len(done.features))


def fuzz_seeded(
    target: Target, seed: int, seconds: float, inputs: int, entries: list[corpus.CorpusEntry]
) -> None:
    """The engine of our own."""
    session, told = FuzzSession(target, seed, entries), set()

    def report(done: FuzzProgress) -> None:
        report_progress(target, done)
        for rule, found in done.findings.items():
            if rule not in told:
                told.add(rule)
                report_finding(found)

    done = session.run(seconds, inputs, report)
    send_message(
        target=target.name, kept=[{"note": one.note, **corpus.to_json(one.input)} for one in done.entries]
    )


def fuzz_with_hypothesis(target: Target, seed: int, seconds: float) -> None:
    """hypothesis' engine, for scripts."""
    start = time.monotonic()
    for news in hypothesis_run(target, seconds, seed):
        if isinstance(news, Finding):
            report_finding(news)
        else:
            report_progress(target, FuzzProgress(news, time.monotonic() - start))


def fuzz_with_atheris(
    target: Target, seed: int, seconds: float, entries: list[corpus.CorpusEntry], folder: Path
) -> None:
    """atheris' engine, for bytes: guided by the lines that an input reaches. Does not return."""
    import atheris

    folder.mkdir(parents=True, exist_ok=True)
    for at, data in enumerate([one.input for one in entries] + list(target.seeds)):
        if isinstance(data, bytes):
            (folder / f"seed{at:04}").write_bytes(data)
    words = folder.parent / f"{target.name}.dict"
    words.write_text(
        "".join(
            '"' + "".join(f"\\x{byte:02x}" for byte in word) + '"\n'
            for word in target.words
            if len(word) < 64
        )
    )
    done, start, told = FuzzProgress(), time.monotonic(), [0.0]

    def one(data: bytes) -> None:
        violations, _ = target.check(data)
        done.inputs += 1
        now = time.monotonic()
        for violation in violations[:1]:
            if violation.rule not in done.findings:
                found = done.findings[violation.rule] = shrink_finding(target, data, violation, 5.0)
                report_finding(found)
        if now - told[0] > 0.5:
            told[0], done.seconds = now, now - start
            report_progress(target, done)

    atheris.Setup(
        [
            sys.argv[0],
            f"-seed={seed % 2**31 + 1}",
            f"-max_total_time={int(seconds)}",
            "-max_len=20000",
            f"-dict={words}",
            "-verbosity=0",
            "-print_final_stats=0",
            str(folder),
        ],
        one,
    )
    atheris.Fuzz()


def main() -> None:
    """Work as the one argument, a JSON object, says."""
    order = json.loads(sys.argv[1])
    target, seed, seconds = TARGETS[order["target"]], order["seed"], order["seconds"]
    entries = corpus.load(Path(order["corpus"]) / f"{target.name}.jsonl") if order["corpus"] else []
    match order["engine"]:
        case "atheris":
            fuzz_with_atheris(target, seed, seconds, entries, Path(order["folder"]))
        case "hypothesis":
            fuzz_with_hypothesis(target, seed, seconds)
        case _:
            fuzz_seeded(target, seed, seconds, order["inputs"], entries)


if __name__ == "__main__":
    main()
