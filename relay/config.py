"""Configuration of a relay: reads environment variables and a JSON file into one typed value."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from decisions.interface import Settings
from decisions.simulator_adapter import parse_int, parse_settings
from relay.endpoint_list import DirectoryUpdate, parse_list
from relay.http import Address

DEFAULT_MEMORY_MB = 32  # the smallest memory of any deployment, so a relay without a limit fits everywhere
MIN_SOCKETS = 4  # half of them are for clients, a quarter for idle connections to endpoints
T = TypeVar("T")


class ConfigError(ValueError):
    """The configuration cannot be used. The text starts with the key if it is about the value of one key."""


@dataclass(frozen=True, slots=True)
class Config:
    """Complete configuration of one relay."""

    name: str
    listen: Address
    discovery: Address
    state_dir: Path
    seed: int
    settings: Settings
    connect_timeout_us: int
    disk_bytes: int
    max_sockets: int
    memory_bytes: int
    initial_hosts: DirectoryUpdate
    admin: Address | None = None  # the operators' address; None: operators are not served
    # Descriptor of the clients' listening socket; None: listen at ``listen``.
    passed_socket: int | None = None
    shared_dir: Path = Path()  # for files that processes of this relay share and that may be lost after them


def parse_address(text: str) -> Address:
    """Return ``host:port`` as the pair that sockets take; raise ``ConfigError`` for anything else."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"not an address: {text!r}")
    return host, int(port)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as the (path, value) pairs that the settings reader of the simulator adapter takes.

    The simulator's settings are flattened from the same object, so one reader serves both.
    """
    if isinstance(value, dict):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(format_value(item) for item in value)
    elif value is not None:
        yield path, format_value(value)


def format_value(value: Any) -> str:
    """Return a scalar as the simulator's protocol spells it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value).replace(" ", "_").replace(",", "_")


def read_value(key: str, read: Callable[[Any], T], value: Any) -> T:
    """Return a value converted by ``read``; raise ``ConfigError`` with the key if it cannot be converted."""
    try:
        return read(value)
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{key}: {error}") from None


def read_limit(limits: Mapping[str, Any], key: str, default: float, minimum: float) -> float:
    """Return a limit or its default; raise ``ConfigError`` with the key if it is too low or not finite."""
    value = read_value(f"limits.{key}", float, limits.get(key, default))
    if not minimum <= value < math.inf:
        raise ConfigError(f"limits.{key}: {value:g} is not a finite number of at least {minimum:g}")
    return value


def parse_seed(value: Any) -> int:
    """Return the seed, given as hexadecimal text or as a number."""
    return int(value, 16) if isinstance(value, str) else int(value)


def read_discovery_address(environ: Mapping[str, str]) -> Address:
    """Return the address of discovery from the configuration file as it is now; raise ``ConfigError``."""
    try:
        return parse_address(json.loads(Path(environ["ROUTER_CONFIG"]).read_bytes())["discovery"])
    except KeyError as error:
        raise ConfigError(f"missing {error.args[0]}") from None
    except (OSError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(str(error)) from error


def load(environ: Mapping[str, str]) -> Config:
    """Read the file ``$ROUTER_CONFIG``, and the environment variables that take precedence over its keys.

    ``$ROUTER_DISCOVERY`` counts only where the file names no address of discovery: the platform replaces the
    file when discovery moves, and may start later processes with the variables of the first one.
    Raises ``ConfigError`` if something is missing or invalid.
    """
    try:
        raw = json.loads(Path(environ["ROUTER_CONFIG"]).read_bytes())
        pairs = dict(flatten(raw["settings"]))
        limits = raw.get("limits", {})
        return Config(
            name=environ.get("ROUTER_NAME") or str(raw["name"]),
            listen=read_value("listen", parse_address, environ.get("ROUTER_LISTEN") or raw["listen"]),
            discovery=read_value(
                "discovery", parse_address, raw.get("discovery") or environ["ROUTER_DISCOVERY"]
            ),
            state_dir=Path(environ["ROUTER_STATE"]),
            seed=read_value("seed", parse_seed, raw.get("seed", 0)),
            # The real directory answers only when it is asked, whatever is configured for the simulator.
            settings=replace(parse_settings(pairs), must_ask=True),
            connect_timeout_us=parse_int(pairs, "allowed.connect_timeout_us", 1_000_000),
            disk_bytes=int(read_limit(limits, "disk_mb", 3, 0.01) * 1_000_000),
            max_sockets=int(read_limit(limits, "sockets", 1024, MIN_SOCKETS)),
            memory_bytes=int(read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB, 1) * 1_000_000),
            initial_hosts=read_value("known", parse_list, raw["known"])
            if raw.get("known")
            else DirectoryUpdate(0, True, ()),
            passed_socket=int(passed) if (passed := environ.get("ROUTER_PASSED_SOCKET")) else None,
            shared_dir=Path(environ.get("TMPDIR") or environ["ROUTER_STATE"]),
            admin=read_value("admin", parse_address, admin)
            if (admin := environ.get("ROUTER_ADMIN") or raw.get("admin"))
            else None,
        )
    except KeyError as error:
        raise ConfigError(f"missing {error.args[0]}") from None
    except (OSError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(str(error)) from error
