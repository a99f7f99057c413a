"""``barleywheel fuzz``: run the fuzzer, replay what it found, and keep its corpus small."""

from __future__ import annotations

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

app = typer.Typer(no_args_is_help=True, help="Fuzz the parsers and the state machines.")
CORPUS = Path("fuzz/corpus")
FINDINGS = Path("found")
GRACE_S = 30.0  # how long a worker may take beyond its time: it may be shrinking
ENGINES = ("auto", "seeded", "hypothesis", "atheris")


def usage_error(message: str) -> typer.Exit:
    """One plain line, and exit code 2."""
    typer.echo(f"barleywheel: {message}", err=True)
    return typer.Exit(2)


def select_targets(names: list[str] | None) -> list[Target]:
    """The targets named, or all."""
    for name in names or []:
        if name not in TARGETS:
            raise usage_error(f"no target {name!r}; there are {', '.join(TARGETS)}")
    return [TARGETS[name] for name in dict.fromkeys(names or TARGETS)]


def load_entries(target: Target, folder: Path) -> list[corpus.CorpusEntry]:
    """A target's corpus."""
    try:
        return corpus.load(folder / f"{target.name}.jsonl")
    except corpus.CorpusError as error:
        raise usage_error(str(error)) from error


@app.command("list")
def list_targets() -> None:
    """Name the targets."""
    for target in TARGETS.values():
        typer.echo(f"{target.name:10} {'scripts' if target.make else 'bytes  '}  {target.description}")


@dataclass
class Job:
    """A worker process on one target."""

    target: Target
    seed: int
    engine: str
    process: subprocess.Popen[str] | None = None
    inputs: int = 0
    seconds: float = 0.0
    reached: int = 0
    deadline: float = 0.0
    entries: list[dict[str, Any]] = field(default_factory=list)

    def start(self, seconds: float, inputs: int, folder: Path, work: Path) -> None:
        """Start the process."""
        order = {
            "target": self.target.name,
            "seed": self.seed,
            "seconds": seconds,
            "inputs": inputs,
            "engine": self.engine,
            "corpus": str(folder),
            "folder": str(work / f"{self.target.name}{self.seed}"),
        }
        name = "barleywheel.fuzz.guided" if self.engine == "atheris" else "barleywheel.fuzz.worker"
        self.process = subprocess.Popen(
            [sys.executable, "-m", name, json.dumps(order)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE if self.engine == "atheris" else None,
            text=True,
            env=os.environ | {"PYTHONHASHSEED": "0"},
        )
        self.deadline = time.monotonic() + seconds + GRACE_S if seconds else float("inf")


@app.command()
def run(
    target: Annotated[
        list[str] | None, typer.Option(help="A target; several may be given. All without.")
    ] = None,
    seconds: Annotated[float, typer.Option(min=0, help="How long; 0 for no bound.")] = 60.0,
    inputs: Annotated[int, typer.Option(min=0, help="How many inputs a job; 0 for no bound.")] = 0,
    seed: Annotated[int, typer.Option(help="Of all choices.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Processes at a time.")] = 1,
    folder: Annotated[Path, typer.Option("--corpus", help="Where inputs are kept.")] = CORPUS,
    found: Annotated[Path, typer.Option(help="Where findings are written.")] = FINDINGS,
    grow: Annotated[
        bool, typer.Option(help="Write inputs that reach something new into the corpus.")
    ] = False,
    engine_name: Annotated[
        str, typer.Option("--engine", help="auto, seeded, hypothesis or atheris.")
    ] = "auto",
) -> None:
    """Run targets; 0 when clean, 1 on a finding, 2 on bad usage."""
    targets = select_targets(target)
    if engine_name not in ENGINES:
        raise usage_error(f"no engine {engine_name!r}; there are {', '.join(ENGINES)}")
    if not seconds and not inputs:
        raise usage_error("without a bound on seconds or inputs this would never end")
    for one in targets:
        if (
            one.make is None
            and engine_name == "hypothesis"
            or one.make is not None
            and engine_name == "atheris"
        ):
            raise usage_error(f"engine {engine_name} is not for target {one.name}")
        load_entries(one, folder)
    # Each target gets a share of the time; with more jobs than targets, some are run twice under other seeds.
    slots = max(jobs, len(targets))
    work = [
        Job(
            targets[at % len(targets)],
            seed + at // len(targets),
            "seeded" if engine_name == "auto" else engine_name,
        )
        for at in range(slots)
    ]
    share = seconds * min(jobs, slots) / slots if seconds else 0.0
    findings = JobRunner(work, share, inputs, folder, found, jobs).run()
    if grow:
        for one in targets:
            _grow_corpus(one, folder, [job for job in work if job.target is one])
    raise typer.Exit(1 if findings else 0)


def _grow_corpus(target: Target, folder: Path, done: list[Job]) -> None:
    entries = load_entries(target, folder)
    before = len(entries)
    entries += [
        corpus.CorpusEntry(corpus.from_json(raw), raw.get("note", "")) for job in done for raw in job.entries
    ]
    small = engine.minimise(target, entries)
    corpus.save(folder / f"{target.name}.jsonl", small)
    typer.echo(f"{target.name}: {before} inputs kept before, {len(small)} now")


class JobRunner:
    """Workers side by side: their news, their findings, their ends."""

    def __init__(
        self, work: list[Job], share: float, inputs: int, folder: Path, found: Path, max_jobs: int
    ) -> None:
        self.work, self.share, self.inputs = work, share, inputs
        self.folder, self.found, self.max_jobs = folder, found, max_jobs
        self.findings: dict[tuple[str, str], Path] = {}
        self.last_progress = time.monotonic()

    def run(self) -> dict[tuple[str, str], Path]:
        """Run them all; the findings by target and rule."""
        waiting, running = list(self.work), list[Job]()
        selector = selectors.DefaultSelector()
        with tempfile.TemporaryDirectory() as scratch:
            try:
                while waiting or running:
                    while waiting and len(running) < self.max_jobs:
                        job = waiting.pop(0)
                        job.start(self.share, self.inputs, self.folder, Path(scratch))
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
                                job, "hangs", "an input kept a worker busy beyond its time", {}
                            )
                    self._show_progress()
            finally:
                for job in running:
                    if job.process is not None:
                        job.process.kill()
                        job.process.wait()
        for job in self.work:
            rate = job.inputs / job.seconds if job.seconds else 0.0
            typer.echo(
                f"{job.target.name:10} {job.engine:10} seed {job.seed}: {job.inputs} inputs, "
                f"{rate:.0f} a second, {job.reached} things reached"
            )
        return self.findings

    def _on_line(self, job: Job, line: str) -> None:
        try:
            news = json.loads(line)
        except ValueError:
            return  # an engine's own chatter
        if "finding" in news:
            self._record_finding(job, news["finding"], news["seen"], news)
        elif "kept" in news:
            job.entries = news["kept"]
        elif "inputs" in news:
            job.inputs, job.seconds, job.reached = news["inputs"], news["seconds"], news["reached"]

    def _on_exit(self, job: Job) -> None:
        assert job.process is not None
        errors = job.process.stderr.read() if job.process.stderr else ""
        code = job.process.wait()
        if code and not (job.engine == "atheris" and code in (0, 77)):
            typer.echo(errors[-2000:], err=True)
            self._record_finding(job, "worker died", f"exit code {code}", {})

    def _record_finding(self, job: Job, rule: str, seen: str, news: dict[str, Any]) -> None:
        key = job.target.name, rule
        if key in self.findings:
            return
        path = self.found / f"{job.target.name}-{rule.replace(' ', '-').replace(chr(39), '')}.json"
        self.findings[key] = path
        typer.echo(f"FOUND {job.target.name}: {rule}: {seen}")
        if "hex" in news or "steps" in news:
            small = corpus.from_json(news)
            corpus.save_finding(path, job.target.name, rule, seen, small)
            typer.echo(corpus.format_input(small))
            typer.echo(f"  after {job.seconds:.1f} s; replay: barleywheel fuzz replay {path}")

    def _show_progress(self) -> None:
        if time.monotonic() - self.last_progress > 5.0 and sys.stderr.isatty():
            self.last_progress = time.monotonic()
            total = sum(job.inputs for job in self.work)
            typer.echo(f"... {total} inputs, {len(self.findings)} findings", err=True)


