"""Logging of the fleet's services: JSON lines on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TextIO, cast

import structlog


class TolerantStream:
    """A log stream that drops and counts what cannot be written, as on a full disk or a closed pipe."""

    def __init__(self, stream: TextIO) -> None:
        self._stream, self.dropped_writes = stream, 0

    def write(self, text: str) -> int:
        """Write one line, or drop it: a service must not fail because of its log."""
        try:
            return self._stream.write(text)
        except (OSError, ValueError):
            self.dropped_writes += 1
            return 0

    def flush(self) -> None:
        """Flush the stream."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            self.dropped_writes += 1


def configure_logging() -> None:
    """Configure logging for the whole process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: structlog.WriteLogger(cast(TextIO, TolerantStream(sys.stderr))),
    )
