"""The addresses of a run: a part of the loopback network that no other run of this machine has."""

from __future__ import annotations

import secrets
import socket

NETS_PER_RUN, ADDRESSES_PER_NET = (
    16,
    250,
)  # nets of 256 addresses that a run has, and how many of each it uses
ADDRESSES_PER_RUN = NETS_PER_RUN * ADDRESSES_PER_NET
CLAIM_INDEX, CLIENTS_INDEX, SERVERS_INDEX, FIRST_LINK_INDEX, FIRST_PROCESS_INDEX = 0, 1, 2, 10, 64
LINKS_PER_ADDRESS = 16_384  # links at one address, each with a port of its own
CLAIM_PORT = 1025  # the run that holds it owns the addresses


class Addresses:
    """So many addresses, by their places; held until ``close``."""

    def __init__(self) -> None:
        while True:
            self._first_net = 256 * (32 + secrets.randbelow(199)) + NETS_PER_RUN * secrets.randbelow(
                256 // NETS_PER_RUN
            )
            self._claim_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._claim_socket.bind((self.address_at(CLAIM_INDEX), CLAIM_PORT))
            except OSError:
                self._claim_socket.close()
                continue
            return

    def address_at(self, place: int) -> str:
        """The address at a place; ``ValueError`` where the run has none."""
        if not 0 <= place < ADDRESSES_PER_RUN:
            raise ValueError(f"no address at {place}: a run has {ADDRESSES_PER_RUN}")
        net = self._first_net + place // ADDRESSES_PER_NET
        return f"127.{net // 256}.{net % 256}.{1 + place % ADDRESSES_PER_NET}"

    def process_address(self, number: int) -> str:
        """Of a process by its number: relays first, then the others."""
        return self.address_at(FIRST_PROCESS_INDEX + number)

    def link_address(self, number: int) -> str:
        """Where a link listens, by its number; ``ValueError`` where there are too many."""
        place = FIRST_LINK_INDEX + number // LINKS_PER_ADDRESS
        if place >= FIRST_PROCESS_INDEX:
            raise ValueError(
                f"a run has no more than {(FIRST_PROCESS_INDEX - FIRST_LINK_INDEX) * LINKS_PER_ADDRESS} links"
            )
        return self.address_at(place)

    @property
    def first_address(self) -> str:
        """The first of them, by which people find the run's sockets."""
        return self.address_at(CLAIM_INDEX)

    def close(self) -> None:
        """Let others have them."""
        self._claim_socket.close()
