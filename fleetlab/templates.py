"""Program templates: what a ``[[program]]`` of a scenario takes over by ``use``, so that it stands once."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent / "scenarios" / "programs"
USE = "use"


def names() -> list[str]:
    """The project's templates."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def with_templates(raw: dict[str, Any]) -> dict[str, Any]:
    """A scenario's keys with each ``use`` resolved; ``ValueError`` that begins with the key if unknown.

    What a program sets by itself goes before its template. The schema judges everything else.
    """
    programs = raw.get("program")
    if not isinstance(programs, list):
        return raw
    return raw | {"program": [_resolved(at, program) for at, program in enumerate(programs)]}


def _resolved(at: int, program: Any) -> Any:
    if not isinstance(program, dict) or USE not in program:
        return program
    name = program[USE]
    if name not in names():
        raise ValueError(f"program[{at}].use: {name!r} is none of {', '.join(names())}")
    template = tomllib.loads((FOLDER / f"{name}.toml").read_text(encoding="utf-8"))
    own = {key: value for key, value in program.items() if key != USE}
    return template | own
