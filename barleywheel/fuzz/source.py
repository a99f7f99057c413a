"""Choices that a generator of inputs makes: from a seed, from bytes, or from hypothesis."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Source(Protocol):
    """Where choices come from."""

    def below(self, limit: int) -> int:
        """A whole number from 0 to ``limit`` - 1."""


class SeededSource:
    """From a seed."""

    def __init__(self, seed: int | str) -> None:
        self._random = random.Random(seed)

    def below(self, limit: int) -> int:
        """See ``Source``."""
        return int(self._random.random() * limit)


class ByteSource:
    """From bytes, two a choice; when they run out, always 0: so a short input is a short script."""

    def __init__(self, data: bytes) -> None:
        self._data, self._at = data, 0

    @property
    def exhausted(self) -> bool:
        """Whether the bytes have run out."""
        return self._at >= len(self._data)

    def below(self, limit: int) -> int:
        """See ``Source``."""
        size = 1 if limit <= 256 else 2
        taken = self._data[self._at : self._at + size]
        self._at += size
        return int.from_bytes(taken, "big") % limit


class HypothesisSource:
    """From hypothesis' draws, which it shrinks by itself. ``data`` is what ``strategies.data`` gives."""

    def __init__(self, data: Any, integers: Any) -> None:
        self._data, self._integers = data, integers

    def below(self, limit: int) -> int:
        """See ``Source``."""
        return int(self._data.draw(self._integers(0, limit - 1)))


def pick(source: Source, options: Sequence[T]) -> T:
    """One of several."""
    return options[source.below(len(options))]


def pick_weighted(source: Source, options: Sequence[tuple[int, T]]) -> T:
    """One of several, by weights that are whole numbers."""
    at = source.below(sum(weight for weight, _ in options))
    for weight, option in options:
        at -= weight
        if at < 0:
            return option
    raise AssertionError("no options")
