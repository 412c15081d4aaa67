"""``python -m membership CONFIG`` runs a member; ``... view CONFIG`` tells what it holds."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from membership.config import Config, load
from membership.generation import GenerationError, next_generation
from membership.pages import View, build_pages
from membership.trace import TRACE_FILE, trace_writer
from membership.transport import MembershipService
from operatorpages import PageServer
from tomlconfig import ConfigError, parse_address

LOG = logging.getLogger("membership")
USAGE = "usage: python -m membership CONFIG | view CONFIG"
EXIT_REPLACED, EXIT_BAD_CONFIG = (
    3,
    2,
)  # exit codes: a later life goes under this name; the configuration or its use
PAGE_TIMEOUT_S = 2.0  # s for a page


async def serve(config: Config) -> int:
    """Run a member until SIGTERM, SIGINT or a later life of its name; the exit code."""
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    folder = Path(config.folder)
    generation = next_generation(folder, time.time_ns() // 1_000_000)
    shell = MembershipService(
        config, generation, trace_writer(folder / TRACE_FILE, generation) if config.trace else lambda _: None
    )
    await shell.start()
    served = PageServer(build_pages(shell))
    if config.operators:
        await served.start(*parse_address(config.operators))
    LOG.info("%s, life %d, at %s", config.name, shell.core.own_update.generation, config.listen)
    ended = loop.create_task(over.wait())
    either: set[asyncio.Future[Any]] = {ended, shell.replaced}
    await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
    replaced = shell.replaced.done()
    if replaced:
        later = shell.replaced.result()
        LOG.error(
            "%s: a later life, %d, is at %s; this one ends", config.name, later.generation, later.address
        )
    ended.cancel()
    served.stop()
    await shell.stop()
    return EXIT_REPLACED if replaced else 0


async def read_view(config: Config) -> View:
    """The view of the member that a configuration describes; ``OSError`` where nobody answers there."""
    if not config.operators:
        raise ConfigError("operators: the member has no such address")
    host, port = parse_address(config.operators)
    async with asyncio.timeout(PAGE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(b"GET /view HTTP/1.1\r\nHost: membership\r\n\r\n")
            answer = await reader.read()
        finally:
            writer.close()
    return msgspec.json.decode(answer.partition(b"\r\n\r\n")[2], type=View)


def format_view(view: View) -> str:
    """A view in lines."""
    head = (
        f"{view.name}, life {view.generation}: {view.living} living, digest {view.digest}, {view.standing} "
        f"of {view.settled}, late {view.late}"
    )
    lines = [
        f"{item.name:16} {item.state:8} {item.address:22} {item.zone or '-':12} life {item.generation}, "
        f"for {item.since_s:.1f} s" + (f", by {item.by}" if item.by else "")
        for item in view.members
    ]
    return "\n".join([head, *lines])


def main(arguments: list[str]) -> int:
    """Run or ask; one line and 2 where that cannot be done."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    try:
        match arguments:
            case ["view", path]:
                print(format_view(asyncio.run(read_view(load(Path(path))))))
                return 0
            case [path] if not path.startswith("-"):
                return asyncio.run(serve(load(Path(path))))
    except (ConfigError, GenerationError) as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_CONFIG
    except (OSError, ValueError) as error:
        print(f"{arguments[-1]}: {str(error) or 'no answer in time'}", file=sys.stderr)
        return 1
    print(USAGE, file=sys.stderr)
    return EXIT_BAD_CONFIG


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
