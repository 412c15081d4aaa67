"""``python -m tools.cost``: measure the relay of this checkout, alone or against another revision."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import json
import signal
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import asdict
from pathlib import Path
from statistics import median
from typing import Any, NoReturn

from tools.cost import table
from tools.cost.play import Checkout, load_checkout, run_play
from tools.cost.reading import CostError, Figures
from tools.cost.scenarios import SCENARIOS

ROOT = Path(__file__).resolve().parent.parent.parent
MAX_PAIRS = 50  # upper bound of --pairs
BUILD_TIMEOUT_S = 1200


class Parser(argparse.ArgumentParser):
    """An argument parser that raises ``CostError``, so that its errors are printed like all others."""

    def error(self, message: str) -> NoReturn:
        raise CostError(message)


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line; raises ``CostError`` for invalid arguments."""
    parser = Parser(prog="python -m tools.cost", description=__doc__)
    parser.add_argument("scenarios", nargs="*", help=f"all unless named: {', '.join(SCENARIOS)}")
    parser.add_argument("--against", metavar="REV", help="play this revision too, in interleaved pairs")
    parser.add_argument("--pairs", type=int, default=5, help="pairs of plays, or plays of one revision")
    parser.add_argument("--json", type=Path, metavar="FILE", help="write every figure of every play there")
    parser.add_argument(
        "--profile", type=Path, metavar="FOLDER", help="leave SCENARIO.profile for pstats there"
    )
    chosen = parser.parse_args(arguments)
    if unknown := [name for name in chosen.scenarios if name not in SCENARIOS]:
        raise CostError(f"unknown scenario {unknown[0]!r}; there are {', '.join(SCENARIOS)}")
    if not 1 <= chosen.pairs <= MAX_PAIRS:
        raise CostError(f"--pairs: from 1 to {MAX_PAIRS}")
    if chosen.json is not None and not chosen.json.parent.is_dir():
        raise CostError(f"--json: no folder {chosen.json.parent}")
    if chosen.profile is not None and not chosen.profile.is_dir():
        raise CostError(f"--profile: no folder {chosen.profile}")
    return chosen


def unpack_revision(revision: str, folder: Path) -> Path:
    """Extract the files of a git revision into a folder; raises ``CostError`` if it does not exist."""
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", revision]
    process = subprocess.run(command, capture_output=True, check=False)
    if process.returncode:
        raise CostError(f"unknown revision {revision!r}: {process.stderr.decode().strip().splitlines()[-1]}")
    with tarfile.open(fileobj=io.BytesIO(process.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def build_checkout(name: str, root: Path) -> Checkout:
    """Run the ``build`` command of a checkout's deploy file; raises ``CostError`` if it fails."""
    loaded = load_checkout(name, root)
    build = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8")).get("build")
    if build:
        process = subprocess.run(
            ["/bin/sh", "-c", build], cwd=root, capture_output=True, timeout=BUILD_TIMEOUT_S, check=False
        )
        if process.returncode:
            lines = process.stderr.decode(errors="replace").strip().splitlines()
            raise CostError(f"{name}: the build failed: {lines[-1] if lines else process.returncode}")
    return loaded


async def measure_scenario(
    sources: list[Checkout], scenario: str, pairs: int, profiles: Path | None
) -> list[list[Figures]]:
    """Run a scenario ``pairs`` times for each source; returns the figures of each run, by source.

    Counts come from one additional run of each source with the probe, times from runs without it. The order
    of the sources alternates, so that effects of the run order, such as warm caches, burden both alike.
    """
    counts = []
    for source in sources:
        profile = profiles / f"{scenario}.profile" if profiles is not None and source is sources[-1] else None
        counts.append(await run_play(source, SCENARIOS[scenario], True, profile))
    figures_by_source: list[list[Figures]] = [[] for _ in sources]
    for pair in range(pairs):
        order = list(range(len(sources)))
        for index in order if pair % 2 == 0 else reversed(order):
            figures = await run_play(sources[index], SCENARIOS[scenario], False)
            figures_by_source[index].append(counts[index] | figures)
    return figures_by_source


async def run_scenarios(
    chosen: argparse.Namespace, sources: list[Checkout]
) -> dict[str, list[list[Figures]]]:
    """Run the chosen scenarios one after another, with a line of progress on standard error for each."""
    results = {}
    for scenario in chosen.scenarios or list(SCENARIOS):
        print(f"playing {scenario} ...", file=sys.stderr, flush=True)
        results[scenario] = await measure_scenario(sources, scenario, chosen.pairs, chosen.profile)
    return results


async def run_until_signal(chosen: argparse.Namespace, sources: list[Checkout]) -> Any:
    """Run the scenarios; SIGTERM cancels them like SIGINT, so that all started processes are ended."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_scenarios(chosen, sources)


def format_results(
    results: dict[str, list[list[Figures]]], sources: list[Checkout]
) -> tuple[str, dict[str, Any]]:
    """Return the table to print, and all figures as data for JSON."""
    everything: dict[str, Any] = {
        "revisions": [source.name for source in sources],
        "plays": {
            scenario: dict(zip([s.name for s in sources], plays, strict=True))
            for scenario, plays in results.items()
        },
    }
    if len(sources) == 1:
        medians = {
            scenario: {name: median(play[name] for play in plays[0]) for name in plays[0][0]}
            for scenario, plays in results.items()
        }
        return table.format_figures(medians), everything
    ratios = {scenario: table.compare_figures(*plays) for scenario, plays in results.items()}
    everything["ratios"] = {
        scenario: {name: asdict(ratio) for name, ratio in by_name.items()}
        for scenario, by_name in ratios.items()
    }
    return table.format_ratios(ratios), everything


def measure(arguments: list[str]) -> None:
    """Build the revisions, measure the scenarios, and print or write the results."""
    chosen = parse_options(arguments)
    with tempfile.TemporaryDirectory(prefix="cost-base-") as folder:
        sources = [build_checkout("now", ROOT)]
        if chosen.against is not None:
            sources.insert(0, build_checkout(chosen.against, unpack_revision(chosen.against, Path(folder))))
        results = asyncio.run(run_until_signal(chosen, sources))
    text, everything = format_results(results, sources)
    print(text)
    if chosen.json is not None:
        chosen.json.write_text(json.dumps(everything, indent=1) + "\n", encoding="utf-8")


def main(arguments: list[str]) -> int:
    """Run the tool; returns the exit code: 0, 2 after an error, 130 after an interrupt."""
    try:
        measure(arguments)
    except CostError as error:
        print(f"cost: {error}", file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("cost: ended before its time", file=sys.stderr)
        return 130
    return 0


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError):
        sys.exit(main(sys.argv[1:]))
