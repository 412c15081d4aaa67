"""A fenced and an unfenced resource for leased tasks, ``python -m fleetlab.fenced_counter CONFIG``.

Each act names its holder and its fencing token. The fenced resource admits no token below the highest one it
has seen; the unfenced resource admits every act. Both write each act with its time of arrival to
``acts.jsonl``, which the lab takes into the history. So it is the resource, not the holder, that says who
acted when.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from fleetlab.program import PROGRAM_PORT, run_program
from quorum.holder import Fence

MAX_LINE_BYTES = 4096  # of one act on the wire
ACTS_FILE = "acts.jsonl"


class Act(msgspec.Struct, frozen=True):
    """An act on a resource, sent as one line of JSON.

    The resource sets ``at_s``, its monotonic time, and ``admitted`` before it writes the act to its record.
    """

    resource: str  # "fenced" or "unfenced"
    lease: str
    holder: str
    token: int
    at_s: float = 0.0
    admitted: bool = False


class CounterServer:
    """Serves both resources; each lease has a fence of its own."""

    def __init__(self, folder: Path) -> None:
        self._record = (folder / ACTS_FILE).open("ab", buffering=0)
        self._fences: dict[str, Fence] = {}
        self._decode = msgspec.json.Decoder(Act).decode

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read acts, one a line, and answer each with ``yes`` (admitted) or ``no``."""
        try:
            while line := await reader.readline():
                act = self._decode(line)
                admitted = act.resource == "unfenced" or self._fence(act.lease).admits(act.token)
                recorded = msgspec.structs.replace(act, at_s=time.monotonic(), admitted=admitted)
                self._record.write(msgspec.json.encode(recorded) + b"\n")
                writer.write(b"yes\n" if admitted else b"no\n")
        except (ConnectionError, ValueError, msgspec.DecodeError):
            pass
        finally:
            writer.close()

    def _fence(self, lease: str) -> Fence:
        return self._fences.setdefault(lease, Fence())


async def run(config: dict[str, Any]) -> None:
    """Serve until the process ends."""
    resource = CounterServer(Path(config["state"]))
    server = await asyncio.start_server(resource.serve, config["address"], PROGRAM_PORT, limit=MAX_LINE_BYTES)
    await server.serve_forever()


if __name__ == "__main__":
    sys.exit(run_program(run))