@app.command()
def replay(files: Annotated[list[Path], typer.Argument(help="Findings, or corpus files.")]) -> None:
    """Run findings or corpus files again; 0 when clean, 1 where a rule breaks, 2 on a bad file."""
    broken = count = 0
    for path in files:
        try:
            if path.suffix == ".jsonl":
                if not path.exists():
                    raise corpus.CorpusError(f"{path}: no such file")
                name, inputs = path.stem, [entry.input for entry in corpus.load(path)]
            else:
                name, _, one = corpus.load_finding(path)
                inputs = [one]
        except corpus.CorpusError as error:
            raise usage_error(str(error)) from error
        if name not in TARGETS:
            raise usage_error(f"{path}: no target {name!r}")
        for one in inputs:
            count += 1
            violations, _ = TARGETS[name].check(one)
            if violations:
                broken += 1
                typer.echo(f"{name}: {violations[0].rule}: {violations[0].seen}\n{corpus.format_input(one)}")
    typer.echo(f"{count} inputs, {broken} break a rule")
    raise typer.Exit(1 if broken else 0)


@app.command()
def plant(
    name: Annotated[list[str] | None, typer.Option(help="A plant; several may be given.")] = None,
    seconds: Annotated[float, typer.Option(min=1, help="How long each is looked for.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Of all choices.")] = 1,
    jobs: Annotated[int, typer.Option(min=1, help="Processes at a time.")] = 4,
) -> None:
    """Plant faults of one line in copies of the program; 0 when all are found, 1 when one is not."""
    by_name = {one.name: one for one in plants.PLANTED_FAULTS}
    for word in name or []:
        if word not in by_name:
            raise usage_error(f"no plant {word!r}; there are {', '.join(by_name)}")
    missed = 0
    try:
        for done in plants.run_planted_faults(
            [by_name[word] for word in name or by_name], seconds, seed, jobs
        ):
            missed += not done.rule
            found = f"{done.seconds:5.1f} s, {done.inputs} inputs: {done.rule}" if done.rule else "NOT FOUND"
            typer.echo(f"{done.fault.name:42} {done.fault.target:10} {found}")
    except plants.StaleQuoteError as error:
        raise usage_error(str(error)) from error
    raise typer.Exit(1 if missed else 0)
