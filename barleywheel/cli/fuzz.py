"""``barleywheel fuzz``: run the fuzzer, replay its findings, extend its corpus, and run planted faults."""

from __future__ import annotations

import importlib.util
import json
import os
import selectors
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import typer

from barleywheel.fuzz import corpus, engine, plants
from barleywheel.fuzz.targets import TARGETS, Target

app = typer.Typer(no_args_is_help=True, help="Fuzz the parsers and the state machines of the router.")
CORPUS_FOLDER = Path("fuzz/corpus")
FINDINGS_FOLDER = Path("found")
WORKER_GRACE_S = 30.0  # a worker may still be shrinking a finding when its time is up
ENGINES = ("auto", "seeded", "hypothesis", "atheris")


def usage_error(message: str) -> typer.Exit:
    """Print an error as one line; the returned exception exits with code 2."""
    typer.echo(f"barleywheel: {message}", err=True)
    return typer.Exit(2)


def select_targets(names: list[str] | None) -> list[Target]:
    """The named targets without duplicates, or all targets if no name is given."""
    for name in names or []:
        if name not in TARGETS:
            raise usage_error(f"unknown target {name!r}; available: {', '.join(TARGETS)}")
    return [TARGETS[name] for name in dict.fromkeys(names or TARGETS)]


def load_entries(target: Target, folder: Path) -> list[corpus.CorpusEntry]:
    """Load the corpus of a target; an unreadable corpus file is a usage error."""
    try:
        return corpus.load(folder / f"{target.name}.jsonl")
    except corpus.CorpusError as error:
        raise usage_error(str(error)) from error


@app.command("list")
def list_targets() -> None:
    """List the targets, each with its kind of input and a description."""
    for target in TARGETS.values():
        typer.echo(f"{target.name:10} {'scripts' if target.make else 'bytes  '}  {target.description}")


