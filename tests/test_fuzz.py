"""Tests of the fuzzer, its corpus and its command line; also replays the corpus as a regression test."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from barleywheel.core.call_manager import CallManager
from barleywheel.core.model import Rejection
from barleywheel.fronts.platform import Caller
from barleywheel.fuzz import corpus
from barleywheel.fuzz.engine import FuzzSession, shrink_finding, violates
from barleywheel.fuzz.plants import PACKAGE_FOLDER, PLANTED_FAULTS
from barleywheel.fuzz.scripts import ScriptRunner
from barleywheel.fuzz.source import ByteSource, SeededSource
from barleywheel.fuzz.targets import TARGETS
from tests.network_harness import ROOT

CORPUS_FOLDER = ROOT / "fuzz" / "corpus"
CORPUS_SLICES = [
    pytest.param(target_name, first, id=f"{target_name}-{first}")
    for target_name in TARGETS
    for first in range(0, len(corpus.load(CORPUS_FOLDER / f"{target_name}.jsonl")), 50)
]
ANSWERED_CALL_SCRIPT = [
    ["mode", 1, "stand", 5000],
    ["new", 0, 0, 1, False, 3000, "", 0],
    ["wait", 20000],
    ["bye", 1, 0, 16],
    ["wait", 1000],
]


def run_fuzz_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "barleywheel", "fuzz", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
    )


@pytest.mark.parametrize(("target_name", "first"), CORPUS_SLICES)
def test_the_corpus_violates_no_rule(target_name: str, first: int) -> None:
    """Runs 50 corpus inputs: hard cases, former findings, and inputs that reach features of their own."""
    for entry in corpus.load(CORPUS_FOLDER / f"{target_name}.jsonl")[first : first + 50]:
        violations, _ = TARGETS[target_name].check(entry.input)
        assert not violations, (entry.note, violations[0], corpus.format_input(entry.input))


@pytest.mark.parametrize("target_name", list(TARGETS))
def test_a_few_new_inputs_of_each_target_violate_no_rule(target_name: str) -> None:
    session = FuzzSession(TARGETS[target_name], 7, [])
    for _ in range(12):
        assert session.run_one() is None, session.progress.findings


def test_a_script_gives_the_same_result_twice() -> None:
    script = TARGETS["router"].make(SeededSource(11)) if TARGETS["router"].make else []
    first, second = (TARGETS["router"].check(script) for _ in range(2))
    assert first == second and first[1]


def test_the_whole_router_answers_and_releases_a_call_on_the_virtual_network() -> None:
    runner = ScriptRunner()
    assert not runner.run(ANSWERED_CALL_SCRIPT)
    assert runner.checker.counts["answer up"] >= 1 and runner.checker.counts["release sent to caller"] >= 1


def test_a_second_answer_is_found_and_shrunk(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a fault that rejects each call twice, generated scripts find it and shrink to at most 3 steps."""
    reject = Caller.reject

    def reject_twice(self: Caller, request: object, rejection: Rejection) -> None:
        reject(self, request, rejection)  # type: ignore[arg-type]
        reject(self, request, rejection)  # type: ignore[arg-type]

    monkeypatch.setattr(Caller, "reject", reject_twice)
    target, source = TARGETS["router"], SeededSource(1)
    assert target.make is not None
    scripts = (target.make(source) for _ in range(200))
    violating_script, violation = next(
        (steps, violations[0])
        for steps in scripts
        if (violations := target.check(steps)[0]) and violations[0].rule == "second answer"
    )
    finding = shrink_finding(target, violating_script, violation)
    assert len(finding.input) <= 3
    monkeypatch.undo()
    assert not violates(TARGETS["router"], finding.rule)(finding.input)


def test_a_dropped_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """With a fault that drops rejections, a caller whose call is not answered receives no response."""
    monkeypatch.setattr(
        CallManager, "_reject", lambda self, call, rejection: self.open_calls.pop(call.request.ref)
    )
    target = TARGETS["router"]
    violations, _ = target.check([["new", 0, 0, 1, False, 1, "", 0], ["wait", 1000], ["wait", 1000]])
    assert violations[0].rule == "no answer"


def test_a_byte_source_yields_zeros_once_its_bytes_run_out() -> None:
    source = ByteSource(b"\x01\x02\x03")
    assert [source.below(10), source.below(1000), source.below(10)] == [1, 515, 0] and source.exhausted


def test_the_command_line_lists_targets_and_replays_a_finding(tmp_path: Path) -> None:
    assert "router" in run_fuzz_command("list").stdout
    path = tmp_path / "found.json"
    corpus.save_finding(path, "router", "second answer", "seen", ANSWERED_CALL_SCRIPT)
    process = run_fuzz_command("replay", str(path))
    assert process.returncode == 0 and "1 inputs, 0 break a rule" in process.stdout


def test_a_run_without_findings_exits_with_code_0(tmp_path: Path) -> None:
    process = run_fuzz_command(
        "run",
        "--target",
        "isup",
        "--target",
        "module",
        "--inputs",
        "30",
        "--seconds",
        "0",
        "--jobs",
        "2",
        "--corpus",
        str(tmp_path),
        "--found",
        str(tmp_path),
    )
    assert process.returncode == 0 and process.stdout.count("30 inputs") == 2, process.stdout + process.stderr


@pytest.mark.parametrize(
    "arguments",
    [
        ("run", "--target", "nobody"),
        ("replay", "/nowhere/found.json"),
        ("run", "--seconds", "0"),
        ("run", "--engine", "magic"),
        ("run", "--engine", "atheris", "--target", "router"),
    ],
)
def test_bad_usage_is_one_line_and_exit_code_2(arguments: tuple[str, ...]) -> None:
    process = run_fuzz_command(*arguments)
    assert (
        process.returncode == 2
        and process.stderr.startswith("barleywheel: ")
        and process.stderr.count("\n") == 1
    )


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        '{"version": 9, "target": "router", "steps": []}',
        '{"version": 1}',
        '{"version": 1, "target": "router", "steps": [7]}',
    ],
)
def test_a_malformed_finding_file_is_one_line_and_exit_code_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "found.json"
    path.write_text(text)
    process = run_fuzz_command("replay", str(path))
    assert (
        process.returncode == 2
        and process.stderr.startswith("barleywheel: ")
        and process.stderr.count("\n") == 1
    )


def test_a_planted_fault_is_found_and_an_unknown_one_is_a_usage_error() -> None:
    process = run_fuzz_command("plant", "--name", "padding forgotten", "--seconds", "20")
    assert process.returncode == 0 and "NOT FOUND" not in process.stdout, process.stdout + process.stderr
    assert run_fuzz_command("plant", "--name", "nothing").returncode == 2


def test_the_text_that_a_planted_fault_replaces_occurs_once() -> None:
    for fault in PLANTED_FAULTS:
        assert (PACKAGE_FOLDER / fault.file).read_text().count(fault.old) == 1, fault.name


def test_a_script_whose_pieces_have_no_size_runs() -> None:
    # Guards against shrinking that ends with a division by zero.
    ScriptRunner().run([["drip", 0, 1, 1, 0, 100]])


def test_a_copy_of_a_late_answer_is_not_released_again() -> None:
    # Guards against a second BYE for a call whose late answer was released already.
    script = [
        ["mode", 1, "hold", 0],
        ["drip", 1, 1, 1, 245, 1],
        ["hang", 1, 1],
        ["wait", 500000],
        ["answer", 1, 1, "200"],
        ["copy", 1, 2],
        ["wait", 300000],
    ]
    assert ScriptRunner().run(script) == []
