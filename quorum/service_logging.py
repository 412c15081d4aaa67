"""How the fleet's services log: JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TextIO, cast

import structlog


class TolerantStream:
    """A stream for the log; what it cannot take, on a full disk or a closed pipe, is left out and counted."""

    def __init__(self, stream: TextIO) -> None:
        self._stream, self.dropped_writes = stream, 0

    def write(self, text: str) -> int:
        """One line, or nothing: no service ends for its log."""
        try:
            return self._stream.write(text)
        except (OSError, ValueError):
            self.dropped_writes += 1
            return 0

    def flush(self) -> None:
        """Pass on what was written."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            self.dropped_writes += 1


def configure_logging() -> None:
    """Set it up, for the whole process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: structlog.WriteLogger(cast(TextIO, TolerantStream(sys.stderr))),
    )
