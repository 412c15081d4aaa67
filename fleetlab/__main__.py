"""The command line, ``python -m fleetlab``: plays scenarios, checks and reports runs.

Exit codes: 0 if everything holds, 1 if a check failed or a run is invalid, 2 for wrong use, 130 on interrupt.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

from fleetlab import fault_schedule, run_folders, scenario
from fleetlab import soak as soaking
from fleetlab.checks import Result
from fleetlab.fleet import FleetError
from fleetlab.scale import command as scaling
from fleetlab.scale import plot
from fleetlab.scale.records import ScaleError
from fleetlab.scale.registry import find_subject
from fleetlab.sim import model, quorum
from fleetlab.soak import Verdict
from standins.records import HistoryError

EXIT_OK = 0
EXIT_FAILED = 1  # a check failed or a run is invalid
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130  # as a shell reports a process that SIGINT ended
REPORT_WIDTH = 160  # characters of a table that is not written to a terminal
app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, help="Fleets under faults."
)
Json = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
Folder = Annotated[Path, typer.Argument(help="The folder of a run.")]


def print_progress(text: str) -> None:
    """Print a line of progress to standard error."""
    print(text, file=sys.stderr, flush=True)


@contextmanager
def progress_output() -> Iterator[run_folders.ProgressCallback]:
    """Yield a function that reports progress on standard error.

    On a terminal it shows the last line and the time; elsewhere it prints plain lines.
    """
    if not sys.stderr.isatty():
        yield print_progress
        return
    columns = (SpinnerColumn(), TimeElapsedColumn(), TextColumn("{task.description}"))
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("")
        yield lambda text: progress.update(task, description=text)


@contextmanager
def interruptible() -> Iterator[None]:
    """Exit with one line on an interrupt; every process of the fleet is ended by then."""
    try:
        yield
    except KeyboardInterrupt:
        print_progress("fleetlab: interrupted; every process is ended")
        raise typer.Exit(EXIT_INTERRUPTED) from None


def print_result(result: Result, folder: Path, as_json: bool) -> int:
    """Print a result and return the exit code."""
    if as_json:
        print(msgspec.json.encode(result).decode())
    else:
        console = Console()
        console.print(counts_table(result))
        console.print(checks_table(result))
        for name, figures in sorted(result.figures.items()):
            figures_text = ", ".join(f"{figure} {value:g}" for figure, value in figures.items())
            console.print(f"{name}: {figures_text}", soft_wrap=True)
        verdict = "all checks hold" if result.ok else "a check failed"
        console.print(
            f"{verdict if result.valid else 'invalid: the lab itself was late'}; the run is in {folder}"
        )
    return EXIT_OK if result.ok and result.valid else EXIT_FAILED


COUNT_MEANINGS = {
    "handed_in": "requests that clients wrote to a relay",
    "messages": "different messages that clients had",
    "taken": "requests that a relay took on",
    "delivered": "messages that a partner answered as delivered",
    "refused": "messages that relays turned away or handed back for good",
    "failed": "messages that were given up as failed",
    "unanswered": "messages whose last request got no answer",
    "unsent": "messages that found no relay at all",
    "lost": "taken on and never ended",
    "late": "ended too late",
    "twice": "took effect twice and may not",
    "uncertain": "ended as failed, and may have run",
    "ran_unheard": "of these, took effect by their partner's record",
    "untried": "found untried by a restart, with half of their time left",
    "calls": "calls that partners saw, one for each message in them",
}


def counts_table(result: Result) -> Table:
    """Return a table of the counts of a result."""
    table = Table(title=f"{result.scenario}, seed {result.seed}, {result.relays} relays")
    table.add_column("what became of messages")
    table.add_column("", justify="right")
    for name, value in result.counts.items():
        table.add_row(f"{name}: {COUNT_MEANINGS[name]}", str(value))
    return table


def checks_table(result: Result) -> Table:
    """Return a table of the checks of a result."""
    table = Table()
    for name in ("check", "holds", "breaks", "first"):
        table.add_column(name)
    for name, check in result.checks.items():
        table.add_row(name, "yes" if check.ok else "NO", str(check.count), check.first)
    return table


def default_out(name: str, seed: int) -> Path:
    """Return the folder of a run for which no ``--out`` is given."""
    return Path("found") / f"{Path(name).stem}-{seed}"


@app.command()
def run(
    name: Annotated[str, typer.Argument(metavar="SCENARIO", help="A name from `list`, or a TOML file.")],
    *,
    seed: Annotated[int, typer.Option(min=0, help="Load and faults follow from it.")] = 1,
    relays: Annotated[int | None, typer.Option(help="Relays in place of the scenario's.")] = None,
    load: Annotated[float | None, typer.Option(min=0.1, help="Messages a second, over all relays.")] = None,
    out: Annotated[Path | None, typer.Option(help="Folder of the run.")] = None,
    as_json: Json = False,
) -> None:
    """Play a scenario with real processes and check its history."""
    plan = run_folders.make_plan(
        Path(name).stem, scenario.load_scenario(name, relays=relays, per_s=load), seed
    )
    folder = out or default_out(name, seed)
    with interruptible(), progress_output() as report_progress:
        result = run_folders.play(plan, folder, report_progress)
    raise typer.Exit(print_result(result, folder, as_json))


@app.command(name="list")
def list_scenarios(as_json: Json = False) -> None:
    """The project's scenarios."""
    scenarios = {name: scenario.load_scenario(name) for name in scenario.scenario_names()}
    if as_json:
        print(msgspec.json.encode({name: item.about for name, item in scenarios.items()}).decode())
        return
    for name, item in scenarios.items():
        print(f"{name:14} {item.relays:3} relays {item.seconds:4.0f} s  {item.about}")


