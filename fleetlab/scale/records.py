"""Typed records of the scale measurements; each can be written as JSON."""

from __future__ import annotations

from enum import Enum

import msgspec


class ScaleError(Exception):
    """Wrong use, or a measurement that did not end; its text is one line for the user."""


class Source(Enum):
    """Where a reading comes from."""

    COUNT = "count"  # the same in every run with this seed, on any machine
    TIMED = "timed"  # measured on this machine


class Reading(msgspec.Struct, frozen=True):
    """One figure at one size."""

    figure: str  # its name, with the unit as its last word, e.g. ``whole_list_bytes``
    value: float
    source: Source = Source.COUNT


class Sample(msgspec.Struct, frozen=True):
    """All readings of one subject at one size."""

    subject: str
    size: int
    seed: int
    seconds: float  # of real time that the measurement took
    readings: tuple[Reading, ...]


class Slope(msgspec.Struct, frozen=True):
    """How one figure grows: ``value = intercept + slope * size``, fitted over the sizes measured."""

    figure: str
    source: Source
    sizes: tuple[int, ...]
    slope: float  # a unit of the axis
    intercept: float
    exponent: float  # of size, fitted over the upper half of the sizes: 1 is linear, 2 quadratic
    error: float  # the largest deviation of a reading from the fit, as a share of the largest reading
    target: int  # the size of interest
    at_target: float  # measured there, or by the fit
    extrapolated_by: float  # target over the largest size measured; 1 where it was measured


class ScaleReport(msgspec.Struct, frozen=True):
    """What one run of the command found out about one subject."""

    subject: str
    about: str
    axis: str
    samples: tuple[Sample, ...]
    slopes: tuple[Slope, ...]
    left_out: tuple[str, ...] = ()  # sizes that were not measured, each with the reason
