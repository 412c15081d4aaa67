"""A dict that counts accesses to its items."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from _collections_abc import dict_items, dict_keys, dict_values

K = TypeVar("K")
V = TypeVar("V")


class CountingDict(dict[K, V]):
    """A copy of a dict; ``accesses`` is the number of look-ups plus the number of items iterated over.

    An iteration counts all items when it begins, even if it stops early.
    """

    def __init__(self, items: Mapping[K, V]) -> None:
        super().__init__(items)
        self.accesses = 0

    def __getitem__(self, key: K) -> V:
        self.accesses += 1
        return super().__getitem__(key)

    def __contains__(self, key: object) -> bool:
        self.accesses += 1
        return super().__contains__(key)

    def get(self, key: K, default: Any = None) -> Any:
        """As in a dict; one access."""
        self.accesses += 1
        return super().get(key, default)

    def setdefault(self, key: K, default: Any = None) -> Any:
        """As in a dict; one access."""
        self.accesses += 1
        return super().setdefault(key, default)

    def __iter__(self) -> Iterator[K]:
        self.accesses += len(self)
        return super().__iter__()

    def keys(self) -> dict_keys[K, V]:
        """As in a dict; counts every item."""
        self.accesses += len(self)
        return super().keys()

    def values(self) -> dict_values[K, V]:
        """As in a dict; counts every item."""
        self.accesses += len(self)
        return super().values()

    def items(self) -> dict_items[K, V]:
        """As in a dict; counts every item."""
        self.accesses += len(self)
        return super().items()