@app.command()
def demo(
    out: Annotated[Path, typer.Option(help="Folder of the run.")] = Path("found") / "demo",
    seed: Annotated[int, typer.Option(min=0)] = 1,
) -> None:
    """Three relays, one killed with work in hand: a table of what became of it, and a page."""
    plan = run_folders.make_plan("demo", scenario.load_scenario("demo"), seed)
    with interruptible(), progress_output() as report_progress:
        result = run_folders.play(plan, out, report_progress)
    code = print_result(result, out, as_json=False)
    print(f"the page: {run_folders.write_report(out).resolve()}")
    raise typer.Exit(code)


@app.command()
def soak(
    seeds: Annotated[str, typer.Option(help="The first and the last, as in 1-50.")] = "1-50",
    *,
    jobs: Annotated[int, typer.Option(min=1, help="Plays at once.")] = 3,
    out: Annotated[Path, typer.Option(help="Folder of all plays.")] = Path("found") / "soak",
    plays: Annotated[soaking.PlayKind, typer.Option(help="What is played.")] = soaking.PlayKind.MIXED,
) -> None:
    """Play short runs with faults drawn by seed; exit 1 where a rule breaks or the lab was at fault.

    A play in which a drawn fault did not happen is counted as such, and not as held.
    """
    results = []
    with interruptible():
        for result in soaking.play_seeds(parse_seed_range(seeds), out, jobs, plays):
            print(result.summary, flush=True)
            if not result.ok:
                seed_range = f"{result.seed}-{result.seed}"
                print(
                    f"    python -m fleetlab soak --plays {plays} --seeds {seed_range} --jobs 1", flush=True
                )
            results.append(result)
    verdicts = Counter(result.verdict for result in results)
    taken = sum(result.counts.get("taken", 0) for result in results)
    summary = ", ".join(f"{count} {verdict}" for verdict, count in verdicts.items())
    print(f"{len(results)} seeds: {summary}; {taken} messages taken")
    raise typer.Exit(EXIT_OK if verdicts.keys() <= {Verdict.HELD, Verdict.FAULT_MISSING} else EXIT_FAILED)


