"""The number of a life, kept in the member's folder: a restart is a later life, whatever others say of it."""

from __future__ import annotations

import os
from pathlib import Path

GENERATION_FILE = "generation"


class GenerationError(ValueError):
    """The folder does not tell the number of the last life."""


def next_generation(folder: Path, wall_ms: int) -> int:
    """The number of a new life: above the last one's, and not under the wall clock.

    With the folder lost the clock alone puts it above former lives; with a clock set back the folder does.
    ``GenerationError`` names a file that cannot be read: a guess could let an old life speak for the new one.
    """
    path, spare = folder / GENERATION_FILE, folder / f"{GENERATION_FILE}.new"
    try:
        last = int(path.read_text(encoding="ascii"))
    except FileNotFoundError:
        last = 0
    except (OSError, ValueError) as error:
        raise GenerationError(f"{path}: {error}") from None
    generation = max(last + 1, wall_ms)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        with spare.open("w", encoding="ascii") as file:
            file.write(str(generation))
            file.flush()
            os.fsync(file.fileno())
        os.replace(spare, path)
    except OSError as error:
        raise GenerationError(f"{path}: {error}") from None
    return generation
