"""Why a client's connection was ended, and why a message was refused: named for the log and the figures."""

from __future__ import annotations

from enum import StrEnum


class EndReason(StrEnum):
    """Why the relay ended a client's connection."""

    BROKEN_REQUEST = "broken_request"
    INTERNAL_ERROR = "internal_error"
    UNFINISHED_BYTES = "unfinished_bytes"  # unfinished requests of all clients hold too much memory
    NO_REQUEST_IN_TIME = "no_request_in_time"
    DESCRIPTOR_WANTED = "descriptor_wanted"  # another connection needs its descriptor
    SHUTDOWN = "shutdown"


class RefusalReason(StrEnum):
    """Why a message was not taken on."""

    SHUTDOWN = "shutdown"
    HELD_MESSAGES = "held_messages"
    HELD_BODIES = "held_bodies"
    JOURNAL = "journal"
