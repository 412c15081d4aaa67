"""``python -m mallowquorum CONFIG`` runs a member; with ``--status`` it asks all members instead."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from mallowquorum.client import QuorumError, status
from mallowquorum.config import Config, ConfigError, address_of, load
from mallowquorum.server import Server
from mallowquorum.store import StoreError

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def log_lines() -> None:
    """JSON lines on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )


async def serve(config: Config) -> None:
    """Run a member until SIGTERM or SIGINT."""
    over = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    server = Server(config)
    await server.start()
    await over.wait()
    await server.stop()


async def ask_all(config: Config) -> int:
    """A line for each member; 1 where there is no leader among those that answer."""
    leads = False
    for name, address in sorted(config.members.items()):
        try:
            health = await status(address_of(address))
        except QuorumError as error:
            print(f"{name}: {error}")
            continue
        leads |= health.role == "leader"
        behind = ", ".join(f"{other} {lag}" for other, lag in sorted(health.lag.items()))
        print(
            f"{name}: {health.role} of term {health.term}, leader {health.leader or 'unknown'}, "
            f"commit {health.commit}, {health.leases} leases"
            + (f", entries behind: {behind}" if behind else "")
            + (f", disk: {health.disk}" if health.disk else "")
        )
    return 0 if leads else 1


@app.command()
def run(
    config: Annotated[Path, typer.Argument(help="The member's TOML file.")],
    ask: Annotated[bool, typer.Option("--status", help="Ask every member of the file for itself.")] = False,
) -> None:
    """A member of a quorum that keeps leases."""
    log_lines()
    loaded = load(config)
    if ask:
        raise typer.Exit(asyncio.run(ask_all(loaded)))
    asyncio.run(serve(loaded))


def main() -> int:
    """Run; 2 and one line where something cannot be used."""
    try:
        return int(app(standalone_mode=False) or 0)
    except typer.Exit as end:
        return end.exit_code
    except (ConfigError, StoreError, OSError) as error:
        print(f"mallowquorum: {error}", file=sys.stderr)
    except Exception as error:
        if not hasattr(error, "format_message"):
            raise
        print(f"mallowquorum: {error.format_message()}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
