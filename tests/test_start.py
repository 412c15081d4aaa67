"""What a start loads: modules that no relay needs cost each of them memory and time."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

from standins.scripted import ROOT

UNWANTED = (
    *("_ssl", "_hashlib", "http.client", "email", "multiprocessing", "unittest", "tests", "tools"),
    *("fleetlab", "standins", "mallowquorum", "msgspec", "numpy", "typer"),
)


def said(code: str, folder: Path) -> str:
    """What a Python process prints."""
    command = [sys.executable, "-c", code]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True).stdout


def test_a_relay_loads_neither_tls_nor_anything_of_tests() -> None:
    """OpenSSL alone took 5.5 MB of the 26 that a relay of 32 MB had at its start."""
    loaded = set(said("import sys, mallowlug.__main__; print(*sys.modules)", ROOT).split())
    assert "mossfront.brain" in loaded
    assert loaded.isdisjoint(UNWANTED)


def test_the_build_leaves_nothing_to_compile_at_a_start(tmp_path: Path) -> None:
    """And a source that changes after it is still read anew."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["build"]
    (tmp_path / ".venv" / "bin").mkdir(parents=True)
    (tmp_path / ".venv" / "bin" / "python").symlink_to(sys.executable)
    for package in ("mallowlug", "mossfront"):
        (tmp_path / package).mkdir()
        (tmp_path / package / "__init__.py").write_text("WORD = 'old'\n")
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    compiled = list(tmp_path.glob("m*/__pycache__/*.pyc"))
    assert len(compiled) == 2
    source = tmp_path / "mallowlug" / "__init__.py"
    times = source.stat()
    source.write_text("WORD = 'new'\n")
    os.utime(source, ns=(times.st_atime_ns, times.st_mtime_ns))
    assert said("import mallowlug; print(mallowlug.WORD)", tmp_path).strip() == "new"
