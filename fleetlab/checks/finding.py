"""What a checker reports: single violations of a rule, and their summary for a result."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Finding:
    """One break of a rule."""

    time_s: float
    text: str


class Check(msgspec.Struct, frozen=True):
    """What a checker found: ``count`` breaks, the ``first`` in words."""

    ok: bool
    count: int
    first: str = ""
