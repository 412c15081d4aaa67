"""``python -m membership CONFIG`` runs a member; ``... view CONFIG`` prints the view of one that runs."""

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
EXIT_REPLACED = 3  # a later life runs under this member's name
EXIT_BAD_CONFIG = 2  # the configuration, the generation file or the arguments cannot be used
PAGE_TIMEOUT_S = 2.0  # for reading a page


async def serve(config: Config) -> int:
    """Run a member until SIGTERM, SIGINT or a later life of its name; returns the exit code."""
    loop, stopped = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    folder = Path(config.folder)
    generation = next_generation(folder, time.time_ns() // 1_000_000)
    service = MembershipService(
        config, generation, trace_writer(folder / TRACE_FILE, generation) if config.trace else lambda _: None
    )
    await service.start()
    page_server = PageServer(build_pages(service))
    if config.operators:
        await page_server.start(*parse_address(config.operators))
    LOG.info(
        "%s: started as life %d, listening at %s",
        config.name,
        service.core.own_update.generation,
        config.listen,
    )
    stop_task = loop.create_task(stopped.wait())
    ends: set[asyncio.Future[Any]] = {stop_task, service.replaced}
    await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
    replaced = service.replaced.done()
    if replaced:
        later = service.replaced.result()
        LOG.error(
            "%s: a later life, %d, is at %s; this one ends", config.name, later.generation, later.address
        )
    stop_task.cancel()
    page_server.stop()
    await service.stop()
    return EXIT_REPLACED if replaced else 0


async def read_view(config: Config) -> View:
    """The view of the running member that a configuration describes; ``OSError`` if it does not answer."""
    if not config.operators:
        raise ConfigError("operators: the member has no operators' address to read its view from")
    host, port = parse_address(config.operators)
    async with asyncio.timeout(PAGE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(b"GET /view HTTP/1.1\r\nHost: membership\r\n\r\n")
            response = await reader.read()
        finally:
            writer.close()
    return msgspec.json.decode(response.partition(b"\r\n\r\n")[2], type=View)


def format_view(view: View) -> str:
    """A view as text: a line about the member itself, then one for each known member."""
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
    """Run a member or print its view; returns the exit code, after one line on standard error if not 0."""
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
