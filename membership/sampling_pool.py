"""A set of names with random sampling, at a cost that does not grow with the size of the set."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random


class SamplingPool:
    """A set of names that can be sampled uniformly."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}  # of each name in the list

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._positions

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def add(self, name: str) -> None:
        """Add a name; no effect if it is present."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is present: the last one of the list moves to its position."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[position], self._positions[last] = last, position

    def sample(self, random: Random, limit: int, *excluded: str) -> list[str]:
        """Up to ``limit`` different names except the ``excluded`` ones, each equally likely."""
        # Enough are drawn that ``limit`` remain if all the excluded ones are among them.
        present_excluded = {name for name in excluded if name in self._positions}
        positions = random.sample(
            range(len(self._names)), min(limit + len(present_excluded), len(self._names))
        )
        return [name for position in positions if (name := self._names[position]) not in present_excluded][
            :limit
        ]
