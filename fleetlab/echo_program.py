"""Processes that call each other to test links, ``python -m fleetlab.echo_program CONFIG``.

Each process listens at its address and calls every other one ten times a second over a new connection. For
each answer it writes a line of JSON with the time to ``heard.jsonl`` in its state folder.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from fleetlab.program import PROGRAM_PORT, connect_to, run_program

ASK_PERIOD_S = 0.1  # pause between two rounds of calls
ANSWER_TIMEOUT_S = 0.2  # for one call, connecting included


async def echo_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send back the line that a caller sent."""
    try:
        writer.write(await reader.readline())
    except ConnectionError:
        pass
    finally:
        writer.close()


async def is_answered(own: str, other: str) -> bool:
    """Return whether another process echoes a line within ``ANSWER_TIMEOUT_S``."""
    line = f"{own}\n".encode()
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await connect_to(other)
            try:
                writer.write(line)
                return await reader.readline() == line
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


async def run(config: dict[str, Any]) -> None:
    """Answer and call others until the process ends."""
    server = await asyncio.start_server(echo_line, config["address"], PROGRAM_PORT)
    loop = asyncio.get_running_loop()
    async with server:
        with (Path(config["state"]) / "heard.jsonl").open("a", buffering=1) as heard:
            while True:
                for other in config["other"]:
                    if await is_answered(str(config["number"]), other):
                        heard.write(json.dumps({"at_s": loop.time(), "other": other}) + "\n")
                await asyncio.sleep(ASK_PERIOD_S)


if __name__ == "__main__":
    sys.exit(run_program(run))
