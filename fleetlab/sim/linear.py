"""Linearizability check of one record's history: a search for a sequential order that explains all answers.

Wing and Gong, "Testing and Verifying Concurrent Objects" (1993), with visited states memoized as in
Lowe, "Testing for linearizability" (2017). An operation without an answer may have taken effect at any time
after its call, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

FOREVER = 1 << 62  # ``returned_at`` of an operation without an answer
MAX_STATES = 500_000  # visited states after which the search gives up


class TooLargeError(RuntimeError):
    """The search visited more than ``MAX_STATES`` states and was given up without a result."""


@dataclass(frozen=True, slots=True)
class Operation:
    """A request and its answer. Without an answer, ``returned_at`` is ``FOREVER`` and ``answer`` is None.

    Times are integers of any one unit; only their order matters.
    """

    called_at: int
    returned_at: int
    request: Any
    answer: Any


Step = Callable[[Any, Any, Any], tuple[bool, Any]]


def is_linearizable(operations: list[Operation], state: Hashable, step: Step) -> bool:
    """Whether some order of the operations, consistent with their times, explains every answer.

    ``step(state, request, answer)`` returns whether the answer is possible in the state, and the next state.
    Raises ``TooLargeError`` if more than ``MAX_STATES`` states would have to be visited.
    """
    by_call = sorted(operations, key=lambda item: item.called_at)
    all_mask = (1 << len(by_call)) - 1
    # An order is complete once it has all operations that were answered.
    answered_mask = sum(1 << index for index, item in enumerate(by_call) if item.answer is not None)
    visited: set[tuple[int, Hashable]] = set()
    stack: list[tuple[int, Any]] = [(0, state)]
    while stack:
        done_mask, current = stack.pop()
        if done_mask & answered_mask == answered_mask:
            return True
        if (done_mask, current) in visited:
            continue
        visited.add((done_mask, current))
        if len(visited) > MAX_STATES:
            raise TooLargeError(f"judging the history needs over {MAX_STATES} states")
        remaining = [
            (index, item) for index, item in enumerate(by_call) if (all_mask ^ done_mask) >> index & 1
        ]
        # The next operation has to be called before any of the remaining ones has returned.
        first_return = min((item.returned_at for _, item in remaining), default=FOREVER)
        for index, item in remaining:
            if item.called_at > first_return:
                break
            is_possible, following = step(current, item.request, item.answer)
            if is_possible:
                stack.append((done_mask | 1 << index, following))
    return False
