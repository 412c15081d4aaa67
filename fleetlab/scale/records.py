"""Records of the scale measurements; each can be encoded as JSON under its field names."""

from __future__ import annotations

from enum import Enum

import msgspec


class ScaleError(Exception):
    """Wrong usage or a failed measurement; its text is one line for the user."""


class Source(Enum):
    """Whether a reading can be reproduced."""

    COUNT = "count"  # the same in every run with the same seed, on any machine
    TIMED = "timed"  # depends on the machine and its load


class Reading(msgspec.Struct, frozen=True):
    """The value of one figure at one size."""

    figure: str  # its name, with the unit as its last word, e.g. ``whole_list_bytes``
    value: float
    source: Source = Source.COUNT


class Sample(msgspec.Struct, frozen=True):
    """All readings of one subject at one size."""

    subject: str
    size: int
    seed: int
    seconds: float  # real time that the measurement took
    readings: tuple[Reading, ...]


class Slope(msgspec.Struct, frozen=True):
    """How one figure grows: ``value = intercept + slope * size``, fitted over the sizes measured."""

    figure: str
    source: Source
    sizes: tuple[int, ...]
    slope: float  # growth of the value for each unit of size
    intercept: float
    exponent: float  # of growth, over the upper half of the sizes: 1 is linear, 2 quadratic
    error: float  # the largest deviation of a reading from the fit, as a share of the largest reading
    target: int  # the size that the design has to support
    at_target: float  # value at the target, measured or from the fit
    extrapolated_by: float  # target divided by the largest size measured; 1 if the target was measured


class ScaleReport(msgspec.Struct, frozen=True):
    """The result of one run of the command for one subject."""

    subject: str
    about: str
    axis: str
    samples: tuple[Sample, ...]
    slopes: tuple[Slope, ...]
    left_out: tuple[str, ...] = ()  # sizes that were not measured, each with the reason
