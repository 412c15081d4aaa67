"""Endpoint lists of any length in discovery's format, with the entries of the stand-in platform."""

from __future__ import annotations

from random import Random

import msgspec

from standins.platform import EndpointEntry

ZONES = ("east-1", "east-2", "east-3", "west-1", "west-2")
DESTINATION_KIND = "franchisee"
# Memory of a relay, as the tests' stand-ins configure it.
RELAY_MEMORY_BYTES = 192_000_000
# Upper estimate of the memory that a measurement needs for each endpoint, encoded text and objects together.
BYTES_PER_ENDPOINT = 20_000
ENCODE_JSON = msgspec.json.Encoder().encode


def make_entries(size: int, random: Random) -> list[EndpointEntry]:
    """A list of ``size`` endpoints, one for each destination, with host names like a platform's."""
    return [
        EndpointEntry(
            f"s-{random.getrandbits(32):08x}-{number}", ZONES[number % len(ZONES)], DESTINATION_KIND, number
        )
        for number in range(size)
    ]


def estimate_memory_bytes(size: int) -> int:
    """Upper estimate of the memory for measuring a relay with a list of ``size`` endpoints."""
    return size * BYTES_PER_ENDPOINT


def dial_address(number: int) -> str:
    """The address of endpoint ``number``: on loopback, at the discard port, where nothing listens."""
    return f"127.{1 + (number >> 16)}.{(number >> 8) & 255}.{number & 255}:9"


def encode_update(version: int, whole: bool, listed: list[EndpointEntry]) -> bytes:
    """One line of a watch at this version: the whole list, or the entries that changed."""
    hosts = [entry.as_listed(dial_address(entry.block)) for entry in listed]
    return ENCODE_JSON({"seq": version, "whole": whole, "hosts": hosts}) + b"\n"
