"""What leased tasks act on, ``python -m fleetlab.fenced_counter CONFIG``: a fenced and an unfenced counter.

Each act names its holder and token. The fenced one keeps the rule (no token below the highest seen), the
unfenced one lets everybody in; both note every act with the time at which it came, in ``acts.jsonl``, which
the lab takes into the history: who acted when is the resource's own record, not the holders'.
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

MAX_LINE_BYTES = 4096
ACTS_FILE = "acts.jsonl"


class Act(msgspec.Struct, frozen=True):
    """A line to the resource, and with ``at_s`` (monotonic) and ``admitted`` a line of its record."""

    resource: str  # fenced, unfenced
    lease: str
    holder: str
    token: int
    at_s: float = 0.0
    admitted: bool = False


class CounterServer:
    """Both counters, by lease."""

    def __init__(self, folder: Path) -> None:
        self._record = (folder / ACTS_FILE).open("ab", buffering=0)
        self._fences: dict[str, Fence] = {}
        self._decode = msgspec.json.Decoder(Act).decode

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take acts, one a line, each answered ``yes`` or ``no``."""
        try:
            while line := await reader.readline():
                act = self._decode(line)
                admitted = act.resource == "unfenced" or self._fence(act.lease).admits(act.token)
                noted = msgspec.structs.replace(act, at_s=time.monotonic(), admitted=admitted)
                self._record.write(msgspec.json.encode(noted) + b"\n")
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
