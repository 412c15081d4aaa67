"""Peers that send no proper request: each connects, sends many small RESP values, and reads what comes back.

    python flood.py HOST PORT PEERS BYTES_EACH
"""

from __future__ import annotations

import socket
import sys
import threading

VALUE = b"+\r\n"  # a whole RESP2 value, and no request


def peer(address: tuple[str, int], size: int) -> None:
    with socket.create_connection(address) as sock:

        def read() -> None:
            try:
                while sock.recv(1 << 20):
                    pass
            except OSError:
                pass

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        try:
            sock.sendall(VALUE * (size // len(VALUE)))
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        reader.join()


def main() -> None:
    host, port, peers, size = sys.argv[1], *map(int, sys.argv[2:5])
    threads = [threading.Thread(target=peer, args=((host, port), size), daemon=True) for _ in range(peers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
