"""A member's configuration: a TOML file, checked at the start; an error is one line with file and key."""

from __future__ import annotations

from pathlib import Path

import msgspec

from membership.core import Settings
from tomlconfig import ConfigError, check_address, read_config

MAX_NAME_CHARS = 64  # of a member's, a fleet's and a zone's name
MAX_SEEDS = 64


class Times(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Protocol times in milliseconds on the member's own monotonic clock; all members need the same.

    The field names are the file's keys.
    """

    period_ms: int = 1_000  # between two probes
    ack_ms: int = 300  # for an ack, before other members are asked for indirect pings
    gossip_ms: int = 200  # between two rounds of gossip
    exchange_ms: int = 15_000  # between two anti-entropy exchanges
    again_ms: int = 5_000  # between two pings of failed members


class Config(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The settings of one member; the field names are the file's keys."""

    name: str
    fleet: str  # messages of another fleet are ignored
    listen: str  # address for datagrams and connections, at which other members reach this one
    folder: str  # a folder that outlasts the process: it keeps the generation of the last life
    seeds: list[str] = []  # addresses of members to join the fleet by
    zone: str = ""
    operators: str = ""  # address of the operators' HTTP pages; empty: none are served
    reach: dict[str, str] = {}  # an address as a member lists it: the address to use from here instead
    trace: bool = False  # whether each change of the view is written to a file in the folder, for tests
    times: Times = Times()

    @property
    def settings(self) -> Settings:
        """The protocol parameters for the core."""
        times = self.times
        return Settings(
            probe_period_us=times.period_ms * 1000,
            ack_timeout_us=times.ack_ms * 1000,
            gossip_interval_us=times.gossip_ms * 1000,
            exchange_interval_us=times.exchange_ms * 1000,
            failed_probe_interval_us=times.again_ms * 1000,
        )


def check(config: Config) -> None:
    """Check what types alone cannot; a ``ConfigError`` begins with the key."""
    for key in ("name", "fleet", "folder"):
        if not 0 < len(getattr(config, key)) <= (MAX_NAME_CHARS if key != "folder" else 4096):
            raise ConfigError(f"{key}: has to have from 1 to {MAX_NAME_CHARS} characters")
    if len(config.zone) > MAX_NAME_CHARS:
        raise ConfigError(f"zone: has to have at most {MAX_NAME_CHARS} characters")
    if len(config.seeds) > MAX_SEEDS:
        raise ConfigError(f"seeds: there are {len(config.seeds)}, allowed are at most {MAX_SEEDS}")
    check_address("listen", config.listen)
    for text in config.seeds:
        check_address("seeds", text)
    for listed, reachable in config.reach.items():
        check_address("reach", listed)
        check_address(f"reach.{listed}", reachable)
    if config.operators:
        check_address("operators", config.operators)
    times = config.times
    if not 0 < 2 * times.ack_ms <= times.period_ms:
        raise ConfigError("times.ack_ms: has to be above 0 and at most half of times.period_ms")
    for key in ("gossip_ms", "exchange_ms", "again_ms"):
        if getattr(times, key) <= 0:
            raise ConfigError(f"times.{key}: has to be above 0")


def load(path: Path) -> Config:
    """Read a member's configuration file; a ``ConfigError`` names file and key."""
    return read_config(path, Config, check)
