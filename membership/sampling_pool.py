"""Names from which some are drawn, at a cost that does not grow with how many there are."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random


class SamplingPool:
    """A set of names that can be drawn from."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._positions

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def add(self, name: str) -> None:
        """Take a name in; one that is there stays."""
        if name not in self._positions:
            self._positions[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Let a name go, where it is there: the last one takes its place."""
        place = self._positions.pop(name, None)
        if place is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[place], self._positions[last] = last, place

    def sample(self, random: Random, most: int, *without: str) -> list[str]:
        """So many of them at most, each as likely as any other; ``without`` names that are not meant."""
        spared = {name for name in without if name in self._positions}
        some = random.sample(range(len(self._names)), min(most + len(spared), len(self._names)))
        return [name for place in some if (name := self._names[place]) not in spared][:most]
