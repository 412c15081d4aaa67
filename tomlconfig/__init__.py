"""Reading a service's TOML file: what cannot be used is one line with file and key."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

Address = tuple[str, int]
T = TypeVar("T")


class ConfigError(ValueError):
    """The configuration cannot be used."""


def parse_address(text: str) -> Address:
    """``host:port``; ``ConfigError`` where it is none."""
    host, sign, port = text.rpartition(":")
    if not sign or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"not an address: {text!r}")
    return host, int(port)


def check_address(key: str, text: str) -> None:
    """``ConfigError`` with the key where a text is no address."""
    try:
        parse_address(text)
    except ConfigError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_config(path: Path, kind: type[T], check: Callable[[T], None]) -> T:
    """A TOML file of a service's options; ``ConfigError`` names file and key."""
    try:
        config = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), kind)
        check(config)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at `$.")
        raise ConfigError(f"{path}: {key.strip('`') + ': ' if key else ''}{reason}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return config
