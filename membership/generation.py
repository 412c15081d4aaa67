"""The generation of a life, kept in the member's folder, so that a restart supersedes all earlier lives."""

from __future__ import annotations

import os
from pathlib import Path

GENERATION_FILE = "generation"


class GenerationError(ValueError):
    """The last life's generation cannot be read, or the new one cannot be stored."""


def next_generation(folder: Path, wall_ms: int) -> int:
    """Choose and store a new life's generation: above the last one's, and at least the wall clock in ms.

    If the folder is lost the clock alone keeps it above earlier lives; if the clock was set back the folder
    does. ``GenerationError`` names a file that cannot be read or written: with a guess, updates about an old
    life could count for the new one.
    """
    path, temporary_path = folder / GENERATION_FILE, folder / f"{GENERATION_FILE}.new"
    try:
        last = int(path.read_text(encoding="ascii"))
    except FileNotFoundError:
        last = 0
    except (OSError, ValueError) as error:
        raise GenerationError(f"{path}: {error}") from None
    generation = max(last + 1, wall_ms)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        with temporary_path.open("w", encoding="ascii") as file:
            file.write(str(generation))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
    except OSError as error:
        raise GenerationError(f"{path}: {error}") from None
    return generation