def parse_seed_range(text: str) -> range:
    """Parse a range of seeds; raise ``typer.BadParameter`` if it is not one."""
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        seeds = range(0)
    if not seeds:
        raise typer.BadParameter(f"not a first and a last seed: {text!r}", param_hint="--seeds")
    return seeds


@app.command()
def report(folder: Folder) -> None:
    """Write a run's page: time lines, latencies, who did what."""
    print(run_folders.write_report(folder).resolve())


@app.command()
def compare(
    first: Folder,
    second: Annotated[Path, typer.Argument(help="The folder of another.")],
    as_json: Json = False,
) -> None:
    """Two runs side by side: counts, worth, latency and cost."""
    pairs = run_folders.compare_figures(first, second)
    if as_json:
        print(
            msgspec.json.encode(
                {name: [first_value, second_value] for name, first_value, second_value in pairs}
            ).decode()
        )
        return
    table = Table()
    for name in ("", str(first), str(second), "change"):
        table.add_column(name, justify="left" if not name else "right")
    for name, first_value, second_value in pairs:
        table.add_row(
            name,
            f"{first_value:g}",
            f"{second_value:g}",
            f"{second_value - first_value:+g}" if second_value != first_value else "",
        )
    Console().print(table)


@app.command()
def table(
    names: Annotated[list[str], typer.Argument(metavar="SCENARIO...", help="`all` for the project's own.")],
    *,
    seeds: Annotated[str, typer.Option(help="Seeds, between commas.")] = "1,2,3",
    relays: Annotated[str, typer.Option(help="Numbers of relays, between commas.")] = "3,10,40",
    each: Annotated[float, typer.Option(min=0.1, help="Messages a second for each relay.")] = 6.0,
    most: Annotated[float, typer.Option(min=0.1, help="Messages a second at most, over all.")] = 160.0,
    out: Annotated[Path, typer.Option(help="Folder of all runs.")] = Path("found") / "table",
) -> None:
    """Play scenarios with several seeds and sizes in turn, and print their table in Markdown."""
    scenarios = list(scenario.scenario_names()) if names == ["all"] else names
    print(run_folders.TABLE_HEADING)
    for name in scenarios:
        for size in parse_numbers(relays, "--relays"):
            results = []
            for seed in parse_numbers(seeds, "--seeds"):
                table_scenario = scenario.load_scenario(name, relays=size, per_s=min(most, each * size))
                plan = run_folders.make_plan(Path(name).stem, table_scenario, seed)
                with interruptible(), progress_output() as report_progress:
                    results.append(
                        run_folders.play(plan, out / f"{plan.name}-{size}-{seed}", report_progress)
                    )
            print(run_folders.table_row(results), flush=True)


@app.command()
def sim(
    schedules: Annotated[int, typer.Option(min=1, help="How many.")] = 1000,
    seed: Annotated[int, typer.Option(min=0, help="The first one's.")] = 0,
    jobs: Annotated[int, typer.Option(min=1, help="Processes at once.")] = 4,
    keep: Annotated[Path | None, typer.Option(help="A file for a history: of the first that breaks.")] = None,
) -> None:
    """Play schedules of the quorum's core in the simulator; each one that breaks a rule is a line."""
    with interruptible():
        campaign = quorum.run_campaign(range(seed, seed + schedules), jobs)
    for number, _, text in campaign.failures:
        print(f"seed {number}: {text}")
    if keep is not None:
        first = campaign.failures[0][0] if campaign.failures else seed
        quorum.record_schedule(first, keep)
        print(f"the history of schedule {first} is in {keep}")
    print(f"{campaign.schedules} schedules, {len(campaign.failures)} broken: {dict(campaign.counts)}")
    raise typer.Exit(EXIT_FAILED if campaign.failures else EXIT_OK)


