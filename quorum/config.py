"""A member's configuration: TOML, checked at the start; what cannot be used is one line with file and key."""

from __future__ import annotations

from pathlib import Path

import msgspec

from tomlconfig import Address, ConfigError, address_of, check_address, read

MAX_MEMBERS, MAX_RESERVE_KB = 9, 1024 * 1024


class Times(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Milliseconds on each member's monotonic clock; the same at all members."""

    least_election_ms: int = 300
    most_election_ms: int = 600
    heartbeat_ms: int = 60


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One member of a quorum."""

    name: str
    listen: str  # where members and clients connect, on this machine's loopback or own network
    folder: str  # the folder that lasts: term, vote, log and snapshot
    members: dict[str, str]  # every member, and every one that may become one: its address from here
    voters: list[str] = []  # who takes part at the beginning; empty: all of them
    operators: str = ""  # where operators read figures by HTTP; empty: nowhere
    reserve_kb: int = 1024  # of the disk, kept for what may not wait once it is full; 0: none
    times: Times = Times()

    @property
    def initial_members(self) -> tuple[str, ...]:
        """Who takes part before any change of membership."""
        return tuple(sorted(self.voters or self.members))

    @property
    def listen_address(self) -> Address:
        """Where it listens."""
        return address_of(self.listen)

    @property
    def others(self) -> dict[str, Address]:
        """The other members."""
        return {name: address_of(text) for name, text in self.members.items() if name != self.name}


def check(config: Config) -> None:
    """What types alone do not tell; ``ConfigError`` begins with the key."""
    if config.name not in config.members:
        raise ConfigError(f"members: {config.name!r} is not among them")
    if len(config.members) > MAX_MEMBERS:
        raise ConfigError(f"members: there are {len(config.members)}, and may be {MAX_MEMBERS}")
    for name in config.voters:
        if name not in config.members:
            raise ConfigError(f"voters: {name!r} is not among the members")
    if len(set(config.initial_members)) not in (1, 3, 5):
        raise ConfigError(f"voters: there are {len(set(config.initial_members))}, and have to be 1, 3 or 5")
    if len(set(config.members.values())) < len(config.members):
        raise ConfigError("members: two have the same address")
    if not 0 <= config.reserve_kb <= MAX_RESERVE_KB:
        raise ConfigError(f"reserve_kb: {config.reserve_kb} is not from 0 to {MAX_RESERVE_KB}")
    times = config.times
    if not 0 < 2 * times.heartbeat_ms <= times.least_election_ms < times.most_election_ms:
        raise ConfigError("times: 2 * heartbeat_ms <= least_election_ms < most_election_ms does not hold")
    addresses = [("listen", config.listen), *(("members", item) for item in config.members.values())]
    for key, text in [*addresses, *([("operators", config.operators)] if config.operators else [])]:
        check_address(key, text)


def load(path: Path) -> Config:
    """A member's configuration file; ``ConfigError`` names file and key."""
    return read(path, Config, check)
