"""The lab's scripted relay, ``python -m fleetlab.scripted_relay``: it uses none of the project's decisions.

It accepts every message, calls an endpoint of its destination once, and ends the message by that. The lab is
calibrated with it: without faults its own counts, which it writes to ``$ROUTER_STATE/counts.json``, agree
with the history to the message. ``$PLAIN_BUG`` plants one of ``BUGS``, each of which a checker has to find.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from itertools import count
from pathlib import Path
from typing import Any

from fleetlab.program import connect_to

BUGS = (
    "forget", "late", "two-out", "repeat", "many", "wrong-destination", "ignore-drain", "ignore-wait",
    "silent", "crash", "two-ends", "invent", "hammer", "deaf",
)  # fmt: skip
WATCH_SILENCE_S = 3.0  # s without a line after which a watch is reopened
CALL_TIMEOUT_S = 3.0  # s for a whole call


class ScriptedRelay:
    """One scripted relay."""

    def __init__(self, config: dict[str, Any], environ: dict[str, str]) -> None:
        self.bug = environ.get("PLAIN_BUG", "")
        self._listen, self._discovery = environ["ROUTER_LISTEN"], environ["ROUTER_DISCOVERY"]
        path = Path(environ["ROUTER_STATE"]) / "counts.json"
        self._counts_file = path.open("wb", buffering=0)
        self.counts: Counter[str] = Counter()
        self.hosts = {entry["host"]: entry for entry in config["known"]["hosts"]}
        self._wait_until_s: dict[int, float] = {}
        self._call_numbers = count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        host, port = self._listen.rsplit(":", 1)
        over = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, over.set)
        self._spawn(self._watch_hosts())
        server = await asyncio.start_server(self._serve_client, host, int(port))
        await over.wait()
        server.close()

    def _increment(self, name: str) -> None:
        """Add to a count, and write all counts to a file that survives a kill."""
        self.counts[name] += 1
        # Overwritten in place: the text never gets shorter, and truncating the file may block on the disk.
        self._counts_file.seek(0)
        self._counts_file.write(json.dumps(self.counts).encode())

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_hosts(self) -> None:
        """Follow the endpoint list; reopen the watch when it fails or is silent."""
        while True:
            try:
                reader, writer = await connect_to(self._discovery)
                writer.write(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.1\r\nHost: d\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                while True:
                    async with asyncio.timeout(None if self.bug == "deaf" else WATCH_SILENCE_S):
                        size = int(await reader.readline(), 16)
                        line = (await reader.readexactly(size + 2)).strip()
                    if line and self.bug != "ignore-drain":
                        self.hosts |= {entry["host"]: entry for entry in json.loads(line)["hosts"]}
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.2)

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while words := await read_request(reader):
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                if self.bug == "silent" and self.counts["taken"] % 10 == 9:
                    self._increment("taken")
                    return
                self._increment("taken")
                writer.write(b"+OK\r\n")
                self._spawn(self._process_message(words[2].decode(), parse_fields(words[3]), words[4]))
                if self.bug == "crash" and self.counts["taken"] == 30:
                    sys.exit(3)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _usable_hosts(self, dest: int) -> list[str]:
        """Return the serving endpoints of a destination, unless a planted bug says otherwise."""
        return [
            name
            for name, entry in self.hosts.items()
            if (entry["block"] != dest if self.bug == "wrong-destination" else entry["block"] == dest)
            and (entry["health"] == "SERVING" or self.bug == "ignore-drain")
        ]

    async def _process_message(self, ref: str, fields: dict[str, str], body: bytes) -> None:
        """Take a message to its end, as the planted bug wants it."""
        loop, dest = asyncio.get_running_loop(), int(fields["dest"])
        number = self.counts["taken"]
        if self.bug == "forget" and number % 10 == 0:
            return
        if self.bug == "late" and number % 10 == 0:
            await asyncio.sleep(int(fields["d"]) / 1000 + 0.6)
        while self.bug != "ignore-wait" and self._wait_until_s.get(dest, 0) > loop.time():
            await asyncio.sleep(self._wait_until_s[dest] - loop.time())
        usable_hosts = [self._usable_hosts(dest)]
        if not usable_hosts[0]:
            await self._send_notice(ref, "bounced")
            return
        host = usable_hosts[0][next(self._call_numbers) % len(usable_hosts[0])]
        sent = "feedfeed" + ref if self.bug == "invent" and number % 10 == 0 else ref
        calls = {"two-out": 2, "repeat": 2, "many": 12, "hammer": 1}.get(self.bug, 1)
        if self.bug == "two-out":
            status, *_ = await asyncio.gather(
                *(self._call_endpoint(host, sent, fields, body) for _ in range(calls))
            )
        else:
            for _ in range(calls):
                status = await self._call_endpoint(host, sent, fields, body)
        while self.bug == "hammer" and status != 200:
            status = await self._call_endpoint(host, sent, fields, body)
        if status != 200:
            await self._send_notice(ref, "bounced" if status in (429, 503) else "dead")
            return
        self._increment("delivered")
        if self.bug == "two-ends" and number % 10 == 0:
            await self._send_notice(ref, "dead")

    async def _call_endpoint(self, host: str, ref: str, fields: dict[str, str], body: bytes) -> int:
        """Call an endpoint on a connection of its own; return the status, or 0 if there is none."""
        self._increment("calls")
        key = f"Idempotency-Key: {fields['k']}\r\n" if "k" in fields else ""
        headers = f"{key}X-Remaining: {CALL_TIMEOUT_S * 1000:.0f}m\r\nContent-Length: {len(body)}"
        head = f"POST /hook HTTP/1.1\r\nX-Txn: {ref}\r\n{headers}\r\n\r\n"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await connect_to(self.hosts[host]["dial"])
                try:
                    writer.write(head.encode() + body)
                    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        for line in lines:
            if line.startswith("X-Retry-In-Ms: "):
                dest = self.hosts[host]["block"]
                self._wait_until_s[dest] = asyncio.get_running_loop().time() + int(line[15:]) / 1000
        return int(lines[0].split()[1])

    async def _send_notice(self, ref: str, result: str) -> None:
        """End a message by a notice, repeated until the agent confirms it."""
        self._increment(result)
        line = json.dumps({"ref": ref, "result": result}).encode()
        while True:
            try:
                reader, writer = await connect_to(self._discovery)
                try:
                    head = f"POST /v1/notices HTTP/1.1\r\nContent-Length: {len(line)}\r\n\r\n"
                    writer.write(head.encode() + line)
                    if b" 204 " in await reader.readline():
                        return
                finally:
                    writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.2)


async def read_request(reader: asyncio.StreamReader) -> list[bytes]:
    """Read the words of one RESP request; return none if the client has ended the connection."""
    first = await reader.readline()
    words = []
    for _ in range(int(first[1:]) if first else 0):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def parse_fields(names: bytes) -> dict[str, str]:
    """Parse the list of names and values of ``ENQUEUE``."""
    return dict(pair.split("=", 1) for pair in names.decode().split(","))


def main() -> int:
    """Read the configuration and serve until SIGTERM."""
    with open(os.environ["ROUTER_CONFIG"], "rb") as file:
        config = json.load(file)
    asyncio.run(ScriptedRelay(config, dict(os.environ)).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
