"""Program templates, which a ``[[program]]`` of a scenario includes by its key ``use``."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

TEMPLATE_FOLDER = Path(__file__).resolve().parent / "scenarios" / "programs"
TEMPLATE_KEY = "use"


def template_names() -> list[str]:
    """Return the names of the project's templates."""
    return sorted(path.stem for path in TEMPLATE_FOLDER.glob("*.toml"))


def with_templates(raw: dict[str, Any]) -> dict[str, Any]:
    """Return the keys of a scenario with the templates of its programs filled in.

    Keys that a program sets itself override its template. Raise ``ValueError``, which begins with the key, if
    there is no such template. Everything else is left to the schema's checks.
    """
    programs = raw.get("program")
    if not isinstance(programs, list):
        return raw
    return raw | {"program": [_resolve_template(at, program) for at, program in enumerate(programs)]}


def _resolve_template(at: int, program: Any) -> Any:
    if not isinstance(program, dict) or TEMPLATE_KEY not in program:
        return program
    name = program[TEMPLATE_KEY]
    if name not in template_names():
        raise ValueError(f"program[{at}].use: {name!r} is none of {', '.join(template_names())}")
    template = tomllib.loads((TEMPLATE_FOLDER / f"{name}.toml").read_text(encoding="utf-8"))
    own = {key: value for key, value in program.items() if key != TEMPLATE_KEY}
    return template | own
