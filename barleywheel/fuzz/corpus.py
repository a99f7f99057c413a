"""Reads and writes corpus files and finding files.

A target has one corpus file, with one JSON object per line. A finding file holds one input, to be replayed.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from barleywheel.fuzz.shrink import Input

FORMAT_VERSION = 1
MAX_FILE_BYTES = 2 * 1024 * 1024  # a larger file was not written by this program


class CorpusError(Exception):
    """The file is unreadable, malformed, or in another version of the format."""


@dataclass(frozen=True)
class CorpusEntry:
    """An input and a note on why it is in the corpus."""

    input: Input
    note: str = ""


def to_json(fuzz_input: Input) -> dict[str, Any]:
    """Convert an input to its JSON fields: ``hex`` for bytes, ``steps`` for a script."""
    return {"hex": fuzz_input.hex()} if isinstance(fuzz_input, bytes) else {"steps": fuzz_input}


def from_json(raw: dict[str, Any]) -> Input:
    """Convert JSON fields to an input; CorpusError if they are neither bytes nor a script."""
    try:
        if "hex" in raw:
            return bytes.fromhex(raw["hex"])
        steps = raw["steps"]
        if not isinstance(steps, list) or not all(
            isinstance(step, list) and step and isinstance(step[0], str) for step in steps
        ):
            raise CorpusError("steps: not a list of steps")
        return steps
    except (KeyError, TypeError, ValueError) as error:
        raise CorpusError(f"not an input: {type(error).__name__}: {error}") from error


def load(path: Path) -> list[CorpusEntry]:
    """Load a corpus file; a missing file is an empty corpus."""
    if not path.exists():
        return []
    return [CorpusEntry(from_json(raw), str(raw.get("note", ""))) for raw in _read_objects(path)]


def _read_objects(path: Path) -> list[dict[str, Any]]:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise CorpusError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        text = path.read_text()
        objects = [json.loads(line) for line in text.splitlines() if line.strip()]
    except (OSError, ValueError) as error:
        raise CorpusError(f"{path}: {error}") from error
    for raw in objects:
        if not isinstance(raw, dict):
            raise CorpusError(f"{path}: a line is not a JSON object")
        if raw.get("version") != FORMAT_VERSION:
            raise CorpusError(
                f"{path}: unsupported version {raw.get('version')!r}, {FORMAT_VERSION} expected"
            )
    return objects


def save(path: Path, entries: list[CorpusEntry]) -> None:
    """Write a corpus file; an existing file is overwritten."""
    lines = [
        json.dumps(
            {
                "version": FORMAT_VERSION,
                **({"note": entry.note} if entry.note else {}),
                **to_json(entry.input),
            },
            separators=(",", ":"),
        )
        for entry in entries
    ]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(line + "\n" for line in lines))


def save_finding(path: Path, target: str, rule: str, detail: str, fuzz_input: Input) -> None:
    """Write a finding file; an existing file is overwritten."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(
        json.dumps(
            {"version": FORMAT_VERSION, "target": target, "rule": rule, "seen": detail, **to_json(fuzz_input)}
        )
        + "\n"
    )


def load_finding(path: Path) -> tuple[str, str, Input]:
    """Load a finding file: its target, rule and input."""
    if not path.exists():
        raise CorpusError(f"{path}: no such file")
    objects = _read_objects(path)
    if len(objects) != 1 or not isinstance(objects[0].get("target"), str):
        raise CorpusError(f"{path}: not a finding file")
    return objects[0]["target"], str(objects[0].get("rule", "")), from_json(objects[0])


def format_input(fuzz_input: Input) -> str:
    """Format an input for the terminal: up to 200 of its bytes, or numbered steps."""
    if isinstance(fuzz_input, bytes):
        return f"{len(fuzz_input)} bytes: {fuzz_input[:200]!r}"
    return "\n".join(f"{index + 1:3}. {' '.join(map(str, step))}" for index, step in enumerate(fuzz_input))
