"""``python -m mallowsweep CONFIG`` runs a sweeper; ``... summary CONFIG`` shows the fleet."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from mallowquorum.client import Client, QuorumError
from mallowquorum.config import ConfigError
from mallowquorum.logs import log_lines
from mallowsweep.config import Config, load
from mallowsweep.sweeper import Sweeper, shown, summary_of

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def serve(config: Config) -> None:
    """Sweep until SIGTERM or SIGINT; then the lease is given back."""
    over = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    await Sweeper(config).run(over)


@app.command()
def run(config: Annotated[Path, typer.Argument(help="The sweeper's TOML file.")]) -> None:
    """Take part in sweeping a fleet."""
    loaded = load(config)
    log_lines()
    asyncio.run(serve(loaded))


@app.command()
def summary(config: Annotated[Path, typer.Argument(help="The TOML file of any sweeper.")]) -> None:
    """What the sweeper has found, as JSON; 1 where the quorum does not tell."""
    loaded = load(config)

    async def ask() -> dict[str, object]:
        client = Client(loaded.quorum, loaded.name)
        try:
            return shown(await summary_of(client))
        finally:
            client.close()

    print(msgspec.json.format(msgspec.json.encode(asyncio.run(ask()))).decode())


def main() -> int:
    """Run; 2 and one line where something cannot be used, 1 where the quorum does not answer."""
    arguments = sys.argv[1:]
    if arguments and arguments[0] not in ("run", "summary") and not arguments[0].startswith("-"):
        arguments = ["run", *arguments]
    try:
        return int(app(arguments, standalone_mode=False) or 0)
    except typer.Exit as end:
        return end.exit_code
    except QuorumError as error:
        print(f"mallowsweep: {error}", file=sys.stderr)
        return 1
    except (ConfigError, OSError) as error:
        print(f"mallowsweep: {error}", file=sys.stderr)
    except Exception as error:
        if not hasattr(error, "format_message"):
            raise
        print(f"mallowsweep: {error.format_message()}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
