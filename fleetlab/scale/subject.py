"""The definition of a subject that is measured; ``fleetlab.scale.registry`` lists all subjects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fleetlab.scale.records import Reading

MeasureFunction = Callable[[int, int], list[Reading]]  # (size, seed) -> readings


@dataclass(frozen=True, slots=True)
class Subject:
    """Something whose cost grows with a fleet, and how it is measured.

    ``measure`` runs alone in a new process, so that its memory figures are its own. It must end by itself
    and derive every count from the seed.
    """

    name: str
    about: str
    axis: str  # what a size counts, e.g. "endpoints in the list"
    sizes: tuple[int, ...]  # measured unless the command names others
    target: int  # the size that the design has to support
    memory_bytes: Callable[[int], int]  # upper estimate of the memory that a measurement at this size needs
    measure: MeasureFunction
    timeout_s: float = 120.0  # after which the measurement of one size is ended and counts as failed
