"""What the fleet services' command lines share: their exit codes, and their end by a signal."""

from __future__ import annotations

import asyncio
import signal
import sys

import typer

from quorum.client import QuorumError


def run_command_line(app: typer.Typer, program: str, wrong: tuple[type[Exception], ...]) -> int:
    """Run the command line, where a first word that is no command stands for ``run``; the exit code.

    1 and one line where a quorum does not do what was asked, 2 and one line for wrong use and for errors of
    the kinds in ``wrong``.
    """
    arguments = sys.argv[1:]
    known = {item.name or getattr(item.callback, "__name__", "") for item in app.registered_commands}
    if arguments and arguments[0] not in known and not arguments[0].startswith("-"):
        arguments = ["run", *arguments]
    try:
        return int(app(arguments, standalone_mode=False) or 0)
    except typer.Exit as end:
        return end.exit_code
    except QuorumError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 1
    except wrong as error:
        print(f"{program}: {error}", file=sys.stderr)
    except Exception as error:
        if not hasattr(error, "format_message"):  # typer's and click's own errors of use have it
            raise
        print(f"{program}: {error.format_message()}", file=sys.stderr)
    return 2


def stop_event() -> asyncio.Event:
    """Set once SIGTERM or SIGINT comes; for the loop that runs."""
    over = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, over.set)
    return over
