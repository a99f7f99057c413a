"""Inputs kept: one file a target, one JSON object a line; and files of single findings, to be replayed."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from barleywheel.fuzz.shrink import Input

VERSION = 1
MAX_FILE_BYTES = 2 * 1024 * 1024  # bytes of a file; more is no corpus of ours


class CorpusError(Exception):
    """The file is no corpus, or of another version."""


@dataclass(frozen=True)
class CorpusEntry:
    """An input, and why it is kept."""

    input: Input
    note: str = ""


def to_json(fuzz_input: Input) -> dict[str, Any]:
    """An input as JSON."""
    return {"hex": fuzz_input.hex()} if isinstance(fuzz_input, bytes) else {"steps": fuzz_input}


def from_json(raw: dict[str, Any]) -> Input:
    """An input from JSON; CorpusError where it is none."""
    try:
        if "hex" in raw:
            return bytes.fromhex(raw["hex"])
        steps = raw["steps"]
        if not isinstance(steps, list) or not all(
            isinstance(step, list) and step and isinstance(step[0], str) for step in steps
        ):
            raise CorpusError("steps are no list of steps")
        return steps
    except (KeyError, TypeError, ValueError) as error:
        raise CorpusError(f"no input: {type(error).__name__}: {error}") from error


def load(path: Path) -> list[CorpusEntry]:
    """A corpus file's inputs; none where there is no such file."""
    if not path.exists():
        return []
    return [CorpusEntry(from_json(raw), str(raw.get("note", ""))) for raw in _read_objects(path)]


def _read_objects(path: Path) -> list[dict[str, Any]]:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise CorpusError(f"{path}: over {MAX_FILE_BYTES} bytes")
        text = path.read_text()
        objects = [json.loads(line) for line in text.splitlines() if line.strip()]
    except (OSError, ValueError) as error:
        raise CorpusError(f"{path}: {error}") from error
    for raw in objects:
        if not isinstance(raw, dict):
            raise CorpusError(f"{path}: a line is no object")
        if raw.get("version") != VERSION:
            raise CorpusError(f"{path}: version {raw.get('version')!r}, {VERSION} is read here")
    return objects


def save(path: Path, entries: list[CorpusEntry]) -> None:
    """Write a corpus file, in place of what was there."""
    lines = [
        json.dumps(
            {"version": VERSION, **({"note": entry.note} if entry.note else {}), **to_json(entry.input)},
            separators=(",", ":"),
        )
        for entry in entries
    ]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(line + "\n" for line in lines))


def save_finding(path: Path, target: str, rule: str, seen: str, fuzz_input: Input) -> None:
    """Write a finding's file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(
        json.dumps({"version": VERSION, "target": target, "rule": rule, "seen": seen, **to_json(fuzz_input)})
        + "\n"
    )


def load_finding(path: Path) -> tuple[str, str, Input]:
    """A finding's target, rule and input."""
    if not path.exists():
        raise CorpusError(f"{path}: no such file")
    lines = _read_objects(path)
    if len(lines) != 1 or not isinstance(lines[0].get("target"), str):
        raise CorpusError(f"{path}: no finding")
    return lines[0]["target"], str(lines[0].get("rule", "")), from_json(lines[0])


def format_input(fuzz_input: Input) -> str:
    """An input as a person reads it."""
    if isinstance(fuzz_input, bytes):
        return f"{len(fuzz_input)} bytes: {fuzz_input[:200]!r}"
    return "\n".join(f"{at + 1:3}. {' '.join(map(str, step))}" for at, step in enumerate(fuzz_input))
