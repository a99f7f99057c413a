"""Sources of choices for input generators: a seed, a byte string, or hypothesis."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Source(Protocol):
    """A source of choices."""

    def below(self, limit: int) -> int:
        """An integer from 0 to ``limit`` - 1."""


class SeededSource:
    """Pseudo-random choices from a seed."""

    def __init__(self, seed: int | str) -> None:
        self._random = random.Random(seed)

    def below(self, limit: int) -> int:
        """See ``Source``."""
        return int(self._random.random() * limit)


class ByteSource:
    """Choices from a byte string: one byte for limits up to 256, else two.

    Every choice is 0 once the bytes are used up, so a short input gives a short script.
    """

    def __init__(self, data: bytes) -> None:
        self._data, self._offset = data, 0

    @property
    def exhausted(self) -> bool:
        """Whether all bytes are used up."""
        return self._offset >= len(self._data)

    def below(self, limit: int) -> int:
        """See ``Source``."""
        size = 1 if limit <= 256 else 2
        chunk = self._data[self._offset : self._offset + size]
        self._offset += size
        return int.from_bytes(chunk, "big") % limit


class HypothesisSource:
    """Choices drawn by hypothesis, which shrinks them itself.

    ``data`` is a value of ``hypothesis.strategies.data()``, ``integers`` the strategy of that name.
    """

    def __init__(self, data: Any, integers: Any) -> None:
        self._data, self._integers = data, integers

    def below(self, limit: int) -> int:
        """See ``Source``."""
        return int(self._data.draw(self._integers(0, limit - 1)))


def pick(source: Source, options: Sequence[T]) -> T:
    """Choose an option, all equally likely."""
    return options[source.below(len(options))]


def pick_weighted(source: Source, options: Sequence[tuple[int, T]]) -> T:
    """Choose from (integer weight, option) pairs with a likelihood in proportion to the weight."""
    remaining = source.below(sum(weight for weight, _ in options))
    for weight, option in options:
        remaining -= weight
        if remaining < 0:
            return option
    raise AssertionError("no options")
