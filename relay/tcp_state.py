"""What the system knows of a TCP connection's other side."""

from __future__ import annotations

import socket
from typing import Protocol

# States of the system's ``struct tcp_info`` in which the peer has closed its side, or reset the connection.
TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING = 7, 8, 9, 11
STATES_AFTER_PEER_CLOSED = frozenset((TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING))


class SocketOptions(Protocol):
    """The part of a socket that is used here; transports give out such an object."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of a socket option."""


def peer_has_closed(sock: SocketOptions) -> bool:
    """Return whether the peer has closed its side, also where what it sent before has not been read yet.

    False where the system does not tell, as for a socket that is not of TCP.
    """
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return state[0] in STATES_AFTER_PEER_CLOSED
