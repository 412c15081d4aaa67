"""An endpoint whose answers never end: a thread for each connection, as fast as the relay takes them.

    python endless.py HOST KIND SHARE     prints its port, then each call's id once its status line is written; KIND is interim or chunks

Of each ten calls, 10 x SHARE get such an answer, the others a sound one after a usual time.
"""

from __future__ import annotations

import itertools
import socket
import sys
import threading
import time

HEADS = {"interim": b"", "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}
UNITS = {"interim": b"HTTP/1.1 100\r\n\r\n", "chunks": b"1\r\nx\r\n"}


def read_call(sock: socket.socket) -> str:
    """Read one call whole and return its message's id; empty at the connection's end."""
    data = b""
    while b"\r\n\r\n" not in data:
        if not (part := sock.recv(65536)):
            return ""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    size = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")), 0)
    while len(body) < size:
        if not (part := sock.recv(65536)):
            return ""
        body += part
    ident = next((line.split(b":")[1].strip() for line in head.split(b"\r\n") if line.lower().startswith(b"x-txn:")), b"-")
    return ident.decode()


SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
CALLS = itertools.count()
WORK_S = 0.2
PRINTING = threading.Lock()


def serve(sock: socket.socket, kind: str, share: float) -> None:
    data = UNITS[kind] * (65536 // len(UNITS[kind]))
    try:
        while ident := read_call(sock):
            is_sound = next(CALLS) % 10 >= 10 * share
            time.sleep(WORK_S)
            sock.sendall(SOUND if is_sound else HEADS[kind])
            with PRINTING:  # one line at a time
                print(f"{ident} {'sound' if is_sound else 'endless'}\n", end="", flush=True)
            if is_sound:
                continue
            while True:
                sock.sendall(data)
    except OSError:
        pass
    finally:
        sock.close()


def main() -> None:
    host, kind, share = sys.argv[1], sys.argv[2], float(sys.argv[3])
    listener = socket.create_server((host, 0), backlog=128)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock, kind, share), daemon=True).start()


if __name__ == "__main__":
    main()
