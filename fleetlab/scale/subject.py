"""What a subject of measurement is; ``fleetlab.scale.registry`` lists all of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fleetlab.scale.records import Reading

MeasureFunction = Callable[[int, int], list[Reading]]  # size and seed give the readings


@dataclass(frozen=True, slots=True)
class Subject:
    """One thing that grows with a fleet.

    ``measure`` runs alone in a fresh process, so its memory figures are its own. It must end by itself and
    derive every count from the seed.
    """

    name: str
    about: str
    axis: str  # what a size counts, e.g. "endpoints in the list"
    sizes: tuple[int, ...]  # measured if none are named
    target: int  # the size that the design has to carry
    memory_bytes: Callable[[int], int]  # an upper estimate of what the measurement needs
    measure: MeasureFunction
    timeout_s: float = 120.0  # after which a measurement at one size is ended