@app.command(name="model")
def explore_model(
    larger: Annotated[bool, typer.Option("--larger", help="Configurations that take minutes, too.")] = False,
    jobs: Annotated[int, typer.Option(min=1, help="Processes at once.")] = 4,
) -> None:
    """Visit every state of small configurations of leases; a rule that breaks is told with its steps."""
    configurations = model.SMALL_LIMITS + (model.LARGER_LIMITS if larger else ())
    broken = 0
    with interruptible(), ProcessPoolExecutor(jobs) as pool:
        for limits, explored in zip(configurations, pool.map(model.explore, configurations), strict=True):
            verdict = explored.rule or "all rules hold"
            print(f"{explored.states:9} states, {explored.transitions:9} steps, {verdict}: {limits}")
            broken += bool(explored.rule)
            for label in explored.trace if explored.rule else ():
                print(f"    {label}")
    raise typer.Exit(EXIT_FAILED if broken else EXIT_OK)


@app.command()
def scale(
    subject: Annotated[str, typer.Argument(help="What is measured; `list` tells what there is.")] = "list",
    *,
    sizes: Annotated[str | None, typer.Option(help="Sizes, between commas, in place of the usual.")] = None,
    seed: Annotated[int, typer.Option(min=0, help="Every count follows from it.")] = 1,
    as_json: Json = False,
    plot_file: Annotated[Path | None, typer.Option("--plot", help="A picture to write (.png, .svg).")] = None,
    against: Annotated[Path | None, typer.Option(help="An earlier result of --json to compare with.")] = None,
) -> None:
    """Measure how cost grows with the size of a fleet; exit 1 where a size could not be measured."""
    if subject == "list":
        scaling.list_subjects(Console())
        return
    chosen = find_subject(subject)
    earlier = scaling.load_report(against) if against is not None else None
    with interruptible(), progress_output() as report_progress:
        report = scaling.measure_sizes(chosen, scaling.parse_sizes(sizes, chosen), seed, report_progress)
    if plot_file is not None:
        plot.write_plot(report, plot_file)
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        console = Console(width=None if sys.stdout.isatty() else REPORT_WIDTH)
        scaling.print_report(report, console)
        if earlier is not None:
            scaling.print_comparison(earlier, report, console)
    raise typer.Exit(EXIT_FAILED if report.left_out else EXIT_OK)


def parse_numbers(text: str, option: str) -> list[int]:
    """Parse whole numbers between commas; raise ``typer.BadParameter`` if they are not."""
    try:
        return [int(item) for item in text.split(",")]
    except ValueError:
        raise typer.BadParameter(f"not whole numbers between commas: {text!r}", param_hint=option) from None


@app.command()
def check(folder: Folder, as_json: Json = False) -> None:
    """Judge a run's history once more."""
    raise typer.Exit(print_result(run_folders.check(folder), folder, as_json))


@app.command()
def shrink(
    folder: Folder,
    out: Annotated[Path | None, typer.Option(help="Folder of the smallest run.")] = None,
    most: Annotated[int, typer.Option("--runs", min=1, help="Runs at most.")] = run_folders.MAX_SHRINK_RUNS,
) -> None:
    """Find the smallest list of faults with which the run still fails."""
    target = out or folder.with_name(f"{folder.name}-small")
    with interruptible(), progress_output() as report_progress:
        faults, played = run_folders.shrink(folder, target, report_progress, most)
    for fault in faults:
        print(f"{fault.at_s:7.3f} s  {fault_schedule.describe_fault(fault)} on {', '.join(fault.on)}")
    print(f"{len(faults)} faults after {played} runs; the run is in {target}")


def main() -> int:
    """Run a command and return the exit code; wrong use is one line on standard error."""
    try:
        return int(app(standalone_mode=False) or EXIT_OK)
    except typer.Exit as end:
        return end.exit_code
    except (scenario.ScenarioError, run_folders.RunError, HistoryError, FleetError, ScaleError) as error:
        print(f"fleetlab: {error}", file=sys.stderr)
    except Exception as error:
        if not hasattr(error, "format_message"):  # only usage errors of typer and click have it
            raise
        print(f"fleetlab: {error.format_message()}", file=sys.stderr)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
