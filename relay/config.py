"""What a relay is told: environment and JSON file to one typed value."""

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

DEFAULT_MEMORY_MB = 32  # of any deployment: what a relay that is told no limit keeps to
MIN_SOCKETS = 4  # half are for clients, a quarter for idle connections to endpoints
T = TypeVar("T")


class ConfigError(ValueError):
    """The deployment told something that cannot be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that one relay runs by."""

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
    admin: Address | None = None  # where operators call; None: nowhere
    passed_socket: int | None = None  # the descriptor on which clients come; None: listen by oneself
    shared_dir: Path = Path()  # for what processes of this relay share and need not outlast them


def parse_address(text: str) -> Address:
    """``host:port`` as the pair that sockets take."""
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"not an address: {text!r}")
    return host, int(port)


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the path=value pairs that the adapter's settings reader takes.

    Both come from one object, so one reader serves the simulator and the sockets alike.
    """
    if isinstance(value, dict):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for at, item in enumerate(value):
            yield from flatten(item, f"{path}.{at}")
    elif isinstance(value, list):
        yield path, ",".join(format_value(item) for item in value)
    elif value is not None:
        yield path, format_value(value)


def format_value(value: Any) -> str:
    """One plain value in the wire's spelling."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value).replace(" ", "_").replace(",", "_")


def read_value(key: str, read: Callable[[Any], T], value: Any) -> T:
    """A value by its reader; ``ConfigError`` names the key of one that cannot be read."""
    try:
        return read(value)
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{key}: {error}") from None


def read_limit(limits: Mapping[str, Any], key: str, usual: float, least: float) -> float:
    """A limit that the deployment sets; ``ConfigError`` names the key of one that cannot be kept to."""
    value = read_value(f"limits.{key}", float, limits.get(key, usual))
    if not least <= value < math.inf:
        raise ConfigError(f"limits.{key}: {value:g} cannot be kept to, the least is {least:g}")
    return value


def parse_seed(value: Any) -> int:
    """The seed is hexadecimal text; a plain number serves too."""
    return int(value, 16) if isinstance(value, str) else int(value)


def read_discovery_address(environ: Mapping[str, str]) -> Address:
    """Where discovery is by the file as it stands now; the environment is older than a changed file."""
    try:
        return parse_address(json.loads(Path(environ["ROUTER_CONFIG"]).read_bytes())["discovery"])
    except KeyError as error:
        raise ConfigError(f"missing {error.args[0]}") from None
    except (OSError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(str(error)) from error


def load(environ: Mapping[str, str]) -> Config:
    """Read ``$ROUTER_CONFIG``; where a variable of its own is set, that one counts."""
    try:
        raw = json.loads(Path(environ["ROUTER_CONFIG"]).read_bytes())
        pairs = dict(flatten(raw["settings"]))
        limits = raw.get("limits", {})
        return Config(
            name=environ.get("ROUTER_NAME") or str(raw["name"]),
            listen=read_value("listen", parse_address, environ.get("ROUTER_LISTEN") or raw["listen"]),
            discovery=read_value(
                "discovery", parse_address, environ.get("ROUTER_DISCOVERY") or raw["discovery"]
            ),
            state_dir=Path(environ["ROUTER_STATE"]),
            seed=read_value("seed", parse_seed, raw.get("seed", 0)),
            # On sockets the directory answers only when asked, whatever the simulator's site says.
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
