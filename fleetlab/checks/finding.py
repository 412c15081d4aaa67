"""What a checker reports: single violations of its rule, and their summary for a result."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation of a rule, at a time in seconds of the run."""

    time_s: float
    text: str


class Check(msgspec.Struct, frozen=True):
    """Summary of a checker's findings: how many there are, and the first one as text."""

    ok: bool
    count: int
    first: str = ""