@dataclass
class Job:
    """One worker process, which fuzzes one target, and its latest progress."""

    target: Target
    seed: int
    engine: str
    process: subprocess.Popen[str] | None = None
    inputs: int = 0
    seconds: float = 0.0
    reached_count: int = 0
    deadline: float = 0.0
    entries: list[dict[str, Any]] = field(default_factory=list)

    def start(self, seconds: float, inputs: int, corpus_folder: Path, scratch_folder: Path) -> None:
        """Start the worker process; 0 seconds or 0 inputs means no limit."""
        job_spec = {
            "target": self.target.name,
            "seed": self.seed,
            "seconds": seconds,
            "inputs": inputs,
            "engine": self.engine,
            "corpus": str(corpus_folder),
            "folder": str(scratch_folder / f"{self.target.name}{self.seed}"),
        }
        worker_module = "barleywheel.fuzz.guided" if self.engine == "atheris" else "barleywheel.fuzz.worker"
        self.process = subprocess.Popen(
            [sys.executable, "-m", worker_module, json.dumps(job_spec)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE if self.engine == "atheris" else None,
            text=True,
            env=os.environ | {"PYTHONHASHSEED": "0"},
        )
        self.deadline = time.monotonic() + seconds + WORKER_GRACE_S if seconds else float("inf")


@app.command()
def run(
    target: Annotated[
        list[str] | None, typer.Option(help="Target to run; may be repeated. Default: all targets.")
    ] = None,
    seconds: Annotated[float, typer.Option(min=0, help="Time limit of the whole run; 0 for none.")] = 60.0,
    inputs: Annotated[int, typer.Option(min=0, help="Limit of inputs per worker process; 0 for none.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the random number generator.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Worker processes that run at the same time.")] = 1,
    corpus_folder: Annotated[
        Path, typer.Option("--corpus", help="Folder of the corpus files.")
    ] = CORPUS_FOLDER,
    found: Annotated[Path, typer.Option(help="Folder that findings are written to.")] = FINDINGS_FOLDER,
    grow: Annotated[
        bool, typer.Option(help="Add inputs that reach new features to the corpus, and minimise it.")
    ] = False,
    engine_name: Annotated[
        str, typer.Option("--engine", help="auto, seeded, hypothesis (scripts only) or atheris (bytes only).")
    ] = "auto",
) -> None:
    """Fuzz targets. Exit code 0: no finding, 1: at least one finding, 2: usage error."""
    targets = select_targets(target)
    if engine_name not in ENGINES:
        raise usage_error(f"unknown engine {engine_name!r}; available: {', '.join(ENGINES)}")
    if engine_name == "atheris" and importlib.util.find_spec("atheris") is None:
        raise usage_error("engine atheris is not installed; it is published for x86-64 only")
    if not seconds and not inputs:
        raise usage_error("--seconds and --inputs are both 0: the run would never end")
    for selected in targets:
        if (
            selected.make is None
            and engine_name == "hypothesis"
            or selected.make is not None
            and engine_name == "atheris"
        ):
            raise usage_error(f"engine {engine_name} does not support target {selected.name}")
        load_entries(selected, corpus_folder)
    # The time is divided among the targets; with more worker processes than targets, some targets run
    # several times with different seeds.
    job_count = max(jobs, len(targets))
    job_list = [
        Job(
            targets[index % len(targets)],
            seed + index // len(targets),
            "seeded" if engine_name == "auto" else engine_name,
        )
        for index in range(job_count)
    ]
    seconds_per_job = seconds * min(jobs, job_count) / job_count if seconds else 0.0
    findings = JobRunner(job_list, seconds_per_job, inputs, corpus_folder, found, jobs).run()
    if grow:
        for selected in targets:
            _grow_corpus(selected, corpus_folder, [job for job in job_list if job.target is selected])
    raise typer.Exit(1 if findings else 0)


def _grow_corpus(target: Target, corpus_folder: Path, finished_jobs: list[Job]) -> None:
    entries = load_entries(target, corpus_folder)
    count_before = len(entries)
    entries += [
        corpus.CorpusEntry(corpus.from_json(raw), raw.get("note", ""))
        for job in finished_jobs
        for raw in job.entries
    ]
    minimised = engine.minimise(target, entries)
    corpus.save(corpus_folder / f"{target.name}.jsonl", minimised)
    typer.echo(f"{target.name}: {count_before} inputs in the corpus before, {len(minimised)} now")


class JobRunner:
    """Runs worker processes in parallel, reads their messages and saves their findings."""

    def __init__(
        self,
        jobs: list[Job],
        seconds_per_job: float,
        inputs_per_job: int,
        corpus_folder: Path,
        findings_folder: Path,
        max_running: int,
    ) -> None:
        self.jobs, self.seconds_per_job, self.inputs_per_job = jobs, seconds_per_job, inputs_per_job
        self.corpus_folder, self.findings_folder, self.max_running = (
            corpus_folder,
            findings_folder,
            max_running,
        )
        self.findings: dict[tuple[str, str], Path] = {}
        self.last_progress_s = time.monotonic()

    def run(self) -> dict[tuple[str, str], Path]:
        """Run all jobs; the paths of the findings, by target and rule."""
        waiting, running = list(self.jobs), list[Job]()
        selector = selectors.DefaultSelector()
        with tempfile.TemporaryDirectory() as scratch_folder:
            try:
                while waiting or running:
                    while waiting and len(running) < self.max_running:
                        job = waiting.pop(0)
                        job.start(
                            self.seconds_per_job,
                            self.inputs_per_job,
                            self.corpus_folder,
                            Path(scratch_folder),
                        )
                        assert job.process is not None and job.process.stdout is not None
                        selector.register(job.process.stdout, selectors.EVENT_READ, job)
                        running.append(job)
                    for key, _ in selector.select(0.5):
                        line = key.fileobj.readline()  # type: ignore[union-attr]
                        if line:
                            self._on_line(key.data, line)
                        else:
                            selector.unregister(key.fileobj)
                            running.remove(key.data)
                            self._on_exit(key.data)
                    for job in running:
                        if time.monotonic() > job.deadline and job.process is not None:
                            job.process.kill()
                            self._record_finding(
                                job, "hangs", "the worker process did not exit within its time limit", {}
                            )
                    self._show_progress()
            finally:
                for job in running:
                    if job.process is not None:
                        job.process.kill()
                        job.process.wait()
        for job in self.jobs:
            inputs_per_s = job.inputs / job.seconds if job.seconds else 0.0
            typer.echo(
                f"{job.target.name:10} {job.engine:10} seed {job.seed}: {job.inputs} inputs, "
                f"{inputs_per_s:.0f} a second, {job.reached_count} things reached"
            )
        return self.findings

    def _on_line(self, job: Job, line: str) -> None:
        try:
            message = json.loads(line)
        except ValueError:
            return  # output of the engine itself, such as that of atheris
        if "finding" in message:
            self._record_finding(job, message["finding"], message["seen"], message)
        elif "kept" in message:
            job.entries = message["kept"]
        elif "inputs" in message:
            job.inputs, job.seconds, job.reached_count = (
                message["inputs"],
                message["seconds"],
                message["reached"],
            )

    def _on_exit(self, job: Job) -> None:
        assert job.process is not None
        errors = job.process.stderr.read() if job.process.stderr else ""
        code = job.process.wait()
        if code and not (job.engine == "atheris" and code in (0, 77)):
            typer.echo(errors[-2000:], err=True)
            self._record_finding(job, "worker died", f"exit code {code}", {})

    def _record_finding(self, job: Job, rule: str, detail: str, message: dict[str, Any]) -> None:
        key = job.target.name, rule
        if key in self.findings:
            return
        path = self.findings_folder / f"{job.target.name}-{rule.replace(' ', '-').replace(chr(39), '')}.json"
        self.findings[key] = path
        typer.echo(f"FOUND {job.target.name}: {rule}: {detail}")
        if "hex" in message or "steps" in message:
            shrunk = corpus.from_json(message)
            corpus.save_finding(path, job.target.name, rule, detail, shrunk)
            typer.echo(corpus.format_input(shrunk))
            typer.echo(f"  after {job.seconds:.1f} s; replay: barleywheel fuzz replay {path}")

    def _show_progress(self) -> None:
        if time.monotonic() - self.last_progress_s > 5.0 and sys.stderr.isatty():
            self.last_progress_s = time.monotonic()
            total = sum(job.inputs for job in self.jobs)
            typer.echo(f"... {total} inputs, {len(self.findings)} findings", err=True)


@app.command()
def replay(
    files: Annotated[list[Path], typer.Argument(help="Finding files (.json) or corpus files (.jsonl).")],
) -> None:
    """Run saved inputs again. Exit code 0: no violation, 1: at least one violation, 2: unreadable file."""
    violating_count = input_count = 0
    for path in files:
        try:
            if path.suffix == ".jsonl":
                if not path.exists():
                    raise corpus.CorpusError(f"{path}: no such file")
                target_name, inputs = path.stem, [entry.input for entry in corpus.load(path)]
            else:
                target_name, _, finding_input = corpus.load_finding(path)
                inputs = [finding_input]
        except corpus.CorpusError as error:
            raise usage_error(str(error)) from error
        if target_name not in TARGETS:
            raise usage_error(f"{path}: unknown target {target_name!r}")
        for fuzz_input in inputs:
            input_count += 1
            violations, _ = TARGETS[target_name].check(fuzz_input)
            if violations:
                violating_count += 1
                typer.echo(
                    f"{target_name}: {violations[0].rule}: {violations[0].seen}\n"
                    f"{corpus.format_input(fuzz_input)}"
                )
    typer.echo(f"{input_count} inputs, {violating_count} break a rule")
    raise typer.Exit(1 if violating_count else 0)


@app.command()
def plant(
    name: Annotated[
        list[str] | None, typer.Option(help="Planted fault to run; may be repeated. Default: all.")
    ] = None,
    seconds: Annotated[float, typer.Option(min=1, help="Time limit for each fault.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the random number generator.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Worker processes that run at the same time.")] = 4,
) -> None:
    """Check that the fuzzer finds planted faults. Exit code 0: all found, 1: at least one not found."""
    faults_by_name = {fault.name: fault for fault in plants.PLANTED_FAULTS}
    for fault_name in name or []:
        if fault_name not in faults_by_name:
            raise usage_error(f"unknown planted fault {fault_name!r}; available: {', '.join(faults_by_name)}")
    missed_count = 0
    try:
        for result in plants.run_planted_faults(
            [faults_by_name[fault_name] for fault_name in name or faults_by_name], seconds, seed, jobs
        ):
            missed_count += not result.rule
            outcome = (
                f"{result.seconds:5.1f} s, {result.inputs} inputs: {result.rule}"
                if result.rule
                else "NOT FOUND"
            )
            typer.echo(f"{result.fault.name:42} {result.fault.target:10} {outcome}")
    except plants.StaleQuoteError as error:
        raise usage_error(str(error)) from error
    raise typer.Exit(1 if missed_count else 0)
