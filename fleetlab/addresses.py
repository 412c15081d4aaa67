"""The addresses of a run: a part of the loopback network that no other run on this machine uses."""

from __future__ import annotations

import secrets
import socket

NETS_PER_RUN = 16  # networks of 256 addresses (127.x.y.*) that a run owns
ADDRESSES_PER_NET = 250  # how many addresses of each network a run uses
ADDRESSES_PER_RUN = NETS_PER_RUN * ADDRESSES_PER_NET

# Indexes of addresses within a run.
CLAIM_INDEX = 0  # the address at which the run binds CLAIM_PORT to own all of them
CLIENTS_INDEX = 1  # where clients call from
SERVERS_INDEX = 2  # where endpoints and agents listen
FIRST_LINK_INDEX = 10
FIRST_PROCESS_INDEX = 64

LINKS_PER_ADDRESS = 16_384  # links that listen at one address, each on a port of its own
CLAIM_PORT = 1025  # UDP port; the run that has bound it owns the addresses


class Addresses:
    """The addresses of one run by their indexes, reserved until ``close``."""

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

    def address_at(self, index: int) -> str:
        """Return the address with an index; raise ``ValueError`` if the run has no such index."""
        if not 0 <= index < ADDRESSES_PER_RUN:
            raise ValueError(f"no address has index {index}: a run has {ADDRESSES_PER_RUN}")
        net = self._first_net + index // ADDRESSES_PER_NET
        return f"127.{net // 256}.{net % 256}.{1 + index % ADDRESSES_PER_NET}"

    def process_address(self, number: int) -> str:
        """Return the address of a process by its number; relays come first, then further processes."""
        return self.address_at(FIRST_PROCESS_INDEX + number)

    def link_address(self, number: int) -> str:
        """Return where a link listens, by its number; raise ``ValueError`` if there are too many links."""
        index = FIRST_LINK_INDEX + number // LINKS_PER_ADDRESS
        if index >= FIRST_PROCESS_INDEX:
            raise ValueError(
                f"a run has no more than {(FIRST_PROCESS_INDEX - FIRST_LINK_INDEX) * LINKS_PER_ADDRESS} links"
            )
        return self.address_at(index)

    @property
    def first_address(self) -> str:
        """The first address of the run, by which a person finds its sockets."""
        return self.address_at(CLAIM_INDEX)

    def close(self) -> None:
        """Release the addresses for other runs."""
        self._claim_socket.close()
