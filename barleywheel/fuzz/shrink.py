"""Shrinks an input that breaks a rule: removes parts, then reduces the numbers in script steps."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any

Input = bytes | list[list[Any]]
SHRINK_SECONDS = 20.0


def shrink(fuzz_input: Input, fails: Callable[[Input], bool], seconds: float = SHRINK_SECONDS) -> Input:
    """The smallest failing input found within the time limit; deterministic unless the limit is reached."""
    deadline = time.monotonic() + seconds
    best, improved = fuzz_input, True
    while improved and time.monotonic() < deadline:
        improved = False
        for candidate in _with_part_removed(best):
            if time.monotonic() > deadline:
                break
            if fails(candidate):
                best, improved = candidate, True
                break
        else:
            if isinstance(best, list):
                for simplified in _with_number_reduced(best):
                    if time.monotonic() > deadline:
                        break
                    if fails(simplified):
                        best, improved = simplified, True
                        break
    return best


def _with_part_removed(fuzz_input: Input) -> Iterator[Input]:
    """The input without one of its parts, the largest parts first and from the end."""
    size = len(fuzz_input) // 2
    while size >= 1:
        for at in range(len(fuzz_input) - size, -1, -size):
            yield fuzz_input[:at] + fuzz_input[at + size :]  # type: ignore[operator]
        size //= 2


def _with_number_reduced(steps: list[list[Any]]) -> Iterator[list[list[Any]]]:
    """The script with one number or flag of one step reduced."""
    for at, step in enumerate(steps):
        for index in range(1, len(step)):
            value = step[index]
            for other in _smaller_values(value):
                yield [*steps[:at], [*step[:index], other, *step[index + 1 :]], *steps[at + 1 :]]


def _smaller_values(value: Any) -> list[Any]:
    if isinstance(value, bool):
        return [False] if value else []
    if isinstance(value, int):
        return [other for other in (0, 1, value // 10, value - 1) if abs(other) < abs(value)]
    return []
