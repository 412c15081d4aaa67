"""``python -m sweeper CONFIG`` runs a sweeper; ``... summary CONFIG`` shows the fleet."""

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
    """Sweep until SIGTERM or SIGINT; then the lease is given back."""
    await Sweeper(config).run(stop_event())


@app.command()
def run(config: Annotated[Path, typer.Argument(help="The sweeper's TOML file.")]) -> None:
    """Take part in sweeping a fleet."""
    loaded = load(config)
    configure_logging()
    asyncio.run(serve(loaded))


@app.command()
def summary(config: Annotated[Path, typer.Argument(help="The TOML file of any sweeper.")]) -> None:
    """What the sweeper has found, as JSON; 1 where the quorum does not tell."""
    loaded = load(config)
    tasks = assign_relays_to_tasks(loaded.relays)

    async def ask() -> dict[str, object]:
        client = Client(loaded.quorum, loaded.name)
        try:
            return fleet_summary(await read_summaries(client, tasks))
        finally:
            client.close()

    print(msgspec.json.format(msgspec.json.encode(asyncio.run(ask()))).decode())


def main() -> int:
    """Run; 2 and one line where something cannot be used, 1 where a quorum does not do what was asked."""
    return run_command_line(app, "sweeper", (ConfigError, OSError))


if __name__ == "__main__":
    sys.exit(main())
