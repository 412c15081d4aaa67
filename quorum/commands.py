"""Shared parts of the fleet services' command lines: exit codes, and stopping on a signal."""

from __future__ import annotations

import asyncio
import signal
import sys

import typer

from quorum.client import QuorumError


def run_command_line(app: typer.Typer, program: str, usage_errors: tuple[type[Exception], ...]) -> int:
    """Run the command line and return the exit code. If the first word is not a command, ``run`` is meant.

    The exit code is 1, with one line on standard error, if a quorum does not do what was asked; it is 2, with
    one line, for wrong usage and for errors of the types in ``usage_errors``.
    """
    arguments = sys.argv[1:]
    known = {command.name or getattr(command.callback, "__name__", "") for command in app.registered_commands}
    if arguments and arguments[0] not in known and not arguments[0].startswith("-"):
        arguments = ["run", *arguments]
    try:
        return int(app(arguments, standalone_mode=False) or 0)
    except typer.Exit as exit_request:
        return exit_request.exit_code
    except QuorumError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 1
    except usage_errors as error:
        print(f"{program}: {error}", file=sys.stderr)
    except Exception as error:
        if not hasattr(error, "format_message"):  # only the usage errors of typer and click have it
            raise
        print(f"{program}: {error.format_message()}", file=sys.stderr)
    return 2


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets, for the running event loop."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop
