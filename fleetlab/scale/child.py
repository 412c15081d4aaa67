"""A child process that carries out orders: JSON lines on its standard input, each answered by one line.

Both sides block on nothing else: the parent sends an order and reads its answer, and the child ends with
its input.
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

EXIT_TIMEOUT_S = 5.0  # s for the process to end by itself
Answer = TypeVar("Answer", bound=msgspec.Struct)


class ChildProcess(Generic[Answer]):
    """A child's process as its parent sees it; it ends with the ``with`` block."""

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

    def request(self, order: msgspec.Struct) -> Answer:
        """Have an order carried out; ``ScaleError`` where the child is gone or gives no answer."""
        assert self._process.stdin is not None and self._process.stdout is not None
        try:
            self._process.stdin.write(msgspec.json.encode(order) + b"\n")
            self._process.stdin.flush()
            return self._decoder.decode(self._process.stdout.readline())
        except (OSError, msgspec.DecodeError) as error:
            raise ScaleError(f"{self._module}: no answer: {error}") from None


async def serve_commands(orders: Any, obey: Callable[[Any], msgspec.Struct]) -> None:
    """The child's side: carry out each order of these types until the input ends."""
    decoder = msgspec.json.Decoder(orders)
    lines = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(lines)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await lines.readline():
        print(msgspec.json.encode(obey(decoder.decode(line))).decode(), flush=True)
