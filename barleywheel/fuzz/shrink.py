"""Smaller inputs that break the same rule: parts left out, then numbers made small."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Any

Input = bytes | list[list[Any]]
SHRINK_SECONDS = 20.0


def shrink(fuzz_input: Input, fails: Callable[[Input], bool], seconds: float = SHRINK_SECONDS) -> Input:
    """The smallest input reached within the time that still fails; deterministic but for that bound."""
    until = time.monotonic() + seconds
    best, again = fuzz_input, True
    while again and time.monotonic() < until:
        again = False
        for smaller in _smaller(best):
            if time.monotonic() > until:
                break
            if fails(smaller):
                best, again = smaller, True
                break
        else:
            if isinstance(best, list):
                for simpler in _simpler(best):
                    if time.monotonic() > until:
                        break
                    if fails(simpler):
                        best, again = simpler, True
                        break
    return best


def _smaller(fuzz_input: Input) -> Iterator[Input]:
    """Without a part of it, large parts first."""
    size = len(fuzz_input) // 2
    while size >= 1:
        for at in range(len(fuzz_input) - size, -1, -size):
            yield fuzz_input[:at] + fuzz_input[at + size :]  # type: ignore[operator]
        size //= 2


def _simpler(steps: list[list[Any]]) -> Iterator[list[list[Any]]]:
    """With one number of one step smaller, one word empty, or one step's tail left out."""
    for at, step in enumerate(steps):
        for place in range(1, len(step)):
            value = step[place]
            for other in _smaller_values(value):
                yield [*steps[:at], [*step[:place], other, *step[place + 1 :]], *steps[at + 1 :]]


def _smaller_values(value: Any) -> list[Any]:
    if isinstance(value, bool):
        return [False] if value else []
    if isinstance(value, int):
        return [other for other in (0, 1, value // 10, value - 1) if abs(other) < abs(value)]
    return []
