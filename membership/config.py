"""A member's configuration: TOML, checked at the start; what cannot be used is one line with file and key."""

from __future__ import annotations

from pathlib import Path

import msgspec

from membership.core import Settings
from tomlconfig import ConfigError, check_address, read_config

MAX_NAME_CHARS, MAX_SEEDS = 64, 64


class Times(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Milliseconds on the member's own monotonic clock; the same at all members."""

    period_ms: int = 1_000  # between two probes
    ack_ms: int = 300  # for an answer, before others are asked to ask
    gossip_ms: int = 200  # between two rounds of news alone
    exchange_ms: int = 15_000  # between two whole exchanges
    again_ms: int = 5_000  # between two probes of members that were declared failed


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One member of a fleet."""

    name: str
    fleet: str  # members of another fleet are not heard
    listen: str  # datagrams and connections of other members; others reach it there
    folder: str  # the folder that lasts: the number of this life
    seeds: list[str] = []  # addresses at which others may be found
    zone: str = ""
    operators: str = ""  # where operators read pages by HTTP; empty: nowhere
    reach: dict[str, str] = {}  # a member's address as it tells it: where that is reached from here
    trace: bool = False  # whether each change of the view is written to the folder, for a proving ground
    times: Times = Times()

    @property
    def settings(self) -> Settings:
        """The core's settings."""
        times = self.times
        return Settings(
            probe_period_us=times.period_ms * 1000,
            ack_timeout_us=times.ack_ms * 1000,
            gossip_interval_us=times.gossip_ms * 1000,
            exchange_interval_us=times.exchange_ms * 1000,
            failed_probe_interval_us=times.again_ms * 1000,
        )


def check(config: Config) -> None:
    """What types alone do not tell; ``ConfigError`` begins with the key."""
    for key in ("name", "fleet", "folder"):
        if not 0 < len(getattr(config, key)) <= (MAX_NAME_CHARS if key != "folder" else 4096):
            raise ConfigError(f"{key}: from 1 to {MAX_NAME_CHARS} characters")
    if len(config.zone) > MAX_NAME_CHARS:
        raise ConfigError(f"zone: {MAX_NAME_CHARS} characters at most")
    if len(config.seeds) > MAX_SEEDS:
        raise ConfigError(f"seeds: there are {len(config.seeds)}, and may be {MAX_SEEDS}")
    check_address("listen", config.listen)
    for text in config.seeds:
        check_address("seeds", text)
    for told, reached in config.reach.items():
        check_address("reach", told)
        check_address(f"reach.{told}", reached)
    if config.operators:
        check_address("operators", config.operators)
    times = config.times
    if not 0 < 2 * times.ack_ms <= times.period_ms:
        raise ConfigError("times.ack_ms: above 0, and at most half of period_ms")
    for key in ("gossip_ms", "exchange_ms", "again_ms"):
        if getattr(times, key) <= 0:
            raise ConfigError(f"times.{key}: has to be above 0")


def load(path: Path) -> Config:
    """A member's configuration file; ``ConfigError`` names file and key."""
    return read_config(path, Config, check)
