"""How the fleet's services log: JSON lines on standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def log_lines() -> None:
    """Set it up, for the whole process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
