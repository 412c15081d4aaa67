"""Whether a history of one record is linearizable: a search for one order of all operations that explains it.

Wing and Gong, "Testing and Verifying Concurrent Objects" (1993), with the states that were tried remembered,
as Lowe, "Testing for linearizability" (2017), does. An operation without an answer may have taken effect at
any time after its call, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

FOREVER = 1 << 62
MAX_STATES = 500_000  # states; a history that needs more is too large to be judged


class TooLargeError(RuntimeError):
    """The search was given up."""


@dataclass(frozen=True, slots=True)
class Operation:
    """A call and its answer; without one ``ended`` is ``FOREVER`` and ``answer`` None."""

    called_at: int
    returned_at: int
    request: Any
    answer: Any


Step = Callable[[Any, Any, Any], tuple[bool, Any]]


def is_linearizable(operations: list[Operation], state: Hashable, step: Step) -> bool:
    """Whether some order explains every answer.

    ``step(state, asked, answer)`` tells whether the answer fits and what the state is then. ``TooLargeError``
    where the search takes more than its bound.
    """
    some = sorted(operations, key=lambda item: item.called_at)
    whole = (1 << len(some)) - 1
    owed = sum(1 << at for at, item in enumerate(some) if item.answer is not None)
    tried: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Any]] = [(0, state)]
    while stack:
        done, now = stack.pop()
        if done & owed == owed:
            return True
        if (done, now) in tried:
            continue
        tried.add((done, now))
        if len(tried) > MAX_STATES:
            raise TooLargeError(f"over {MAX_STATES} states")
        rest = [(at, item) for at, item in enumerate(some) if (whole ^ done) >> at & 1]
        first_end = min((item.returned_at for _, item in rest), default=FOREVER)
        for at, item in rest:
            if item.called_at > first_end:
                break
            fits, then = step(now, item.request, item.answer)
            if fits:
                stack.append((done | 1 << at, then))
    return False
