"""Reasons why a client's connection was closed or a message refused, as named in the log and the figures."""

from __future__ import annotations

from enum import StrEnum


class EndReason(StrEnum):
    """Why the relay closed a client's connection."""

    BROKEN_REQUEST = "broken_request"
    NO_REQUESTS = "no_requests"  # it sent many RESP values in a row that are not requests
    REPLIES_NOT_READ = "replies_not_read"
    INTERNAL_ERROR = "internal_error"
    UNFINISHED_BYTES = "unfinished_bytes"  # unfinished requests of all clients take too much memory
    NO_REQUEST_IN_TIME = "no_request_in_time"
    DESCRIPTOR_WANTED = "descriptor_wanted"  # another connection needs its descriptor
    SHUTDOWN = "shutdown"


class RefusalReason(StrEnum):
    """Why a message was refused."""

    SHUTDOWN = "shutdown"
    CLIENT_LEFT = "client_left"  # its client closed the connection before the message was taken on
    HELD_MESSAGES = "held_messages"  # the relay holds as many messages as it may
    HELD_BODIES = "held_bodies"  # the bodies of held messages take too much memory
    JOURNAL = "journal"  # the journal is full
