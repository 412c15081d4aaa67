"""A sweeper's configuration: a TOML file, checked at the start; an error is one line with file and key."""

from __future__ import annotations

from pathlib import Path

import msgspec

from quorum.state_machine import MAX_TTL_MS, MIN_TTL_MS
from sweeper.summary import MAX_NAME_BYTES, MAX_RELAYS, MAX_RELAYS_PER_RECORD, split_into_slices
from tomlconfig import Address, ConfigError, check_address, parse_address, read_config

MAX_PACE_PER_S = 200.0


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The settings of one sweeper; the field names are the file's keys.

    All sweepers of a fleet need the same settings, except ``name`` and ``operators``.
    """

    name: str
    members: dict[str, str]  # addresses of the quorum's members, by name
    relays: dict[str, str]  # addresses of the relays' operators' servers, by name
    operators: str = ""  # address of the operators' HTTP pages; empty: none are served
    pace_per_s: float = 5.0  # relays read in a second, at most, by all sweepers together
    timeout_ms: int = 1_000  # for reading one relay
    pause_ms: int = 1_000  # between two rounds
    ttl_ms: int = 3_000  # of the lease on a task

    @property
    def quorum(self) -> dict[str, Address]:
        """The parsed addresses of the quorum's members."""
        return {name: parse_address(text) for name, text in self.members.items()}


def check(config: Config) -> None:
    """Check what types alone cannot; a ``ConfigError`` begins with the key."""
    if not config.name or not config.members:
        raise ConfigError("name, members: must not be empty")
    if len(config.relays) > MAX_RELAYS:
        raise ConfigError(f"relays: there are {len(config.relays)}, allowed are at most {MAX_RELAYS}")
    if (largest := max(map(len, split_into_slices(config.relays)))) > MAX_RELAYS_PER_RECORD:
        raise ConfigError(
            f"relays: {largest} have names that hash to one record, but it holds only {MAX_RELAYS_PER_RECORD}"
        )
    for name in config.relays:
        if len(name.encode()) > MAX_NAME_BYTES:
            raise ConfigError(f"relays: the name {name!r} is longer than {MAX_NAME_BYTES} bytes")
    if not 0 < config.pace_per_s <= MAX_PACE_PER_S:
        raise ConfigError(f"pace_per_s: {config.pace_per_s} is not above 0 and at most {MAX_PACE_PER_S:.0f}")
    if not MIN_TTL_MS <= config.ttl_ms <= MAX_TTL_MS:
        raise ConfigError(f"ttl_ms: {config.ttl_ms} is not from {MIN_TTL_MS} to {MAX_TTL_MS}")
    for key, value in (("timeout_ms", config.timeout_ms), ("pause_ms", config.pause_ms)):
        if not 1 <= value <= 600_000:
            raise ConfigError(f"{key}: {value} is not from 1 to 600000")
    for key, addresses in (("members", config.members), ("relays", config.relays)):
        for name, text in addresses.items():
            check_address(f"{key}.{name}", text)
    if config.operators:
        check_address("operators", config.operators)


def load(path: Path) -> Config:
    """Read a sweeper's configuration file; a ``ConfigError`` names file and key."""
    return read_config(path, Config, check)
