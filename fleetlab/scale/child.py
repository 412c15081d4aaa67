"""A child process that executes commands: JSON lines on its standard input, each answered by one line.

The parent sends one command at a time and blocks until its answer. The child exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from types import TracebackType
from typing import Any, Generic, TypeVar

import msgspec

from fleetlab.scale.records import ScaleError

EXIT_TIMEOUT_S = 5.0  # s for the child to exit after its input is closed, before it is killed
Answer = TypeVar("Answer", bound=msgspec.Struct)


class ChildProcess(Generic[Answer]):
    """The parent's handle to a child process; leaving the ``with`` block ends the process."""

    def __init__(self, module: str, arguments: list[str], answer: type[Answer]) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self._module = module
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self._decoder = msgspec.json.Decoder(answer)

    def __enter__(self) -> ChildProcess[Answer]:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.close()
        try:
            self._process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process.stdout.close()

    def request(self, command: msgspec.Struct) -> Answer:
        """Execute a command in the child; ``ScaleError`` if the child has exited or its answer is invalid."""
        assert self._process.stdin is not None and self._process.stdout is not None
        try:
            self._process.stdin.write(msgspec.json.encode(command) + b"\n")
            self._process.stdin.flush()
            return self._decoder.decode(self._process.stdout.readline())
        except (OSError, msgspec.DecodeError) as error:
            raise ScaleError(f"{self._module}: no valid answer from the child process: {error}") from None


async def serve_commands(command_types: Any, execute: Callable[[Any], msgspec.Struct]) -> None:
    """The child's side: execute each command of these types and print its answer, until the input ends."""
    decoder = msgspec.json.Decoder(command_types)
    lines = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(lines)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await lines.readline():
        print(msgspec.json.encode(execute(decoder.decode(line))).decode(), flush=True)
