"""The fuzzer's corpus, its own workings, and its command line."""

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

CORPUS = ROOT / "fuzz" / "corpus"
CORPUS_SLICES = [
    pytest.param(name, at, id=f"{name}-{at}")
    for name in TARGETS
    for at in range(0, len(corpus.load(CORPUS / f"{name}.jsonl")), 50)
]
CALL = [
    ["mode", 1, "stand", 5000],
    ["new", 0, 0, 1, False, 3000, "", 0],
    ["wait", 20000],
    ["bye", 1, 0, 16],
    ["wait", 1000],
]


def fuzz(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "barleywheel", "fuzz", *words],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
    )


@pytest.mark.parametrize(("name", "at"), CORPUS_SLICES)
def test_the_corpus_breaks_no_rule(name: str, at: int) -> None:
    """Fifty kept inputs at a time: the hard cases, what was found, and what reaches something of its own."""
    for entry in corpus.load(CORPUS / f"{name}.jsonl")[at : at + 50]:
        violations, _ = TARGETS[name].check(entry.input)
        assert not violations, (entry.note, violations[0], corpus.format_input(entry.input))


@pytest.mark.parametrize("name", list(TARGETS))
def test_a_few_new_inputs_of_each_target_break_no_rule(name: str) -> None:
    session = FuzzSession(TARGETS[name], 7, [])
    for _ in range(12):
        assert session.run_one() is None, session.progress.findings


def test_the_same_script_is_played_the_same_twice() -> None:
    script = TARGETS["router"].make(SeededSource(11)) if TARGETS["router"].make else []
    first, second = (TARGETS["router"].check(script) for _ in range(2))
    assert first == second and first[1]


def test_the_whole_router_serves_a_call_in_memory() -> None:
    runner = ScriptRunner()
    assert not runner.run(CALL)
    assert runner.checker.counts["answer up"] >= 1 and runner.checker.counts["release told"] >= 1


def test_a_second_answer_is_found_and_made_small(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fault planted in what serves: the fuzzer finds it from nothing, and shrinks it to a call."""
    reject = Caller.reject

    def twice(self: Caller, request: object, rejection: Rejection) -> None:
        reject(self, request, rejection)  # type: ignore[arg-type]
        reject(self, request, rejection)  # type: ignore[arg-type]

    monkeypatch.setattr(Caller, "reject", twice)
    target, source = TARGETS["router"], SeededSource(1)
    assert target.make is not None
    tried = (target.make(source) for _ in range(200))
    found, violation = next(
        (steps, violations[0])
        for steps in tried
        if (violations := target.check(steps)[0]) and violations[0].rule == "second answer"
    )
    small = shrink_finding(target, found, violation)
    assert len(small.input) <= 3
    monkeypatch.undo()
    assert not violates(TARGETS["router"], small.rule)(small.input)


def test_a_dropped_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing is told to the caller of a call that does not stand."""
    monkeypatch.setattr(
        CallManager, "_reject", lambda self, call, rejection: self.open_calls.pop(call.request.ref)
    )
    target = TARGETS["router"]
    violations, _ = target.check([["new", 0, 0, 1, False, 1, "", 0], ["wait", 1000], ["wait", 1000]])
    assert violations[0].rule == "no answer"


def test_choices_from_bytes_end_in_zeros() -> None:
    source = ByteSource(b"\x01\x02\x03")
    assert [source.below(10), source.below(1000), source.below(10)] == [1, 515, 0] and source.exhausted


def test_the_command_line_names_targets_and_replays(tmp_path: Path) -> None:
    assert "router" in fuzz("list").stdout
    path = tmp_path / "found.json"
    corpus.save_finding(path, "router", "second answer", "seen", CALL)
    done = fuzz("replay", str(path))
    assert done.returncode == 0 and "1 inputs, 0 break a rule" in done.stdout


def test_a_run_ends_with_0_where_nothing_is_found(tmp_path: Path) -> None:
    done = fuzz(
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
    assert done.returncode == 0 and done.stdout.count("30 inputs") == 2, done.stdout + done.stderr


@pytest.mark.parametrize(
    "words",
    [
        ("run", "--target", "nobody"),
        ("replay", "/nowhere/found.json"),
        ("run", "--seconds", "0"),
        ("run", "--engine", "magic"),
        ("run", "--engine", "atheris", "--target", "router"),
    ],
)
def test_bad_usage_is_one_line_and_exit_code_2(words: tuple[str, ...]) -> None:
    done = fuzz(*words)
    assert done.returncode == 2 and done.stderr.startswith("barleywheel: ") and done.stderr.count("\n") == 1


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
def test_a_file_that_is_no_finding_is_one_line_and_exit_code_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "found.json"
    path.write_text(text)
    done = fuzz("replay", str(path))
    assert done.returncode == 2 and done.stderr.startswith("barleywheel: ") and done.stderr.count("\n") == 1


def test_a_plant_is_found_and_an_unknown_one_is_bad_usage() -> None:
    done = fuzz("plant", "--name", "padding forgotten", "--seconds", "20")
    assert done.returncode == 0 and "NOT FOUND" not in done.stdout, done.stdout + done.stderr
    assert fuzz("plant", "--name", "nothing").returncode == 2


def test_every_plant_still_fits_the_program() -> None:
    for fault in PLANTED_FAULTS:
        assert (PACKAGE_FOLDER / fault.file).read_text().count(fault.old) == 1, fault.name
