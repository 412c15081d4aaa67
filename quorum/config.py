"""A member's configuration: a TOML file, checked at the start. An error is one line with the file and key."""

from __future__ import annotations

from pathlib import Path

import msgspec

from tomlconfig import Address, ConfigError, check_address, parse_address, read_config

MAX_MEMBERS = 9  # current and future ones in the table of addresses
MAX_RESERVE_KB = 1024 * 1024  # 1 GiB


class Times(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Raft's timeouts in milliseconds on each member's monotonic clock; the same at all members."""

    least_election_ms: int = 300
    most_election_ms: int = 600
    heartbeat_ms: int = 60


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The configuration of one member of a quorum."""

    name: str
    listen: str  # address for members and clients, on this machine's loopback or own network
    folder: str  # the durable folder with term, vote, log and snapshot
    members: dict[str, str]  # address, as reached from here, of every current or future member by name
    voters: list[str] = []  # the initial members; empty: all of ``members``
    operators: str = ""  # address of the operators' HTTP pages; empty: none
    reserve_kb: int = 1024  # disk space in KiB for writes that cannot be deferred on a full disk; 0: none
    times: Times = Times()

    @property
    def initial_members(self) -> tuple[str, ...]:
        """The members before any change of membership."""
        return tuple(sorted(self.voters or self.members))

    @property
    def listen_address(self) -> Address:
        """The address for members and clients."""
        return parse_address(self.listen)

    @property
    def others(self) -> dict[str, Address]:
        """The addresses of all other members."""
        return {name: parse_address(text) for name, text in self.members.items() if name != self.name}


def check(config: Config) -> None:
    """Check what the field types do not express; raises ``ConfigError``, whose text begins with the key."""
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
    """Read a member's configuration file; raises ``ConfigError``, which names the file and key."""
    return read_config(path, Config, check)
