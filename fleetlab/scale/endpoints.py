"""Endpoint lists of any length in discovery's form, by the stand-in platform's own encoder."""

from __future__ import annotations

from random import Random

import msgspec

from standins.platform import EndpointEntry

ZONES = ("east-1", "east-2", "east-3", "west-1", "west-2")
DESTINATION_KIND = "franchisee"
RELAY_MEMORY_BYTES = 192_000_000  # of a relay, as the tests' stand-ins configure it
BYTES_PER_ENDPOINT = 20_000  # upper estimate of what a measurement needs for one, text and objects together
ENCODE_JSON = msgspec.json.Encoder().encode


def make_entries(size: int, random: Random) -> list[EndpointEntry]:
    """That many endpoints, one to each destination, with names as a platform gives them."""
    return [
        EndpointEntry(
            f"s-{random.getrandbits(32):08x}-{number}", ZONES[number % len(ZONES)], DESTINATION_KIND, number
        )
        for number in range(size)
    ]


def estimate_memory_bytes(size: int) -> int:
    """An upper estimate of what a relay's measurement with so long a list needs."""
    return size * BYTES_PER_ENDPOINT


def dial_address(number: int) -> str:
    """The address of an endpoint; nothing listens there, and it leads nowhere off the machine."""
    return f"127.{1 + (number >> 16)}.{(number >> 8) & 255}.{number & 255}:9"


def encode_update(seq: int, whole: bool, listed: list[EndpointEntry]) -> bytes:
    """One line of a watch: the whole list, or entries that changed."""
    hosts = [entry.as_listed(dial_address(entry.block)) for entry in listed]
    return ENCODE_JSON({"seq": seq, "whole": whole, "hosts": hosts}) + b"\n"
