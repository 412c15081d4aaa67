"""Reads a service's TOML file; an error is one line with file and key."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

Address = tuple[str, int]
T = TypeVar("T")


class ConfigError(ValueError):
    """The configuration file cannot be read, or has a value that is not allowed."""


def parse_address(text: str) -> Address:
    """The host and port (1 to 65535) of ``host:port``; ``ConfigError`` if the text is not of this form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ConfigError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def check_address(key: str, text: str) -> None:
    """Raise a ``ConfigError`` that begins with the key if the text is not an address."""
    try:
        parse_address(text)
    except ConfigError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_config(path: Path, config_type: type[T], check: Callable[[T], None]) -> T:
    """Read a TOML file into ``config_type`` and ``check`` it; a ``ConfigError`` names file and key."""
    try:
        config = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), config_type)
        check(config)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at `$.")
        raise ConfigError(f"{path}: {key.strip('`') + ': ' if key else ''}{reason}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return config
