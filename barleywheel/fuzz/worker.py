"""Worker process of a fuzz run: fuzzes one target and writes JSON messages to standard output, one per line.

A separate process keeps a crash or a hang from ending the whole run. atheris requires one in any case,
because its engine never returns.
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


def send_message(**fields: Any) -> None:
    """Write one JSON message to the parent process."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def report_finding(finding: Finding) -> None:
    """Send a finding with its input."""
    send_message(
        finding=finding.rule, target=finding.target, seen=finding.seen, **corpus.to_json(finding.input)
    )


def report_progress(target: Target, progress: FuzzProgress) -> None:
    """Send the number of inputs, the elapsed time and the number of features reached."""
    send_message(
        target=target.name, inputs=progress.inputs, seconds=progress.seconds, reached=len(progress.features)
    )


def fuzz_seeded(
    target: Target, seed: int, seconds: float, inputs: int, entries: list[corpus.CorpusEntry]
) -> None:
    """Fuzz with the built-in engine, then send the inputs that reached new features."""
    session, reported_rules = FuzzSession(target, seed, entries), set()

    def report(progress: FuzzProgress) -> None:
        report_progress(target, progress)
        for rule, finding in progress.findings.items():
            if rule not in reported_rules:
                reported_rules.add(rule)
                report_finding(finding)

    progress = session.run(seconds, inputs, report)
    send_message(
        target=target.name,
        kept=[{"note": entry.note, **corpus.to_json(entry.input)} for entry in progress.entries],
    )


def fuzz_with_hypothesis(target: Target, seed: int, seconds: float) -> None:
    """Fuzz a target whose inputs are scripts with hypothesis."""
    start_s = time.monotonic()
    for result in hypothesis_run(target, seconds, seed):
        if isinstance(result, Finding):
            report_finding(result)
        else:  # the number of inputs
            report_progress(target, FuzzProgress(result, time.monotonic() - start_s))


def fuzz_with_atheris(
    target: Target, seed: int, seconds: float, entries: list[corpus.CorpusEntry], folder: Path
) -> None:
    """Fuzz a target whose inputs are bytes with atheris, guided by code coverage. Does not return."""
    import atheris

    folder.mkdir(parents=True, exist_ok=True)
    for index, data in enumerate([entry.input for entry in entries] + list(target.seeds)):
        if isinstance(data, bytes):
            (folder / f"seed{index:04}").write_bytes(data)
    dictionary_file = folder.parent / f"{target.name}.dict"
    dictionary_file.write_text(
        "".join(
            '"' + "".join(f"\\x{byte:02x}" for byte in token) + '"\n'
            for token in target.dictionary
            if len(token) < 64
        )
    )
    progress, start_s, last_report_s = FuzzProgress(), time.monotonic(), [0.0]

    def run_input(data: bytes) -> None:
        violations, _ = target.check(data)
        progress.inputs += 1
        now_s = time.monotonic()
        for violation in violations[:1]:
            if violation.rule not in progress.findings:
                finding = progress.findings[violation.rule] = shrink_finding(target, data, violation, 5.0)
                report_finding(finding)
        if now_s - last_report_s[0] > 0.5:
            last_report_s[0], progress.seconds = now_s, now_s - start_s
            report_progress(target, progress)

    atheris.Setup(
        [
            sys.argv[0],
            f"-seed={seed % 2**31 + 1}",
            f"-max_total_time={int(seconds)}",
            "-max_len=20000",
            f"-dict={dictionary_file}",
            "-verbosity=0",
            "-print_final_stats=0",
            str(folder),
        ],
        run_input,
    )
    atheris.Fuzz()


def main() -> None:
    """Run the job that the only argument, a JSON object, describes."""
    job_spec = json.loads(sys.argv[1])
    target, seed, seconds = TARGETS[job_spec["target"]], job_spec["seed"], job_spec["seconds"]
    entries = corpus.load(Path(job_spec["corpus"]) / f"{target.name}.jsonl") if job_spec["corpus"] else []
    match job_spec["engine"]:
        case "atheris":
            fuzz_with_atheris(target, seed, seconds, entries, Path(job_spec["folder"]))
        case "hypothesis":
            fuzz_with_hypothesis(target, seed, seconds)
        case _:
            fuzz_seeded(target, seed, seconds, job_spec["inputs"], entries)


if __name__ == "__main__":
    main()
