"""The addresses of a run: a part of the loopback network that no other run of this machine has."""

from __future__ import annotations

import secrets
import socket

NETS, EACH = 16, 250  # nets of 256 addresses that a run has, and how many of each it uses
PLACES = NETS * EACH
CLAIM, CLIENTS, SERVERS, FIRST_LINKS, FIRST_PROCESS = 0, 1, 2, 10, 64
LINKS_EACH = 16_384  # links at one address, each with a port of its own
CLAIM_PORT = 1025  # the run that holds it owns the addresses


class Addresses:
    """So many addresses, by their places; held until ``close``."""

    def __init__(self) -> None:
        while True:
            self._net = 256 * (32 + secrets.randbelow(199)) + NETS * secrets.randbelow(256 // NETS)
            self._hold = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._hold.bind((self.at(CLAIM), CLAIM_PORT))
            except OSError:
                self._hold.close()
                continue
            return

    def at(self, place: int) -> str:
        """The address at a place; ``ValueError`` where the run has none."""
        if not 0 <= place < PLACES:
            raise ValueError(f"no address at {place}: a run has {PLACES}")
        net = self._net + place // EACH
        return f"127.{net // 256}.{net % 256}.{1 + place % EACH}"

    def process(self, number: int) -> str:
        """Of a process by its number: relays first, then the others."""
        return self.at(FIRST_PROCESS + number)

    def link(self, number: int) -> str:
        """Where a link listens, by its number; ``ValueError`` where there are too many."""
        place = FIRST_LINKS + number // LINKS_EACH
        if place >= FIRST_PROCESS:
            raise ValueError(f"a run has no more than {(FIRST_PROCESS - FIRST_LINKS) * LINKS_EACH} links")
        return self.at(place)

    @property
    def name(self) -> str:
        """The first of them, by which people find the run's sockets."""
        return self.at(CLAIM)

    def close(self) -> None:
        """Let others have them."""
        self._hold.close()
