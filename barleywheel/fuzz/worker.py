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
from barleywheel.fuzz.engine import Finding, Fuzzing, Reached, hypothesis_run, smallest
from barleywheel.fuzz.targets import TARGETS, Target


def say(**news: Any) -> None:
    """One line of news."""
    sys.stdout.write(json.dumps(news) + "\n")
    sys.stdout.flush()


def finding(found: Finding) -> None:
    """News of a finding."""
    say(finding=found.rule, target=found.target, seen=found.seen, **corpus.to_json(found.input))


def progress(target: Target, done: Reached) -> None:
    """News of how far a target is."""
    say(target=target.name, inputs=done.inputs, seconds=done.seconds, reached=len(done.features))


def seeded(target: Target, seed: int, seconds: float, inputs: int, kept: list[corpus.Kept]) -> None:
    """The engine of our own."""
    fuzzing, told = Fuzzing(target, seed, kept), set()

    def tell(done: Reached) -> None:
        progress(target, done)
        for rule, found in done.findings.items():
            if rule not in told:
                told.add(rule)
                finding(found)

    done = fuzzing.run(seconds, inputs, tell)
    say(target=target.name, kept=[{"note": one.note, **corpus.to_json(one.input)} for one in done.kept])


def by_hypothesis(target: Target, seed: int, seconds: float) -> None:
    """hypothesis' engine, for scripts."""
    start = time.monotonic()
    for news in hypothesis_run(target, seconds, seed):
        if isinstance(news, Finding):
            finding(news)
        else:
            progress(target, Reached(news, time.monotonic() - start))


def by_atheris(target: Target, seed: int, seconds: float, kept: list[corpus.Kept], folder: Path) -> None:
    """atheris' engine, for bytes: guided by the lines that an input reaches. Does not return."""
    import atheris

    folder.mkdir(parents=True, exist_ok=True)
    for at, data in enumerate([one.input for one in kept] + list(target.seeds)):
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
    done, start, told = Reached(), time.monotonic(), [0.0]

    def one(data: bytes) -> None:
        breaches, _ = target.check(data)
        done.inputs += 1
        now = time.monotonic()
        for breach in breaches[:1]:
            if breach.rule not in done.findings:
                found = done.findings[breach.rule] = smallest(target, data, breach, 5.0)
                finding(found)
        if now - told[0] > 0.5:
            told[0], done.seconds = now, now - start
            progress(target, done)

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
    kept = corpus.load(Path(order["corpus"]) / f"{target.name}.jsonl") if order["corpus"] else []
    match order["engine"]:
        case "atheris":
            by_atheris(target, seed, seconds, kept, Path(order["folder"]))
        case "hypothesis":
            by_hypothesis(target, seed, seconds)
        case _:
            seeded(target, seed, seconds, order["inputs"], kept)


if __name__ == "__main__":
    main()
