"""``python -m fleetlab.scale.counted_member CONFIG``: a real member that notes the size of all it sends.

One line for each message in the file ``sent`` of its folder: monotonic microseconds, kind, bytes.
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
    """Run the member; its exit code."""
    folder = Path(load(path).folder)
    folder.mkdir(parents=True, exist_ok=True)
    encode = wire.encode
    with (folder / SENT_FILE).open("w", encoding="ascii", buffering=1) as sent:

        def noted(fleet: int, message: Message) -> bytes:
            data = encode(fleet, message)
            head = wire.LENGTH_PREFIX.size if isinstance(message, Exchange) else 0
            sent.write(f"{time.monotonic_ns() // 1000} {type(message).__name__} {head + len(data)}\n")
            return data

        with patch.object(wire, "encode", noted):
            return main([str(path)])


def sizes_sent_between(folder: Path, begun_us: int, ended_us: int) -> dict[str, list[int]]:
    """Sizes in bytes of what a member sent in a time, by kind."""
    found: dict[str, list[int]] = {}
    for line in (folder / SENT_FILE).read_text(encoding="ascii").splitlines():
        at_us, kind, size = line.split()
        if begun_us <= int(at_us) < ended_us:
            found.setdefault(kind, []).append(int(size))
    return found


if __name__ == "__main__":
    sys.exit(run_member(Path(sys.argv[1])))
