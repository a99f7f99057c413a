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


def report_finding(finding: Finding) -> None:
    """News of a finding."""
    send_message(
        finding=finding.rule, target=finding.target, seen=finding.seen, **corpus.to_json(finding.input)
    )


def report_progress(target: Target, progress: FuzzProgress) -> None:
    """News of how far a target is."""
    send_message(
        target=target.name, inputs=progress.inputs, seconds=progress.seconds, reached=len(progress.features)
    )


def fuzz_seeded(
    target: Target, seed: int, seconds: float, inputs: int, entries: list[corpus.CorpusEntry]
) -> None:
    """The engine of our own."""
    session, reported = FuzzSession(target, seed, entries), set()

    def report(progress: FuzzProgress) -> None:
        report_progress(target, progress)
        for rule, finding in progress.findings.items():
            if rule not in reported:
                reported.add(rule)
                report_finding(finding)

    progress = session.run(seconds, inputs, report)
    send_message(
        target=target.name, kept=[{"note": one.note, **corpus.to_json(one.input)} for one in progress.entries]
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
            for word in target.dictionary
            if len(word) < 64
        )
    )
    progress, start, last_report = FuzzProgress(), time.monotonic(), [0.0]

    def run_input(data: bytes) -> None:
        violations, _ = target.check(data)
        progress.inputs += 1
        now = time.monotonic()
        for violation in violations[:1]:
            if violation.rule not in progress.findings:
                finding = progress.findings[violation.rule] = shrink_finding(target, data, violation, 5.0)
                report_finding(finding)
        if now - last_report[0] > 0.5:
            last_report[0], progress.seconds = now, now - start
            report_progress(target, progress)

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
        run_input,
    )
    atheris.Fuzz()


def main() -> None:
    """Work as the one argument, a JSON object, says."""
    job = json.loads(sys.argv[1])
    target, seed, seconds = TARGETS[job["target"]], job["seed"], job["seconds"]
    entries = corpus.load(Path(job["corpus"]) / f"{target.name}.jsonl") if job["corpus"] else []
    match job["engine"]:
        case "atheris":
            fuzz_with_atheris(target, seed, seconds, entries, Path(job["folder"]))
        case "hypothesis":
            fuzz_with_hypothesis(target, seed, seconds)
        case _:
            fuzz_seeded(target, seed, seconds, job["inputs"], entries)


if __name__ == "__main__":
    main()
