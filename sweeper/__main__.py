"""``python -m sweeper CONFIG`` runs a sweeper; ``... summary CONFIG`` prints the fleet's summary."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from quorum.client import Client
from quorum.commands import run_command_line, stop_event
from quorum.service_logging import configure_logging
from sweeper.config import Config, load
from sweeper.sweeper import Sweeper, assign_relays_to_tasks, fleet_summary, read_summaries
from tomlconfig import ConfigError

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def serve(config: Config) -> None:
    """Sweep until SIGTERM or SIGINT, then give back the leases."""
    await Sweeper(config).run(stop_event())


@app.command()
def run(config: Annotated[Path, typer.Argument(help="The sweeper's TOML file.")]) -> None:
    """Run one of a fleet's sweepers."""
    settings = load(config)
    configure_logging()
    asyncio.run(serve(settings))


@app.command()
def summary(config: Annotated[Path, typer.Argument(help="The TOML file of any sweeper.")]) -> None:
    """Print the fleet's summary as JSON; exits with 1 if the quorum does not answer."""
    settings = load(config)
    tasks = assign_relays_to_tasks(settings.relays)

    async def read() -> dict[str, object]:
        client = Client(settings.quorum, settings.name)
        try:
            return fleet_summary(await read_summaries(client, tasks))
        finally:
            client.close()

    print(msgspec.json.format(msgspec.json.encode(asyncio.run(read()))).decode())


def main() -> int:
    """Run the command line; returns the exit code.

    After one line on standard error that is 2 for unusable settings or addresses, and 1 if a quorum does not
    do what was asked.
    """
    return run_command_line(app, "sweeper", (ConfigError, OSError))


if __name__ == "__main__":
    sys.exit(main())
