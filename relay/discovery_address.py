"""Discovery's address in the configuration file, which the platform may replace while the relay runs."""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping

from relay import config
from relay.http import Address

LOG = logging.getLogger(__name__)


class DiscoveryAddressFile:
    """Reads discovery's address from the configuration file, and knows whether the file has been replaced.

    The file has the version that it had when this object was made; make it before the file is first read.
    """

    def __init__(self, environ: Mapping[str, str]) -> None:
        self._environ = environ
        self._version = self._current_version()

    def _current_version(self) -> tuple[int, int, int]:
        """Return numbers that change when the file is replaced or written; zeros if there is no file."""
        try:
            status = os.stat(self._environ["ROUTER_CONFIG"])
        except (KeyError, OSError):
            return 0, 0, 0
        return status.st_ino, status.st_mtime_ns, status.st_size

    def read(self) -> Address | None:
        """Return the address as the file names it now; None, with a log line, if the file cannot be used."""
        self._version = self._current_version()  # first: what is written during the read is a later version
        try:
            return config.read_discovery_address(self._environ)
        except config.ConfigError as error:
            LOG.error("discovery: the configuration cannot be used: %s", error)
            return None

    def read_if_replaced(self) -> Address | None:
        """Do the same if the file has been replaced since it was read; else return None."""
        return None if self._current_version() == self._version else self.read()
