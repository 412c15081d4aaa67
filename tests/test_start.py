"""Start of a relay: the modules that it loads, each of which costs memory and time, and invalid values."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from standins.scripted import ROOT, World

UNWANTED_MODULES = (
    *("_ssl", "_hashlib", "http.client", "email", "multiprocessing", "unittest", "tests", "tools"),
    *("fleetlab", "standins", "quorum", "msgspec", "numpy", "typer"),
)


def output_of(code: str, folder: Path) -> str:
    """The standard output of a Python process that runs the code."""
    command = [sys.executable, "-c", code]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True).stdout


def test_a_relay_loads_neither_tls_nor_anything_of_tests() -> None:
    """OpenSSL alone took 5.5 MB of the 26 MB that a relay limited to 32 MB had at its start."""
    loaded = set(output_of("import sys, relay.__main__; print(*sys.modules)", ROOT).split())
    assert "decisions.engine" in loaded
    assert loaded.isdisjoint(UNWANTED_MODULES)


def test_the_build_leaves_nothing_to_compile_at_a_start(tmp_path: Path) -> None:
    """A source file that changes after the build is still compiled again."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["build"]
    (tmp_path / ".venv" / "bin").mkdir(parents=True)
    (tmp_path / ".venv" / "bin" / "python").symlink_to(sys.executable)
    for package in ("relay", "decisions"):
        (tmp_path / package).mkdir()
        (tmp_path / package / "__init__.py").write_text("WORD = 'old'\n")
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    compiled = list(tmp_path.glob("*/__pycache__/*.pyc"))
    assert len(compiled) == 2
    source = tmp_path / "relay" / "__init__.py"
    times = source.stat()
    source.write_text("WORD = 'new'\n")
    os.utime(source, ns=(times.st_atime_ns, times.st_mtime_ns))
    assert output_of("import relay; print(relay.WORD)", tmp_path).strip() == "new"


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        ("limits.sockets", 3, "limits.sockets: 3 is not a finite number of at least 4"),
        ("limits.sockets", "many", "limits.sockets: could not convert"),
        ("limits.disk_mb", 0, "limits.disk_mb: 0 is not a finite number of at least 0.01"),
        ("limits.memory_mb", -1, "limits.memory_mb: -1 is not a finite number of at least 1"),
        ("limits.memory_mb", float("nan"), "limits.memory_mb: nan is not a finite number of at least 1"),
        ("listen", "nowhere", "listen: not an address: 'nowhere'"),
        ("discovery", 7, "discovery: "),
        ("seed", "zz", "seed: "),
        ("known", [1], "known: not a list of hosts"),
        ("settings.group_size", 0, "group_size: must be at least 1"),
        ("settings.request_classes.0.deadline_us", -1, "classes.keyed.deadline_us"),
    ],
)
def test_an_invalid_value_ends_the_start_with_one_line_that_names_its_key(
    tmp_path: Path, path: str, value: object, reason: str
) -> None:
    """The value is checked before any socket or file is opened."""
    world = World(tmp_path)
    environment = {key: item for key, item in world.environment().items() if key != "ROUTER_DISCOVERY"}
    config = json.loads((tmp_path / "config.json").read_text()) | {"discovery": "127.0.0.1:9"}
    *parents, last = path.split(".")
    node: Any = config
    for key in parents:
        node = node[int(key) if isinstance(node, list) else key]
    node[last] = value
    (tmp_path / "config.json").write_text(json.dumps(config))
    command = [sys.executable, "-m", "relay"]
    completed = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False, timeout=30
    )
    assert completed.returncode == 2
    assert f"configuration: {reason}" in completed.stderr
    assert completed.stderr.count("\n") == 1
