"""``python -m fleetlab.scale.counted_member CONFIG``: a real member that logs the size of each message.

Each message that it sends adds one line to the file ``sent`` in its folder: monotonic time in microseconds,
message type, bytes.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from unittest.mock import patch

from membership import wire
from membership.__main__ import main
from membership.config import load
from membership.messages import Exchange, Message

SENT_FILE = "sent"


def run_member(path: Path) -> int:
    """Run the member with its encoder wrapped; return its exit code."""
    folder = Path(load(path).folder)
    folder.mkdir(parents=True, exist_ok=True)
    encode = wire.encode
    with (folder / SENT_FILE).open("w", encoding="ascii", buffering=1) as sent:

        def encode_and_log(fleet: int, message: Message) -> bytes:
            data = encode(fleet, message)
            prefix_bytes = wire.LENGTH_PREFIX.size if isinstance(message, Exchange) else 0
            sent.write(f"{time.monotonic_ns() // 1000} {type(message).__name__} {prefix_bytes + len(data)}\n")
            return data

        with patch.object(wire, "encode", encode_and_log):
            return main([str(path)])


def sizes_sent_between(folder: Path, begun_us: int, ended_us: int) -> dict[str, list[int]]:
    """Sizes in bytes of the messages that a member sent in ``[begun_us, ended_us)``, by message type."""
    sizes: dict[str, list[int]] = {}
    for line in (folder / SENT_FILE).read_text(encoding="ascii").splitlines():
        at_us, kind, size = line.split()
        if begun_us <= int(at_us) < ended_us:
            sizes.setdefault(kind, []).append(int(size))
    return sizes


if __name__ == "__main__":
    sys.exit(run_member(Path(sys.argv[1])))
